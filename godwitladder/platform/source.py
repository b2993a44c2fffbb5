"""The store's topics as a `godwitladder.discovery.source.Source`."""

import json

from returns.result import Failure

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import Batch, Record
from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import Zone
from godwitladder.logs import component_logger
from godwitladder.membership.contacts import ListedHost
from godwitladder.platform import names
from godwitladder.platform.documents import InvalidDocument, decode_document
from godwitladder.platform.entries import decode_entry
from godwitladder.platform.rollouts import (
    decode_rollout,
    encode_status,
    is_rollout,
)
from godwitladder.platform.store import StoreClient
from godwitladder.routing.model import RoutingDocument

log = component_logger("platform")


class PlatformSource:
    """Reads the platform's topics and says what their records mean."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store

    def read_documents(self, offset: int) -> Batch:
        """Return the records of configurations."""
        return self._read(names.CONFIG_TOPIC, offset)

    def read_entries(self, offset: int) -> Batch:
        """Return the records of engines."""
        return self._read(names.ENTRIES_TOPIC, offset)

    def _read(self, topic: str, offset: int) -> Batch:
        if offset < 0:
            newest = self.store.newest(topic)
            return Batch(-1, newest.next, newest.records)
        records = self.store.read(topic, offset)
        return Batch(offset, offset + len(records), records)

    def read_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts that have put themselves on the list."""
        rows = []
        for record in self.store.newest(names.HOSTS_TOPIC).records:
            try:
                zone, leaving = json.loads(record.value)
                rows.append(ListedHost(record.key, Zone(zone), bool(leaving)))
            except (ValueError, TypeError) as error:
                log.info("A host's record is unreadable", extra={"error": str(error)})
        return tuple(rows)

    def register_host(self, host: ListedHost) -> None:
        """Put ``host`` on the list, by its address."""
        value = json.dumps([host.zone, host.leaving]).encode()
        self.store.append(names.HOSTS_TOPIC, host.address, value)

    def decode_document(self, record: Record) -> RoutingDocument | None:
        """Return the configuration in ``record``."""
        if record.key != names.CONFIG_KEY or not record.value:
            return None
        try:
            return decode_document(record.value)
        except InvalidDocument as error:
            log.warning("A configuration is unreadable", extra={"error": str(error)})
            return None

    def decode_rollout(self, record: Record) -> RolloutOrder | None:
        """Return the order of a roll-out in ``record``."""
        if not is_rollout(record) or not record.value:
            return None
        result = decode_rollout(record)
        if isinstance(result, Failure):
            extra = {"key": record.key[:64], "error": result.failure()}
            log.warning("An order of a roll-out is unreadable", extra=extra)
            return None
        return result.unwrap()

    def write_rollout_state(
        self, record: Record, order: RolloutOrder, state: RolloutState
    ) -> None:
        """Write how the roll-out that ``record`` orders stands."""
        value = encode_status(order, state, record.value)
        key = names.ROLLOUT_PREFIX + order.service
        self.store.append(names.STATUS_TOPIC, key, value)

    def decode_entry(self, record: Record) -> TargetEntry | None:
        """Return the engine in ``record``."""
        result = decode_entry(record.key, record.value)
        if isinstance(result, Failure):
            extra = {"target": record.key[:64], "error": result.failure()}
            log.info("An entry names no target", extra=extra)
            return None
        return result.unwrap()
