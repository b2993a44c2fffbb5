"""Registration in and polling of the store's host list.

Hosts find each other through seeds and gossip. The list is needed when all seeds are
gone, and to join partitions of a fleet that do not know of each other. Each store call
costs money, and a host that finds one other host learns of all through it. So only a
few hosts register themselves and poll the list, and so do hosts without any link.
"""

import threading
from collections.abc import Callable, Collection

from godwitladder.decisions.rendezvous import rank_hosts
from godwitladder.discovery.source import Source, StoreUnavailable
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.membership.contacts import ListedHost

log = component_logger("hosts")

POLL_INTERVAL_S = 10.0
UNLINKED_POLL_INTERVAL_S = 1.0
"""Interval for hosts that have no link to any other or are not registered yet."""
REGISTERED_HOSTS = 3
"""Number of linked hosts that are on the list; two of them may fail at once."""
LEAVE_RETRY_S = 1.0
"""Pause between two tries to mark this host as leaving, while the store is away."""
RANKING_KEY = "list of hosts"


class HostList:
    """Registers this host and polls the list, if it is chosen or has no link.

    Parameters
    ----------
    host : HostId
        This host.
    source : Source
        The store.
    row : ListedHost
        Entry of this host.
    report : callable
        Called with the listed hosts that are not leaving.

    Attributes
    ----------
    registered : bool
        Whether the store has this host's entry.
    left : threading.Event
        Set once the store has no entry that says that this host stays.
    """

    def __init__(
        self,
        host: HostId,
        source: Source,
        row: ListedHost,
        report: Callable[[tuple[ListedHost, ...]], None],
    ) -> None:
        self.host = host
        self.source = source
        self.row = row
        self.report = report
        self.registered = False
        self.left = threading.Event()

    def update(self, linked: bool, hosts: Collection[HostId]) -> float:
        """Register and poll as needed; return the seconds until the next call.

        Parameters
        ----------
        linked : bool
            Whether this host has a link to any other.
        hosts : collection of HostId
            Hosts from which those that register and poll are chosen.
        """
        if (
            linked
            and self.host not in rank_hosts(hosts, RANKING_KEY)[:REGISTERED_HOSTS]
        ):
            return POLL_INTERVAL_S
        self.registered = self.registered or self.write(self.row)
        self.read()
        return (
            POLL_INTERVAL_S if linked and self.registered else UNLINKED_POLL_INTERVAL_S
        )

    def leave(self) -> float:
        """Mark this host as leaving, if it is registered.

        Returns
        -------
        float
            Seconds until the next try, unless `left` is set.
        """
        row = ListedHost(self.row.address, self.row.zone, leaving=True)
        if not self.registered or self.write(row):
            self.left.set()
        return LEAVE_RETRY_S

    def read(self) -> None:
        """Read the list and report the hosts that are not leaving.

        The store may have come back from a copy that lacks this host.
        """
        try:
            rows = self.source.read_hosts()
        except StoreUnavailable as error:
            log.info("Could not read the host list", extra={"error": str(error)})
            return
        present = tuple(row for row in rows if not row.leaving)
        listed = self.row.address in {row.address for row in present}
        if self.registered and not listed:
            log.info("This host is missing from the host list")
        self.registered = self.registered and listed
        self.report(present)

    def write(self, row: ListedHost) -> bool:
        """Write ``row`` to the list; return whether the store accepted it."""
        try:
            self.source.register_host(row)
        except StoreUnavailable as error:
            log.info(
                "Could not write this host to the host list",
                extra={"error": str(error)},
            )
            return False
        return True
