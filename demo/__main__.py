"""``python -m demo``: start a fleet, send calls to it and check the answers."""

import contextlib
import signal
import sys
import tempfile
import threading
from pathlib import Path

from demo.fleet import ADVISER_KEY, OPERATOR_TOKEN, RETURNS_KEY, DemoError, Fleet
from demo.scenarios import SCENARIOS, ScenarioResult


def run_scenarios(fleet: Fleet) -> list[ScenarioResult]:
    """Run every scenario and return the results.

    An exception in a scenario is recorded as a fault of it.
    """
    results = []
    for scenario in SCENARIOS:
        try:
            results.append(scenario(fleet))
        except Exception as error:
            results.append(ScenarioResult(scenario.__name__, "nothing", [repr(error)]))
        print_result(results[-1])
    return results


def print_result(result: ScenarioResult) -> None:
    """Print the result as a line of a table."""
    verdict = (
        "as promised" if not result.faults else "; ".join(sorted(set(result.faults)))
    )
    print(f"| {result.scenario:27} | {result.observed} | {verdict} |", flush=True)


def keep_fleet(fleet: Fleet) -> None:
    """Print how to call the fleet, and keep it running until interrupted."""
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
    """Run the demonstration and return the exit code.

    With ``--keep``, only start the fleet and keep it running.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(Path(folder), stack)
        try:
            fleet.start()
        except DemoError as error:
            print(f"demo: {error}", file=sys.stderr)
            return 1
        if "--keep" in arguments:
            keep_fleet(fleet)
            return 0
        results = run_scenarios(fleet)
    return 1 if any(result.faults for result in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
