"""Sends a request that crashes its engines, before and after all hosts are killed.

Others send charges beside it, which are lost with each engine that crashes.
"""

import contextlib
import itertools
import os
import sys
import threading
import time
from pathlib import Path

from review.harness2.fleet import CONTACT_S, Fleet, Host, Record, make_config

FOLDER = Path(__file__).resolve().parent
SERVICE = "app"
ENGINES = 6
DEADLY = b"the request that crashes its engine"
INTERVAL_S = 1.0
BEFORE_S = 12.0
"""Time for which the request is sent before all hosts are killed."""
DOWN_S = 1.0
AFTER_S = 45.0
MAX_RETRIES = 3
"""What the rule allows, later than `CONTACT_S` after the third crash."""
WORK_S = 0.15
CHARGE_INTERVAL_S = 0.03
ROUTES = [
    {
        "name": "lookup",
        "pathPrefix": "/lookup/",
        "kind": "idempotent",
        "service": SERVICE,
    },
    {
        "name": "charge",
        "pathPrefix": "/charge/",
        "kind": "non_idempotent",
        "service": SERVICE,
        "maxAttempts": 1,
    },
]


def arrivals(fleet: Fleet) -> list[float]:
    """Return when the request has reached an engine, oldest first."""
    runs = itertools.chain(*(row.server.standin.runs for row in fleet.targets))
    return sorted(run.at for run in runs if run.body == DEADLY)


def crashes(fleet: Fleet) -> list[float]:
    """Return when engines have crashed under the request, oldest first."""
    ends = itertools.chain(*(row.server.standin.endings for row in fleet.targets))
    return sorted(ends)


def send_for(fleet: Fleet, seconds: float) -> None:
    """Send the request again and again, to one host after the other.

    A sound request goes beside it, so that the hosts see that the engines work.
    """
    ends_at = time.monotonic() + seconds
    for host in itertools.cycle(fleet.hosts):
        if time.monotonic() >= ends_at:
            return
        fleet.call(host, "/lookup/1", DEADLY)
        fleet.call(host, "/lookup/2", b"sound")
        time.sleep(INTERVAL_S)


class Charges:
    """Sends charges to all hosts in turn, and counts those that are lost."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.lost: list[float] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Start one after the other until stopped; none waits for another."""
        for host in itertools.cycle(self.fleet.hosts):
            if self.stopping.wait(CHARGE_INTERVAL_S):
                return
            threading.Thread(target=self.send, args=(host,), daemon=True).start()

    def send(self, host: Host) -> None:
        """Send one charge; a host that is down takes none."""
        answer = self.fleet.call(host, "/charge/1", b"a charge")
        if answer.status == 502:
            self.lost.append(time.monotonic())


def play(trouble: bool, stack: contextlib.ExitStack, record: Record) -> int:
    """Play the case; return the exit status."""
    fleet = Fleet(stack, record, make_config(ROUTES, (SERVICE,)), (SERVICE,) * ENGINES)
    for target in fleet.targets:
        target.knobs.ends_on = DEADLY
        target.knobs.pause_s = WORK_S
    fleet.start()
    if not fleet.wait_until_ready():
        return 2
    time.sleep(CONTACT_S + 0.5)
    charges = Charges(fleet)
    threading.Thread(target=charges.run, daemon=True).start()
    stack.callback(charges.stopping.set)
    send_for(fleet, BEFORE_S)
    if trouble:
        fleet.kill_all()
        time.sleep(DOWN_S)
        fleet.start()
        if not fleet.wait_until_ready():
            return 2
        # From here on all hosts are in touch again.
        time.sleep(CONTACT_S + 0.5)
    send_for(fleet, AFTER_S)
    ends = crashes(fleet)
    if len(ends) < 3:
        record.write("too few crashes", count=len(ends))
        return 2
    late = [at for at in arrivals(fleet) if at > ends[2] + CONTACT_S]
    since = [round(at - ends[2], 2) for at in late]
    lost = sum(at > late[MAX_RETRIES] for at in charges.lost) if late[3:] else 0
    record.write(
        "judged",
        crashes=len(ends),
        retries_s_after_third=since,
        charges_lost_by_further_retries=lost,
    )
    print(f"{len(ends)} crashes; retries after the third, in s: {since}")
    print(f"charges of others lost by those beyond {MAX_RETRIES}: {lost}")
    return 1 if len(late) > MAX_RETRIES else 0


def main() -> None:
    """Play the case and exit with its status."""
    record = Record(FOLDER / "record.txt")
    with contextlib.ExitStack() as stack:
        status = play(os.environ.get("TROUBLE") != "0", stack, record)
    sys.exit(status)


if __name__ == "__main__":
    main()
