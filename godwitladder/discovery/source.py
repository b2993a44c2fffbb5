"""What the platform's store gives, whatever its form.

An adapter implements `Source`; nothing here knows names or formats.
"""

from dataclasses import dataclass
from typing import Protocol

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.targets import TargetEntry
from godwitladder.findings import GodwitladderError
from godwitladder.membership.contacts import ListedHost
from godwitladder.routing.model import RoutingDocument


class StoreUnavailable(GodwitladderError):
    """The store did not answer as it should; an append may have been done."""


class StoreTrimmed(GodwitladderError):
    """The records asked for are no longer kept."""


@dataclass(frozen=True)
class Record:
    """One record of a keyed stream; no value means that the key is dropped."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True)
class Batch:
    """Records of one stream, and where to read on.

    Attributes
    ----------
    start : int
        Offset that the read began at; -1 for a snapshot of all keys.
    """

    start: int
    next: int
    records: tuple[Record, ...]

    @property
    def whole(self) -> bool:
        """Return whether keys that are not in it are gone."""
        return self.start < 0


class Source(Protocol):
    """The store's records of documents, targets and hosts, and their meaning."""

    def read_documents(self, offset: int) -> Batch:
        """Return the records of documents from ``offset``; -1 for a snapshot."""

    def read_entries(self, offset: int) -> Batch:
        """Return the records of targets from ``offset``; -1 for a snapshot."""

    def read_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts that have put themselves on the list."""

    def register_host(self, host: ListedHost) -> None:
        """Put this host on the list, or mark it as leaving."""

    def decode_document(self, record: Record) -> RoutingDocument | None:
        """Return the document in ``record``; None if it holds none."""

    def decode_rollout(self, record: Record) -> RolloutOrder | None:
        """Return the order of a roll-out in ``record``; None if it holds none."""

    def write_rollout_state(
        self, record: Record, order: RolloutOrder, state: RolloutState
    ) -> None:
        """Write how the roll-out that ``record`` orders stands."""

    def decode_entry(self, record: Record) -> TargetEntry | None:
        """Return the target in ``record``; None if it names none to use."""
