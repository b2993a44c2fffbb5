"""Measures how soon tickets take effect on hosts: ``python -m bench.tickets``.

The configuration followers of fifteen hosts run in this process and read the platform
stand-in over HTTP, while tickets are appended one after another. Prints the time from
the start of an append until the ticket is in force on any one host and on the last.
"""

import contextlib
import threading
import time

from godwitladder.clients.log import CONFIG_STREAM, LogClient
from godwitladder.clock import Clock
from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.ledger import Ledger, make_state
from godwitladder.ids import HostId, Zone
from godwitladder.standins.platform import start_platform

HOSTS = 15
TICKETS = 200
WORKSPACES = 3200
PAUSE_S = 0.05
WAIT_S = 30.0


class TimedFollower:
    """The configuration follower of one host, with the time of each offset on it."""

    def __init__(self, stack: contextlib.ExitStack, address: str, index: int) -> None:
        client = LogClient(f"http://{address}", Zone("a"))
        stack.callback(client.close)
        self.offset = 0
        self.condition = threading.Condition()
        self.effective_at: dict[int, float] = {}
        self.follower = ConfigFollower(
            client, Clock(), self.publish, HostId(f"host-{index}")
        )
        stack.callback(self.follower.stop)
        self.follower.start()

    def publish(self, ledger: Ledger) -> None:
        """Record the time at which components of the host could read the new state."""
        make_state(ledger)
        with self.condition:
            for offset in range(self.offset, ledger.next):
                self.effective_at[offset] = time.perf_counter()
            self.offset = ledger.next
            self.condition.notify_all()

    def await_offset(self, offset: int) -> float:
        """Wait until ``offset`` is in force; return the time at which it was.

        Raises
        ------
        SystemExit
            It isn't in force within ``WAIT_S``.
        """
        with self.condition:
            if not self.condition.wait_for(lambda: offset in self.effective_at, WAIT_S):
                raise SystemExit(
                    f"offset {offset} was not in force within {WAIT_S:g} s"
                )
            return self.effective_at[offset]


def make_ticket(number: int, body: str) -> bytes:
    """Return a ticket with the changes in ``body``."""
    head = f'number = {number}\noperator = "bench"\nreason = "a change"\n'
    return (head + body).encode()


def first_ticket() -> bytes:
    """Return the ticket that creates all workspaces."""
    rows = [
        f'[workspaces.w{index}]\ntier = "normal"\nkey_digests = ["{index:064x}"]\n'
        for index in range(WORKSPACES)
    ]
    return make_ticket(1, "[tiers.normal]\nrank = 1\n" + "".join(rows))


def main() -> None:
    """Run the measurement and print a table."""
    with contextlib.ExitStack() as stack:
        platform = start_platform()
        stack.callback(platform.server_close)
        stack.callback(platform.shutdown)
        writer = LogClient(f"http://{platform.address}", Zone("a"))
        stack.callback(writer.close)
        hosts = [
            TimedFollower(stack, platform.address, index) for index in range(HOSTS)
        ]
        writer.append(CONFIG_STREAM, [first_ticket()])
        for host in hosts:
            host.await_offset(0)
        each, last = [], []
        for number in range(2, TICKETS + 2):
            ticket = make_ticket(number, f"[tiers.t{number % 9}]\nrank = {number}")
            start = time.perf_counter()
            offset = writer.append(CONFIG_STREAM, [ticket])
            rows = [host.await_offset(offset) - start for host in hosts]
            each += rows
            last.append(max(rows))
            time.sleep(PAUSE_S)
    print(f"{HOSTS} hosts, {WORKSPACES} workspaces, {TICKETS} tickets; milliseconds")
    print("| | p50 | p99 | most |\n|---|---|---|---|")
    for name, rows in (("any host", each), ("last host", last)):
        rows = sorted(rows)
        cuts = [rows[len(rows) // 2], rows[int(len(rows) * 0.99)], rows[-1]]
        print(f"| {name} | " + " | ".join(f"{cut * 1000:.0f}" for cut in cuts) + " |")


if __name__ == "__main__":
    main()
