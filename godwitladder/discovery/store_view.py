"""Immutable view of what the store holds."""

from dataclasses import dataclass

from godwitladder.discovery.rollouts import OrderInForce
from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import TargetName
from godwitladder.routing.model import RoutingDocument


@dataclass(frozen=True)
class StoreView:
    """Immutable view of the state read from the store.

    Attributes
    ----------
    version : int
        Number of changes so far on this host.
    held_back : frozenset of TargetName
        Targets that receive no calls without a grant, because their version is
        unproved.
    rollouts : tuple of OrderInForce
        Orders whose versions are to be tried, with times of `Clock.boottime`.
    """

    version: int
    document: RoutingDocument
    targets: tuple[TargetEntry, ...]
    held_back: frozenset[TargetName] = frozenset()
    rollouts: tuple[OrderInForce, ...] = ()
