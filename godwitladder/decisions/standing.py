"""Shares out capacity when nobody needs to ask for it.

Load pattern: an idle pool, and a pool whose allocator can't be reached. When
idle, a round trip to the allocator is the larger part of a short request's
latency; so hosts hold standing grants. When the allocator is gone, hosts must
go on, and together must not overrun the targets: each has a fixed share.

Thresholds
----------
STANDING_SHARE : half of the free slots are handed out in advance. Held grants
    are capacity that a burst at one host can't use until they lapse, so the
    other half stays with the allocator.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from godwitladder.decisions.rendezvous import rank_hosts
from godwitladder.decisions.types import PoolView, TargetView
from godwitladder.ids import HostId, TargetName

STANDING_SHARE = 0.5


@dataclass(frozen=True)
class StandingGrant:
    """Leave for one host to dispatch any one request to ``target``."""

    host: HostId
    target: TargetName


def standing_grants(
    pool: PoolView, hosts: Sequence[HostId], held: Iterable[StandingGrant] = ()
) -> list[StandingGrant]:
    """Return new standing grants; none while anything waits.

    Parameters
    ----------
    held : iterable of StandingGrant
        Those that hosts still hold unused. They are counted in the targets'
        ``used`` already, and a host that has one of a target gets no second.
    """
    if pool.waiting or not hosts:
        return []
    had = set(held)
    granted = []
    for target in pool.targets.values():
        free = int((target.limit - target.used) * STANDING_SHARE)
        for host in rank_hosts(hosts, target.name):
            grant = StandingGrant(host, target.name)
            if free > 0 and grant not in had:
                granted.append(grant)
                free -= 1
    return granted


def fixed_share(target: TargetView, host: HostId, hosts: Sequence[HostId]) -> int:
    """Return the slots of ``target`` that ``host`` may use on its own.

    The shares of all live hosts add up to the target's limit. What is left
    over goes to hosts by a hash of host and target, so that with more hosts
    than slots each host still has some targets of its own.
    """
    whole, rest = divmod(target.limit, max(1, len(hosts)))
    ranked = rank_hosts(hosts, target.name)
    place = ranked.index(host) if host in ranked else len(ranked)
    return whole + (1 if place < rest else 0)
