"""The current hubs, and the links that this host maintains."""

import random
from collections.abc import Collection, Iterable
from dataclasses import replace

from godwitladder.clock import Clock
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.membership.contacts import ListedHost
from godwitladder.membership.hubs import choose_allocator_candidates, choose_hubs
from godwitladder.membership.links import Link
from godwitladder.membership.members import (
    NON_HUB_TIMEOUT_FACTOR,
    Member,
    Members,
    as_member,
)
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat

log = component_logger("membership")

FANOUT = 4
"""Hubs that are sent gossip in each period. With fewer, the heartbeat count of a
live host could stay unchanged at some peer for longer than the timeout."""
LOST_HUB_TTL_S = 30.0
"""How long a lost hub is dialled, since it may only be partitioned for a while."""
LINK_RELEASE_DELAY_S = 5.0
"""Time for which all hubs must be linked, and unchanged, before links to other
hosts are closed."""
MIN_DIAL_INTERVAL_S = 2.0
"""Minimum time between dials of an address that several peers name at once."""
MAX_UNKNOWN_DIALS = 6
"""Unknown hosts of a long host list that are dialled at once. One link is enough to
learn about the others."""
UNBOUNDED = 1 << 30


class Topology:
    """The hubs of this host's zone, and the links that this host maintains.

    Parameters
    ----------
    me : Heartbeat
        This host's own heartbeat.
    members : Members
        The table of peers.
    mesh : Mesh
        Links to peers.
    clock : Clock
        The host's clock.
    max_mesh_hosts : int
        Largest number of hosts that form a full mesh, without separate hubs.

    Attributes
    ----------
    hubs : frozenset of HostId
        The hubs of the zone, computed from the hosts that this host knows.
    hub_seen_at : dict
        Monotonic time at which each address last belonged to a hub.
    contacts : set of str
        Addresses of the platform's host list to maintain links to.
    dialled_at : dict
        Monotonic time at which each address named by a peer was last dialled.
    unstable_at : float
        Monotonic time at which the hubs last changed or one had no link.
    """

    def __init__(
        self,
        me: Heartbeat,
        members: Members,
        mesh: Mesh,
        clock: Clock,
        max_mesh_hosts: int = UNBOUNDED,
    ) -> None:
        self.me = me
        self.members = members
        self.mesh = mesh
        self.clock = clock
        self.max_mesh_hosts = max_mesh_hosts
        self.hubs: frozenset[HostId] = frozenset((me.host,))
        self.hub_seen_at: dict[str, float] = {}
        self.contacts: set[str] = set()
        self.dialled_at: dict[str, float] = {}
        self.unstable_at = clock.monotonic()

    def update_heartbeat(self, **fields) -> None:
        """Replace fields of this host's own heartbeat."""
        self.me = replace(self.me, **fields)

    def live(self) -> list[Member]:
        """Return the live peers."""
        return self.members.live(self.clock.monotonic())

    def zone_hosts(self, live: Iterable[Member]) -> list[Member]:
        """Return the hosts of this zone that are not leaving, this host included."""
        mine = as_member(self.me, self.clock.monotonic())
        rows = (*live, mine)
        return [row for row in rows if row.zone == self.me.zone and not row.leaving]

    def update_hubs(self, live: list[Member]) -> None:
        """Recompute the hubs from the live peers."""
        rows = self.zone_hosts(live)
        hubs = choose_hubs(rows, self.max_mesh_hosts)
        self.members.non_hubs = frozenset(row.host for row in rows) - hubs
        if hubs == self.hubs:
            return
        self.hubs = hubs
        self.unstable_at = self.clock.monotonic()
        if not self.is_mesh():
            log.info("Hubs have changed", extra={"hubs": sorted(hubs)})

    def is_mesh(self) -> bool:
        """Return whether every host known to this one is a hub."""
        return not self.members.non_hubs

    def is_hub(self) -> bool:
        """Return whether this host is a hub."""
        return self.me.host in self.hubs

    def allocator_candidates(
        self, live: list[Member], hosts: tuple[HostId, ...]
    ) -> tuple[HostId, ...] | None:
        """Return the hosts eligible as allocators; None if all of ``hosts`` are."""
        rows = [row for row in self.zone_hosts(live) if row.host in self.hubs]
        if not self.is_mesh():
            # Reports can't be sent to a hub without a link. If that hub is the
            # allocator for the other hosts, another hub forwards the reports.
            reachable = (*self.mesh.links, self.me.host)
            rows = [row for row in rows if row.host in reachable]
        candidates = choose_allocator_candidates(rows)
        return None if candidates == set(hosts) else tuple(sorted(candidates))

    def hub_links(self) -> list[Link]:
        """Return the links to hubs."""
        links = self.mesh.current()
        if self.is_mesh():
            return links
        return [link for link in links if link.peer in self.hubs]

    def link_timeout_s(self) -> float:
        """Return the silence after which a link counts as dead, in seconds.

        Gossip goes over a few links of a hub per period, so that a link may be
        silent for a full round over all links. The allowance is the timeout,
        which is six periods, plus two rounds.
        """
        timeout_s = self.members.timeout_s
        if not self.is_mesh():
            return timeout_s * (NON_HUB_TIMEOUT_FACTOR if self.is_hub() else 1)
        rounds = len(self.mesh.links) / FANOUT
        return timeout_s * (1 + rounds / 3)

    def maintain_links(self) -> None:
        """Dial the hubs, and close links that are silent or no longer needed."""
        now = self.clock.monotonic()
        self.mesh.drop_silent(self.link_timeout_s())
        self.record_hubs(now)
        if self.is_hub():
            # Both hubs want the link, so only the one with the lower address dials.
            wanted = {*self.contacts, *self.hub_seen_at}
            self.mesh.set_dial_addresses(
                {row for row in wanted if row > self.me.address}
            )
            return
        unlinked = self.hubs - set(self.mesh.links)
        if unlinked:
            self.unstable_at = now
        self.mesh.set_dial_addresses(set(self.hub_seen_at), seeds=bool(unlinked))
        if now - self.unstable_at > LINK_RELEASE_DELAY_S:
            self.mesh.close_dialled_except(
                {row for row, at in self.hub_seen_at.items() if at == now}
            )

    def record_hubs(self, now: float) -> None:
        """Record the addresses of the hubs, and keep those of recently lost hubs."""
        rows = [row for row in self.zone_hosts(self.live()) if row.host != self.me.host]
        for row in rows:
            if row.host in self.hubs:
                self.hub_seen_at[row.address] = now
            else:
                self.hub_seen_at.pop(row.address, None)
        self.hub_seen_at = {
            row: at
            for row, at in self.hub_seen_at.items()
            if now - at <= LOST_HUB_TTL_S
        }

    def select_hosts_to_dial(self, rows: Collection[Heartbeat]) -> list[ListedHost]:
        """Return the hosts in ``rows`` that need a link, and mark them as dialled."""
        now = self.clock.monotonic()
        self.dialled_at = {
            row: at
            for row, at in self.dialled_at.items()
            if now - at < MIN_DIAL_INTERVAL_S
        }
        named = [row for row in rows if self.needs_dial(row)]
        self.dialled_at |= {row.address: now for row in named}
        return [ListedHost(row.address, row.zone, row.leaving) for row in named]

    def needs_dial(self, row: Heartbeat) -> bool:
        """Return whether the host of ``row`` is to be dialled.

        It must have no link, not have been dialled recently, and ``row`` must not
        describe a process that a newer one has replaced.
        """
        entry = self.members.rows.get(row.host)
        ended = entry is not None and entry.incarnation > row.incarnation
        linked = row.host in (*self.mesh.links, self.me.host)
        return not (ended or linked or row.address in self.dialled_at)

    def dial_unknown_hosts(
        self, listed: Collection[ListedHost], targets: Collection[str]
    ) -> None:
        """Dial a few hosts of a long host list that are unknown to this host.

        After a network partition, two parts of a fleet may each have their own
        hubs and not know about the other part. One link joins them again.
        """
        known = {row.address for row in self.live()} | {self.me.address, *targets}
        unknown = [row.address for row in listed if row.address not in known]
        self.mesh.dial_once(
            set(random.sample(unknown, min(MAX_UNKNOWN_DIALS, len(unknown))))
        )
