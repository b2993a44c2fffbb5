"""A key is revoked amid many changes of a large configuration, out of a host's reach.

Two of three machines are lost, and the store turns the third one away. Meanwhile the
configuration, which has grown by many routes, changes twelve times, and then a key is
revoked. The first read of the returning store brings 1,024 KB of records at most, in
which the revocation is not. The host takes the read for a confirmation that its
configuration is the newest, and believes the revoked key until it reads again.
"""

import json
import signal
import time
from collections import Counter
from pathlib import Path

from review.common.case import has_trouble, run_case
from review.common.clients import Pacer
from review.common.fleet import BOUNDS, Fleet, Record, make_config

HOSTS = 3
ADDED_ROUTES = 350
CHANGES = 12
CHANGE_GAP_S = 0.33
GAP_S = 0.03
SETTLED_S = 4.0
BUSY_S = 9.0
AFTER_S = 4.0
REVOKE_S = BOUNDS["revokeMs"] / 1000


def grown_config(version: int, keys: list[str]) -> dict:
    """Return a configuration that has grown by many routes."""
    config = make_config(version, keys)
    config["routes"] += [
        {
            "name": f"added-route-{number:04d}",
            "host": "ficu95.example",
            "pathPrefix": f"/added{number:04d}/2f/",
            "kind": "idempotent",
            "service": "core",
            "trafficSplit": [{"service": "core", "weight": 100}],
            "timeoutMs": 1500,
            "targetLatencyMs": 200,
            "gapTargetMs": 0,
            "priority": 2,
            "maxAttempts": 2,
            "public": False,
            "resumable": False,
            "sticky": False,
        }
        for number in range(ADDED_ROUTES)
    ]
    return config


def play(record: Record, folder: Path) -> bool:
    """Return whether a request with the revoked key ran too late."""
    fleet = Fleet(folder, HOSTS)
    fleet.add_engines("core", 9)
    fleet.store.put_config(grown_config(1, ["gone-key"]))
    record.note(f"bytes of a configuration: {len(json.dumps(grown_config(1, [])))}")
    last = fleet.hosts[0]
    try:
        fleet.start()
        time.sleep(SETTLED_S)
        if has_trouble():
            for host in fleet.hosts[1:]:
                host.signal(signal.SIGKILL)
            record.note("two machines are lost")
        time.sleep(1.0)
        pacer = Pacer(last, "gone-key", GAP_S)
        pacer.start()
        began = time.monotonic()
        if has_trouble():
            last.store.busy.set()
            record.note("the store turns the last machine away")
        for number in range(CHANGES):
            fleet.store.put_config(grown_config(2 + number, ["gone-key"]))
            time.sleep(CHANGE_GAP_S)
        fleet.store.put_config(grown_config(2 + CHANGES, []))
        acknowledged = time.monotonic()
        record.note("the revocation is acknowledged")
        time.sleep(began + BUSY_S - time.monotonic())
        last.store.busy.clear()
        record.note("the store serves the machine again")
        time.sleep(AFTER_S)
        pacer.stop()
        return judge(record, fleet, pacer, acknowledged)
    finally:
        fleet.close()


def judge(record: Record, fleet: Fleet, pacer: Pacer, acknowledged: float) -> bool:
    """Return whether a request sent too late with the revoked key ran."""
    ran = fleet.runs()
    rows = sorted(pacer.sent, key=lambda row: row.at)
    late = [row for row in rows if row.at > acknowledged + REVOKE_S]
    broken = [row for row in late if row.attempt in ran]
    for row in rows:
        record.note(
            f"{row.attempt} sent {row.at - acknowledged:+.3f} s after the revocation, "
            f"answered {row.status}, ran {row.attempt in ran}"
        )
    record.note(f"sent too late: {Counter(row.status for row in late)}")
    record.note(f"of these, run: {len(broken)}")
    return bool(broken)


if __name__ == "__main__":
    run_case(__file__, play)
