"""Estimates the prefill and decode speed of each target from completed requests.

A pool can contain engines of several generations, and their configured speeds are
guesses. Without measured speeds, requests are placed on targets that can't finish
them in time, and the prefill spent on them is wasted.
"""

from dataclasses import dataclass

from godwitladder.decisions.prompts.prefill_fit import PrefillFit
from godwitladder.ids import TargetName

# Weight of the newest request: the average covers about the last ten requests, and
# half of a lasting change is absorbed after seven. Sudden slowdowns are handled by
# `godwitladder.decisions.health.throttling` within seconds.
GAIN = 0.1
# The first ten observations have equal weight, and the configured speed, which is a
# guess, counts as this many of them. With `GAIN` from the start, a new allocator gave
# slow targets a full share of the requests for as long as the learning took.
PRIOR = 2
# A target that stalled is never estimated below a hundredth of its configured speed,
# so that requests are still sent to it.
MIN_SPEED_RATIO = 0.01
# With fewer completed requests, an apparent slowdown may be chance.
MIN_OBSERVATIONS = 20


@dataclass
class Speed:
    """Speeds of one target.

    Attributes
    ----------
    prefill_tps : float
        Prompt tokens per second of the whole target.
    decode_tps : float
        Output tokens per second of a single request.
    count : int
        Number of completed requests that the speeds were estimated from.
    """

    prefill_tps: float
    decode_tps: float
    count: int = 0


class TargetSpeeds:
    """Configured and learned speeds of all targets.

    Attributes
    ----------
    configured : dict
        Configured speeds by target.
    learned : dict
        Estimated speeds by target, starting from the configured ones.
    fits : dict
        Fit of the prefill time by target.
    """

    def __init__(self) -> None:
        self.configured: dict[TargetName, Speed] = {}
        self.learned: dict[TargetName, Speed] = {}
        self.fits: dict[TargetName, PrefillFit] = {}

    def set_configured(
        self, target: TargetName, prefill_tps: float, decode_tps: float
    ) -> None:
        """Set the configured speeds of a target.

        The learned speeds are kept unless the configured ones changed.
        """
        speed = Speed(prefill_tps, decode_tps)
        if self.configured.get(target) != speed:
            self.configured[target] = speed
            self.learned[target] = Speed(prefill_tps, decode_tps)

    def forget(self, target: TargetName) -> None:
        """Remove a target that no longer exists."""
        self.configured.pop(target, None)
        self.learned.pop(target, None)
        self.fits.pop(target, None)

    def observe(
        self,
        target: TargetName,
        prompt: int,
        output: int,
        first_token_s: float,
        total_s: float,
    ) -> None:
        """Update the speeds of a target with a completed request.

        Parameters
        ----------
        prompt, output : int
            Prompt and output tokens.
        first_token_s, total_s : float
            Seconds from dispatch to the first and to the last token. For a plain
            service, which has no tokens, both are the duration of the call.
        """
        speed = self.learned.get(target)
        if speed is None:
            return
        speed.count += 1
        gain = max(GAIN, 1.0 / (speed.count + PRIOR))
        configured = self.configured[target]
        if prompt > 0 and first_token_s > 0:
            self.fits.setdefault(target, PrefillFit()).observe(prompt, first_token_s)
            measured = max(
                prompt / first_token_s, configured.prefill_tps * MIN_SPEED_RATIO
            )
            speed.prefill_tps += gain * (measured - speed.prefill_tps)
        if output > 1 and total_s > first_token_s:
            measured = (output - 1) / (total_s - first_token_s)
            measured = max(measured, configured.decode_tps * MIN_SPEED_RATIO)
            speed.decode_tps += gain * (measured - speed.decode_tps)

    def prefill_cost(self, target: TargetName) -> tuple[float, float]:
        """Return the cost of a prefill on ``target``.

        Returns
        -------
        fixed_s : float
            Seconds for any prompt.
        token_s : float
            Additional seconds per prompt token.

        Raises
        ------
        KeyError
            No line is fitted, and `set_configured` was never called for ``target``.
        """
        fit = self.fits.get(target)
        coefficients = fit.coefficients() if fit else None
        return coefficients or (0.0, 1.0 / max(self.learned[target].prefill_tps, 1e-9))

    def is_calibrated(self, target: TargetName) -> bool:
        """Return whether ``target`` has enough observations to be judged slow.

        Configured speeds are guesses. Compared with one that is too high, a
        healthy target would be throttled from the start.
        """
        speed = self.learned.get(target)
        return speed is not None and speed.count >= MIN_OBSERVATIONS

    def expected_s(self, target: TargetName, prompt: int, output: int) -> float:
        """Return the seconds that a request is expected to hold a slot of ``target``.

        Parameters
        ----------
        prompt, output : int
            Prompt and output tokens.

        Raises
        ------
        KeyError
            `set_configured` was never called for ``target``.
        """
        speed = self.learned[target]
        return prompt / speed.prefill_tps + output / speed.decode_tps
