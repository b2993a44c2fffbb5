"""Rollouts of a new version of a service's targets, as ordered by operators.

The functions do no I/O. A few calls cannot distinguish a good version from one that
fails in some of its answers, only later, or on one route only, and the share of the
service's calls that a new version may get is bounded. Targets of a version being rolled
out receive no calls without a grant while the service has other targets. Where the
settings do not bound the exposure, versions are not tried: the order is answered at
once as rolled back, so that the operator does not wait for an evaluation that never
happens.
"""

import enum
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import ServiceName, TargetName


class RolloutState(enum.Enum):
    """State of a rollout.

    Attributes
    ----------
    RUNNING
        The version is on trial.
    COMPLETED
        The service uses the new version; targets of the old one stop at once.
    ROLLED_BACK
        The service stays with the old version.
    """

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """Order to move a service to targets of one version.

    Attributes
    ----------
    release : str
        Version of the targets' software.
    duration_s : float
        Time allowed for the rollout, in seconds.
    offset : int
        Offset of the order in the store; a later order replaces it.
    raw : bytes
        The order as stored.
    """

    service: ServiceName
    release: str
    duration_s: float
    offset: int
    raw: bytes = field(default=b"", compare=False, repr=False)


NOTHING_SUPERSEDED: Mapping[ServiceName, Collection[str]] = {}


@dataclass(frozen=True)
class OrderInForce:
    """An order, and when it was given.

    Attributes
    ----------
    ordered_at : float
        Earliest time in seconds at which it may have been given; minus infinity if
        this host does not know.
    """

    order: RolloutOrder
    ordered_at: float = -math.inf


def held_back(
    orders: Mapping[ServiceName, RolloutOrder],
    entries: Iterable[TargetEntry],
    superseded: Mapping[ServiceName, Collection[str]] = NOTHING_SUPERSEDED,
) -> frozenset[TargetName]:
    """Return the targets that get no calls without a grant, as they are unproved.

    Targets of a service are not held back if it has no others that stay: no older
    version is left to serve its calls.

    Parameters
    ----------
    superseded : mapping
        Versions by service whose order another one has replaced before their rollout
        was completed.
    """
    unproved: list[TargetEntry] = []
    replaced: list[TargetEntry] = []
    proved: set[ServiceName] = set()
    for entry in entries:
        order = orders.get(entry.service)
        if entry.release in superseded.get(entry.service, ()):
            replaced.append(entry)
        elif order is not None and entry.release == order.release:
            unproved.append(entry)
        elif not entry.leaving:
            proved.add(entry.service)
    # An order for the old version calls the rollout of the new one off.
    ordered = {entry.service for entry in unproved if not entry.leaving}
    held = [entry for entry in unproved if entry.service in proved]
    held += [entry for entry in replaced if entry.service in proved | ordered]
    return frozenset(entry.name for entry in held)
