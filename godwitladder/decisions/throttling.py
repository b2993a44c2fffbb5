"""Eases off a target that has become slow, and brings it back by steps.

Load pattern: an engine slows down without warning. Without easing off, it
keeps as many requests as before, all of them late; a router that looks only
at completions finds out when the longest of them ends. So stretches of work
that are short against a request are compared with what they should take:
the first token, and each second of a running stream.

The limit falls at once and rises slowly, since a target that is brought back
whole on its first good second takes a herd of requests and slows down again.

Thresholds
----------
GAIN : the slow-down is an average over about four stretches, so one late
    token changes little and a slow target is found in two or three seconds.
SLOW : below one and a half times the expected, differences are those of
    batch sizes.
OVERHEAD_S : the way to an engine, its queue and its first step cost the same
    whatever the length. A tenth of the 1.1 s in which a first token is due
    covers them, and is small beside a stretch that matters to a caller.
CUT_EVERY_S : one cut needs a second before its effect is seen.
STEP_EVERY_S, STEPS : from its lowest back to whole in about eight seconds.
"""

from dataclasses import dataclass

from godwitladder.ids import TargetName

GAIN = 0.25
SLOW = 1.5
OVERHEAD_S = 0.1
CUT_EVERY_S = 1.0
STEP_EVERY_S = 1.0
STEPS = 8


@dataclass
class Easing:
    """How far one target is eased off.

    Attributes
    ----------
    slowdown : float
        Decayed mean of seconds taken over seconds expected.
    share : float
        Share of its slots that it may use, above 0 and at most 1.
    changed : float
        When ``share`` last changed.
    """

    slowdown: float = 1.0
    share: float = 1.0
    changed: float = float("-inf")


class TargetThrottles:
    """The limits of all targets."""

    def __init__(self) -> None:
        self.rows: dict[TargetName, Easing] = {}

    def observe(
        self, target: TargetName, expected_s: float, taken_s: float, now: float
    ) -> None:
        """Take in one stretch of work: a first token, a second of a stream.

        A stream that sends nothing is a stretch too: hand in the silence so
        far as ``taken_s``, or a frozen target is never found.
        """
        if expected_s <= 0:
            return
        row = self.rows.setdefault(target, Easing())
        # Prompts of a few tokens take as long as the way to the engine. Their
        # ratio would be some tens on a sound target, and all its slots but one
        # be taken from it; and much below one, hiding a stream that is slow.
        ratio = max(1.0, min(taken_s / (expected_s + OVERHEAD_S), 100.0))
        row.slowdown += GAIN * (ratio - row.slowdown)
        if row.slowdown > SLOW and now - row.changed >= CUT_EVERY_S:
            row.share = min(row.share, 1.0 / row.slowdown)
            row.changed = now

    def limit(self, target: TargetName, slots: int, now: float) -> int:
        """Return the requests that ``target`` may run at once, at least 1.

        The one request that is always left is the probe that shows when the
        target is well again.
        """
        row = self.rows.get(target)
        if row is None:
            return slots
        if row.slowdown <= SLOW and row.share < 1.0:
            self._step_up(row, now)
        return max(1, int(slots * row.share + 0.5))

    def forget(self, target: TargetName) -> None:
        """Drop a target that is gone."""
        self.rows.pop(target, None)

    def _step_up(self, row: Easing, now: float) -> None:
        steps = int((now - row.changed) / STEP_EVERY_S)
        if steps > 0:
            row.share = min(1.0, row.share + min(steps, 1) / STEPS)
            row.changed = now
