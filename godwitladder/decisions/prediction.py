"""Predicts how long an answer will be, from what was really produced.

Load pattern: callers declare far more output than they use. Reserving what
they declare leaves most of a target's memory empty while requests wait;
reserving nothing fills it until the engine evicts running work and pays its
prefill again. So the reservation is a high quantile of what this workspace
and service produced lately, and grows while a stream outlives it.

Each estimate is one number, moved in log space by a step that shrinks with
the count of observations (a stochastic approximation of the quantile): no
history is kept, and old observations fade by themselves.

Thresholds
----------
QUANTILE : measured, `docs/MEASUREMENTS.md` (prediction).
LEAST_STEP : an estimate follows a tenfold change of lengths within about 25
    answers, and wobbles by a sixth around a steady one.
PRIOR_WEIGHT : after as many answers of its own, a workspace's estimate counts
    as much as its service's.
PRIOR_RATIO : a service never seen is taken to use half of what is declared.
GROWTH : a stream that outlives its reservation adds half of what it has, so
    that it is grown a few times, not once per token.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from godwitladder.ids import ServiceName, WorkspaceName

QUANTILE = 0.9
LEAST_STEP = 0.2
PRIOR_WEIGHT = 8.0
PRIOR_RATIO = 0.5
GROWTH = 1.5
KEPT_ESTIMATES = 20_000


@dataclass
class Estimate:
    """A quantile in log space, and how many observations moved it."""

    level: float
    count: int = 1

    def move(self, level: float, quantile: float) -> None:
        """Move towards the quantile by one observation."""
        self.count += 1
        step = max(LEAST_STEP, 2.0 / self.count)
        self.level += step * (quantile if level > self.level else quantile - 1.0)


class OutputPredictor:
    """Output tokens per workspace and service.

    Parameters
    ----------
    quantile : float
        Share of answers that should be no longer than predicted.
    """

    def __init__(self, quantile: float = QUANTILE) -> None:
        self.quantile = quantile
        self.own: OrderedDict[tuple[WorkspaceName, ServiceName], Estimate]
        self.own = OrderedDict()
        self.services: dict[ServiceName, Estimate] = {}

    def observe(
        self, workspace: WorkspaceName, service: ServiceName, output: int
    ) -> None:
        """Take in the output tokens of an answer that came to its end.

        An answer that was cut off says nothing of its length: leave it out.
        """
        level = math.log(max(1, output))
        self._move(self.services, service, level)
        self._move(self.own, (workspace, service), level)
        self.own.move_to_end((workspace, service))
        if len(self.own) > KEPT_ESTIMATES:
            self.own.popitem(last=False)

    def predict(
        self, workspace: WorkspaceName, service: ServiceName, declared: int
    ) -> int:
        """Return the tokens to reserve, at least 1 and at most ``declared``."""
        prior = self.services.get(service)
        if prior is None:
            return max(1, int(declared * PRIOR_RATIO))
        level = prior.level
        own = self.own.get((workspace, service))
        if own:
            weight = own.count / (own.count + PRIOR_WEIGHT)
            level = weight * own.level + (1.0 - weight) * prior.level
        return max(1, min(declared, math.ceil(math.exp(level))))

    def _move(self, table: dict, key: object, level: float) -> None:
        estimate = table.get(key)
        if estimate is None:
            table[key] = Estimate(level)
        else:
            estimate.move(level, self.quantile)


def grow(predicted: int, produced: int, declared: int) -> int:
    """Return the reservation of a stream that has ``produced`` tokens so far."""
    if produced < predicted:
        return predicted
    return max(produced, min(declared, math.ceil(produced * GROWTH)))
