"""Policies for tiers, late calls and slow targets.

The product's own interface guarantees strict tiers to the operators who configure
them. Among routed calls, each rank is guaranteed a minimum share of the service. Both
use the same decision code, and a policy holds the differences.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Policy:
    """How a pool treats tiers and targets.

    Attributes
    ----------
    min_share : float
        Minimum service of each rank, as a fraction of the service of the first
        rank; 0 for strict order.
    uses_measured_throughput : bool
        Whether the prediction of which calls will be late uses the measured
        throughput rather than the number of slots.
    throttles_slow_targets : bool
        Whether the concurrency limit of a slow target is lowered.
    enforces_latency : bool
        Whether a call is placed only on targets where its first output is in time
        and its prefill does not stall other streams for too long, as long as there
        is any such target.
    is_strict : bool
        Whether all requests of lower tiers are shed once a request of a tier had to
        be shed.
    """

    min_share: float = 0.0
    uses_measured_throughput: bool = False
    throttles_slow_targets: bool = True
    enforces_latency: bool = False
    is_strict: bool = True


STRICT = Policy()
"""Policy of the product's own interface."""

ROUTED = Policy(
    min_share=0.6,
    uses_measured_throughput=True,
    throttles_slow_targets=False,
    enforces_latency=True,
    is_strict=False,
)
"""Policy of routed calls, where hosts request a grant for each dispatch.

Each rank is served at least 0.6 times as often as the first. In strict order the last
rank would get hardly any service in a burst, and in some seconds none. The minimum
share lowers the service of the first rank, but with a smaller one the second rank
starves when many targets are lost.

No call is shed because a call of a higher tier expired: an expired long call
would otherwise cause every shorter call that waits to be shed, although these are still
in time and would have delayed it very little.

Slow targets are not throttled: a stalled target gets no further prompts anyway because
of the limit on pending prefill, and a target that is merely full looks slow. If targets
were throttled in a burst, only a part of their slots would be used when all are needed.
"""
