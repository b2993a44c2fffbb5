"""Which peers are live, judged from their heartbeats alone.

Pure: times are handed in. An incarnation is a number that a host draws once
at its start, later starts drawing higher ones, so that a host that restarts
at the same address is told from the process before it.
"""

from dataclasses import dataclass, field

from godwitladder.ids import HostId, Incarnation, Zone
from godwitladder.membership.messages import Heartbeat

SELDOM = 2
"""Hosts that are no hubs send heartbeats less often, since a hub hears hundreds."""


@dataclass
class Member:
    """One peer as last heard of.

    Attributes
    ----------
    heard : float
        When its heartbeats last advanced, in monotonic seconds.
    count : int
        Number of its last heartbeat, which tells news from repetition.
    place : Zone
        Its availability zone, where ``zone`` names a whole region.
    cores : float
        How much processor it has, in cores of usual speed.
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


def as_member(row: Heartbeat, now: float) -> Member:
    """Return a heartbeat as a row of the table, heard at ``now``."""
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
    )


def as_heartbeat(row: Member) -> Heartbeat:
    """Return what ``row`` last told of itself."""
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
    )


@dataclass
class Members:
    """The peers of one host.

    Parameters
    ----------
    timeout_s : float
        Silence after which a peer no longer counts as live.

    Attributes
    ----------
    seldom : frozenset of HostId
        Peers that send heartbeats `SELDOM` times as seldom as others.
    reported : set of HostId
        Peers that a hub reports as live; it will report when they are gone.
    """

    timeout_s: float
    rows: dict[HostId, Member] = field(default_factory=dict)
    seldom: frozenset[HostId] = frozenset()
    reported: set[HostId] = field(default_factory=set)

    def record_heartbeat(self, member: Member) -> bool:
        """Take in a heartbeat; return False if it is of an older incarnation.

        A delayed heartbeat of a process that is gone must not make it look
        live again, nor hide the one that took its place. Once the newer one
        has been silent for the timeout, the older number is believed: the
        clock of a host that restarted may have been set back.
        """
        held = self.rows.get(member.host)
        if held and held.incarnation > member.incarnation:
            if member.last_heard - held.last_heard < self.timeout_s:
                return False
        self.rows[member.host] = member
        return True

    def record_gossip(
        self, host: HostId, incarnation: Incarnation, count: int, now: float
    ) -> None:
        """Take in another peer's news of ``host``.

        Only a count above the last one is a sign of life: peers repeat what
        they know of a host long after it is gone, and each repetition would
        otherwise make it look live again for one more timeout.
        """
        held = self.rows.get(host)
        if held and held.incarnation == incarnation and held.count < count:
            held.count = count
            held.last_heard = now

    def suspect(self, host: HostId, now: float) -> None:
        """Take a host whose link has closed for gone until it is heard of again.

        A process that was killed closes its links at once. Waiting for the
        timeout instead, its allocator's pools would stand still that long.
        """
        self.reported.discard(host)
        held = self.rows.get(host)
        if held:
            held.last_heard = min(held.last_heard, now - self.patience_s(host))

    def live(self, now: float) -> list[Member]:
        """Return the members heard within their time or reported, by host id."""
        rows = [row for row in self.rows.values() if self.is_live(row, now)]
        return sorted(rows, key=lambda row: row.host)

    def is_live(self, row: Member, now: float) -> bool:
        """Return whether a member counts as live."""
        return (
            now - row.last_heard < self.patience_s(row.host)
            or row.host in self.reported
        )

    def patience_s(self, host: HostId) -> float:
        """Return after which silence a peer no longer counts as live, in seconds."""
        return self.timeout_s * (SELDOM if host in self.seldom else 1)

    def excuse(self, pause_s: float) -> None:
        """Don't count a pause of this process as silence of its peers.

        After a pause their heartbeats still stand in the queue. Without this
        the host would take all peers for dead, and every role for its own,
        until it has read them.
        """
        for row in self.rows.values():
            row.last_heard += pause_s

    def forget(self, now: float, after_s: float) -> None:
        """Drop rows not heard of for ``after_s``, which bounds the table."""
        for host, row in list(self.rows.items()):
            if now - row.last_heard > after_s and host not in self.reported:
                del self.rows[host]
