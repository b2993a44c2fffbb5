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
RESERVE_QUANTILE : what is reserved; one in ten outlives it, and finds the part of
    memory that is never reserved.
LIKELY_QUANTILE : the median; of what is refused as too late, at most half
    would have been in time.
LEAST_STEP : an estimate follows a tenfold change of lengths within about 25
    answers, and wobbles by a sixth around a steady one.
PRIOR_WEIGHT : after as many answers of its own, a workspace's estimate counts
    as much as its service's.
PRIOR_RATIO, PRIOR_LIKELY_RATIO : a service never seen is taken to use an
    eighth of what is declared, and half is reserved for it.
START_SPREAD : one answer says nothing of the spread; nine in ten of a kind
    are usually shorter than twice its median.
GROWTH : a stream that outlives its reservation adds half of what it has, so
    that it is grown a few times, not once per token.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from godwitladder.ids import ServiceName, WorkspaceName

RESERVE_QUANTILE = 0.9
LIKELY_QUANTILE = 0.5
LEAST_STEP = 0.2
PRIOR_WEIGHT = 8.0
PRIOR_RATIO = 0.5
PRIOR_LIKELY_RATIO = 0.125
START_SPREAD = math.log(2.0)
GROWTH = 1.5
KEPT_ESTIMATES = 20_000


@dataclass
class Estimate:
    """Two quantiles in log space, and how many observations moved them."""

    likely: float
    reserve: float
    count: int = 1

    def move(self, level: float) -> None:
        """Move both towards their quantiles by one observation."""
        self.count += 1
        step = max(LEAST_STEP, 2.0 / self.count)
        self.likely += step * moved(level > self.likely, LIKELY_QUANTILE)
        self.reserve += step * moved(level > self.reserve, RESERVE_QUANTILE)
        self.reserve = max(self.reserve, self.likely)


def moved(above: bool, quantile: float) -> float:
    """Return the part of a step by which one observation moves a quantile."""
    return quantile if above else quantile - 1.0


class OutputPredictor:
    """Output tokens per workspace, service and size of the declared limit."""

    def __init__(self) -> None:
        self.own: OrderedDict[tuple, Estimate] = OrderedDict()
        self.services: dict[tuple, Estimate] = {}

    def observe(
        self,
        workspace: WorkspaceName,
        service: ServiceName,
        declared: int,
        output: int,
        cut: bool = False,
    ) -> None:
        """Take in the output tokens of an answer that has ended.

        Parameters
        ----------
        cut : bool
            The answer was cut off, or outlived its reservation and runs on.
            Such answers count only where they exceed what was predicted.
            Left out, only short answers would be seen under overload, so
            that long ones are predicted short, started late, and cut off.
        """
        kind = service, declared.bit_length()
        level = math.log(max(1, output))
        self._move(self.services, kind, level, cut)
        self._move(self.own, (workspace, *kind), level, cut)
        self.own.move_to_end((workspace, *kind))
        if len(self.own) > KEPT_ESTIMATES:
            self.own.popitem(last=False)

    def predict(
        self, workspace: WorkspaceName, service: ServiceName, declared: int
    ) -> int:
        """Return the tokens to reserve, at least 1 and at most ``declared``."""
        blend = self._blend(workspace, service, declared)
        if blend is None:
            return max(1, int(declared * PRIOR_RATIO))
        return max(1, min(declared, math.ceil(math.exp(blend.reserve))))

    def predict_median(
        self, workspace: WorkspaceName, service: ServiceName, declared: int
    ) -> int:
        """Return the tokens that half of the answers don't exceed.

        This decides whether a request can be in time. The tokens to reserve
        would refuse work that nine times in ten is in time.
        """
        blend = self._blend(workspace, service, declared)
        if blend is None:
            return max(1, int(declared * PRIOR_LIKELY_RATIO))
        return max(1, min(declared, math.ceil(math.exp(blend.likely))))

    def _blend(
        self, workspace: WorkspaceName, service: ServiceName, declared: int
    ) -> Estimate | None:
        kind = service, declared.bit_length()
        prior = self.services.get(kind)
        own = self.own.get((workspace, *kind))
        if prior is None or own is None:
            return prior
        weight = own.count / (own.count + PRIOR_WEIGHT)
        return Estimate(
            weight * own.likely + (1.0 - weight) * prior.likely,
            weight * own.reserve + (1.0 - weight) * prior.reserve,
        )

    def _move(self, table: dict, key: tuple, level: float, cut: bool) -> None:
        estimate = table.get(key)
        if estimate is None:
            table[key] = Estimate(level, level + START_SPREAD)
        elif not cut or level > estimate.likely:
            estimate.move(level)


def grow_reservation(predicted: int, produced: int, declared: int) -> int:
    """Return the reservation of a stream that has ``produced`` tokens so far."""
    if produced < predicted:
        return predicted
    return max(produced, min(declared, math.ceil(produced * GROWTH)))
