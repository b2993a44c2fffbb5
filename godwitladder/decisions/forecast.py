"""Foretells what targets have still to read of the prompts that they were sent.

Load pattern: a flood on targets that read one prompt after the other, while what
hosts tell is some tenths of a second old. An allocator that waits to hear that a
prompt was read leaves a place empty for as long as the news take, at each target
after each prompt, and callers are refused beside empty places.

So a prompt counts as read when its target has had the time for it since it was
granted, whether its host has told so yet or not. With a few prompts of which no
host has told so, what hosts tell is what counts again: a target that stands still
costs these calls and no more.

Thresholds
----------
TRANSIT_S : a grant's way to its host, and the prompt's way to its target.
MOST_UNHEARD : as many prompts of a usual length are read while one report of it
    is on its way.
"""

from collections import deque
from dataclasses import dataclass

from godwitladder.ids import TargetName

TRANSIT_S = 0.03
MOST_UNHEARD = 3


@dataclass(frozen=True)
class Reading:
    """One prompt, and when its target is taken to read it.

    Attributes
    ----------
    begin, end : float
        Monotonic seconds.
    """

    tokens: int
    begin: float
    end: float

    def left(self, now: float) -> int:
        """Return the tokens that are not read by ``now``."""
        if now <= self.begin:
            return self.tokens
        return round(self.tokens * (self.end - now) / (self.end - self.begin))


@dataclass(frozen=True)
class PendingPrefill:
    """Prompt tokens that a target has still to read, and of how many requests."""

    tokens: int
    requests: int


class PrefillForecast:
    """The prompts that were granted lately, by target, in the order of reading."""

    def __init__(self) -> None:
        self.rows: dict[TargetName, deque[Reading]] = {}

    def record_grant(
        self, target: TargetName, tokens: int, seconds: float, now: float
    ) -> None:
        """A prompt is granted that ``target`` reads within ``seconds``."""
        if not tokens or seconds <= 0:
            return
        rows = self.rows.setdefault(target, deque())
        begin = now + TRANSIT_S
        if rows:
            begin = max(begin, rows[-1].end)
        rows.append(Reading(tokens, begin, begin + seconds))

    def pending(
        self, target: TargetName, told: PendingPrefill, now: float
    ) -> PendingPrefill:
        """Return what ``target`` has still to read.

        Parameters
        ----------
        told : Unread
            Of what was granted there and what hosts last told of.
        """
        rows = self.rows.get(target, ())
        while rows and rows[0].end <= now:
            rows.popleft()
        if told.requests >= MOST_UNHEARD:
            return told
        tokens = sum(row.left(now) for row in rows)
        return PendingPrefill(min(told.tokens, tokens), min(told.requests, len(rows)))

    def forget(self, target: TargetName) -> None:
        """Drop a target that is gone or was restarted."""
        self.rows.pop(target, None)
