"""Passes on to the scheduler what targets state about themselves in their answers."""

import pykka

from godwitladder.decisions.rate_limits import NO_LIMIT, RateLimits
from godwitladder.scheduler.messages import RateLimitStated
from godwitladder.scheduler.rows import Dispatch


class TargetStatements:
    """Statements in the answers that this host receives.

    Most answers state nothing. An answer without a statement is passed on only for
    targets with a known limit, so that other calls cost the scheduler nothing.

    Parameters
    ----------
    scheduler : pykka.ActorRef
        The scheduler's actor.
    rate_limits : RateLimits
        The limits that the scheduler knows. Only ``limited`` is read.
    """

    def __init__(self, scheduler: pykka.ActorRef, rate_limits: RateLimits) -> None:
        self.scheduler = scheduler
        self.rate_limits = rate_limits

    def record(self, dispatch: Dispatch, rate_limit: float | None) -> None:
        """Record what the answer to a dispatched request states.

        Parameters
        ----------
        rate_limit : float or None
            Requests per second that the target takes; None if not stated.
        """
        if rate_limit is None and dispatch.target not in self.rate_limits.limited:
            return
        if rate_limit is None:
            rate_limit = NO_LIMIT
        self.scheduler.tell(
            RateLimitStated(dispatch.target, dispatch.generation, rate_limit)
        )
