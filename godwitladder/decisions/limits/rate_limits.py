"""Keeps to the rate limits that targets state in their answers.

Load pattern: an overloaded target states the total rate at which it accepts requests,
over all hosts, while it still has free slots. Short requests pass through a few slots
many times per second, so a limit on concurrent requests doesn't keep to it. Each host
sees only the answers to its own requests, and a host that kept to the limit by itself
would let all hosts together send it once each.

So one bucket for each limited target is kept where all requests of a pool are granted:
at its allocator. Hosts report what an answer states with their next report, and the
allocator returns what it knows with its next offer. From then on every host that asks
for grants knows the limit, which is all hosts with requests, whether there are 15 of
them or 213. Offers list limits only after a change. Reports list them after a change
and once a second, and then only what an answer has stated in the last seconds: each
limited target costs as many rows as it gets requests, not as there are hosts. All are
listed for an allocator that has not answered yet.

- A host that joins is granted from the same bucket. One that leaves or freezes takes
  nothing with it but grants that it holds, which expire within seconds.
- A new allocator learns the limits from the first full report of each host, and starts
  with an empty bucket: what its predecessor granted just before is unknown.
- An allocator that sees only a part of the hosts gives out the same part of each limit,
  as the other side of a network partition may have an allocator of its own.
- Hosts without an answer of their allocator share `FALLBACK_SHARE` of a limit, which
  is in addition to what the allocator may still grant to others. Where the limit is
  less than a request per second for each host, only so many of them use the target:
  a host that sends one request in ten seconds would still send its first at once, and
  hundreds of hosts would send theirs together.

A limit holds until an answer no longer states it. To learn that, requests have to be
sent, so that a limit near zero is raised to `MIN_RATE`.

Pure: times are passed in.

Thresholds
----------
BURST_S : the bucket holds what the rate gives in this time, so that what comes due
    between two runs of an idle allocator isn't lost.
FALLBACK_SHARE : an allocator that grants a whole limit and hosts that use this share
    of it at the same time stay below one and a half times the limit.
MIN_RATE : requests per second that a target gets at least. With one in four seconds,
    the end of a limit is seen within that time.
RESTATED_S : a host repeats what was stated this long ago at most, for an allocator
    that has missed it. While a target gets requests, some host has a newer answer.
CLEARED_S : for this time the end of a limit is told, so that an older statement of
    another host doesn't bring it back.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.health.target_processes import ProcessRow, drop_ended
from godwitladder.decisions.rendezvous import rank_hosts
from godwitladder.ids import HostId, TargetName

NO_LIMIT = math.inf
BURST_S = 0.25
FALLBACK_SHARE = 1 / 3
MIN_RATE = 0.25
RESTATED_S = 2.0
CLEARED_S = 10.0
ROUNDING = 1e-9


@dataclass(frozen=True)
class StatedLimit:
    """A target's last statement, as hosts and allocators tell it to each other.

    Attributes
    ----------
    generation : str
        Generation of the target that stated it.
    requests_per_s : float
        Total rate over all hosts; infinite for no limit.
    age_s : float
        Seconds since the answer that stated it.
    """

    target: TargetName
    generation: str
    requests_per_s: float
    age_s: float


@dataclass
class LimitRow(ProcessRow):
    """What one target last stated, and the bucket from which it gets requests.

    Attributes
    ----------
    requests_per_s : float
        Total rate over all hosts; infinite for no limit.
    observed_at : float
        Time of the answer that stated it.
    requests : float
        Requests that may be sent now.
    refilled_at : float
        Time for which ``requests`` holds.
    """

    requests_per_s: float
    observed_at: float
    requests: float
    refilled_at: float

    @property
    def is_limited(self) -> bool:
        """Whether the target has a limit now."""
        return self.requests_per_s != NO_LIMIT

    @property
    def rate(self) -> float:
        """Requests per second that it gets, over all hosts."""
        return max(self.requests_per_s, MIN_RATE)

    def refill(self, share: float, now: float) -> None:
        """Add what ``share`` of the rate has given since the last time."""
        gained = max(0.0, now - self.refilled_at) * self.rate * share
        most = max(1.0, self.rate * share * BURST_S)
        self.requests = min(most, self.requests + gained)
        self.refilled_at = now


@dataclass
class RateLimits:
    """Rate limits by target, and what may be sent within them.

    Attributes
    ----------
    rows : dict
        Last statement of each target that has stated a limit.
    limited : frozenset of TargetName
        Targets that have a limit now, always replaced as a whole, so that any
        thread may read it.
    share : float
        Share of each limit that may be given out here; less than 1 while other
        hosts are unreachable and may have an allocator of their own.
    version : int
        Rises with each change.
    """

    rows: dict[TargetName, LimitRow] = field(default_factory=dict)
    limited: frozenset[TargetName] = frozenset()
    share: float = 1.0
    version: int = 0

    def observe(
        self,
        target: TargetName,
        generation: str,
        requests_per_s: float,
        observed_at: float,
        now: float,
    ) -> bool:
        """Record a statement; return whether it changes what was known.

        Statements older than the known one have no effect.
        """
        row = self.rows.get(target)
        if row is None or row.generation != generation:
            row = LimitRow(generation, now, NO_LIMIT, observed_at, 0.0, now)
            self.rows[target] = row
        if observed_at < row.observed_at:
            return False
        row.observed_at = observed_at
        if row.requests_per_s == requests_per_s:
            return False
        if not row.is_limited:
            row.requests, row.refilled_at = 0.0, now
        row.requests_per_s = requests_per_s
        self.record_change()
        return True

    def observe_all(
        self,
        statements: Iterable[StatedLimit],
        generations: Mapping[TargetName, str],
        now: float,
    ) -> None:
        """Record what another host has told.

        Statements of targets that have restarted since have no effect.
        """
        for row in statements:
            if generations.get(row.target) == row.generation:
                observed_at = now - row.age_s
                self.observe(
                    row.target, row.generation, row.requests_per_s, observed_at, now
                )

    def keep_generations(
        self, generations: Mapping[TargetName, str], now: float
    ) -> None:
        """Forget what ended processes have stated; see `drop_ended`."""
        if drop_ended(self.rows, generations, now):
            self.record_change()

    def record_change(self) -> None:
        """Update what depends on the limits."""
        self.version += 1
        self.limited = frozenset(
            name for name, row in self.rows.items() if row.is_limited
        )

    def statements(
        self,
        targets: Collection[TargetName],
        now: float,
        max_age_s: float = math.inf,
    ) -> tuple[StatedLimit, ...]:
        """Return what ``targets`` state, and which limits have ended recently.

        Parameters
        ----------
        targets : collection of TargetName
            Targets to include.
        now : float
            Current time, in seconds.
        max_age_s : float
            Age in seconds up to which statements are included.
        """
        return tuple(
            StatedLimit(
                name,
                row.generation,
                row.requests_per_s,
                max(0.0, now - row.observed_at),
            )
            for name, row in sorted(self.rows.items())
            if name in targets
            if now - row.observed_at <= (max_age_s if row.is_limited else CLEARED_S)
        )

    def requests_per_s(self, target: TargetName) -> float:
        """Return the rate at which ``target`` gets requests here; may be infinite."""
        if target not in self.limited:
            return NO_LIMIT
        return self.rows[target].rate * self.share

    def wait_s(
        self, target: TargetName, now: float, share: float | None = None
    ) -> float:
        """Return the seconds until ``target`` may get a request; 0 if it may now.

        Parameters
        ----------
        target : TargetName
            The target.
        now : float
            Current time, in seconds.
        share : float or None
            Share of the limit to use in place of ``self.share``.
        """
        if target not in self.limited:
            return 0.0
        share = self.share if share is None else share
        row = self.rows[target]
        row.refill(share, now)
        missing = 1.0 - row.requests
        if missing <= ROUNDING:
            return 0.0
        return missing / (row.rate * share) if share else math.inf

    def available(self, target: TargetName, now: float) -> float:
        """Return how many requests ``target`` may get now; may be infinite."""
        if target not in self.limited:
            return NO_LIMIT
        row = self.rows[target]
        row.refill(self.share, now)
        return math.floor(row.requests + ROUNDING)

    def take(self, target: TargetName) -> None:
        """Count a request that ``target`` gets."""
        if target in self.limited:
            self.rows[target].requests -= 1.0

    def fallback_share(
        self, target: TargetName, host: HostId, hosts: Collection[HostId]
    ) -> float:
        """Return the share of a limit that ``host`` may use without an allocator.

        Parameters
        ----------
        target : TargetName
            A target that has a limit.
        host : HostId
            The host that asks.
        hosts : collection of HostId
            All hosts that may be without an allocator, ``host`` included.
        """
        rate = self.rows[target].rate * FALLBACK_SHARE
        users = min(len(hosts), max(1, int(rate)))
        if host not in rank_hosts(hosts, target)[:users]:
            return 0.0
        return FALLBACK_SHARE / users
