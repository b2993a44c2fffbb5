"""Learns from the store which fleet it belongs to, and whose news may be applied.

The identity stands in a topic of its own. The first host that finds none appends a
random one on condition that the topic still ends there, so that all hosts read the
same. A store that is new, at the same address or at another one, has another identity
or none: what hosts remember of the former one must not be in force beside it. A store
that comes back from a copy has the same one, or none if the copy is older than that.

A host asks at its start, when it has connected to the store anew, when the store's
history does not go on, when it meets a peer of another fleet, and now and then. While
the store is away it goes on with the identity that it knows. A host that knows none
belongs to the fleet of the peer that it takes its first state from, and reads all anew
if the store turns out to name another one.
"""

import secrets

from godwitladder.clock import Clock
from godwitladder.discovery.source import (
    NO_ERA,
    Source,
    StoreMoved,
    StoreUnavailable,
)
from godwitladder.fleets import UNKNOWN_FLEET, are_apart, make_fleet_id
from godwitladder.ids import Era, FleetId
from godwitladder.logs import component_logger

log = component_logger("feed")

IDENTITY_BYTES = 16
RETRY_S = 3.0
"""Time from a failed check to the next one. A read that succeeds asks by itself."""
CHECK_INTERVAL_S = 10.0
"""Interval between checks of a host that reads the store. A balancer may lead kept
connections to another store without a sign."""
MIN_DOUBT_INTERVAL_S = 0.5
MAX_DOUBT_INTERVAL_S = 32.0
"""Bounds of the interval between checks for a peer of another fleet, which doubles: a
stranger may dial without end, and each check is a call."""
FIRST_CHECK_S = 0.3
"""Time for the first check, before which a host takes no news. Peers answer again
within that time, and a store that works answers within a few milliseconds."""
FOUNDING_DELAY_S = 0.2
"""Delay of the first check of hosts that are no seeds where a whole system starts, so
that the seeds found the fleet and the others save the calls."""
MAX_ATTEMPTS = 4
"""Reads in a row while other hosts write the identity."""


class StoreFleet:
    """The fleet of the store that this host reads. Times are those of `Clock.boottime`.

    Parameters
    ----------
    source : Source
        The store.
    clock : Clock
        The host's clock.
    delay_s : float
        Delay of the first check, in seconds.

    Attributes
    ----------
    fleet : FleetId
        Identity of the store when it was last read, or of the peer whose news were
        applied before.
    value : bytes
        What the store keeps to determine it.
    is_confirmed : bool
        Whether the store named it.
    is_mixed : bool
        Whether news of peers that name no fleet were applied since the last check.
    is_failing : bool
        Whether the latest check failed.
    """

    def __init__(self, source: Source, clock: Clock, delay_s: float = 0.0) -> None:
        self.source = source
        self.clock = clock
        self.fleet = UNKNOWN_FLEET
        self.value = b""
        self.is_confirmed = False
        self.is_mixed = False
        self.is_failing = False
        self.started = clock.boottime()
        self.next_check_at = self.started + delay_s
        self.first_check_until = self.next_check_at + FIRST_CHECK_S
        self.doubt_interval_s = MIN_DOUBT_INTERVAL_S
        self.doubted_at = float("-inf")
        self.checked_at = float("-inf")
        self.connections = -1

    def is_due(self, now: float, reads: bool) -> bool:
        """Return whether to check the identity now.

        Parameters
        ----------
        reads : bool
            Whether this host is about to read the store.
        """
        if now < self.next_check_at:
            return False
        is_unsure = self.is_mixed or not self.is_confirmed
        is_doubted = self.doubted_at > self.checked_at
        is_old = now - self.checked_at >= CHECK_INTERVAL_S
        return is_unsure or is_doubted or (reads and is_old)

    def is_other_connection(self) -> bool:
        """Return whether the store was connected to anew since the last check."""
        return self.source.connections != self.connections

    def doubt(self) -> None:
        """Have the identity checked soon: a peer names another one."""
        now = self.clock.boottime()
        if now - self.doubted_at < self.doubt_interval_s:
            return
        self.doubt_interval_s = min(2 * self.doubt_interval_s, MAX_DOUBT_INTERVAL_S)
        self.doubted_at = now

    def accepts(self, sender: FleetId | None, store_answers: bool) -> bool:
        """Return whether news of a peer may be applied.

        Parameters
        ----------
        sender : FleetId or None
            The peer's fleet; None if it can't tell.
        store_answers : bool
            Whether this host can read the store itself.
        """
        if not self.fleet:
            return not self.is_waiting()
        if sender:
            return sender == self.fleet
        return not store_answers

    def is_waiting(self) -> bool:
        """Return whether the first check is still to come, and may be waited for."""
        if self.fleet or self.is_failing:
            return False
        return self.clock.boottime() < self.first_check_until

    def record_news(self, sender: FleetId | None) -> None:
        """Record that news of a peer are applied."""
        if sender and not self.fleet:
            log.info("A peer names the fleet", extra={"fleet": sender})
            self.fleet = sender
        self.is_mixed |= not sender

    def check(self, era: Era) -> bool:
        """Read the store's identity; return whether it is another than was known.

        Parameters
        ----------
        era : Era
            Era of the store in which this host knows its records.

        Raises
        ------
        StoreUnavailable
            The identity could not be read.
        """
        now = self.clock.boottime()
        connections = self.source.connections
        try:
            value = self.read(era)
        except StoreUnavailable:
            self.is_failing = True
            self.next_check_at = self.clock.boottime() + RETRY_S
            raise
        self.is_failing = False
        self.checked_at, self.next_check_at = now, now
        self.connections = max(connections, self.source.connections)
        fleet = make_fleet_id(value)
        before, self.fleet, self.value = self.fleet, fleet, value
        was_mixed, self.is_mixed = self.is_mixed, False
        self.is_confirmed = True
        if fleet == before and not was_mixed:
            return False
        self.doubt_interval_s = MIN_DOUBT_INTERVAL_S
        extra = {"fleet": fleet, "before": before, "was_mixed": was_mixed}
        log.info("The store names the fleet", extra=extra)
        return was_mixed or are_apart(before, fleet)

    def read(self, era: Era) -> bytes:
        """Return what the store keeps of the fleet; it is written if there is none."""
        for _ in range(MAX_ATTEMPTS):
            found = self.source.read_fleet()
            if found.value:
                return found.value
            is_copy = found.era > era != NO_ERA
            known = self.value if is_copy else b""
            value = known or secrets.token_hex(IDENTITY_BYTES).encode()
            try:
                self.source.write_fleet(value, found.end)
            except StoreMoved:
                continue
            extra = {"fleet": make_fleet_id(value), "is_copy": is_copy}
            log.info("Wrote the identity of the fleet", extra=extra)
            return value
        raise StoreUnavailable("the identity of the fleet changes again and again")
