"""Pools: the targets of one zone that share services."""

from collections.abc import Mapping
from dataclasses import dataclass

from godwitladder.configuration.model import Target
from godwitladder.decisions.types import PoolName
from godwitladder.ids import ServiceName, TargetName, Zone


@dataclass(frozen=True)
class Pool:
    """Targets of one zone, linked by the services they share."""

    name: PoolName
    targets: frozenset[TargetName]
    services: frozenset[ServiceName]


def make_pools(targets: Mapping[TargetName, Target]) -> dict[PoolName, Pool]:
    """Return the pools of a configuration.

    Two targets of a zone that serve a common service are in one pool, so that
    each service has one pool in each zone, and whoever hands out a pool sees
    all demand that competes for any of its slots.
    """
    groups: dict[Zone, list[tuple[set[TargetName], set[ServiceName]]]] = {}
    for name, target in sorted(targets.items()):
        if target.services:
            _join(groups.setdefault(target.zone, []), name, set(target.services))
    return {
        pool.name: pool
        for zone, zone_groups in groups.items()
        for pool in (_make_pool(zone, *group) for group in zone_groups)
    }


def _join(
    groups: list[tuple[set[TargetName], set[ServiceName]]],
    name: TargetName,
    services: set[ServiceName],
) -> None:
    """Merge every group that shares a service with the target ``name``."""
    names = {name}
    linked = [group for group in groups if group[1] & services]
    for group in linked:
        names |= group[0]
        services |= group[1]
        groups.remove(group)
    groups.append((names, services))


def _make_pool(zone: Zone, names: set[TargetName], services: set[ServiceName]) -> Pool:
    return Pool(PoolName(zone, min(services)), frozenset(names), frozenset(services))


def pool_key(pool: PoolName) -> str:
    """Return the key by which hosts choose the allocator of ``pool``."""
    return f"{pool.zone}/{pool.service}"
