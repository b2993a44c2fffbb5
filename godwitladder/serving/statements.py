"""Passes on to the scheduler what targets state about themselves in their answers."""

import math
from dataclasses import dataclass, field

import pykka

from godwitladder.clock import Clock
from godwitladder.decisions.health.brittleness import BrittleStatements
from godwitladder.decisions.health.departures import Departures
from godwitladder.decisions.limits.cooldowns import Cooldowns
from godwitladder.decisions.limits.rate_limits import NO_LIMIT, RateLimits
from godwitladder.engines.wire import COOLDOWN_STATUSES, NotSent
from godwitladder.ids import TargetName
from godwitladder.routing.calls import AnswerMetadata
from godwitladder.scheduler.messages import (
    BrittlenessStated,
    CooldownStated,
    LeavingStated,
    RateLimitStated,
    SlowdownStated,
)
from godwitladder.scheduler.rows import Dispatch

SLOWDOWN_INTERVAL_S = 0.1
"""Minimum time between two slowdowns of one target that a host passes on."""
MAX_SLOWDOWN_TIMES = 4_096
"""Processes for which the time of the last slowdown is kept."""


@dataclass(frozen=True)
class TargetStatements:
    """Statements in the answers that this host receives.

    Most answers state nothing. An answer without a statement is passed on only for
    targets with a known limit, so that other calls cost the scheduler nothing.

    Attributes
    ----------
    scheduler : pykka.ActorRef
        The scheduler's actor.
    clock : Clock
        The host's clock.
    rate_limits : RateLimits
        The limits that the scheduler knows. Only ``limited`` is read.
    departures : Departures
        The leaving targets that the scheduler knows.
    cooldowns : Cooldowns
        The cooldowns that the scheduler knows.
    brittle : BrittleStatements
        The brittle targets that the scheduler knows.
    slowdowns_at : dict
        When a slowdown of each process was last passed on. Threads share it without a
        lock: two that pass one on at once cost a message.
    """

    scheduler: pykka.ActorRef
    clock: Clock
    rate_limits: RateLimits
    departures: Departures
    cooldowns: Cooldowns
    brittle: BrittleStatements = field(default_factory=BrittleStatements)
    slowdowns_at: dict[tuple[TargetName, str], float] = field(default_factory=dict)

    def check(self, dispatch: Dispatch) -> None:
        """Check again that a request may be sent, right before its first byte.

        A thread may wait for the processor or for a connection after the dispatch,
        and other answers may state something in that time.

        Raises
        ------
        NotSent
            The target is leaving, or has requested a cooldown.
        """
        process = dispatch.target, dispatch.generation
        if self.departures.includes(*process):
            raise NotSent("the target has stated that it is leaving")
        if self.cooldowns.remaining_s(*process, self.clock.monotonic()) > 0:
            raise NotSent("the target has stated that it has requested a cooldown")

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
        self.record_brittleness(dispatch, metadata)
        if metadata.load is not None and metadata.load.slowdown is not None:
            self.record_slowdown(dispatch, metadata.load.slowdown)
        if metadata.rate_limit is None and dispatch.target in self.rate_limits.limited:
            ended = RateLimitStated(dispatch.target, dispatch.generation, NO_LIMIT)
            self.scheduler.tell(ended)

    def record_slowdown(self, dispatch: Dispatch, slowdown: float) -> None:
        """Pass on how long work takes on a target, unless another answer just did.

        Each answer may state it, and the scheduler handles messages one by one.
        """
        process, now = (dispatch.target, dispatch.generation), self.clock.monotonic()
        if now - self.slowdowns_at.get(process, -math.inf) < SLOWDOWN_INTERVAL_S:
            return
        if len(self.slowdowns_at) >= MAX_SLOWDOWN_TIMES:
            self.slowdowns_at.clear()
        self.slowdowns_at[process] = now
        self.scheduler.tell(SlowdownStated(*process, slowdown, now))

    def record_brittleness(self, dispatch: Dispatch, metadata: AnswerMetadata) -> None:
        """Record that a target is brittle, if it has just refused or that is new."""
        if metadata.max_refusals_per_s is None:
            return
        known = self.brittle.includes(dispatch.target, self.clock.monotonic())
        if known and not metadata.not_run:
            return
        message = BrittlenessStated(
            dispatch.target,
            dispatch.generation,
            metadata.max_refusals_per_s,
            metadata.not_run,
        )
        self.scheduler.tell(message)


def read_statements(
    dispatch: Dispatch, status: int, metadata: AnswerMetadata
) -> list[RateLimitStated | LeavingStated | CooldownStated]:
    """Return the messages for what an answer states about its target."""
    process = dispatch.target, dispatch.generation
    messages = []
    if metadata.rate_limit is not None:
        messages.append(RateLimitStated(*process, metadata.rate_limit))
    if metadata.leaving:
        messages.append(LeavingStated(*process))
    if metadata.retry_after_s is not None and status in COOLDOWN_STATUSES:
        messages.append(CooldownStated(*process, metadata.retry_after_s))
    return messages
