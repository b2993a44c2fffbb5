"""At which software version streams began, so that they go on at the same one.

What targets of two versions write doesn't fit together, and targets don't check it. A
broken stream may be taken up at any host, while the host that began it may be gone. The
version is therefore known to the host that began the stream, and replicated to a few
others. A caller names the attempt that brought the first event; the stream of one that
names none is recognized by its request, unless equal requests began at different
versions. While a service has had one version alone for long enough, each stream began
at that one, and nobody has to be told.

Pure: times are passed in, in seconds.

Thresholds
----------
KEEP_S : callers take a stream up within their deadline, which is some seconds.
REPLICAS : hosts beside the one that began the stream. All that know are gone only if
    these hosts are killed together.
MAX_ORIGINS : an origin takes some 200 bytes.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from godwitladder.decisions.rendezvous import rank_hosts
from godwitladder.ids import (
    AttemptId,
    BodyDigest,
    HostId,
    Release,
    ServiceName,
)

KEEP_S = 60.0
REPLICAS = 2
MAX_ORIGINS = 20_000


@dataclass(frozen=True)
class StreamOrigin:
    """The service and software version at which a stream began."""

    service: ServiceName
    release: Release


TimedOrigin = tuple[float, StreamOrigin | None]


@dataclass(frozen=True)
class StreamName:
    """What identifies a stream.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that brought its first event; empty if the caller names none.
    body : BodyDigest
        Digest of its request.
    """

    attempt: AttemptId
    body: BodyDigest


@dataclass
class StreamOrigins:
    """Origins of recent streams, the oldest first.

    Attributes
    ----------
    by_attempt : dict
        Time and origin, by the attempt that brought the first event.
    by_body : dict
        The same by the digest of the request; the origin is None if equal requests
        began at different versions.
    """

    by_attempt: dict[AttemptId, TimedOrigin] = field(default_factory=dict)
    by_body: dict[BodyDigest, TimedOrigin] = field(default_factory=dict)

    def record(self, stream: StreamName, origin: StreamOrigin, now: float) -> None:
        """Record at which version a stream began."""
        remove_old(self.by_body, now)
        _, other = self.by_body.get(stream.body, (now, origin))
        put(self.by_body, stream.body, origin if other == origin else None, now)
        put(self.by_attempt, stream.attempt, origin, now)

    def find(self, stream: StreamName) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not known here."""
        row = (
            self.by_attempt.get(stream.attempt)
            if stream.attempt
            else self.by_body.get(stream.body)
        )
        return row[1] if row else None

    def is_ambiguous(self, stream: StreamName) -> bool:
        """Return whether equal requests are known to have begun at several versions."""
        row = None if stream.attempt else self.by_body.get(stream.body)
        return row is not None and row[1] is None


def put(table: dict[str, TimedOrigin], key: str, origin, now: float) -> None:
    """Put an origin at the end of a table, and remove the oldest beyond its limits."""
    table.pop(key, None)
    table[key] = now, origin
    remove_old(table, now)


def remove_old(table: dict[str, TimedOrigin], now: float) -> None:
    """Remove what is too old, and the oldest of too many."""
    while table:
        oldest = next(iter(table))
        if len(table) <= MAX_ORIGINS and now - table[oldest][0] <= KEEP_S:
            return
        del table[oldest]


@dataclass
class ReleaseHistory:
    """Software versions that the targets of each service had of late.

    Attributes
    ----------
    watched_since : float or None
        Time of the first list of targets; None before it.
    present_at : dict
        Time at which each version was last present.
    """

    watched_since: float | None = None
    present_at: dict[StreamOrigin, float] = field(default_factory=dict)

    def observe(self, present: Iterable[StreamOrigin], now: float) -> None:
        """Record which versions the targets have now."""
        if self.watched_since is None:
            self.watched_since = now
        self.present_at |= dict.fromkeys(present, now)

    def extend(
        self, past: Iterable[StreamOrigin], covered_s: float, now: float
    ) -> None:
        """Add which versions targets had in the last ``covered_s`` seconds.

        When one of them was last present is not known: not after this watch began.
        """
        began = now if self.watched_since is None else self.watched_since
        for row in past:
            self.present_at[row] = max(self.present_at.get(row, began), began)
        self.watched_since = min(began, now - covered_s)

    def only_release(
        self,
        service: ServiceName,
        present: Collection[StreamOrigin],
        now: float,
        for_s: float = KEEP_S,
    ) -> Release | None:
        """Return the only version that a service has had; None if there were others.

        Parameters
        ----------
        present : collection of StreamOrigin
            The versions that targets have now.
        for_s : float
            Seconds up to now for which it has to be known to be the only one.
        """
        if self.watched_since is None or now - self.watched_since < for_s:
            return None
        releases = self.recent_releases(service, present, now)
        return releases.pop() if len(releases) == 1 else None

    def recent_releases(
        self, service: ServiceName, present: Collection[StreamOrigin], now: float
    ) -> set[Release]:
        """Return the versions that a service is known to have had for `KEEP_S`."""
        self.observe(present, now)
        self.present_at = {
            row: at for row, at in self.present_at.items() if now - at < KEEP_S
        }
        return {row.release for row in self.present_at if row.service == service}


def choose_replica_hosts(
    hosts: Collection[HostId], own: HostId, attempt: AttemptId
) -> list[HostId]:
    """Return the hosts to tell of a stream that this host has begun."""
    return rank_hosts(set(hosts) - {own}, attempt)[:REPLICAS]
