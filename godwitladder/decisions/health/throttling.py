"""Throttles targets that have become slow, and restores them in steps.

An engine can slow down without warning. Without throttling it keeps its number of
concurrent requests, and all of them are late. A router that looks only at completions
notices when the longest of them ends. Work is therefore compared with its expected
duration over intervals that are short against a request: the time to the first token,
and each second of a running stream.

The limit drops at once and rises slowly. A target that got all its slots back on its
first good second would receive a burst of requests and slow down again.
"""

from dataclasses import dataclass

from godwitladder.ids import TargetName

# Weight of the newest interval: the slowdown averages about four. One late token
# changes little, and a slow target is detected in two or three seconds.
GAIN = 0.25
# Below one and a half times the expected duration, differences are due to batch sizes.
SLOWDOWN_THRESHOLD = 1.5
# Network, queue and first step of an engine take the same time whatever the length. A
# tenth of the 1.1 s in which a first token is due covers them, and is small against an
# interval that matters to a caller.
OVERHEAD_S = 0.1
# The effect of a reduction shows only after a second.
REDUCE_INTERVAL_S = 1.0
# From the lowest limit to the full one takes about eight seconds.
RESTORE_INTERVAL_S = 1.0
RESTORE_STEPS = 8


@dataclass
class Throttle:
    """Throttling state of one target.

    Attributes
    ----------
    slowdown : float
        Exponentially weighted mean of actual over expected seconds.
    share : float
        Share of its slots that the target may use, above 0 and at most 1.
    changed : float
        Monotonic seconds of the last change of ``share``.
    """

    slowdown: float = 1.0
    share: float = 1.0
    changed: float = float("-inf")


class TargetThrottles:
    """Limits of concurrent requests on all targets."""

    def __init__(self) -> None:
        self.throttles: dict[TargetName, Throttle] = {}

    def observe(
        self, target: TargetName, expected_s: float, taken_s: float, now: float
    ) -> None:
        """Compare an interval of work on ``target`` with its expected duration.

        An interval is the time to a first token, or a second of a stream.

        Parameters
        ----------
        expected_s : float
            Expected seconds. Without a positive value the interval is ignored.
        taken_s : float
            Seconds taken. For a stream that sends nothing, pass the silence so
            far, as a frozen target would otherwise never be detected.
        now : float
            Monotonic seconds.
        """
        if expected_s <= 0:
            return
        throttle = self.throttles.setdefault(target, Throttle())
        # For prompts of a few tokens the overhead dominates. Without it in the
        # denominator, the ratio of a healthy target would be in the tens, which would
        # take all but one of its slots. A ratio far below one would hide a slow stream.
        ratio = max(1.0, min(taken_s / (expected_s + OVERHEAD_S), 100.0))
        throttle.slowdown += GAIN * (ratio - throttle.slowdown)
        if (
            throttle.slowdown > SLOWDOWN_THRESHOLD
            and now - throttle.changed >= REDUCE_INTERVAL_S
        ):
            throttle.share = min(throttle.share, 1.0 / throttle.slowdown)
            throttle.changed = now

    def limit(self, target: TargetName, slots: int, now: float) -> int:
        """Return the number of requests that ``target`` may run at once.

        At least one request is always allowed. It is the probe that shows when
        the target has recovered.

        Parameters
        ----------
        slots : int
            Slots of the target without throttling.
        now : float
            Monotonic seconds.
        """
        throttle = self.throttles.get(target)
        if throttle is None:
            return slots
        if throttle.slowdown <= SLOWDOWN_THRESHOLD and throttle.share < 1.0:
            self._restore_step(throttle, now)
        return max(1, int(slots * throttle.share + 0.5))

    def forget(self, target: TargetName) -> None:
        """Remove a target that no longer exists."""
        self.throttles.pop(target, None)

    def _restore_step(self, throttle: Throttle, now: float) -> None:
        """Raise the share by one step if the interval has passed."""
        steps = int((now - throttle.changed) / RESTORE_INTERVAL_S)
        if steps > 0:
            throttle.share = min(1.0, throttle.share + min(steps, 1) / RESTORE_STEPS)
            throttle.changed = now
