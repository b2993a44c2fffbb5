"""Learns how long a target takes until a prompt's first output.

Load pattern: unlike targets that batch. While a target takes a prompt in, the
streams beside it stand still: for a fixed time for each prompt, and for one
that grows with its length. On a target five times as slow as the others, one
more prompt makes a pause in every stream that runs there, and all of these
answers are late.

A straight line is fitted through first outputs and prompt lengths, weighted
towards the last ones.

Thresholds
----------
KEEP : each new answer counts a thirtieth of all: a target that turns slow is
    seen within some seconds of a burst.
LEAST : with fewer answers, or all of one length, no line can be told; the
    share of the reading is then taken from the learned speed alone.
"""

from dataclasses import dataclass

KEEP = 0.97
LEAST = 4.0
LEAST_SPREAD = 100.0
"""Tokens of spread between prompt lengths from which a slope can be told."""


@dataclass
class PrefillFit:
    """Decayed sums over answers: lengths in tokens, times in seconds."""

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def observe(self, tokens: int, first_s: float) -> None:
        """Take in a prompt whose first output took ``first_s``."""
        self.count = self.count * KEEP + 1.0
        self.tokens = self.tokens * KEEP + tokens
        self.seconds = self.seconds * KEEP + first_s
        self.squares = self.squares * KEEP + tokens * tokens
        self.products = self.products * KEEP + tokens * first_s

    def coefficients(self) -> tuple[float, float] | None:
        """Return seconds for any prompt and for each token; None if unknown."""
        if self.count < LEAST:
            return None
        mean, mean_s = self.tokens / self.count, self.seconds / self.count
        variance = self.squares / self.count - mean * mean
        if variance < LEAST_SPREAD**2:
            return None
        slope = (self.products / self.count - mean * mean_s) / variance
        slope = min(max(slope, 0.0), mean_s / mean)
        return mean_s - slope * mean, slope
