"""Implements `godwitladder.discovery.source.Source` with the platform's store."""

from collections.abc import Mapping
from dataclasses import replace

from returns.result import Failure

from godwitladder.discovery.refused_documents import (
    RefusedDocument,
    RefusedDocuments,
)
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import (
    Batch,
    FleetRecord,
    Record,
    RolloutStatuses,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import TraitId
from godwitladder.logs import component_logger
from godwitladder.membership.contacts import ListedHost
from godwitladder.platform import names
from godwitladder.platform.documents import InvalidDocument, decode_document
from godwitladder.platform.entries import decode_entry
from godwitladder.platform.host_records import decode_host, encode_host
from godwitladder.platform.rollouts import (
    decode_rollout,
    decode_status,
    encode_order_status,
    encode_status,
    is_rollout,
)
from godwitladder.platform.store import StoreClient
from godwitladder.routing.model import RoutingDocument

log = component_logger("platform")

MAX_HISTORY_READS = 16
MAX_INVALID_ORDERS = 64
"""Invalid orders that are remembered to log each once."""


class PlatformSource:
    """Reads, decodes and appends the records of the platform's topics.

    Attributes
    ----------
    refused : RefusedDocuments
        Configurations that were not valid.
    invalid_orders : set of (str, int)
        Keys and offsets of the invalid orders that were logged.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.refused = RefusedDocuments()
        self.invalid_orders: set[tuple[str, int]] = set()

    @property
    def connections(self) -> int:
        """Number of connections to the store that were opened so far."""
        return self.store.connections

    def use(self, address: str) -> None:
        """Use the store at ``address`` from now on."""
        self.store.use(address)

    def read_fleet(self) -> FleetRecord:
        """Return what identifies the fleet; any value of the key does."""
        newest = self.store.newest(names.FLEET_TOPIC)
        values = [row.value for row in newest.records if row.key == names.FLEET_KEY]
        return FleetRecord(values[-1] if values else b"", newest.next, newest.era)

    def write_fleet(self, value: bytes, at: int) -> None:
        """Append what identifies the fleet if its topic ends at ``at``."""
        self.store.append(names.FLEET_TOPIC, names.FLEET_KEY, value, at)

    def read_documents(self, offset: int) -> Batch:
        """Return the configuration records from ``offset`` on.

        If ``offset`` is negative, return the newest record of each key, and the newest
        valid configuration in place of an invalid one.
        """
        batch = self._read(names.CONFIG_TOPIC, offset)
        if not batch.is_snapshot or not any(map(self._is_refused, batch.records)):
            return batch
        valid = self._read_valid_document(batch)
        others = (row for row in batch.records if not self._is_refused(row))
        return replace(batch, records=(*others, *valid))

    def _is_refused(self, record: Record) -> bool:
        is_document = record.key == names.CONFIG_KEY and bool(record.value)
        return is_document and self.decode_document(record) is None

    def _read_valid_document(self, snapshot: Batch) -> tuple[Record, ...]:
        """Return the newest valid configuration in the history, or nothing."""
        found: Record | None = None
        offset = 0
        for _ in range(MAX_HISTORY_READS):
            try:
                read = self.store.read(names.CONFIG_TOPIC, offset)
            except StoreTrimmed as error:
                offset = error.first_offset
                continue
            if read.era != snapshot.era:
                raise StoreUnavailable("the era of the store changed during the read")
            for row in read.records:
                if self.decode_document(row) is not None:
                    found = row
            if read.next == offset or read.next >= snapshot.next:
                break
            offset = read.next
        return () if found is None else (found,)

    def read_entries(self, offset: int) -> Batch:
        """Return the records of engines from ``offset`` on.

        If ``offset`` is negative, return the newest record of each key.
        """
        return self._read(names.ENTRIES_TOPIC, offset)

    def _read(self, topic: str, offset: int) -> Batch:
        if offset < 0:
            newest = self.store.newest(topic)
            return Batch(-1, newest.next, newest.records, newest.era)
        read = self.store.read(topic, offset)
        return Batch(offset, read.next, read.records, read.era, read.end)

    def read_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts that have registered themselves in the store."""
        rows = []
        for record in self.store.newest(names.HOSTS_TOPIC).records:
            result = decode_host(record)
            if isinstance(result, Failure):
                extra = {"key": record.key[:64], "error": result.failure()}
                log.info("A host record is invalid", extra=extra)
            else:
                rows.append(result.unwrap())
        return tuple(rows)

    def register_host(self, host: ListedHost) -> None:
        """Register ``host`` in the store under its address."""
        self.store.append(names.HOSTS_TOPIC, host.address, encode_host(host))

    def decode_document(self, record: Record) -> RoutingDocument | None:
        """Return the configuration in ``record``; None if it is missing or invalid."""
        if record.key != names.CONFIG_KEY or not record.value:
            return None
        try:
            document = decode_document(record.value)
        except InvalidDocument as error:
            refused = RefusedDocument(record.offset, error.version, str(error))
            self.refused.record(refused, record.value)
            return None
        self.refused.record_valid(record.offset)
        return document

    def decode_rollout(self, record: Record) -> RolloutOrder | None:
        """Return the rollout order in ``record``; None if it is missing or invalid."""
        if not is_rollout(record) or not record.value:
            return None
        result = decode_rollout(record)
        if isinstance(result, Failure):
            self.log_invalid_order(record, result.failure())
            return None
        return result.unwrap()

    def log_invalid_order(self, record: Record, error: str) -> None:
        """Log an invalid order once; each snapshot contains it again."""
        if (record.key, record.offset) in self.invalid_orders:
            return
        if len(self.invalid_orders) >= MAX_INVALID_ORDERS:
            self.invalid_orders.clear()
        self.invalid_orders.add((record.key, record.offset))
        extra = {"key": record.key[:64], "offset": record.offset, "error": error}
        log.warning("A rollout order is invalid", extra=extra)

    def write_rollout_state(
        self, record: Record, order: RolloutOrder, state: RolloutState
    ) -> None:
        """Append the status of the rollout that ``record`` orders."""
        value = encode_status(order, state, record.value)
        key = names.ROLLOUT_PREFIX + order.service
        self.store.append(names.STATUS_TOPIC, key, value)

    def read_rollout_statuses(self) -> RolloutStatuses:
        """Return the newest status of each service."""
        newest = self.store.newest(names.STATUS_TOPIC)
        rows = map(decode_status, filter(is_rollout, newest.records))
        return RolloutStatuses(newest.next, dict(row for row in rows if row))

    def append_rollout_status(
        self, order: RolloutOrder, state: RolloutState, at: int
    ) -> None:
        """Append a status of ``order`` if the topic of statuses ends at ``at``."""
        value = encode_order_status(order, state)
        key = names.ROLLOUT_PREFIX + order.service
        self.store.append(names.STATUS_TOPIC, key, value, at)

    def append_streams(self, value: bytes) -> None:
        """Append a record of streams that have begun."""
        self.store.append(names.STREAMS_TOPIC, "", value)

    def read_streams(self, offset: int) -> Batch:
        """Return the records of streams from ``offset`` on."""
        read = self.store.read(names.STREAMS_TOPIC, offset)
        return Batch(offset, read.next, read.records, read.era, read.end)

    def write_crashes(self, records: Mapping[TraitId, bytes]) -> None:
        """Write the records of traits, all or none; an empty value removes one."""
        self.store.append_all(names.CRASHES_TOPIC, records)

    def read_crashes(self) -> tuple[Record, ...]:
        """Return the records of traits that targets crashed under."""
        return self.store.newest(names.CRASHES_TOPIC).records

    def decode_entry(self, record: Record) -> TargetEntry | None:
        """Return the target in ``record``; None if the entry is invalid."""
        result = decode_entry(record.key, record.value)
        if isinstance(result, Failure):
            extra = {"target": record.key[:64], "error": result.failure()}
            log.info("An engine entry is invalid", extra=extra)
            return None
        return result.unwrap()
