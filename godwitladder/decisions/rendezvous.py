"""Chooses one live host for a key: who allocates, who forwards.

Load pattern: hosts join and leave at any moment, and every host must name the
same one without asking. Without it an election would be needed, which the
platform can't carry; with a modulus over the sorted hosts, one host that
leaves would move nearly every role at once. With the highest random weight,
only the roles of the host that left move. There is no threshold.

Two hosts with different views of who is live may name two hosts for a time:
callers of this module must stay correct then, and only lose capacity.
"""

import hashlib
from collections.abc import Iterable

from godwitladder.ids import HostId


def choose_host(hosts: Iterable[HostId], key: str) -> HostId | None:
    """Return the host with the highest weight for ``key``; None without hosts."""
    return max(hosts, key=lambda host: weight(host, key), default=None)


def rank_hosts(hosts: Iterable[HostId], key: str) -> list[HostId]:
    """Return ``hosts`` by falling weight: the first serves, the next follows it."""
    return sorted(hosts, key=lambda host: weight(host, key), reverse=True)


def weight(host: HostId, key: str) -> tuple[bytes, HostId]:
    """Return the weight of ``host`` for ``key``, alike on every machine."""
    return hashlib.sha256(f"{host}\n{key}".encode()).digest()[:8], host
