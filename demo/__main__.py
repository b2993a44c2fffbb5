"""``python -m demo``: start a fleet, send real calls, judge what came back."""

import contextlib
import signal
import sys
import tempfile
import threading
from pathlib import Path

from demo.fleet import ADVISER_KEY, OPERATOR_TOKEN, RETURNS_KEY, DemoFailed, Fleet
from demo.scenarios import SCENES, Row


def run_scenes(fleet: Fleet) -> list[Row]:
    """Return a row for each scene; an error in one is a fault of that one."""
    rows = []
    for scene in SCENES:
        try:
            rows.append(scene(fleet))
        except Exception as error:
            rows.append(Row(scene.__name__, "nothing", [repr(error)]))
        print_row(rows[-1])
    return rows


def print_row(row: Row) -> None:
    """Print one line of the table."""
    verdict = "as promised" if not row.faults else "; ".join(sorted(set(row.faults)))
    print(f"| {row.scene:27} | {row.got} | {verdict} |", flush=True)


def keep_fleet(fleet: Fleet) -> None:
    """Print how to use the fleet, and keep it until interrupted."""
    for host in fleet.hosts:
        print(f"{host.name}: callers {host.callers}, operators {host.operators}")
    print(f"platform {fleet.platform}, service {fleet.service}")
    for name, address in fleet.engines.items():
        print(f"{name} {address}")
    print(f"callers' keys: {ADVISER_KEY} (urgent), {RETURNS_KEY} (normal)")
    print(f"operator's token: {OPERATOR_TOKEN}")
    body = (
        '{"model": "adviser-letters", "max_tokens": 80, '
        '"messages": [{"role": "user", "content": "Is 40 right?"}]}'
    )
    print(
        f"curl -s http://{fleet.hosts[0].callers}/v1/chat/completions "
        f"-H 'Authorization: Bearer {ADVISER_KEY}' -d '{body}'",
        flush=True,
    )
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    stop.wait()


def main(arguments: list[str]) -> int:
    """Run the demonstration and return the exit code."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(Path(folder), stack)
        try:
            fleet.start()
        except DemoFailed as error:
            print(f"demo: {error}", file=sys.stderr)
            return 1
        if "--keep" in arguments:
            keep_fleet(fleet)
            return 0
        rows = run_scenes(fleet)
    return 1 if any(row.faults for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
