"""Sends heartbeats among hubs, and reports the live hosts to the other hosts."""

import random
from collections.abc import Collection

from godwitladder.clock import Clock
from godwitladder.ids import HostId
from godwitladder.membership.codec import encode
from godwitladder.membership.directory import DirectoryPublisher
from godwitladder.membership.hubs import choose_publisher
from godwitladder.membership.links import Link
from godwitladder.membership.members import (
    Member,
    Members,
    as_heartbeat,
    as_member,
)
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Directory, LiveNews, Roster, ViewRequest
from godwitladder.membership.topology import FANOUT, Topology
from godwitladder.membership.views import ViewComparison

HUB_HEARTBEAT_PERIODS = 2
"""Number of heartbeat periods between two heartbeats of a hub to hosts that are not
hubs."""
NON_HUB_HEARTBEAT_PERIODS = 4
"""Number of heartbeat periods between two heartbeats of a host that is not a hub."""
REPORT_TTL_S = 3.0
"""Time in seconds for which a hub's report stays valid after the link to that hub is
lost; another hub can take over meanwhile. On a host that has become a hub itself, the
last report stays valid for the same time, so that all other hosts can connect to
it."""


class Gossip:
    """Exchanges information about live hosts with the peers.

    Parameters
    ----------
    members : Members
        The table of peers.
    mesh : Mesh
        Links to peers.
    topology : Topology
        Which hosts are hubs.
    clock : Clock
        The host's clock.

    Attributes
    ----------
    round_links : list of Link
        Links to hubs over which nothing was sent yet in the current round.
    announced_hubs : frozenset of HostId
        The hubs that were last announced to peers.
    publisher : HostId
        The hub that reports all live hosts to this one; empty before any report.
    report_valid_at : float
        Monotonic time at which the publisher's reports were last known to be valid.
    views : ViewComparison
        Compares the live hosts that this host knows with those that its peers know.
    """

    def __init__(
        self, members: Members, mesh: Mesh, topology: Topology, clock: Clock
    ) -> None:
        self.members = members
        self.mesh = mesh
        self.topology = topology
        self.clock = clock
        self.round_links: list[Link] = []
        self.announced_hubs: frozenset[HostId] = frozenset()
        self.publisher = HostId("")
        self.report_valid_at = float("-inf")
        self.directory = DirectoryPublisher(topology.me.host)
        self.views = ViewComparison()

    def send_due(self) -> None:
        """Send the messages that are due in this heartbeat period."""
        topology = self.topology
        topology.update_heartbeat(count=topology.me.count + 1)
        if not topology.is_mesh():
            self.send_heartbeat()
            self.announce_hubs()
        self.expire_directory()
        if topology.is_hub():
            self.send_news()
            self.publish_directory()

    def send_heartbeat(self) -> None:
        """Send this host's own heartbeat over the links that carry no gossip."""
        topology = self.topology
        if topology.me.count % (
            HUB_HEARTBEAT_PERIODS if topology.is_hub() else NON_HUB_HEARTBEAT_PERIODS
        ):
            return
        links = self.mesh.current()
        if topology.is_hub():
            links = [link for link in links if link.peer not in topology.hubs]
        self.mesh.multicast(links, encode(self.make_news(())))

    def send_news(self) -> None:
        """Send the heartbeat counts of the live hubs to the next few hubs.

        Each round goes through a shuffled list of the links to hubs, so that
        every link is used regularly and a silent one is detected.
        """
        data = encode(self.make_news(self.live_hubs()))
        links = self.topology.hub_links()
        for _ in range(min(FANOUT, len(links))):
            if not self.round_links:
                self.round_links = links
                random.shuffle(self.round_links)
            self.round_links.pop().send(data)

    def make_news(self, rows: Collection[Member]) -> LiveNews:
        """Return a message with the heartbeat counts of this host and of ``rows``."""
        me = self.topology.me
        return LiveNews(
            (me.host, *(row.host for row in rows)),
            (me.incarnation, *(row.incarnation for row in rows)),
            (me.count, *(row.count for row in rows)),
            self.views.digest,
        )

    def live_hubs(self) -> list[Member]:
        """Return the live hubs other than this host."""
        live = self.topology.live()
        return [row for row in live if row.host not in self.members.non_hubs]

    def make_roster(self) -> Roster:
        """Return a message with the last heartbeat of each live hub."""
        return Roster(tuple(as_heartbeat(row) for row in self.live_hubs()))

    def announce_hubs(self) -> None:
        """Send the hubs to all peers if they have changed.

        Hosts that start at the same time know only the seeds. The seeds don't know
        any other hosts either when these connect, and so can't tell them the hubs yet.
        """
        if self.topology.hubs != self.announced_hubs:
            self.announced_hubs = self.topology.hubs
            self.mesh.broadcast(self.make_roster())

    def publish_directory(self) -> None:
        """Report the live hosts to the hosts that this hub is responsible for."""
        topology = self.topology
        live = topology.live()
        hubs = [
            row.host for row in topology.zone_hosts(live) if row.host in topology.hubs
        ]
        links = [
            link
            for link in self.mesh.current()
            if link.peer in self.members.non_hubs
            and choose_publisher(link.peer, hubs) == topology.me.host
        ]
        mine = as_member(topology.me, self.clock.monotonic())
        self.directory.publish([*live, mine], links)

    def handle_directory(self, message: Directory) -> None:
        """Apply a hub's report of the live hosts."""
        now = self.clock.monotonic()
        rows = [row for row in message.members if row.host != self.topology.me.host]
        hosts = {row.host for row in rows}
        if message.complete:
            self.publisher = message.publisher
            self.members.reported = hosts
        elif message.publisher == self.publisher:
            self.members.reported |= hosts
            for host in message.removed:
                self.members.remove_report(host, now)
        else:
            # These changes apply to a report that this host never received or
            # has replaced by that of another hub.
            return
        self.report_valid_at = now
        for row in rows:
            self.members.record_report(as_member(row, now))

    def expire_directory(self) -> None:
        """Discard the reports of a hub that is unreachable or no longer needed.

        Otherwise a host that is partitioned from the hub would treat all reported
        hosts as live forever, and wait for hubs that it can't reach.
        """
        now = self.clock.monotonic()
        if self.has_publisher() and not self.topology.is_hub():
            self.report_valid_at = now
        elif now - self.report_valid_at > REPORT_TTL_S:
            self.members.reported.clear()

    def has_publisher(self) -> bool:
        """Return whether the host that reports to this one is a hub and linked."""
        return (
            self.publisher in self.topology.hubs and self.publisher in self.mesh.links
        )

    def is_request_due(self, message: LiveNews) -> bool:
        """Return whether to request the view of the sender, which stays different."""
        now = self.clock.monotonic()
        peer = message.hosts[0]
        return self.should_agree(peer) and self.views.is_request_due(
            peer, message.view, now
        )

    def should_agree(self, peer: HostId) -> bool:
        """Return whether this host should know the same live hosts as ``peer``.

        Hubs should agree with all hubs, and another host with the hub that reports
        to it. Without one, any hub can tell it.
        """
        row = self.members.rows.get(peer)
        if row is None or row.zone != self.topology.me.zone:
            return False
        if peer not in self.topology.hubs:
            return False
        follows = self.topology.is_hub() or not self.has_publisher()
        return follows or peer == self.publisher

    def make_view(self, request: ViewRequest) -> Directory | Roster:
        """Return the answer to ``request``.

        A host that is not a hub answers with what it has heard itself. If two such
        hosts passed on reports to each other, these would never end.
        """
        now = self.clock.monotonic()
        heard = [
            row
            for row in self.topology.live()
            if self.topology.is_hub() or self.members.is_heard(row, now)
        ]
        mine = as_member(self.topology.me, now)
        rows = tuple(as_heartbeat(row) for row in (*heard, mine))
        if request.is_hub:
            return Roster(rows)
        return Directory(self.topology.me.host, True, rows)
