"""Which hosts are hubs now, and which links this host holds."""

import random
from collections.abc import Collection, Iterable
from dataclasses import replace

from godwitladder.clock import Clock
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.membership.contacts import ListedHost
from godwitladder.membership.hubs import choose_able, choose_hubs
from godwitladder.membership.links import Link
from godwitladder.membership.members import SELDOM, Member, Members, as_member
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat

log = component_logger("membership")

FANOUT = 4
"""Peers that are sent the news each period. With fewer, a live host's count could
stand still at some peer for longer than the timeout."""
DIAL_S = 30.0
"""A hub that is gone is dialled for so long: it may be cut off for a while."""
SETTLED_S = 5.0
"""Links beyond those to hubs are given up once all hubs were linked for so long."""
DIAL_AGAIN_S = 2.0
"""Several peers name the same host at once; it is dialled for one of them."""
STRANGERS = 6
"""Hosts of a long list that are tried at once: with any one link come the rest."""
UNBOUNDED = 1 << 30


class Topology:
    """The hubs of this host's zone, and the links that this host holds.

    Parameters
    ----------
    me : Heartbeat
        This host as it tells of itself.
    members : Members
        The peers.
    mesh : Mesh
        Links to peers.
    clock : Clock
        The host's clock.
    mesh_hosts : int
        Up to so many hosts all are linked to all.

    Attributes
    ----------
    hubs : frozenset of HostId
        The hubs, as far as this host knows.
    hubs_seen : dict
        When each address was last that of a hub.
    contacts : set of str
        Addresses that the platform's list asks to hold links to.
    dialled : dict
        When each address that a peer named was last dialled.
    unsettled : float
        When the hubs last changed, or one of them had no link.
    """

    def __init__(
        self,
        me: Heartbeat,
        members: Members,
        mesh: Mesh,
        clock: Clock,
        mesh_hosts: int = UNBOUNDED,
    ) -> None:
        self.me = me
        self.members = members
        self.mesh = mesh
        self.clock = clock
        self.mesh_hosts = mesh_hosts
        self.hubs: frozenset[HostId] = frozenset((me.host,))
        self.hubs_seen: dict[str, float] = {}
        self.contacts: set[str] = set()
        self.dialled: dict[str, float] = {}
        self.unsettled = clock.monotonic()

    def change(self, **fields) -> None:
        """Tell other things of this host from now on."""
        self.me = replace(self.me, **fields)

    def live(self) -> list[Member]:
        """Return the live peers."""
        return self.members.live(self.clock.monotonic())

    def at_home(self, live: Iterable[Member]) -> list[Member]:
        """Return the hosts of this zone that are not leaving, this one too."""
        mine = as_member(self.me, self.clock.monotonic())
        rows = (*live, mine)
        return [row for row in rows if row.zone == self.me.zone and not row.leaving]

    def update(self, live: list[Member]) -> None:
        """Work out which hosts are hubs now."""
        rows = self.at_home(live)
        hubs = choose_hubs(rows, self.mesh_hosts)
        self.members.seldom = frozenset(row.host for row in rows) - hubs
        if hubs == self.hubs:
            return
        self.hubs = hubs
        self.unsettled = self.clock.monotonic()
        if not self.is_mesh():
            log.info("Hubs have changed", extra={"hubs": sorted(hubs)})

    def is_mesh(self) -> bool:
        """Return whether every host is a hub, as far as this one knows."""
        return not self.members.seldom

    def is_hub(self) -> bool:
        """Return whether this host is a hub."""
        return self.me.host in self.hubs

    def allocators(
        self, live: list[Member], hosts: tuple[HostId, ...]
    ) -> tuple[HostId, ...] | None:
        """Return the hosts that may be allocators; None if all of ``hosts`` may."""
        rows = [row for row in self.at_home(live) if row.host in self.hubs]
        if not self.is_mesh():
            # A hub without a link could be sent no report. Another one passes
            # reports on, if it is the allocator for the rest.
            near = (*self.mesh.links, self.me.host)
            rows = [row for row in rows if row.host in near]
        able = choose_able(rows)
        return None if able == set(hosts) else tuple(sorted(able))

    def links_of_hubs(self) -> list[Link]:
        """Return the links that lead to hubs."""
        links = self.mesh.current()
        if self.is_mesh():
            return links
        return [link for link in links if link.peer in self.hubs]

    def silence_s(self) -> float:
        """Return after which silence a link is taken for dead, in seconds.

        News takes the links of hubs in turns, so a link is silent for a whole
        round of them; the timeout, which is six periods, and two rounds are
        allowed.
        """
        timeout_s = self.members.timeout_s
        if not self.is_mesh():
            return timeout_s * (SELDOM if self.is_hub() else 1)
        rounds = len(self.mesh.links) / FANOUT
        return timeout_s * (1 + rounds / 3)

    def tend(self) -> None:
        """Dial the hubs, and give up links that nothing goes over."""
        now = self.clock.monotonic()
        self.mesh.drop_silent(self.silence_s())
        self.note_hubs(now)
        if self.is_hub():
            # Of two hubs the one with the lower address dials, as both want it.
            wanted = {*self.contacts, *self.hubs_seen}
            self.mesh.keep({row for row in wanted if row > self.me.address})
            return
        unlinked = self.hubs - set(self.mesh.links)
        if unlinked:
            self.unsettled = now
        self.mesh.keep(set(self.hubs_seen), seeds=bool(unlinked))
        if now - self.unsettled > SETTLED_S:
            self.mesh.release({row for row, at in self.hubs_seen.items() if at == now})

    def note_hubs(self, now: float) -> None:
        """Remember the hubs' addresses, also of those that are gone for a while."""
        rows = [row for row in self.at_home(self.live()) if row.host != self.me.host]
        for row in rows:
            if row.host in self.hubs:
                self.hubs_seen[row.address] = now
            else:
                self.hubs_seen.pop(row.address, None)
        self.hubs_seen = {
            row: at for row, at in self.hubs_seen.items() if now - at <= DIAL_S
        }

    def dial_named(self, rows: Collection[Heartbeat]) -> list[ListedHost]:
        """Return those of ``rows`` to dial, since there is no link to them."""
        now = self.clock.monotonic()
        self.dialled = {
            row: at for row, at in self.dialled.items() if now - at < DIAL_AGAIN_S
        }
        named = [row for row in rows if self.is_unlinked(row)]
        self.dialled |= {row.address: now for row in named}
        return [ListedHost(row.address, row.zone, row.leaving) for row in named]

    def is_unlinked(self, row: Heartbeat) -> bool:
        """Return whether a host has no link, and was not dialled a moment ago."""
        held = self.members.rows.get(row.host)
        ended = held is not None and held.incarnation > row.incarnation
        linked = row.host in (*self.mesh.links, self.me.host)
        return not (ended or linked or row.address in self.dialled)

    def dial_strangers(
        self, listed: Collection[ListedHost], targets: Collection[str]
    ) -> None:
        """Dial a few hosts of a long list that this one doesn't know of.

        After a cut, two parts of a fleet may each have hubs of their own and
        know nothing of the other part: one link joins them again.
        """
        known = {row.address for row in self.live()} | {self.me.address, *targets}
        strangers = [row.address for row in listed if row.address not in known]
        self.mesh.meet(set(random.sample(strangers, min(STRANGERS, len(strangers)))))
