"""Stops a host with SIGTERM while requests wait in it for an engine.

The one engine of a service was lost for good, well before the requests were sent.
"""

import contextlib
import os
import signal
import sys
import threading
import time
from pathlib import Path

from review.harness2.fleet import CONTACT_S, Answer, Call, Fleet, Record, make_config

FOLDER = Path(__file__).resolve().parent
SERVICE = "app"
OTHER_SERVICE = "other"
OTHER_ENGINES = 2
"""Engines of the other service, which is sound."""
LOST_BEFORE_S = 8.0
"""Time from the loss of the engine to the requests."""
STOPPED_AFTER_S = 1.0
"""Time from the requests to the SIGTERM."""
DEADLINE_S = 15.0
WAITING = 6
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
ROUTES = [
    {
        "name": name,
        "pathPrefix": f"/{name}/",
        "kind": "idempotent",
        "service": name,
        "timeoutMs": 15_000,
        "targetLatencyMs": 800,
        "priority": 0,
    }
    for name in (SERVICE, OTHER_SERVICE)
]


class Client:
    """Sends requests on connections of their own, and keeps what came of them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ended: dict[str, tuple[Call, Answer, float]] = {}
        self.threads: list[threading.Thread] = []

    def send(self, host, count: int) -> list[str]:
        """Send so many requests; return their ids."""
        calls = [
            self.fleet.start_call(host, f"/{SERVICE}/1", b"a letter", DEADLINE_S)
            for _ in range(count)
        ]
        for call in calls:
            call.send()
            thread = threading.Thread(target=self.finish, args=(call,), daemon=True)
            self.threads.append(thread)
            thread.start()
        return [call.attempt for call in calls]

    def finish(self, call: Call) -> None:
        """Read one answer."""
        answer = call.finish()
        self.ended[call.attempt] = call, answer, time.monotonic()

    def join(self) -> None:
        """Wait until all requests have ended."""
        for thread in self.threads:
            thread.join()


def play(trouble: bool, stack: contextlib.ExitStack, record: Record) -> int:
    """Play the case; return the exit status."""
    services = (SERVICE, OTHER_SERVICE)
    engines = (SERVICE, *(OTHER_SERVICE,) * OTHER_ENGINES)
    fleet = Fleet(stack, record, make_config(ROUTES, services), engines)
    fleet.start()
    if not fleet.wait_until_ready():
        return 2
    time.sleep(CONTACT_S + 0.5)
    for target in fleet.targets:
        if target.service == SERVICE:
            fleet.lose(target)
    time.sleep(LOST_BEFORE_S)
    client = Client(fleet)
    stopped = fleet.hosts[0]
    waiting = client.send(stopped, WAITING)
    time.sleep(STOPPED_AFTER_S)
    if trouble:
        stopped.signal(signal.SIGTERM)
        record.write("SIGTERM", host=stopped.name)
        status = stopped.process.wait(GRACE_S + 2.0)
        record.write("exited", host=stopped.name, status=status)
    client.join()
    lost = []
    for attempt in waiting:
        call, answer, ended_at = client.ended[attempt]
        lasted_s = ended_at - call.sent_at
        is_unanswered = answer.status == 0 and lasted_s < DEADLINE_S - 0.5
        if is_unanswered and lasted_s > LOSS_SLACK_S:
            lost.append(round(lasted_s, 2))
    statuses = [client.ended[attempt][1].status for attempt in waiting]
    record.write("judged", unanswered_after_s=lost, statuses=statuses)
    print(f"statuses {statuses}; unanswered after s: {lost}")
    return 1 if lost else 0


def main() -> None:
    """Play the case and exit with its status."""
    record = Record(FOLDER / "record.txt")
    with contextlib.ExitStack() as stack:
        status = play(os.environ.get("TROUBLE") != "0", stack, record)
    sys.exit(status)


if __name__ == "__main__":
    main()
