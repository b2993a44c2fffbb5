"""The store's list of hosts: who is on it, and who reads it.

Hosts find each other by their seeds and by what peers tell. The list is for when
all seeds are gone, and for parts of a fleet that know nothing of each other.
Each call of the store is priced, and whoever finds one host finds all: a few
hosts keep the list, and one without any link reads it too.
"""

from collections.abc import Callable, Collection

from godwitladder.decisions.rendezvous import rank_hosts
from godwitladder.discovery.source import Source, StoreUnavailable
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.membership.contacts import ListedHost

log = component_logger("hosts")

PERIOD_S = 10.0
LONELY_PERIOD_S = 1.0
"""How often a host that has no link to any other reads the list."""
KEEPERS = 3
"""Hosts that keep the list: two of them may fail at once."""
KEY = "list of hosts"


class HostList:
    """Puts this host on the list where that is its part, and reads it.

    Parameters
    ----------
    host : HostId
        This host.
    source : Source
        The store.
    row : ListedHost
        How this host is listed.
    report : callable
        Called with the hosts on the list that are not leaving.

    Attributes
    ----------
    listed : bool
        Whether the store has taken this host's row.
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
        self.listed = False

    def update(self, linked: bool, hosts: Collection[HostId]) -> float:
        """Do this host's part; return the seconds until the next look.

        Parameters
        ----------
        linked : bool
            Whether there is a link to any other host.
        hosts : collection of HostId
            Hosts that may keep the list.
        """
        if linked and self.host not in rank_hosts(hosts, KEY)[:KEEPERS]:
            return PERIOD_S
        self.listed = self.listed or self.write(self.row)
        self.read()
        return PERIOD_S if linked and self.listed else LONELY_PERIOD_S

    def leave(self) -> None:
        """Mark this host as leaving, if it is listed."""
        if self.listed:
            self.write(ListedHost(self.row.address, self.row.zone, leaving=True))

    def read(self) -> None:
        """Read the list."""
        try:
            rows = self.source.read_hosts()
        except StoreUnavailable as error:
            log.info("No list of hosts", extra={"error": str(error)})
            return
        self.report(tuple(row for row in rows if not row.leaving))

    def write(self, row: ListedHost) -> bool:
        """Put ``row`` on the list; return whether the store took it."""
        try:
            self.source.register_host(row)
        except StoreUnavailable as error:
            log.info("The host is not listed", extra={"error": str(error)})
            return False
        return True
