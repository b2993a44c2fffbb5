"""A machine freezes, and the store is down as it wakes.

A key is revoked, and right after that the store falls silent. One machine is frozen
meanwhile. The last news that a peer sent it, from before the revocation, waits in its
socket. When the machine wakes, it takes that news for as old as it was when the peer
sent it, and believes the revoked key for four seconds more.
"""

import json
import signal
import time
from collections import Counter
from pathlib import Path

from review.common.case import has_trouble, run_case
from review.common.clients import Pacer
from review.common.fleet import BOUNDS, Fleet, HostProcess, Record, make_config

HOSTS = 3
KEYS = ("gone-key-1", "gone-key-2", "gone-key-3")
GAP_S = 0.05
SETTLED_S = 4.0
BEFORE_S = 2.0
FROZEN_BEFORE_S = 1.0
FROZEN_S = 3.9
SILENT_AFTER_S = 0.02
SILENT_S = 6.1
AFTER_S = 3.0
REVOKE_S = BOUNDS["revokeMs"] / 1000


def choose_frozen(fleet: Fleet) -> HostProcess:
    """Return a host that does not read the store for the others, by its log."""
    orders = [
        json.loads(line)["allocators"]
        for line in fleet.hosts[0].log_path.read_text().splitlines()
        if '"allocators"' in line
    ]
    return next(host for host in fleet.hosts if host.name == orders[-1][-1])


def play(record: Record, folder: Path) -> bool:
    """Return whether a request with a revoked key ran too late, in any of the rounds.

    The peers may have reset their links to the frozen machine by the time it wakes,
    and the old news is lost in some rounds.
    """
    fleet = Fleet(folder, HOSTS)
    fleet.add_engines("core", 9)
    fleet.store.put_config(make_config(1, list(KEYS)))
    try:
        fleet.start()
        return any([play_round(fleet, record, number) for number in range(len(KEYS))])
    finally:
        fleet.close()


def play_round(fleet: Fleet, record: Record, number: int) -> bool:
    """Revoke one key amid the trouble; return whether it was accepted too late."""
    time.sleep(SETTLED_S)
    frozen = choose_frozen(fleet)
    pacers = [Pacer(host, KEYS[number], GAP_S) for host in fleet.hosts]
    for pacer in pacers:
        pacer.start()
    time.sleep(BEFORE_S)
    left = make_config(2 + number, list(KEYS[number + 1 :]))
    acknowledged = disturb(fleet, frozen, left, record)
    time.sleep(AFTER_S)
    for pacer in pacers:
        pacer.stop()
    return judge(record, fleet, pacers, acknowledged)


def disturb(fleet: Fleet, frozen: HostProcess, left: dict, record: Record) -> float:
    """Revoke the key amid the trouble; return when the store acknowledged that."""
    began = time.monotonic()
    if has_trouble():
        frozen.signal(signal.SIGSTOP)
        record.note(f"{frozen.name} frozen")
    time.sleep(FROZEN_BEFORE_S)
    fleet.store.put_config(left)
    acknowledged = time.monotonic()
    record.note("the revocation is acknowledged")
    time.sleep(SILENT_AFTER_S)
    if has_trouble():
        fleet.set_silent(True)
        record.note("the store is silent")
    time.sleep(began + FROZEN_S - time.monotonic())
    if has_trouble():
        frozen.signal(signal.SIGCONT)
        record.note(f"{frozen.name} goes on")
    time.sleep(acknowledged + SILENT_AFTER_S + SILENT_S - time.monotonic())
    if has_trouble():
        fleet.set_silent(False)
        record.note("the store answers again")
    return acknowledged


def judge(
    record: Record, fleet: Fleet, pacers: list[Pacer], acknowledged: float
) -> bool:
    """Return whether a request sent too late with the revoked key ran."""
    ran = fleet.runs()
    rows = sorted((row for pacer in pacers for row in pacer.sent), key=lambda r: r.at)
    late = [row for row in rows if row.at > acknowledged + REVOKE_S]
    broken = [row for row in late if row.attempt in ran]
    for row in rows:
        record.note(
            f"{row.attempt} sent to {row.host} {row.at - acknowledged:+.3f} s after "
            f"the revocation, answered {row.status}, ran {row.attempt in ran}"
        )
    record.note(f"sent too late: {Counter((row.host, row.status) for row in late)}")
    record.note(f"of these, run: {len(broken)}")
    return bool(broken)


if __name__ == "__main__":
    run_case(__file__, play)
