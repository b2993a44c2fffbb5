"""Spreads heartbeats among hubs, and what hubs know to all other hosts."""

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
"""Heartbeat periods between two heartbeats of a hub to hosts that are no hubs."""
HOST_BEATS = 4
"""The same for the heartbeats of hosts that are no hubs."""
REPORTED_S = 3.0
"""What a hub has reported is believed for so long after the link to it was lost,
until another one reports; and on a host that has become a hub, until all others
have made their links to it."""


class Gossip:
    """What this host tells its peers of live hosts, and takes from them.

    Parameters
    ----------
    members : Members
        The peers.
    mesh : Mesh
        Links to peers.
    topology : Topology
        Which hosts are hubs.
    clock : Clock
        The host's clock.

    Attributes
    ----------
    turn : list of Link
        Links of hubs that are still to get the news in this round.
    announced : frozenset of HostId
        The hubs that peers were last told of.
    publisher : HostId
        The hub that reports all live hosts to this one; empty if none did.
    reported : float
        When what it has reported was last known to hold.
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
        """Send what is due in this heartbeat period."""
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
        """Send this host's own heartbeat over the links that carry no news."""
        topology = self.topology
        if topology.me.count % (HUB_BEATS if topology.is_hub() else HOST_BEATS):
            return
        links = self.mesh.current()
        if topology.is_hub():
            links = [link for link in links if link.peer not in topology.hubs]
        self.mesh.multicast(links, encode(self.news_of(())))

    def send_news(self) -> None:
        """Send which hubs are live to the next few hubs, each link in its turn.

        The turns run through a shuffled list of their links, so that each link
        carries something from time to time and a silent one is noticed.
        """
        data = encode(self.news_of(self.live_hubs()))
        links = self.topology.links_of_hubs()
        for _ in range(min(FANOUT, len(links))):
            if not self.turn:
                self.turn = links
                random.shuffle(self.turn)
            self.turn.pop().send(data)

    def news_of(self, rows: Collection[Member]) -> LiveNews:
        """Return the news that this host and those in ``rows`` are live."""
        me = self.topology.me
        return LiveNews(
            (me.host, *(row.host for row in rows)),
            (me.incarnation, *(row.incarnation for row in rows)),
            (me.count, *(row.count for row in rows)),
        )

    def live_hubs(self) -> list[Member]:
        """Return the live hubs but for this host."""
        live = self.topology.live()
        return [row for row in live if row.host not in self.members.seldom]

    def roster(self) -> Roster:
        """Return the live hubs as they told of themselves."""
        return Roster(tuple(as_heartbeat(row) for row in self.live_hubs()))

    def announce_hubs(self) -> None:
        """Tell all peers the hubs, if these have changed.

        Hosts that start together know only the seeds, and were told of no hubs
        while those knew as few hosts as they did themselves.
        """
        if self.topology.hubs != self.announced:
            self.announced = self.topology.hubs
            self.mesh.broadcast(self.roster())

    def publish_directory(self) -> None:
        """Report the live hosts to those that are this hub's to report to."""
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
        """Take in what a hub reports of the live hosts."""
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
            # Changes of what this host was never told, or no longer goes by.
            return
        self.reported = now
        for row in rows:
            self.members.record_heartbeat(as_member(row, now))

    def expire_directory(self) -> None:
        """Forget the reports of a hub that can report no more, or need not.

        Beyond a cut a host would believe for ever in all that it was told, and
        wait for hubs that are out of its reach.
        """
        now = self.clock.monotonic()
        if self.publisher in self.mesh.links and not self.topology.is_hub():
            self.reported = now
        elif now - self.reported > REPORTED_S:
            self.members.reported.clear()
