"""Learns how fast each target is, from the requests that it completed.

Load pattern: engines of several generations stand in one pool, and the
configured speeds are guesses. Without learned speeds, a request is promised
to a target that can't finish it in time, its prefill is paid and thrown away.

Thresholds
----------
GAIN : the estimate is an average over the last ten or so requests; a lasting
    change is half taken in after seven. Sudden slow-downs are
    `godwitladder.decisions.throttling`'s matter, in seconds. The first ten count
    alike, and the configured speed, a guess, counts as PRIOR of them: a new
    allocator gave slow targets a full part for as long as it took to learn.
FLOOR : a target that stood still is not taken to be slower than a hundredth
    of what it was expected to be, so that it is tried again.
KNOWN : after as many requests a target is not called slow by chance.
"""

from dataclasses import dataclass

from godwitladder.decisions.prefill_fit import PrefillFit
from godwitladder.ids import TargetName

GAIN = 0.1
PRIOR = 2
FLOOR = 0.01
MIN_OBSERVATIONS = 20


@dataclass
class Speed:
    """Tokens a second: prefill of the whole target, decode of one request.

    Attributes
    ----------
    count : int
        Completed requests that it was learned from.
    """

    prefill_tps: float
    decode_tps: float
    count: int = 0


class TargetSpeeds:
    """Speeds of each target."""

    def __init__(self) -> None:
        self.configured: dict[TargetName, Speed] = {}
        self.learned: dict[TargetName, Speed] = {}
        self.fits: dict[TargetName, PrefillFit] = {}

    def set_configured(
        self, target: TargetName, prefill_tps: float, decode_tps: float
    ) -> None:
        """Set the configured speeds; what was learned is kept if they stand."""
        speed = Speed(prefill_tps, decode_tps)
        if self.configured.get(target) != speed:
            self.configured[target] = speed
            self.learned[target] = Speed(prefill_tps, decode_tps)

    def forget(self, target: TargetName) -> None:
        """Drop a target that is gone."""
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
        """Take in one completed request.

        Parameters
        ----------
        first_token_s, total_s : float
            Seconds from its dispatch to its first and to its last token; for
            a plain service, which has no tokens, both are the whole call.
        """
        speed = self.learned.get(target)
        if speed is None:
            return
        speed.count += 1
        gain = max(GAIN, 1.0 / (speed.count + PRIOR))
        floor = self.configured[target]
        if prompt > 0 and first_token_s > 0:
            self.fits.setdefault(target, PrefillFit()).observe(prompt, first_token_s)
            seen = max(prompt / first_token_s, floor.prefill_tps * FLOOR)
            speed.prefill_tps += gain * (seen - speed.prefill_tps)
        if output > 1 and total_s > first_token_s:
            seen = (output - 1) / (total_s - first_token_s)
            seen = max(seen, floor.decode_tps * FLOOR)
            speed.decode_tps += gain * (seen - speed.decode_tps)

    def prefill_cost(self, target: TargetName) -> tuple[float, float]:
        """Return a prompt's seconds to its first output: fixed, and a token."""
        fit = self.fits.get(target)
        line = fit.coefficients() if fit else None
        return line or (0.0, 1.0 / max(self.learned[target].prefill_tps, 1e-9))

    def is_calibrated(self, target: TargetName) -> bool:
        """Return whether enough was seen of ``target`` to call it slow.

        Configured speeds are guesses: measured against one that is too high,
        a target that does its best would be eased off from the start.
        """
        speed = self.learned.get(target)
        return speed is not None and speed.count >= MIN_OBSERVATIONS

    def expected_s(self, target: TargetName, prompt: int, output: int) -> float:
        """Return the seconds that a request will hold a slot of ``target``.

        Raises
        ------
        KeyError
            ``expect`` was never called for ``target``.
        """
        speed = self.learned[target]
        return prompt / speed.prefill_tps + output / speed.decode_tps
