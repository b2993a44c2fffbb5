"""Limits the requests that a version on trial gets.

Load pattern: a new version may fail in all its answers. It gets at most a share of the
requests that reach its service during its rollout, plus a slack, over all hosts.

Each term of an allocator counts only its own grants and spends at most the share of
those. Nothing is carried over from another term, so that terms that overlap or follow
each other stay within the share together.

The slack exists once for each order and cannot be divided among terms that know nothing
of each other. It belongs to the term whose conditional append of ``running`` was the
first status of the order in the store and was acknowledged as such. The condition
lets only one append succeed. A term whose append failed, or whose result is unknown,
has no slack, and no later term gets it, also none of the same host.

Pure: times are passed in, in seconds.

Thresholds
----------
SPENT_FRACTION : fraction of the share that is spent. Some requests are granted and
    never sent, as their callers disconnect. They count towards the requests of the
    service, but do not reach it.
LEAST_REQUESTS : requests of all routes from which the traffic of each is known, and
    after which it is looked at again.
MAX_WEIGHT : factor by which the share of a small route may exceed that of all.
RATE_WINDOW_S : seconds over which the rate of requests is observed. Bursts of the load
    last some seconds.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from godwitladder.ids import RouteName

SPENT_FRACTION = 0.95
LEAST_REQUESTS = 50
MAX_WEIGHT = 3.0
RATE_WINDOW_S = 1.0
NO_ROUTE = RouteName("")


@dataclass
class ExposureBudget:
    """Requests granted for a service by one term of an allocator.

    Attributes
    ----------
    share : float
        Share of the service's requests that the version may get.
    slack : int
        Number of requests that it may get beyond the share; 0 unless this term holds
        the slack of the order.
    requests, exposed : int
        Requests granted, without repetitions, and those granted for the new version,
        with repetitions.
    requests_by_route, exposed_by_route : Counter
        The same by route.
    reserved : float
        Requests of the budget kept for the time after ``completed`` is written.
    weights : dict
        Factor of each route; see `route_weight`.
    weights_end_at : int
        Number of requests from which the weights are computed anew.
    recent : deque of (float, int)
        Times and numbers of the requests of the last `RATE_WINDOW_S` seconds.
    recent_count : int
        Their sum.
    """

    share: float
    slack: int = 0
    requests: int = 0
    exposed: int = 0
    requests_by_route: Counter[RouteName] = field(default_factory=Counter)
    exposed_by_route: Counter[RouteName] = field(default_factory=Counter)
    reserved: float = 0.0
    weights: dict[RouteName, float] = field(default_factory=dict)
    weights_end_at: int = LEAST_REQUESTS
    recent: deque[tuple[float, int]] = field(default_factory=deque)
    recent_count: int = 0

    def record_granted(
        self,
        exposed: bool,
        now: float,
        route: RouteName = NO_ROUTE,
        is_repeated: bool = False,
        count: int = 1,
    ) -> None:
        """Record the grant of one request of the service, or of several alike.

        Parameters
        ----------
        exposed : bool
            Whether it is granted for the new version.
        is_repeated : bool
            Whether the request has been granted before, as for a retry, a resumed
            stream or a lapsed grant. It does not reach the service a second time, but
            counts as exposed.
        """
        if not is_repeated:
            self.requests += count
            self.requests_by_route[route] += count
            self.recent.append((now, count))
            self.recent_count += count
        if exposed:
            self.exposed += count
            self.exposed_by_route[route] += count
        self.forget_before(now - RATE_WINDOW_S)

    def forget_before(self, earliest: float) -> None:
        """Forget the times of requests before ``earliest``."""
        while self.recent and self.recent[0][0] < earliest:
            self.recent_count -= self.recent.popleft()[1]

    def available(self) -> float:
        """Return the number of requests that the new version may get now."""
        spendable = SPENT_FRACTION * self.share * self.requests + self.slack
        return spendable - self.exposed

    def may_expose(
        self, now: float, share: float = 1.0, route: RouteName = NO_ROUTE
    ) -> bool:
        """Return whether the next request may be granted for the new version.

        Parameters
        ----------
        share : float
            Share of the requests of the route that the new version is to get at this
            stage; see `Step.share`. Below 1 the requests are spread evenly.
        """
        if self.available() - self.reserved < 1.0:
            return False
        if share >= 1.0:
            return True
        due = share * self.route_weight(route) * (self.requests_by_route[route] + 1)
        return self.exposed_by_route[route] + 1 <= due + 0.5

    def route_weight(self, route: RouteName) -> float:
        """Return the factor by which a route's share differs from that of all.

        Routes get a part of the exposure in proportion to the square root of their
        traffic. In proportion to the traffic itself, the answers of a small route
        would not suffice to see that the version fails there.
        """
        if self.requests >= self.weights_end_at:
            self.update_weights()
        return self.weights.get(route, 1.0)

    def update_weights(self) -> None:
        """Compute the weights of all routes anew."""
        self.weights_end_at = self.requests + LEAST_REQUESTS
        if self.requests < LEAST_REQUESTS:
            return
        roots = sum(math.sqrt(count) for count in self.requests_by_route.values())
        self.weights = {
            route: min(MAX_WEIGHT, self.requests / (math.sqrt(count) * roots))
            for route, count in self.requests_by_route.items()
            if count
        }

    def request_rate(self, now: float) -> float:
        """Return the requests per second over the last `RATE_WINDOW_S` seconds."""
        self.forget_before(now - RATE_WINDOW_S)
        return self.recent_count / RATE_WINDOW_S
