"""Forecasts the prefill work that each target has still to do.

A target processes one prompt after the other, and the reports of hosts are some
tenths of a second old. An allocator that waits for the report of each finished
prefill leaves a slot empty for the delay of the report, at every target after every
prompt. Under a burst, callers are then refused while slots are free.

A prompt is therefore taken to be processed once its target has had the time for it
since the grant, whether or not a host has reported that yet. When several prompts
are unreported, the reports are used again: a target that hangs costs these few
requests and no more.
"""

from collections import deque
from dataclasses import dataclass

from godwitladder.ids import TargetName

# Delay from the grant until the target receives the prompt, by way of the host.
TRANSIT_S = 0.03
# About as many prompts of usual length are processed while a report is in transit.
MAX_UNREPORTED = 3


@dataclass(frozen=True)
class ScheduledPrefill:
    """One prompt and the time at which its target is expected to process it.

    Attributes
    ----------
    tokens : int
        Prompt tokens.
    begin, end : float
        Monotonic seconds.
    """

    tokens: int
    begin: float
    end: float

    def remaining_tokens(self, now: float) -> int:
        """Return the prompt tokens that are not processed by ``now``."""
        if now <= self.begin:
            return self.tokens
        return round(self.tokens * (self.end - now) / (self.end - self.begin))


@dataclass(frozen=True)
class PendingPrefill:
    """Prompts that a target has not processed yet.

    Attributes
    ----------
    tokens : int
        Prompt tokens that remain.
    requests : int
        Number of requests that they belong to.
    """

    tokens: int
    requests: int


class PrefillForecast:
    """Recently granted prompts of each target, in the order of processing."""

    def __init__(self) -> None:
        self.prefills: dict[TargetName, deque[ScheduledPrefill]] = {}

    def record_grant(
        self, target: TargetName, tokens: int, seconds: float, now: float
    ) -> None:
        """Add a prompt that was granted to ``target``.

        Parameters
        ----------
        tokens : int
            Prompt tokens.
        seconds : float
            Expected duration of the prefill.
        now : float
            Monotonic seconds.
        """
        if not tokens or seconds <= 0:
            return
        prefills = self.prefills.setdefault(target, deque())
        begin = now + TRANSIT_S
        if prefills:
            begin = max(begin, prefills[-1].end)
        prefills.append(ScheduledPrefill(tokens, begin, begin + seconds))

    def pending(
        self, target: TargetName, reported: PendingPrefill, now: float
    ) -> PendingPrefill:
        """Return what ``target`` has not processed yet, by forecast or by report.

        Parameters
        ----------
        reported : PendingPrefill
            What remains of the granted prompts according to the last reports of
            the hosts.
        now : float
            Monotonic seconds.

        Returns
        -------
        PendingPrefill
            ``reported`` if it has `MAX_UNREPORTED` requests or more, and
            otherwise the smaller of report and forecast for each field.
        """
        prefills = self.prefills.get(target, ())
        while prefills and prefills[0].end <= now:
            prefills.popleft()
        if reported.requests >= MAX_UNREPORTED:
            return reported
        tokens = sum(prefill.remaining_tokens(now) for prefill in prefills)
        return PendingPrefill(
            min(reported.tokens, tokens), min(reported.requests, len(prefills))
        )

    def forget(self, target: TargetName) -> None:
        """Remove a target that no longer exists or was restarted."""
        self.prefills.pop(target, None)
