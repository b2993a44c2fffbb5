"""Records in the store which requests crash targets, and reads it at a start.

Hosts tell each other of crashes, and what they know is lost if all of them are lost
together. The host that learns of a crash therefore writes the traits that are held back
for it to the store; nothing waits for that. One host compares the store's records with
what it knows from time to time: the store may have come back from a copy, or a writer
have ended before it wrote. A host that starts reads them before it is ready.
"""

import threading
from collections.abc import Callable, Collection, Iterable

from godwitladder.clock import Clock
from godwitladder.decisions.rendezvous import choose_host
from godwitladder.discovery.source import Record, Source, StoreUnavailable
from godwitladder.discovery.write_timing import write_interval_s
from godwitladder.ids import HostId, TraitId
from godwitladder.logs import component_logger
from godwitladder.membership.codec import InvalidMessage
from godwitladder.process.loops import Turns
from godwitladder.quarantine.records import KnownCrashes, KnownHistory
from godwitladder.quarantine.registry import QuarantineRegistry
from godwitladder.quarantine.stored_crashes import (
    decode_history,
    encode_history,
    is_recorded,
)

log = component_logger("quarantine")

RETRY_S = 1.0
CHECK_INTERVAL_S = 10.0
"""Interval at which the records are compared with what is known, while there is any."""
IDLE_S = 60.0
MAX_BATCH = 200
"""Records in one write; a record is far below a thousand bytes as a rule."""
MAX_PENDING = 10_000
RANKING_KEY = "records of crashes"
MAX_LOGGED_CHARS = 200
MAX_LOGGED_ROWS = 8


