"""Keeps the order of kinds of call, and owes each a part of the targets.

Load pattern: far more is asked than the targets do, for minutes. In strict
order by rank the first kind takes all of it and the others get nothing, though
an hour of the last costs less than a minute of the first. Within a kind the
largest calls take most of the time, for less worth to their callers a second.

So a call has a place: whether it can still be in time, its rank, its size
among those of its rank. Places are served in order, except that one which was
lately served less often than its part of the first one goes before it. No
engine time is set aside: with room for all, the order alone counts.

What can't be in time any more comes after all that still can, whatever its
rank: at one user its answer is worth a tenth, at another a third, and either
way less than an answer in time that costs its callers no more. Among the late
those go first whose callers were sent away and have come back: sent away
twice, they have waited for nothing. What lies beyond its workspace's quota is owed to
nobody and comes last.

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
    CAME_BACK = 1
    LATE = 2
    BEYOND_QUOTA = 3


class Place(NamedTuple):
    """Where a waiting call stands; the lowest is served first."""

    timeliness: Timeliness
    rank: int
    size: Size = Size.USUAL


def weight(place: Place, first: Place, least: float) -> float:
    """Return how often ``place`` is to be served at least, against ``first``.

    Parameters
    ----------
    least : float
        The part of the first rank's that each other rank is owed.
    """
    part = 1.0 if place.rank == first.rank else least
    return part if place.size is Size.USUAL else part * LEAST_SIZE


def serving_order(
    places: list[Place], shares: Mapping[Place, float], least: float
) -> list[Place]:
    """Return ``places`` in the order in which they are served.

    Parameters
    ----------
    places : list of Place
        In their own order.
    shares : mapping
        Part of the calls of each place that was lately served.
    """
    in_time = [place for place in places if place.timeliness is Timeliness.IN_TIME]
    got = {place: shares[place] / weight(place, in_time[0], least) for place in in_time}
    order: list[Place] = []
    for place in in_time:
        index = len(order)
        if got[place] < 1.0:
            while index and got[place] < got[order[index - 1]]:
                index -= 1
        order.insert(index, place)
    return order + places[len(in_time) :]
