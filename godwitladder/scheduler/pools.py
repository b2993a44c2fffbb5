"""Pools: targets of one zone that share services."""

from collections.abc import Mapping
from dataclasses import dataclass

from godwitladder.configuration.model import Target
from godwitladder.decisions.types import PoolName
from godwitladder.ids import ServiceName, TargetName, Zone


@dataclass(frozen=True)
class Pool:
    """Targets of one zone that are connected by common services."""

    name: PoolName
    targets: frozenset[TargetName]
    services: frozenset[ServiceName]


def make_pools(targets: Mapping[TargetName, Target]) -> dict[PoolName, Pool]:
    """Return the pools of a configuration.

    Two targets of a zone with a common service are in the same pool. Each service
    therefore has one pool in each zone, and the allocator of a pool knows all demand
    that competes for its slots.
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
    """Add the target ``name`` and merge all groups that share a service with it."""
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
    """Return the rendezvous hashing key for the allocator of ``pool``."""
    return f"{pool.zone}/{pool.service}"


def target_generations(targets: Mapping[TargetName, Target]) -> dict[TargetName, str]:
    """Return the generation of each target."""
    return {name: target.generation for name, target in targets.items()}
