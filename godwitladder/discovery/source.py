"""Interface to the platform's store.

An adapter implements `Source`; this module does not depend on the store's topic
names or record formats.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitladder.discovery.refused_documents import RefusedDocuments
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.targets import TargetEntry
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Era, ServiceName, TraitId
from godwitladder.membership.contacts import ListedHost
from godwitladder.routing.model import RoutingDocument

NO_ERA = Era(-1)
"""Era where none is told: by some stores, and by hosts of an earlier version."""


class StoreUnavailable(GodwitladderError):
    """The store failed or sent an invalid answer; an append may have been applied."""


class StoreTrimmed(GodwitladderError):
    """The store does not have the requested records, or no longer.

    Parameters
    ----------
    first_offset : int
        Offset of the first record that it has; 0 if it does not tell.
    """

    def __init__(self, text: str, first_offset: int = 0) -> None:
        super().__init__(text)
        self.first_offset = first_offset


class StoreMoved(GodwitladderError):
    """A conditional append was not applied, as the topic ends elsewhere."""


@dataclass(frozen=True)
class Record:
    """One record of a keyed stream; an empty value deletes the key."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True)
class Batch:
    """Records of one stream, and the offset to continue from.

    Attributes
    ----------
    start : int
        Offset at which the read started; -1 for a snapshot of all keys.
    next : int
        Offset at which the next read starts.
    era : Era
        Era of the store in which the offsets count. A store that comes back from a
        copy begins a new one, and gives offsets out again.
    end : int
        Offset at which the stream ended as it was read; -1 if that is ``next``. One
        read returns a limited part of the records.
    """

    start: int
    next: int
    records: tuple[Record, ...]
    era: Era = NO_ERA
    end: int = -1

    @property
    def is_snapshot(self) -> bool:
        """Whether this is a snapshot: keys that it lacks have been deleted."""
        return self.start < 0

    @property
    def is_whole(self) -> bool:
        """Whether there were no further records as this was read."""
        return self.next >= self.end


@dataclass(frozen=True)
class RolloutStatus:
    """Status of a rollout in the store.

    Attributes
    ----------
    order_offset : int
        Offset of the order that it answers; -1 if the status does not tell.
    """

    release: str
    state: RolloutState
    order_offset: int = -1

    def answers(self, order: RolloutOrder) -> bool:
        """Return whether it is a status of ``order``.

        The same version may be ordered again after it was rolled back.
        """
        return (self.release, self.order_offset) == (order.release, order.offset)


@dataclass(frozen=True)
class RolloutStatuses:
    """Newest status of each service, and the end of their topic before the read."""

    end: int
    rows: Mapping[ServiceName, RolloutStatus]


@dataclass(frozen=True)
class FleetRecord:
    """What the store keeps to identify its fleet.

    Attributes
    ----------
    value : bytes
        What determines the identity; empty if there is none.
    end : int
        Offset at which its topic ended.
    era : Era
        Era of the store.
    """

    value: bytes
    end: int
    era: Era = NO_ERA


class Source(Protocol):
    """Reads, writes and decodes the store's documents, targets and host list.

    Attributes
    ----------
    connections : int
        Number of connections to the store that were opened so far.
    refused : RefusedDocuments
        Documents that were not valid.
    """

    connections: int
    refused: RefusedDocuments

    def use(self, address: str) -> None:
        """Use the store at ``address`` from now on."""

    def read_fleet(self) -> FleetRecord:
        """Return what identifies the store's fleet."""

    def write_fleet(self, value: bytes, at: int) -> None:
        """Append what identifies the fleet if its topic ends at ``at``.

        Raises
        ------
        StoreMoved
            The topic ends elsewhere; nothing was appended.
        """

    def read_documents(self, offset: int) -> Batch:
        """Return the document records from ``offset`` on; -1 reads a snapshot.

        Where the newest document is refused, a snapshot has the newest valid one that
        the store still has.
        """

    def read_entries(self, offset: int) -> Batch:
        """Return the target records from ``offset`` on; -1 reads a snapshot."""

    def read_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts that have registered themselves."""

    def register_host(self, host: ListedHost) -> None:
        """Register this host, or mark it as leaving."""

    def decode_document(self, record: Record) -> RoutingDocument | None:
        """Return the document in ``record``; None if there is none."""

    def decode_rollout(self, record: Record) -> RolloutOrder | None:
        """Return the rollout order in ``record``; None if there is none."""

    def write_rollout_state(
        self, record: Record, order: RolloutOrder, state: RolloutState
    ) -> None:
        """Write the state of the rollout that ``record`` orders."""

    def read_rollout_statuses(self) -> RolloutStatuses:
        """Return the newest status of each service."""

    def append_rollout_status(
        self, order: RolloutOrder, state: RolloutState, at: int
    ) -> None:
        """Append a status of ``order`` if the topic of statuses ends at ``at``.

        Raises
        ------
        StoreMoved
            The topic ends elsewhere; nothing was appended.
        """

    def decode_entry(self, record: Record) -> TargetEntry | None:
        """Return the target in ``record``; None if there is no usable one."""

    def append_streams(self, value: bytes) -> None:
        """Append a record of streams that have begun."""

    def read_streams(self, offset: int) -> Batch:
        """Return the records of streams from ``offset`` on, as many as one read has.

        Raises
        ------
        StoreTrimmed
            The store does not have the records at ``offset``.
        """

    def write_crashes(self, records: Mapping[TraitId, bytes]) -> None:
        """Write the records of traits, all or none; an empty value removes one."""

    def read_crashes(self) -> tuple[Record, ...]:
        """Return the records of traits, each with the trait as its key."""
