"""Sends heartbeats among hubs, and reports of the live hosts to other hosts."""

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
from godwitladder.membership.messages import Directory, LiveNews, Roster
from godwitladder.membership.topology import FANOUT, Topology

HUB_BEATS = 2
"""Heartbeat periods between heartbeats from a hub to hosts that are not hubs."""
HOST_BEATS = 4
"""Heartbeat periods between heartbeats from a host that is not a hub."""
REPORTED_S = 3.0
"""How long a hub's report stays valid after the link to the hub is lost, so that
another hub can take over; and on a host that has become a hub, so that all other
hosts can connect to it."""


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
    turn : list of Link
        Links to hubs over which nothing was sent yet in the current round.
    announced : frozenset of HostId
        The hubs that were last announced to peers.
    publisher : HostId
        The hub that reports all live hosts to this one; empty before any report.
    reported : float
        Monotonic time at which the publisher's reports were last known to be valid.
    """

    def __init__(
        self, members: Members, mesh: Mesh, topology: Topology, clock: Clock
    ) -> None:
        self.members = members
        self.mesh = mesh
        self.topology = topology
        self.clock = clock
        self.turn: list[Link] = []
        self.announced: frozenset[HostId] = frozenset()
        self.publisher = HostId("")
        self.reported = float("-inf")
        self.directory = DirectoryPublisher(topology.me.host)

    def spread(self) -> None:
        """Send the messages that are due in this heartbeat period."""
        topology = self.topology
        topology.change(count=topology.me.count + 1)
        if not topology.is_mesh():
            self.beat()
            self.announce_hubs()
        self.expire_directory()
        if topology.is_hub():
            self.send_news()
            self.publish_directory()

    def beat(self) -> None:
        """Send this host's own heartbeat over the links that carry no gossip."""
        topology = self.topology
        if topology.me.count % (HUB_BEATS if topology.is_hub() else HOST_BEATS):
            return
        links = self.mesh.current()
        if topology.is_hub():
            links = [link for link in links if link.peer not in topology.hubs]
        self.mesh.multicast(links, encode(self.news_of(())))

    def send_news(self) -> None:
        """Send the heartbeat counts of the live hubs to the next few hubs.

        Each round goes through a shuffled list of the links to hubs, so that
        every link is used regularly and a silent one is detected.
        """
        data = encode(self.news_of(self.live_hubs()))
        links = self.topology.links_of_hubs()
        for _ in range(min(FANOUT, len(links))):
            if not self.turn:
                self.turn = links
                random.shuffle(self.turn)
            self.turn.pop().send(data)

    def news_of(self, rows: Collection[Member]) -> LiveNews:
        """Return a message with the heartbeat counts of this host and of ``rows``."""
        me = self.topology.me
        return LiveNews(
            (me.host, *(row.host for row in rows)),
            (me.incarnation, *(row.incarnation for row in rows)),
            (me.count, *(row.count for row in rows)),
        )

    def live_hubs(self) -> list[Member]:
        """Return the live hubs other than this host."""
        live = self.topology.live()
        return [row for row in live if row.host not in self.members.seldom]

    def roster(self) -> Roster:
        """Return a message with the last heartbeat of each live hub."""
        return Roster(tuple(as_heartbeat(row) for row in self.live_hubs()))

    def announce_hubs(self) -> None:
        """Send the hubs to all peers if they have changed.

        Hosts that start together know only the seeds. When they connected, the
        seeds knew as few hosts as they did and could not name the hubs yet.
        """
        if self.topology.hubs != self.announced:
            self.announced = self.topology.hubs
            self.mesh.broadcast(self.roster())

    def publish_directory(self) -> None:
        """Report the live hosts to the hosts that this hub is responsible for."""
        topology = self.topology
        live = topology.live()
        hubs = [row.host for row in topology.at_home(live) if row.host in topology.hubs]
        links = [
            link
            for link in self.mesh.current()
            if link.peer in self.members.seldom
            and choose_publisher(link.peer, hubs) == topology.me.host
        ]
        mine = as_member(topology.me, self.clock.monotonic())
        self.directory.publish([as_heartbeat(row) for row in (*live, mine)], links)

    def take_directory(self, message: Directory) -> None:
        """Apply a hub's report of the live hosts."""
        now = self.clock.monotonic()
        rows = [row for row in message.members if row.host != self.topology.me.host]
        hosts = {row.host for row in rows}
        if message.whole:
            self.publisher = message.publisher
            self.members.reported = hosts
        elif message.publisher == self.publisher:
            self.members.reported |= hosts
            for host in message.gone:
                self.members.suspect(host, now)
        else:
            # These changes apply to a report that this host never received or
            # has replaced by that of another hub.
            return
        self.reported = now
        for row in rows:
            self.members.record_heartbeat(as_member(row, now))

    def expire_directory(self) -> None:
        """Discard the reports of a hub that is unreachable or no longer needed.

        Otherwise a host that is partitioned from the hub would treat all reported
        hosts as live forever, and wait for hubs that it can't reach.
        """
        now = self.clock.monotonic()
        if self.publisher in self.mesh.links and not self.topology.is_hub():
            self.reported = now
        elif now - self.reported > REPORTED_S:
            self.members.reported.clear()
