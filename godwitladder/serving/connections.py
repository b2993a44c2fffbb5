"""Counts what becomes of new connections of a listener, and logs unusual seconds.

A listener may hold, close or refuse new connections while its host says that it is
ready. The counts of one second tell which of these its callers met, and whether the
loop that serves all connections was late.
"""

import enum
from collections import Counter
from collections.abc import Callable

from godwitladder.logs import component_logger

log = component_logger("listener")

PERIOD_S = 1.0
LATE_TURN_S = 1.5
"""Time between two turns of the loop that counts as late. A loop that has nothing to do
waits for a second."""


class ConnectionEvent(enum.Enum):
    """What becomes of a new connection.

    Of those that are accepted, each is then read, closed unread, refused, or left by
    its client before it has sent a whole request. One that has been idle is closed to
    make room for a new one. The body of a request is dropped if there is no memory for
    it; the caller is told so. A request for which no thread can be started is refused.
    Where no descriptor is left, new connections wait in the system's queue.
    """

    ACCEPTED = "accepted"
    HELD = "held"
    READ = "read"
    CLOSED_UNREAD = "closed_unread"
    REFUSED = "refused"
    LEFT = "left"
    IDLE_CLOSED = "idle_closed"
    BODY_DROPPED = "body_dropped"
    NO_THREAD = "no_thread"
    NO_DESCRIPTOR = "no_descriptor"


UNUSUAL_EVENTS = frozenset(
    {
        ConnectionEvent.HELD,
        ConnectionEvent.CLOSED_UNREAD,
        ConnectionEvent.REFUSED,
        ConnectionEvent.IDLE_CLOSED,
        ConnectionEvent.BODY_DROPPED,
        ConnectionEvent.NO_THREAD,
        ConnectionEvent.NO_DESCRIPTOR,
    }
)


class ConnectionLog:
    """Counts of the current second; only the listener's loop may use it.

    Times are in seconds of a monotonic clock.

    Parameters
    ----------
    now : float
        Time at which counting begins.

    Attributes
    ----------
    count : callable
        Called with each event, for metrics.
    events : collections.Counter
        Events since ``began``.
    longest_turn_s : float
        Longest time between two turns of the loop since ``began``.
    """

    def __init__(self, now: float) -> None:
        self.count: Callable[[ConnectionEvent], None] = lambda event: None
        self.events: Counter[ConnectionEvent] = Counter()
        self.began = now
        self.turned_at = now
        self.longest_turn_s = 0.0

    def record(self, event: ConnectionEvent) -> None:
        """Count one event."""
        self.events[event] += 1
        self.count(event)

    def end_turn(self, now: float, describe: Callable[[], dict[str, int]]) -> None:
        """Record a turn of the loop, and log the second if it has ended.

        Parameters
        ----------
        describe : callable
            Returns the state of the listener for the line.
        """
        self.longest_turn_s = max(self.longest_turn_s, now - self.turned_at)
        self.turned_at = now
        if now - self.began < PERIOD_S:
            return
        if self.is_unusual():
            extra = {event.value: self.events[event] for event in ConnectionEvent}
            extra["longest_turn_s"] = round(self.longest_turn_s, 3)
            extra["period_s"] = round(now - self.began, 3)
            log.info(
                "New connections were not all read at once", extra=extra | describe()
            )
        self.events.clear()
        self.began = now
        self.longest_turn_s = 0.0

    def is_unusual(self) -> bool:
        """Return whether a new connection had to wait, or the loop was late."""
        return (
            any(self.events[event] for event in UNUSUAL_EVENTS)
            or self.longest_turn_s >= LATE_TURN_S
        )
