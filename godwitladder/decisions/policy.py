"""Policies for tiers, late calls and slow targets.

The product's own interface promises strict tiers to the operators who configure
them; of routed calls, each kind is owed a share. The same decisions serve both, and
a policy holds the differences.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Policy:
    """How a pool treats tiers and targets.

    Attributes
    ----------
    min_share : float
        Minimum service of a rank as a part of that of the first rank; 0 for strict
        order.
    uses_measured_throughput : bool
        Whether late calls are predicted from the measured throughput rather than
        from the number of slots.
    throttles_slow_targets : bool
        Whether the concurrency limit of a slow target is lowered.
    enforces_latency : bool
        Whether a call is placed only where its first output is in time and its
        prefill stalls no other stream too long, while any target allows that.
    is_strict : bool
        Whether no request of a lower tier is kept once a tier had to be shed.
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
"""Policy of routed calls, where hosts request each dispatch.

Each rank is served at least 0.6 times as often as the first. In strict order the last
rank gets hardly anything in a burst, and nothing in some seconds. The first rank pays
for this share; with a smaller one the second rank starves where many targets are lost.

Nothing is shed because a call of a higher tier expired: an expired letter would take
with it every shorter call that waits, though these are still in time and would have
delayed it very little.

Slow targets are not throttled: a stalled target gets no further prompts anyway because
of the limit on pending prefill, and a target that is merely full looks slow. Throttled
in a burst, targets would use only a part of their slots when all are needed.
"""
