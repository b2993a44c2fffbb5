"""Writes the status of rollouts to the store, each outcome once.

A status is appended on condition that its topic still ends where it was read. Of two
hosts that write at once, one fails and reads again; a write by a host that stood still,
or one that the store carries out late, fails too. The first outcome is therefore final.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from godwitladder.clock import Clock
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import (
    RolloutStatus,
    RolloutStatuses,
    Source,
    StoreMoved,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger
from godwitladder.process.loops import Turns

log = component_logger("rollouts")

OUTCOMES = frozenset({RolloutState.COMPLETED, RolloutState.ROLLED_BACK})
RETRY_S = 0.25
"""Seconds between two attempts while the store does not answer."""
MAX_CONFLICTS = 5
"""Attempts in a row that fail because others write, before the writer pauses."""
IDLE_S = 60.0


@dataclass(frozen=True)
class WantedStatus:
    """A status that an allocator wants to be in the store.

    Attributes
    ----------
    term : int
        Term of the allocator.
    deadline : float
        Time of `Clock.monotonic` after which a rollout can't be completed.
    """

    order: RolloutOrder
    state: RolloutState
    term: int
    deadline: float


@dataclass(frozen=True)
class StatusKnown:
    """What the store holds of an order.

    Attributes
    ----------
    is_first : bool
        Whether this host has appended the first status of the order, and the store
        has acknowledged that.
    """

    order: RolloutOrder
    state: RolloutState
    term: int
    is_first: bool = False


class StatusWriter:
    """Writes wanted statuses in a thread of its own.

    Parameters
    ----------
    source : Source
        The store.
    clock : Clock
        The host's clock.
    report : callable
        Called with a `StatusKnown` once the store holds a status or an outcome.

    Attributes
    ----------
    wanted : dict
        Statuses to write, by service; the last one of a service counts.
    known : RolloutStatuses or None
        The statuses after the last append; if others have written since, the next
        append fails, and they are read.
    is_failing : bool
        Whether the last attempt failed, which is logged once.
    """

    def __init__(
        self, source: Source, clock: Clock, report: Callable[[StatusKnown], None]
    ) -> None:
        self.source = source
        self.clock = clock
        self.report = report
        self.wanted: dict[ServiceName, WantedStatus] = {}
        self.known: RolloutStatuses | None = None
        self.is_failing = False
        self.lock = threading.Lock()
        self.changed = threading.Event()
        self.stopping = False
        self.turns = Turns("rollouts", clock, self.forget)

    def start(self) -> None:
        """Start writing in a thread."""
        threading.Thread(target=self.run, name="rollouts", daemon=True).start()

    def stop(self) -> None:
        """Stop after the attempt in progress."""
        self.stopping = True
        self.changed.set()

    def request(self, wanted: WantedStatus) -> None:
        """Write a status in place of an earlier one of its service; never blocks."""
        with self.lock:
            if self.wanted.get(wanted.order.service) != wanted:
                self.wanted[wanted.order.service] = wanted
                self.changed.set()

    def run(self) -> None:
        """Write until stopped."""
        while not self.stopping:
            self.changed.clear()
            is_done = self.turns.run(self.write_all, otherwise=False)
            self.clock.wait(self.changed, IDLE_S if is_done else RETRY_S)

    def write_all(self) -> bool:
        """Try to write what is wanted; return whether nothing is left."""
        with self.lock:
            rows = list(self.wanted.values())
        for wanted in rows:
            known = self.turns.run(self.write, wanted)
            if known is not None:
                self.finish(wanted, known)
        with self.lock:
            return not self.wanted

    def forget(self) -> None:
        """Forget what was read, so that the next attempt reads it again."""
        self.known = None

    def finish(self, wanted: WantedStatus, known: StatusKnown) -> None:
        """Report what the store holds, and forget what was wanted."""
        with self.lock:
            if self.wanted.get(wanted.order.service) == wanted:
                del self.wanted[wanted.order.service]
        self.report(known)

    def write(self, wanted: WantedStatus) -> StatusKnown | None:
        """Write one status; return what the store holds, or None to try again."""
        try:
            for _ in range(MAX_CONFLICTS):
                known = self.try_once(wanted)
                if known is not None:
                    self.is_failing = False
                    return known
        except (StoreUnavailable, StoreTrimmed) as error:
            self.log_failure(wanted, str(error))
            return None
        self.log_failure(wanted, "others write at the same time")
        return None

    def try_once(self, wanted: WantedStatus) -> StatusKnown | None:
        """Append to the newest status, or find the outcome; None to read it again.

        Raises
        ------
        StoreUnavailable
            The status may have been appended, or may be later.
        """
        order = wanted.order
        statuses = self.known or self.source.read_rollout_statuses()
        self.known = None
        row = statuses.rows.get(order.service)
        if row is not None and is_answered(row, wanted):
            return StatusKnown(order, row.state, wanted.term)
        wanted = self.in_time(wanted)
        try:
            self.source.append_rollout_status(order, wanted.state, statuses.end)
        except StoreMoved:
            return None
        extra = {
            "service": order.service,
            "release": order.release,
            "offset": order.offset,
            "state": wanted.state.value,
            "term": wanted.term,
        }
        log.info("Wrote the status of a rollout", extra=extra)
        is_first = row is None or not row.answers(order)
        status = RolloutStatus(order.release, wanted.state, order.offset)
        rows = {**statuses.rows, order.service: status}
        self.known = RolloutStatuses(statuses.end + 1, rows)
        return StatusKnown(order, wanted.state, wanted.term, is_first)

    def in_time(self, wanted: WantedStatus) -> WantedStatus:
        """Return what to write now: a version completed too late is rolled back."""
        is_late = self.clock.monotonic() >= wanted.deadline
        if wanted.state is RolloutState.COMPLETED and is_late:
            return replace(wanted, state=RolloutState.ROLLED_BACK)
        return wanted

    def log_failure(self, wanted: WantedStatus, error: str) -> None:
        """Log that a status could not be written, once until one is written."""
        if self.is_failing:
            return
        self.is_failing = True
        extra = {
            "service": wanted.order.service,
            "release": wanted.order.release,
            "state": wanted.state.value,
            "error": error,
        }
        log.warning("Could not write the status of a rollout", extra=extra)


def is_answered(row: RolloutStatus, wanted: WantedStatus) -> bool:
    """Return whether the store holds what is wanted, or an outcome, of the order."""
    if not row.answers(wanted.order):
        return False
    return row.state in OUTCOMES or row.state is wanted.state
