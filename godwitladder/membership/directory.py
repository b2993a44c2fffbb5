"""A hub's reports of the live hosts to hosts that are no hubs."""

from collections.abc import Collection
from dataclasses import replace

from godwitladder.ids import HostId
from godwitladder.membership.codec import encode
from godwitladder.membership.links import Link
from godwitladder.membership.messages import Directory, Heartbeat


class DirectoryPublisher:
    """Reports all live hosts once over each link, and from then on what changes.

    A link keeps its order and loses nothing while it is up, so that changes
    are enough; a new link begins with all hosts again.

    Parameters
    ----------
    host : HostId
        This host.

    Attributes
    ----------
    known : dict
        The live hosts as they were reported last.
    informed : set of Link
        Links over which all of them were reported.
    """

    def __init__(self, host: HostId) -> None:
        self.host = host
        self.known: dict[HostId, Heartbeat] = {}
        self.informed: set[Link] = set()

    def publish(self, rows: Collection[Heartbeat], links: Collection[Link]) -> None:
        """Report to the peers of ``links`` that the hosts in ``rows`` are live.

        Whoever was reported to so far hears of this change too: the same change
        may make another hub the one that reports, which learns of it by this.
        """
        # A count says when a host was heard last, which is no change.
        live = {row.host: replace(row, count=0) for row in rows}
        new = tuple(row for host, row in live.items() if self.known.get(host) != row)
        gone = tuple(host for host in self.known if host not in live)
        self.known = live
        fresh = set(links) - self.informed
        if new or gone:
            _send(Directory(self.host, False, new, gone), self.informed)
        if fresh:
            _send(Directory(self.host, True, tuple(live.values())), fresh)
        self.informed = set(links)


def _send(message: Directory, links: Collection[Link]) -> None:
    data = encode(message)
    for link in links:
        link.send(data)
