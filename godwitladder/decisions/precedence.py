"""Keeps the order of kinds of call, and owes each a part of the targets.

Load pattern: far more is asked than the targets do, for minutes. In strict
order by rank the first kind takes all of it and the others get nothing, though
some of them are ten times as short. Within a kind the largest calls take most
of the time, for less worth to their callers a second.

So a call has a precedence: whether it can still be in time, its rank, its size
among those of its rank. Calls are served in that order, except that those of a
precedence which was lately served less often than it is owed, as a part of the
first one, go before it. No time of targets is set aside: with room for all, the
order alone counts.

What can't be in time any more comes after all that still can, whatever its
rank: at one user its answer is worth a tenth, at another a third, and either
way less than an answer in time that costs its callers no more. Among the late
those go first whose callers were sent away and have come back: sent away
twice, they have waited for nothing. What lies beyond its workspace's quota is
owed to nobody and comes last.

Thresholds
----------
LEAST_SIZE : the users hold the largest tenth of a kind, and the fifth below
    it, to half of what the kind gets; the rest of it is a margin.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

LEAST_SIZE = 0.65


class Size(enum.IntEnum):
    """How large a call is among those of its rank."""

    USUAL = 0
    LARGE = 1
    LARGEST = 2


class Timeliness(enum.IntEnum):
    """Whether a call can be in time, and what it is owed if not.

    Those beyond the quota of their workspace may be in time or not.
    """

    IN_TIME = 0
    RETRIED = 1
    LATE = 2
    OVER_QUOTA = 3


class Precedence(NamedTuple):
    """Where a waiting call stands; the lowest is served first."""

    timeliness: Timeliness
    rank: int
    size: Size = Size.USUAL


def weight(precedence: Precedence, first: Precedence, least: float) -> float:
    """Return how often ``precedence`` is to be served at least, against ``first``.

    Parameters
    ----------
    least : float
        The part of the first rank's that each other rank is owed.
    """
    part = 1.0 if precedence.rank == first.rank else least
    return part if precedence.size is Size.USUAL else part * LEAST_SIZE


def serving_order(
    precedences: list[Precedence], shares: Mapping[Precedence, float], least: float
) -> list[Precedence]:
    """Return ``precedences`` in the order in which they are served.

    Parameters
    ----------
    precedences : list of Precedence
        In their own order.
    shares : mapping
        Part of the calls of each precedence that was lately served.
    """
    in_time = [
        precedence
        for precedence in precedences
        if precedence.timeliness is Timeliness.IN_TIME
    ]
    got = {
        precedence: shares[precedence] / weight(precedence, in_time[0], least)
        for precedence in in_time
    }
    order: list[Precedence] = []
    for precedence in in_time:
        index = len(order)
        if got[precedence] < 1.0:
            while index and got[precedence] < got[order[index - 1]]:
                index -= 1
        order.insert(index, precedence)
    return order + precedences[len(in_time) :]
