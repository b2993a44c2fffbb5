"""How a pool treats tiers, late calls and full targets.

Load patterns: the product's own interface promises strict tiers to operators
who set them; routed calls are of kinds that are owed a part each. The same
decisions serve both, and what differs is told here.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Policy:
    """How a pool treats tiers and full targets.

    Attributes
    ----------
    min_share : float
        A rank is served at least this part as often as the first one; 0 for
        strict order.
    uses_measured_throughput : bool
        Whether early refusal goes by what really starts rather than by slots.
    throttles_slow_targets : bool
        Whether a target that works slowly is given fewer requests at once.
    keeps_pace : bool
        Whether a call goes only where its first output is in time and makes
        no pause in others that is too long, while any target could do so.
    is_strict : bool
        Whether nothing of a lower tier is kept once a tier had to be shed.
    """

    min_share: float = 0.0
    uses_measured_throughput: bool = False
    throttles_slow_targets: bool = True
    enforces_latency: bool = False
    is_strict: bool = True


STRICT = Policy()
"""The product's own interface."""

ROUTED = Policy(
    min_share=0.6,
    uses_measured_throughput=True,
    throttles_slow_targets=False,
    enforces_latency=True,
    is_strict=False,
)
"""Where each dispatch is asked for, tiers are not strict: each rank is served at
least six tenths as often as the first. In strict order the last gets hardly anything
in a burst, and nothing in some seconds. The part has its price, which the first rank
pays; with less of it the second rank starves where many targets are lost.

A letter that ran out of time took every shorter call that waited with it, though
these were still in time and would hardly have cost it a place; so nothing is
given up for what a higher tier lost.

Nothing is eased off there: a target that stands still gets no further prompt by
the bound on unread prompts, and one that is only full looks slow. Eased off in a
burst, targets would use a part of their slots when all are needed."""
