"""Passes on to the scheduler what targets state about themselves in their answers."""

import pykka

from godwitladder.decisions.departures import Departures
from godwitladder.decisions.rate_limits import NO_LIMIT, RateLimits
from godwitladder.engines.wire import NotSent
from godwitladder.routing.calls import AnswerMetadata
from godwitladder.scheduler.messages import (
    LeavingStated,
    RateLimitStated,
    RestStated,
)
from godwitladder.scheduler.rows import Dispatch

REFUSING_STATUSES = frozenset({429, 503})
"""Statuses with which a target refuses a request for the time being."""


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
    departures : Departures
        The leaving targets that the scheduler knows.
    """

    def __init__(
        self,
        scheduler: pykka.ActorRef,
        rate_limits: RateLimits,
        departures: Departures,
    ) -> None:
        self.scheduler = scheduler
        self.rate_limits = rate_limits
        self.departures = departures

    def check(self, dispatch: Dispatch) -> None:
        """Check again that a request may be sent, right before its first byte.

        A thread may wait for the processor or for a connection after the dispatch,
        and other answers may state something in that time.

        Raises
        ------
        NotSent
            The target has stated that it wants no requests.
        """
        if self.departures.includes(dispatch.target, dispatch.generation):
            raise NotSent("the target has stated that it is leaving")

    def record(self, dispatch: Dispatch, status: int, metadata: AnswerMetadata) -> None:
        """Record what the answer to a dispatched request states.

        Parameters
        ----------
        dispatch : Dispatch
            The request's dispatch.
        status : int
            HTTP status of the answer.
        metadata : AnswerMetadata
            What its headers state.
        """
        for message in read_statements(dispatch, status, metadata):
            self.scheduler.tell(message)
        if metadata.rate_limit is None and dispatch.target in self.rate_limits.limited:
            ended = RateLimitStated(dispatch.target, dispatch.generation, NO_LIMIT)
            self.scheduler.tell(ended)


def read_statements(
    dispatch: Dispatch, status: int, metadata: AnswerMetadata
) -> list[RateLimitStated | LeavingStated | RestStated]:
    """Return the messages for what an answer states about its target."""
    process = dispatch.target, dispatch.generation
    messages = []
    if metadata.rate_limit is not None:
        messages.append(RateLimitStated(*process, metadata.rate_limit))
    if metadata.leaving:
        messages.append(LeavingStated(*process))
    if metadata.retry_after_s is not None and status in REFUSING_STATUSES:
        messages.append(RestStated(*process, metadata.retry_after_s))
    return messages
