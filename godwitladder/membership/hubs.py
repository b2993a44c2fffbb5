"""Chooses the hubs that connect the hosts of a region.

These functions do no I/O. Load pattern: hundreds of hosts, many of which start,
exit or become unreachable at the same moment. In a full mesh, 200 hosts hold
20,000 connections, and a restart of all hosts makes that many new ones at once.
Gossip from every host to every other also grows with the square of their number.

Up to `MAX_MESH_HOSTS` hosts form a full mesh in which every host is a hub. In a larger
region, a few hosts of each availability zone are hubs, and every host is linked to
all hubs. A hub detects by its own links which hosts are live, and reports this to
the others. Each host computes the hubs itself from the live hosts that it knows.
Two hosts that know different hosts may choose different hubs for a time, which
costs capacity but nothing else.
"""

import functools
import math
from collections.abc import Collection, Iterable

from godwitladder.decisions.rendezvous import weight
from godwitladder.ids import HostId, Zone
from godwitladder.membership.members import Member

MAX_MESH_HOSTS = 24
MIN_HUBS = 6
"""Minimum number of hubs of a region that is not a full mesh. Several may fail at
once, and a partitioned availability zone still has its own."""
MIN_CORES_RATIO = 0.75
"""Minimum ratio of an allocator's cores to those of the strongest hub. The queue of
a whole region would be limited by the processor of a weak allocator."""
HUB_KEY = "hub"
MAX_CACHED_WEIGHTS = 8_192
"""Weights that are kept, as they are needed in each heartbeat period: those of 600
hosts and of 12 hubs for each of them."""


def choose_hubs(rows: Collection[Member], max_mesh_hosts: int) -> frozenset[HostId]:
    """Return the hubs in ``rows``: the strongest hosts of each availability zone."""
    if len(rows) <= max_mesh_hosts:
        return frozenset(row.host for row in rows)
    zones: dict[Zone, list[Member]] = {}
    for row in rows:
        zones.setdefault(row.availability_zone, []).append(row)
    hubs_per_zone = math.ceil(MIN_HUBS / len(zones))
    return frozenset(
        row.host
        for group in zones.values()
        for row in _rank_by_strength(group)[:hubs_per_zone]
    )


def choose_allocator_candidates(rows: Iterable[Member]) -> frozenset[HostId]:
    """Return the hosts with enough cores to be allocators of a region."""
    rows = list(rows)
    max_cores = max((row.cores for row in rows), default=0.0)
    return frozenset(
        row.host for row in rows if row.cores >= MIN_CORES_RATIO * max_cores
    )


def choose_publisher(host: HostId, hubs: Iterable[HostId]) -> HostId | None:
    """Return the hub that reports all live hosts to ``host``."""
    return max(hubs, key=lambda hub: _publisher_weight(hub, host), default=None)


def _rank_by_strength(rows: Iterable[Member]) -> list[Member]:
    return sorted(
        rows, key=lambda row: (row.cores, _hub_weight(row.host)), reverse=True
    )


@functools.lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _hub_weight(host: HostId) -> tuple[bytes, HostId]:
    return weight(host, HUB_KEY)


@functools.lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _publisher_weight(hub: HostId, host: HostId) -> tuple[bytes, HostId]:
    return weight(hub, host)