class CrashRecorder:
    """Writes and reads the records of traits that are held back.

    Parameters
    ----------
    host : HostId
        This host.
    source : Source
        The store.
    clock : Clock
        The host's clock.
    registry : QuarantineRegistry
        What this host knows of such requests.
    live_hosts : callable
        Returns the live hosts, which share the writes.

    Attributes
    ----------
    pending : dict
        Traits whose records have to be written or removed, oldest first.
    stored : dict
        Traits that may have a record, as far as this host knows, oldest first.
    is_read : bool
        Whether the records have been read since the start.
    checked_at : float
        Monotonic time of the last comparison, in seconds.
    """

    def __init__(
        self,
        host: HostId,
        source: Source,
        clock: Clock,
        registry: QuarantineRegistry,
        live_hosts: Callable[[], Collection[HostId]],
    ) -> None:
        self.host = host
        self.source = source
        self.clock = clock
        self.registry = registry
        self.live_hosts = live_hosts
        self.pending: dict[TraitId, None] = {}
        self.stored: dict[TraitId, None] = {}
        self.is_read = False
        self.is_failing = False
        self.checked_at = clock.monotonic()
        self.lock = threading.Lock()
        self.woken = threading.Event()
        self.stopping = threading.Event()
        self.turns = Turns("crashes", clock)

    def start(self) -> None:
        """Start to read, and then to write, in a thread."""
        threading.Thread(target=self.run, name="crashes", daemon=True).start()

    def stop(self) -> None:
        """Stop after the turn in progress."""
        self.stopping.set()
        self.woken.set()

    def mark(self, traits: Iterable[TraitId], is_own: bool) -> None:
        """Note that an event has changed what is known of ``traits``.

        Parameters
        ----------
        is_own : bool
            Whether this host has found the change, and so has to record it.
        """
        traits = tuple(traits)
        held = self.registry.held_traits(traits)
        with self.lock:
            for trait in held:
                remember(self.stored, trait)
            if not is_own:
                return
            for trait in traits:
                if trait in self.stored:
                    remember(self.pending, trait)
            is_needed = bool(self.pending)
        if is_needed:
            self.woken.set()

    def run(self) -> None:
        """Run turns until stopped."""
        while not self.stopping.is_set():
            self.turns.run(self.run_turn)
            self.clock.wait(self.stopping, self.interval_s())
            self.clock.wait(self.woken, self.pause_s())

    def run_turn(self) -> None:
        """Read if this host has not, write what is pending, compare if that is due."""
        self.woken.clear()
        if not self.is_read:
            self.read_at_start()
        self.write()
        if self.is_check_due():
            self.check()

    def interval_s(self) -> float:
        """Return the seconds between two writes of this host; the first is at once."""
        return write_interval_s(len(self.live_hosts()))

    def pause_s(self) -> float:
        """Return the seconds until the next turn at the latest."""
        if self.pending or not self.is_read:
            return RETRY_S
        return CHECK_INTERVAL_S if self.stored else IDLE_S

    def read_at_start(self) -> None:
        """Add what the records tell to what this host knows."""
        rows = self.read()
        if rows is None:
            return
        known = [row for row in rows.values() if row is not None]
        self.registry.merge(KnownCrashes(tuple(known)), "store")
        with self.lock:
            for trait in rows:
                remember(self.stored, trait)
        self.is_read = True
        extra = {
            "records": len(rows),
            "held": [row.trait[:8] for row in known[:MAX_LOGGED_ROWS]],
        }
        log.info("Recorded crashes were read", extra=extra)

    def read(self) -> dict[TraitId, KnownHistory | None] | None:
        """Return what the records tell now; None if the store can't be read.

        The history is None for a record that has expired or is invalid.
        """
        try:
            records = self.source.read_crashes()
        except StoreUnavailable as error:
            log.info("Recorded crashes can't be read", extra={"error": str(error)})
            return None
        return {TraitId(record.key): self.decode(record) for record in records}

    def decode(self, record: Record) -> KnownHistory | None:
        """Return the history in a record; None if it has expired or is invalid."""
        wall_s, policy = self.clock.wall(), self.registry.table.policy
        try:
            return decode_history(record.key, record.value, wall_s, policy)
        except InvalidMessage as error:
            extra = {"error": str(error)[:MAX_LOGGED_CHARS]}
            log.info("A record of crashes is invalid", extra=extra)
            return None

    def write(self) -> None:
        """Write what is pending, a limited part of it at once."""
        with self.lock:
            batch = tuple(self.pending)[:MAX_BATCH]
            for trait in batch:
                del self.pending[trait]
        if not batch:
            return
        held = self.registry.held_histories(batch)
        wall_s = self.clock.wall()
        records = {
            trait: encode_history(held[trait], wall_s) if trait in held else b""
            for trait in batch
        }
        try:
            self.source.write_crashes(records)
        except StoreUnavailable as error:
            self.put_back(batch, str(error))
            return
        self.is_failing = False
        with self.lock:
            for trait in batch:
                if trait not in held:
                    self.stored.pop(trait, None)
            if self.pending:
                self.woken.set()
        extra = {"written": len(held), "removed": len(batch) - len(held)}
        log.info("Crashes were recorded", extra=extra)

    def put_back(self, batch: Collection[TraitId], error: str) -> None:
        """Keep what could not be written for the next turn."""
        with self.lock:
            for trait in batch:
                remember(self.pending, trait)
        if not self.is_failing:
            extra = {"error": error, "pending": len(self.pending)}
            log.warning("Crashes can't be recorded in the store", extra=extra)
        self.is_failing = True

    def is_check_due(self) -> bool:
        """Return whether this host has to compare the records with what it knows."""
        if not self.is_read or not self.stored:
            return False
        if self.clock.monotonic() - self.checked_at < CHECK_INTERVAL_S:
            return False
        return choose_host(self.live_hosts(), RANKING_KEY) in (self.host, None)

    def check(self) -> None:
        """Let the records that are missing, outdated or of no use be written again.

        Another process may have removed the entry of a trait that this host holds, or
        an append may have been carried out late.
        """
        self.checked_at = self.clock.monotonic()
        rows = self.read()
        if rows is None:
            return
        held = self.registry.held_histories()
        missing = [
            trait
            for trait, history in held.items()
            if rows.get(trait) is None or not is_recorded(history, rows[trait])
        ]
        useless = [
            trait
            for trait, row in rows.items()
            if trait not in held
            and (row is None or self.registry.is_cleared_since(trait, row.age_s))
        ]
        with self.lock:
            self.stored = dict.fromkeys((*rows, *held))
            for trait in (*missing, *useless):
                remember(self.pending, trait)
        if missing or useless:
            self.woken.set()
            extra = {"missing": len(missing), "useless": len(useless)}
            log.info("Records of crashes are written again", extra=extra)


def remember(table: dict[TraitId, None], trait: TraitId) -> None:
    """Add a trait to a table, without the oldest if that has too many."""
    table[trait] = None
    if len(table) > MAX_PENDING:
        del table[next(iter(table))]
