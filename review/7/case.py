"""Stops a host with SIGTERM while the store is silent.

Clients use connections that they have kept open to that host; the streams that they
ask for last some seconds.
"""

import contextlib
import http.client
import os
import signal
import sys
import threading
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

from godwitladder.platform import names
from review.harness2.fleet import (
    CONTACT_S,
    HOST_HEADER,
    Fleet,
    Host,
    Record,
    make_config,
)

FOLDER = Path(__file__).resolve().parent
SERVICE = "app"
ENGINES = 4
EVENTS = 50
"""Length of a stream."""
SHORT_S, LONG_S = 0.005, 0.1
"""Pauses between the events of streams before the SIGTERM, and of those after it."""
CLIENTS = 6
SILENT_S = 6.0
"""Time for which the store answers nothing."""
SENT_AFTER_S = 3.25
"""Time from the SIGTERM to the requests."""
EXCUSED_S = 3.0
"""Requests that are sent later than this may not be cut at the end of the grace."""
DEADLINE_S = 15.0
GRACE_S = 8.0
ROUTES = [
    {
        "name": "letters",
        "pathPrefix": "/stream/",
        "kind": "streaming",
        "service": SERVICE,
        "maxAttempts": 1,
        "timeoutMs": 15_000,
        "targetLatencyMs": 800,
        "gapTargetMs": 400,
        "public": True,
    }
]


@dataclass
class Outcome:
    """What came of a request on a kept connection."""

    sent_at: float
    status: int = 0
    is_complete: bool = False
    error: str = ""


class Client:
    """One client with a connection that it keeps open."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.record = fleet.record
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", host.ports[0], timeout=DEADLINE_S
        )

    def ask(self, path: str) -> Outcome:
        """Send one request, and read its answer to the end."""
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": HOST_HEADER,
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
        }
        outcome = Outcome(time.monotonic())
        try:
            self.connection.request("POST", path, b"a letter", headers)
            answer = self.connection.getresponse()
            outcome.status = answer.status
            answer.read()
            outcome.is_complete = True
        except (OSError, http.client.HTTPException) as error:
            outcome.error = repr(error)[:80]
        self.record.write("ended", path=path, attempt=attempt, **vars(outcome))
        return outcome


def play(trouble: bool, stack: contextlib.ExitStack, record: Record) -> int:
    """Play the case; return the exit status."""
    config = make_config(ROUTES, (SERVICE,))
    fleet = Fleet(stack, record, config, (SERVICE,) * ENGINES)
    for target in fleet.targets:
        target.knobs.events, target.knobs.pause_s = EVENTS, SHORT_S
    fleet.start()
    if not fleet.wait_until_ready():
        return 2
    time.sleep(CONTACT_S + 0.5)
    stopped = fleet.hosts[0]
    clients = [Client(fleet, stopped) for _ in range(CLIENTS)]
    for client in clients:
        if client.ask("/stream/1").status != 200:
            return 2
    for target in fleet.targets:
        target.knobs.pause_s = LONG_S
    if trouble:
        fleet.store.standin.knobs.mute_s = SILENT_S
        record.write("the store is silent")
    stopped.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    record.write("SIGTERM", host=stopped.name)
    time.sleep(SENT_AFTER_S)
    outcomes: list[Outcome] = []
    threads = [
        threading.Thread(target=lambda row=row: outcomes.append(row.ask("/stream/1")))
        for row in clients
    ]
    for thread in threads:
        thread.start()
    time.sleep(SILENT_S - SENT_AFTER_S)
    fleet.store.standin.knobs.mute_s = 0.0
    for thread in threads:
        thread.join()
    status = stopped.process.wait(GRACE_S)
    record.write("exited", host=stopped.name, status=status)
    cut = [
        round(row.sent_at - stopped_at, 2)
        for row in outcomes
        if row.status == 200
        and not row.is_complete
        and row.sent_at - stopped_at > EXCUSED_S
    ]
    record.write("judged", cut_that_were_sent_s_after_sigterm=cut)
    print(f"statuses {[row.status for row in outcomes]}; cut, sent at s: {cut}")
    return 1 if cut else 0


def main() -> None:
    """Play the case and exit with its status."""
    record = Record(FOLDER / "record.txt")
    with contextlib.ExitStack() as stack:
        status = play(os.environ.get("TROUBLE") != "0", stack, record)
    sys.exit(status)


if __name__ == "__main__":
    main()
