"""Chooses the hosts that hold the links of a region together.

Pure. Load pattern: hundreds of hosts, many of which start, end or lose their
way to others at the same moment. With a link between each two, 200 hosts hold
20,000 connections, and a restart of all of them makes as many again at once;
news of all hosts to all others grows with the square of their number too.

Up to `MAX_MESH_HOSTS` every host is a hub, and all are linked to all. Beyond that
a few hosts of each availability zone are, and every host is linked to all
hubs. A hub sees by its own links who is live, and tells the others. Each host
works the hubs out for itself from the live hosts it knows. Two that know
different hosts may name different hubs for a time; only capacity is lost then.
"""

import math
from collections.abc import Collection, Iterable

from godwitladder.decisions.rendezvous import choose_host, weight
from godwitladder.ids import HostId, Zone
from godwitladder.membership.members import Member

MAX_MESH_HOSTS = 24
LEAST_HUBS = 6
"""Hubs in all. Some may fail at once, and a zone that is cut off keeps its own."""
ABLE_SHARE = 0.75
"""Part of the strongest hub's processor that one needs to be an allocator. On a
weak one the queue of a whole region would wait for its processor."""
HUB_KEY = "hub"


def choose_hubs(rows: Collection[Member], mesh_hosts: int) -> frozenset[HostId]:
    """Return the hubs among the live hosts ``rows``: the strongest of each place."""
    if len(rows) <= mesh_hosts:
        return frozenset(row.host for row in rows)
    places: dict[Zone, list[Member]] = {}
    for row in rows:
        places.setdefault(row.availability_zone, []).append(row)
    each = math.ceil(LEAST_HUBS / len(places))
    return frozenset(
        row.host for group in places.values() for row in _best(group)[:each]
    )


def choose_able(rows: Iterable[Member]) -> frozenset[HostId]:
    """Return the hosts that are strong enough to hand out the targets of a region."""
    rows = list(rows)
    most = max((row.cores for row in rows), default=0.0)
    return frozenset(row.host for row in rows if row.cores >= ABLE_SHARE * most)


def choose_publisher(host: HostId, hubs: Iterable[HostId]) -> HostId | None:
    """Return the hub that reports all live hosts to ``host``."""
    return choose_host(hubs, host)


def _best(rows: Iterable[Member]) -> list[Member]:
    def strength(row: Member) -> tuple:
        return row.cores, weight(row.host, HUB_KEY)

    return sorted(rows, key=strength, reverse=True)
