"""Orders calls by precedence, with a minimum share for each.

Load pattern: for minutes, far more is requested than the targets can do. In strict
order by rank the first kind of call takes everything and the others get nothing, though
some of them are ten times as short. Within a kind the largest calls take most of the
time, and are worth less per second to their callers.

So a call has a precedence: whether it can still be in time, its rank, and its size
among the calls of its rank. Calls are served in that order, except that a precedence
that was recently served less often than its share, relative to the first, goes before
it. No target time is reserved: while there is capacity for all, only the order
counts.

Calls that can't be in time any more come after all that still can, whatever their
rank: a late answer is worth a tenth or a third of one in time, depending on the user,
and so always less than an answer in time of the same cost. Among late calls, retries of
refused callers go first, because a second refusal would make all of their waiting
useless. Calls over their workspace's quota have no claim to be served and come last.

Thresholds
----------
LARGE_SHARE_FACTOR : users require that the largest tenth of a kind's calls, and the
    fifth below it, are each served at least half as often as the kind as a whole; the
    rest of the factor is a margin.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

LARGE_SHARE_FACTOR = 0.65


class Size(enum.IntEnum):
    """Size of a call among those of its rank."""

    USUAL = 0
    LARGE = 1
    LARGEST = 2


class Timeliness(enum.IntEnum):
    """Whether a call can be in time, and otherwise its claim to be served.

    Calls over the quota of their workspace may be in time or not.
    """

    IN_TIME = 0
    RETRIED = 1
    LATE = 2
    OVER_QUOTA = 3


class Precedence(NamedTuple):
    """Position of a waiting call in the order; the lowest is served first."""

    timeliness: Timeliness
    rank: int
    size: Size = Size.USUAL


def required_share(
    precedence: Precedence, first: Precedence, min_share: float
) -> float:
    """Return how often ``precedence`` must be served, relative to ``first``.

    Parameters
    ----------
    min_share : float
        Minimum share of every rank but the first, relative to the first.
    """
    share = 1.0 if precedence.rank == first.rank else min_share
    return share if precedence.size is Size.USUAL else share * LARGE_SHARE_FACTOR


def serving_order(
    precedences: list[Precedence], shares: Mapping[Precedence, float], min_share: float
) -> list[Precedence]:
    """Return ``precedences`` in the order in which they are served.

    Parameters
    ----------
    precedences : list of Precedence
        In ascending order.
    shares : mapping
        Part of the recent calls of each precedence that was served.
    min_share : float
        Minimum share of every rank but the first, relative to the first.
    """
    in_time = [
        precedence
        for precedence in precedences
        if precedence.timeliness is Timeliness.IN_TIME
    ]
    relative_shares = {
        precedence: shares[precedence]
        / required_share(precedence, in_time[0], min_share)
        for precedence in in_time
    }
    order: list[Precedence] = []
    for precedence in in_time:
        index = len(order)
        if relative_shares[precedence] < 1.0:
            while (
                index
                and relative_shares[precedence] < relative_shares[order[index - 1]]
            ):
                index -= 1
        order.insert(index, precedence)
    return order + precedences[len(in_time) :]
