"""Relates the clocks of peers to this host's, to tell how old a message is.

Hosts share no clock, and a message may arrive long after it was sent: it waits in the
queue of a sender that stands still, on a link that is cut, or in the socket of a
receiver that stands still. An age that its sender states is the age at its sending.

So each host asks its peers for their clocks. What a peer's clock shows in the answer,
it showed after the question was sent, by this host's clock. Any later time of that
clock follows from that, with no assumption on how long messages take.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from godwitladder.clock import Clock
from godwitladder.membership.codec import encode, peer_message

if TYPE_CHECKING:
    from godwitladder.membership.links import Link

MAX_MEASUREMENT_AGE_S = 60.0
"""Time for which an answer is used. Clocks of two hosts differ by less than a part in a
thousand in speed, so by less than 0.06 s after it."""
REFRESH_INTERVAL_S = 20.0
"""Interval between questions to a peer whose messages arrive at once."""
LATE_S = 0.1
"""Apparent time on the way from which the clock is asked for again: the last answer may
have been slow."""
MIN_INTERVAL_S = 0.5
"""Shortest interval between two questions to a peer."""


@peer_message
@dataclass(frozen=True)
class ClockWanted:
    """Question for the clock of a peer.

    Attributes
    ----------
    asked_s : float
        Clock of the sender as it asks, in seconds.
    """

    asked_s: float


@peer_message
@dataclass(frozen=True)
class ClockTold:
    """Answer to a question for a clock.

    Attributes
    ----------
    asked_s : float
        That of the question.
    clock_s : float
        Clock of the answering host, in seconds.
    """

    asked_s: float
    clock_s: float


class PeerClock:
    """The clock of one peer, as measured over one link.

    All times are in seconds; those of the peer are of its clock.

    Attributes
    ----------
    answers : deque of (float, float)
        Time of each question whose answer may be used, the oldest first, and the least
        difference between both clocks that the answer tells. It falls from one to the
        next: an answer that tells no more than a later one is not kept.
    asked_at : float
        Time of the last question.
    """

    def __init__(self) -> None:
        self.answers: deque[tuple[float, float]] = deque()
        self.asked_at = -math.inf

    def record(self, told: ClockTold, now: float) -> None:
        """Record an answer."""
        if told.asked_s > now:
            return
        offset_s = told.asked_s - told.clock_s
        while self.answers and self.answers[-1][1] <= offset_s:
            self.answers.pop()
        self.answers.append((told.asked_s, offset_s))

    def longest_since(self, peer_time: float, now: float) -> float:
        """Return the longest time that may have passed since ``peer_time``.

        Infinite if the peer's clock is not known.
        """
        while self.answers and now - self.answers[0][0] > MAX_MEASUREMENT_AGE_S:
            self.answers.popleft()
        if not self.answers:
            return math.inf
        _, offset_s = self.answers[0]
        return max(0.0, now - offset_s - peer_time)

    def is_due(self, late_s: float, now: float) -> bool:
        """Return whether to ask again.

        Parameters
        ----------
        late_s : float
            Apparent time on the way of a message that has just arrived.
        """
        if now - self.asked_at < MIN_INTERVAL_S:
            return False
        return late_s > LATE_S or now - self.asked_at >= REFRESH_INTERVAL_S


class PeerClocks:
    """Asks the peers at the other ends of links for their clocks, and answers them.

    Parameters
    ----------
    clock : Clock
        The host's clock; its time that includes suspension is used.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def ask(self, link: "Link") -> None:
        """Ask the peer for its clock."""
        now = self.clock.boottime()
        link.peer_clock.asked_at = now
        link.send(encode(ClockWanted(now)))

    def receive_wanted(self, link: "Link", wanted: ClockWanted) -> None:
        """Answer a peer's question."""
        link.send(encode(ClockTold(wanted.asked_s, self.clock.boottime())))

    def receive_told(self, link: "Link", told: ClockTold) -> None:
        """Record a peer's answer."""
        link.peer_clock.record(told, self.clock.boottime())

    def age_s(self, link: "Link", sent_s: float | None) -> float:
        """Return the longest time since a message was sent, in seconds.

        Parameters
        ----------
        link : Link
            The link on which it has just arrived.
        sent_s : float or None
            Clock of the sender as it was sent; None from hosts that don't tell.
        """
        if sent_s is None:
            return math.inf
        now = self.clock.boottime()
        late_s = link.peer_clock.longest_since(sent_s, now)
        if link.peer_clock.is_due(late_s, now):
            self.ask(link)
        return late_s
