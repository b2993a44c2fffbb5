"""Hands out capacity in advance, so that hosts needn't ask for each request.

Load pattern: an idle pool, and a pool whose allocator is unreachable. In an idle
pool the round trip to the allocator is the larger part of the latency of a short
request, so hosts hold standing grants. Without an allocator, hosts must go on
without overrunning the targets together, so each has a fixed share.

Thresholds
----------
STANDING_SHARE : share of the free slots that is granted in advance. A burst at
    one host can't use the grants of the others until these lapse, so the other
    half stays with the allocator.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from godwitladder.decisions.rendezvous import rank_hosts
from godwitladder.decisions.types import PoolView, TargetView
from godwitladder.ids import HostId, TargetName

STANDING_SHARE = 0.5


@dataclass(frozen=True)
class StandingGrant:
    """Permission for one host to dispatch any one request to ``target``."""

    host: HostId
    target: TargetName


def standing_grants(
    pool: PoolView, hosts: Sequence[HostId], held: Iterable[StandingGrant] = ()
) -> list[StandingGrant]:
    """Return new standing grants; none while any request waits.

    Parameters
    ----------
    pool : PoolView
        The pool whose free slots are granted.
    hosts : sequence of HostId
        Hosts that may get grants.
    held : iterable of StandingGrant
        Unused grants that hosts still hold. `TargetView.used` already includes
        them, and a host that holds one for a target gets no second one for it.
    """
    if pool.waiting or not hosts:
        return []
    already_held = set(held)
    granted = []
    for target in pool.targets.values():
        free = int((target.limit - target.used) * STANDING_SHARE)
        for host in rank_hosts(hosts, target.name):
            grant = StandingGrant(host, target.name)
            if free > 0 and grant not in already_held:
                granted.append(grant)
                free -= 1
    return granted


def fixed_share(target: TargetView, host: HostId, hosts: Sequence[HostId]) -> int:
    """Return the slots of ``target`` that ``host`` may use on its own.

    The shares of all live hosts add up to the target's limit. The remainder is
    given to hosts by a hash of host and target, so that with more hosts than
    slots each host still has slots on some targets.
    """
    base, remainder = divmod(target.limit, max(1, len(hosts)))
    ranked = rank_hosts(hosts, target.name)
    index = ranked.index(host) if host in ranked else len(ranked)
    return base + (1 if index < remainder else 0)
