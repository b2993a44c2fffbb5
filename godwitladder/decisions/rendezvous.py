"""Assigns keys to hosts by rendezvous hashing (highest random weight).

Used to agree on the host that allocates or forwards for a key. Hosts can join and
leave at any time, and every host must arrive at the same choice without
communication. An election would need coordination that the platform can't provide.
A modulus over the sorted hosts would reassign nearly every key whenever a host
leaves; with rendezvous hashing only the keys of that host move.

Hosts with different views of the membership may choose different hosts for a time.
Users of this module must stay correct in that case and may lose only capacity.
"""

import hashlib
from collections.abc import Iterable

from godwitladder.ids import HostId


def choose_host(hosts: Iterable[HostId], key: str) -> HostId | None:
    """Return the host with the highest weight for ``key``, or None without hosts."""
    return max(hosts, key=lambda host: weight(host, key), default=None)


def rank_hosts(hosts: Iterable[HostId], key: str) -> list[HostId]:
    """Return ``hosts`` by descending weight: the preferred one, then its successors."""
    return sorted(hosts, key=lambda host: weight(host, key), reverse=True)


def weight(host: HostId, key: str) -> tuple[bytes, HostId]:
    """Return the sort key of ``host`` for ``key``, which is the same on every host.

    The host's id breaks ties between equal hashes.
    """
    return hashlib.sha256(f"{host}\n{key}".encode()).digest()[:8], host
