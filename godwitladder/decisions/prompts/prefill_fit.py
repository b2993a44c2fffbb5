"""Estimates how long a target needs from a prompt to its first output.

Targets that batch requests differ in this time. While a target processes a prompt,
the streams beside it pause: for a fixed time per prompt, plus a time that grows with
the prompt's length. On a target five times as slow as the others, one more prompt
pauses every running stream, and all of these responses are late.

The time is fitted as a straight line over the prompt length, by least squares with
exponentially decaying weights.
"""

from dataclasses import dataclass

# A new observation makes up about a thirtieth of the sums, so that a slowdown shows
# within some seconds of a burst.
DECAY = 0.97
# With fewer observations, or prompts of about equal length, no line can be fitted.
# The time is then derived from the learned prefill speed alone.
MIN_COUNT = 4.0
# Least standard deviation of prompt lengths that determines a slope, in tokens.
MIN_LENGTH_STD = 100.0


@dataclass
class PrefillFit:
    """Exponentially decaying sums over prompt lengths and times.

    Attributes
    ----------
    count : float
        Effective number of observations.
    tokens, seconds : float
        Sums of prompt tokens and of seconds to the first output.
    squares : float
        Sum of squared prompt tokens.
    products : float
        Sum of prompt tokens times seconds.
    """

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def observe(self, tokens: int, first_s: float) -> None:
        """Add a prompt of ``tokens`` whose first output took ``first_s`` seconds."""
        self.count = self.count * DECAY + 1.0
        self.tokens = self.tokens * DECAY + tokens
        self.seconds = self.seconds * DECAY + first_s
        self.squares = self.squares * DECAY + tokens * tokens
        self.products = self.products * DECAY + tokens * first_s

    def coefficients(self) -> tuple[float, float] | None:
        """Return the coefficients of the fitted line, or None if undetermined.

        Returns
        -------
        fixed_s : float
            Seconds for any prompt, at least 0.
        token_s : float
            Additional seconds per prompt token, at least 0.
        """
        if self.count < MIN_COUNT:
            return None
        mean, mean_s = self.tokens / self.count, self.seconds / self.count
        variance = self.squares / self.count - mean * mean
        if variance < MIN_LENGTH_STD**2:
            return None
        slope = (self.products / self.count - mean * mean_s) / variance
        slope = min(max(slope, 0.0), mean_s / mean)
        return mean_s - slope * mean, slope
