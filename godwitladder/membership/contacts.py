"""Chooses from the platform's host list the hosts to maintain links to.

These functions do no I/O. The list lags and is only a hint; heartbeats determine
which hosts are live.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from godwitladder.decisions.rendezvous import rank_hosts
from godwitladder.ids import Zone

LINKS_PER_ZONE = 3
"""Hosts of each other zone that one host chooses. Two may fail at once, and the
number of links grows with the number of zones rather than of hosts."""


@dataclass(frozen=True)
class ListedHost:
    """One entry of the host list: the address of a peer or target, and its state."""

    address: str
    zone: Zone
    leaving: bool


def choose_contacts(
    me: str, zone: Zone, listed: Iterable[ListedHost], targets: Iterable[str]
) -> set[str]:
    """Return the peer addresses to maintain links to.

    These are all hosts of the local zone and, from each other zone, the hosts that
    this host chooses and those that choose this host. Both ends of a link compute
    the same pairs, so that either of them may dial.
    """
    not_peers = {me, *targets}
    zones: dict[Zone, list[str]] = {}
    for row in listed:
        if row.address not in not_peers:
            zones.setdefault(row.zone, []).append(row.address)
    mine = zones.pop(zone, [])
    contacts = set(mine)
    for others in zones.values():
        contacts.update(rank_hosts(others, me)[:LINKS_PER_ZONE])
        for other in others:
            if me in rank_hosts([me, *mine], other)[:LINKS_PER_ZONE]:
                contacts.add(other)
    return contacts


def leaving_addresses(
    before: frozenset[str], listed: Iterable[ListedHost]
) -> frozenset[str]:
    """Return the addresses that are leaving, including those seen before.

    An address that was leaving and is no longer listed stays in the result until
    the list shows it as not leaving.
    """
    rows = list(listed)
    staying = {row.address for row in rows if not row.leaving}
    leaving = {row.address for row in rows if row.leaving}
    return frozenset((before - staying) | leaving)
