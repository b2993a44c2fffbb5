"""Failure detection: which peers are live, according to their heartbeats.

This module does no I/O; callers pass the time. An incarnation is a number that a
host chooses once at startup. Later starts choose higher numbers, which
distinguishes a restarted host from the previous process at the same address.
"""

from dataclasses import dataclass, field
from operator import attrgetter

from godwitladder.ids import HostId, Incarnation, Zone
from godwitladder.membership.messages import Heartbeat

NON_HUB_TIMEOUT_FACTOR = 2
"""Factor of the timeout for hosts that are not hubs. They send heartbeats less
often, since a hub receives those of hundreds of hosts."""

SUSPICION_FACTOR = 2
"""Timeouts for which a host does not believe reports of a peer whose link closed."""


@dataclass
class Member:
    """The last known state of one peer.

    Attributes
    ----------
    last_heard : float
        Monotonic time at which its heartbeat count last advanced, in seconds.
    count : int
        Number of its last heartbeat, which tells new information from repetition.
    availability_zone : Zone
        Its availability zone if ``zone`` names a whole region, else empty.
    cores : float
        Its processor capacity, in cores of standard speed.
    is_gateway : bool
        Whether it opens tunnels for other hosts.
    """

    host: HostId
    zone: Zone
    address: str
    incarnation: Incarnation
    last_heard: float
    leaving: bool = False
    config_offset: int = 0
    count: int = 0
    availability_zone: Zone = Zone("")
    cores: float = 0.0
    is_gateway: bool = False


def as_member(row: Heartbeat, now: float) -> Member:
    """Return the table entry for a heartbeat received at ``now``."""
    return Member(
        row.host,
        row.zone,
        row.address,
        row.incarnation,
        now,
        row.leaving,
        row.config_offset,
        row.count,
        row.availability_zone,
        row.cores,
        row.is_gateway,
    )


def as_heartbeat(row: Member) -> Heartbeat:
    """Return the heartbeat that corresponds to a table entry."""
    return Heartbeat(
        row.host,
        row.zone,
        row.address,
        row.incarnation,
        row.leaving,
        row.config_offset,
        row.count,
        row.availability_zone,
        row.cores,
        row.is_gateway,
    )


@dataclass
class Members:
    """The table of peers of one host.

    Parameters
    ----------
    timeout_s : float
        Silence after which a hub no longer counts as live, in seconds.

    Attributes
    ----------
    rows : dict
        The last known state of each peer.
    non_hubs : frozenset of HostId
        Hosts of the zone that are not hubs; their timeout is multiplied by
        `NON_HUB_TIMEOUT_FACTOR`.
    reported : set of HostId
        Peers that a hub reports as live; the hub also reports their removal.
    suspected_until : dict
        Monotonic time until which reports of a suspected peer don't count.
    """

    timeout_s: float
    rows: dict[HostId, Member] = field(default_factory=dict)
    non_hubs: frozenset[HostId] = frozenset()
    reported: set[HostId] = field(default_factory=set)
    suspected_until: dict[HostId, float] = field(default_factory=dict)

    def record_heartbeat(self, member: Member) -> bool:
        """Record a heartbeat; return False if its incarnation is outdated.

        A delayed heartbeat from a process that has exited must not make it look
        live again, nor replace that of its successor. Once the higher incarnation
        has been silent for the timeout, a lower one is accepted, since the clock
        of a restarted host may have been set back.
        """
        entry = self.rows.get(member.host)
        if entry and entry.incarnation > member.incarnation:
            if member.last_heard - entry.last_heard < self.timeout_s:
                return False
        self.rows[member.host] = member
        return True

    def record_report(self, member: Member) -> None:
        """Record a host that another one reports as live.

        This is no sign of life that was heard here. If it counted as one, hosts
        that report to each other would keep a dead host live among them for good.
        """
        entry = self.rows.get(member.host)
        same = entry is not None and entry.incarnation == member.incarnation
        now = member.last_heard
        if not self.record_heartbeat(member):
            return
        if same:
            member.last_heard = entry.last_heard
            member.count = max(entry.count, member.count)
        else:
            member.last_heard = now - NON_HUB_TIMEOUT_FACTOR * self.timeout_s

    def record_gossip(
        self, host: HostId, incarnation: Incarnation, count: int, now: float
    ) -> None:
        """Record the heartbeat count of ``host`` that another peer knows.

        Only a count above the last one shows that the host is live. Peers repeat
        the count of a host long after it has failed, and each repetition would
        otherwise extend its life by another timeout.
        """
        entry = self.rows.get(host)
        if entry and entry.incarnation == incarnation and entry.count < count:
            entry.count = count
            entry.last_heard = now

    def suspect(self, host: HostId, now: float) -> None:
        """Treat a host as failed until its heartbeats advance again.

        The links of a killed process close at once. If its peers waited for the
        timeout instead, the pools that it allocates would stall for that long. Its
        reports count again after `SUSPICION_FACTOR` timeouts: by then a hub
        has noticed too, or knows better. What a hub reports is changed by that hub
        alone, which sends no news of a host that has not changed for it.
        """
        self.suspected_until[host] = now + SUSPICION_FACTOR * self.timeout_s
        self.silence(host, now)

    def remove_report(self, host: HostId, now: float) -> None:
        """Treat a host as failed that the reporting hub no longer considers live."""
        self.reported.discard(host)
        self.silence(host, now)

    def silence(self, host: HostId, now: float) -> None:
        """Treat a host as not heard within its timeout."""
        entry = self.rows.get(host)
        if entry:
            entry.last_heard = min(entry.last_heard, now - self.patience_s(host))

    def live(self, now: float) -> list[Member]:
        """Return the live members, sorted by host id."""
        hub_since = now - self.timeout_s
        other_since = now - NON_HUB_TIMEOUT_FACTOR * self.timeout_s
        non_hubs, reported = self.non_hubs, self.reported
        suspected = self.suspects(now)
        rows = [
            row
            for host, row in self.rows.items()
            if row.last_heard > (other_since if host in non_hubs else hub_since)
            or (host in reported and host not in suspected)
        ]
        return sorted(rows, key=attrgetter("host"))

    def suspects(self, now: float) -> set[HostId]:
        """Return the peers whose reports don't count at the moment."""
        return {host for host, until in self.suspected_until.items() if now < until}

    def is_heard(self, row: Member, now: float) -> bool:
        """Return whether a sign of life of a member came within its timeout."""
        return now - row.last_heard < self.patience_s(row.host)

    def patience_s(self, host: HostId) -> float:
        """Return the timeout of a peer, in seconds of silence."""
        return self.timeout_s * (NON_HUB_TIMEOUT_FACTOR if host in self.non_hubs else 1)

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the silence of its peers.

        After a pause, their heartbeats are still queued. Without this correction,
        the host would treat all peers as dead and take over all roles until it
        has read the queue.
        """
        for row in self.rows.values():
            row.last_heard += pause_s

    def forget(self, now: float, after_s: float) -> None:
        """Remove entries that were silent for ``after_s``, which bounds the table."""
        for host, row in list(self.rows.items()):
            if now - row.last_heard > after_s and host not in self.reported:
                del self.rows[host]
        self.suspected_until = {
            host: until for host, until in self.suspected_until.items() if now < until
        }
