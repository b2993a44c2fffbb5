"""Predicts the output length of a request from the lengths of past responses.

Callers declare a far higher output limit than they use. Reserving memory for the
declared limit leaves most of a target's memory empty while requests wait. Reserving
nothing fills it until the engine evicts running requests and has to prefill them
again. The reservation is therefore a high quantile of the output lengths recently
seen for the same workspace and service, and it grows when a stream exceeds it.

Each quantile is estimated by stochastic approximation in log space: every
observation moves the estimate by a step that shrinks with the number of
observations. No history is stored, and the influence of old observations decays.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from godwitladder.ids import ServiceName, WorkspaceName

# One response in ten exceeds its reservation. The share of a target's memory that
# is never reserved absorbs the excess.
RESERVE_QUANTILE = 0.9
# With the median, at most half of the requests that are refused as too late would
# have finished in time.
MEDIAN_QUANTILE = 0.5
# Follows a tenfold change of lengths within about 25 responses, and fluctuates by
# about a sixth around a stable value.
MIN_STEP = 0.2
# Number of a workspace's own responses at which its estimate has the same weight as
# the estimate of the service.
PRIOR_WEIGHT = 8.0
# For a service without observations, half of the declared limit is reserved, and the
# median is assumed to be an eighth of it.
PRIOR_RESERVE_RATIO = 0.5
PRIOR_MEDIAN_RATIO = 0.125
# A single response says nothing about the spread. Nine in ten responses of one kind
# are usually shorter than twice their median.
INITIAL_SPREAD = math.log(2.0)
# A stream that exceeds its reservation gets half of its output so far on top, so that
# the reservation grows a few times and not once per token.
GROWTH_FACTOR = 1.5
MAX_ESTIMATES = 20_000


@dataclass
class Estimate:
    """Estimated quantiles of the output length.

    Attributes
    ----------
    median, reserve : float
        Natural logarithms of output tokens, for `MEDIAN_QUANTILE` and
        `RESERVE_QUANTILE`.
    count : int
        Number of observations.
    """

    median: float
    reserve: float
    count: int = 1

    def update(self, log_output: float) -> None:
        """Move both quantiles by one observation."""
        self.count += 1
        step = max(MIN_STEP, 2.0 / self.count)
        self.median += step * quantile_step(log_output > self.median, MEDIAN_QUANTILE)
        self.reserve += step * quantile_step(
            log_output > self.reserve, RESERVE_QUANTILE
        )
        self.reserve = max(self.reserve, self.median)


def quantile_step(above: bool, quantile: float) -> float:
    """Return the signed fraction of a step that one observation contributes.

    Parameters
    ----------
    above : bool
        Whether the observation is greater than the current estimate.
    quantile : float
        The estimated quantile, between 0 and 1.
    """
    return quantile if above else quantile - 1.0


class OutputPredictor:
    """Predicts output tokens per workspace, service and size of the declared limit.

    Declared limits are grouped by powers of two.
    """

    def __init__(self) -> None:
        self.by_workspace: OrderedDict[tuple, Estimate] = OrderedDict()
        self.by_service: dict[tuple, Estimate] = {}

    def observe(
        self,
        workspace: WorkspaceName,
        service: ServiceName,
        declared: int,
        output: int,
        cut: bool = False,
    ) -> None:
        """Update the estimates with the output length of a response.

        Parameters
        ----------
        declared : int
            Output limit declared by the caller, in tokens.
        output : int
            Output tokens produced.
        cut : bool
            The full length is unknown: the response was cut off, or it exceeded
            its reservation and is still running. The first observation of a key
            counts in any case, later ones only when they exceed the estimated
            median. Ignoring cut responses would leave only the short ones under
            overload, so that long responses would be predicted too short,
            started too late, and cut off again.
        """
        bucket = service, declared.bit_length()
        log_output = math.log(max(1, output))
        self._update(self.by_service, bucket, log_output, cut)
        self._update(self.by_workspace, (workspace, *bucket), log_output, cut)
        self.by_workspace.move_to_end((workspace, *bucket))
        if len(self.by_workspace) > MAX_ESTIMATES:
            self.by_workspace.popitem(last=False)

    def predict(
        self, workspace: WorkspaceName, service: ServiceName, declared: int
    ) -> int:
        """Return the output tokens to reserve, at least 1.

        At most ``declared`` when that is positive.
        """
        estimate = self._estimate(workspace, service, declared)
        if estimate is None:
            return max(1, int(declared * PRIOR_RESERVE_RATIO))
        return max(1, min(declared, math.ceil(math.exp(estimate.reserve))))

    def predict_median(
        self, workspace: WorkspaceName, service: ServiceName, declared: int
    ) -> int:
        """Return the estimated median of the output tokens, at least 1.

        The median is used to decide whether a request can meet its deadline.
        With the tokens to reserve, requests would be refused although nine in
        ten of them finish in time.
        """
        estimate = self._estimate(workspace, service, declared)
        if estimate is None:
            return max(1, int(declared * PRIOR_MEDIAN_RATIO))
        return max(1, min(declared, math.ceil(math.exp(estimate.median))))

    def _estimate(
        self, workspace: WorkspaceName, service: ServiceName, declared: int
    ) -> Estimate | None:
        """Return the workspace's estimate, averaged with that of the service."""
        bucket = service, declared.bit_length()
        prior = self.by_service.get(bucket)
        own = self.by_workspace.get((workspace, *bucket))
        if prior is None or own is None:
            return prior
        weight = own.count / (own.count + PRIOR_WEIGHT)
        return Estimate(
            weight * own.median + (1.0 - weight) * prior.median,
            weight * own.reserve + (1.0 - weight) * prior.reserve,
        )

    def _update(self, table: dict, key: tuple, log_output: float, cut: bool) -> None:
        estimate = table.get(key)
        if estimate is None:
            table[key] = Estimate(log_output, log_output + INITIAL_SPREAD)
        elif not cut or log_output > estimate.median:
            estimate.update(log_output)


def grow_reservation(predicted: int, produced: int, declared: int) -> int:
    """Return the reservation of a stream, enlarged if its output has reached it.

    Parameters
    ----------
    predicted : int
        Output tokens reserved so far.
    produced : int
        Output tokens produced so far.
    declared : int
        Output limit declared by the caller, in tokens.
    """
    if produced < predicted:
        return predicted
    return max(produced, min(declared, math.ceil(produced * GROWTH_FACTOR)))
