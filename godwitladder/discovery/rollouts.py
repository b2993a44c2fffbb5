"""Roll-outs of a new version of a service's targets, as operators order them.

Pure. A version that is bad in a part of its answers, later, or on one route only is
not told from a good one by a few calls, and what it gets of the calls of its service
is bounded. Nothing here judges a version yet: a target of one that is rolled out
takes no calls while the service has others, and the order is answered at once as
taken back, so that its operator doesn't wait for what won't come.
"""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import ServiceName, TargetName


class RolloutState(enum.Enum):
    """How far a roll-out is."""

    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """An order to move a service to targets of one version.

    Attributes
    ----------
    release : str
        The version of the targets' software.
    duration_s : float
        Seconds in which it is to be done.
    offset : int
        Where it stands in the store; a later order replaces it.
    """

    service: ServiceName
    release: str
    duration_s: float
    offset: int


def held_back(
    orders: Mapping[ServiceName, RolloutOrder], entries: Iterable[TargetEntry]
) -> frozenset[TargetName]:
    """Return the targets that take no calls, since their version is not proved.

    Where a service has no other targets that stay, there is nothing to go back to.
    """
    unproved: dict[ServiceName, list[TargetName]] = {}
    proved: set[ServiceName] = set()
    for entry in entries:
        order = orders.get(entry.service)
        if order is not None and entry.release == order.release:
            unproved.setdefault(entry.service, []).append(entry.name)
        elif not entry.leaving:
            proved.add(entry.service)
    return frozenset(
        name
        for service, names in unproved.items()
        if service in proved
        for name in names
    )
