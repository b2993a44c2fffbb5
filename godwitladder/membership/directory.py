"""A hub's reports of the live hosts to hosts that are not hubs."""

from collections.abc import Collection
from dataclasses import replace

from godwitladder.ids import HostId
from godwitladder.membership.codec import encode
from godwitladder.membership.links import Link
from godwitladder.membership.members import Member, as_heartbeat
from godwitladder.membership.messages import Directory, Heartbeat


class DirectoryPublisher:
    """Reports all live hosts once over each link, and then only changes.

    An open link preserves the order of messages and loses none, so changes are
    sufficient. A new link starts with a complete report.

    Parameters
    ----------
    host : HostId
        This host.

    Attributes
    ----------
    last_report : dict
        Heartbeats of the live hosts in the last report.
    informed : set of Link
        Links that have received a complete report.
    rows : dict
        The table entry that each heartbeat in the last report was made from. An entry
        is replaced when anything but its heartbeat count changes.
    """

    def __init__(self, host: HostId) -> None:
        self.host = host
        self.last_report: dict[HostId, Heartbeat] = {}
        self.informed: set[Link] = set()
        self.rows: dict[HostId, Member] = {}

    def publish(self, rows: Collection[Member], links: Collection[Link]) -> None:
        """Report the live hosts ``rows`` to the peers of ``links``.

        Links that were informed before receive this change too, even if they are
        no longer in ``links``: the change itself may make another hub responsible
        for a peer, and that hub learns about the change only from this report.
        """
        live = {row.host: self.report_of(row) for row in rows}
        self.rows = {row.host: row for row in rows}
        new = tuple(
            row for host, row in live.items() if self.last_report.get(host) != row
        )
        removed = tuple(host for host in self.last_report if host not in live)
        self.last_report = live
        fresh = set(links) - self.informed
        if new or removed:
            _send(Directory(self.host, False, new, removed), self.informed)
        if fresh:
            _send(Directory(self.host, True, tuple(live.values())), fresh)
        self.informed = set(links)

    def report_of(self, row: Member) -> Heartbeat:
        """Return the entry of a report for a live host, that of the last if unchanged.

        A new heartbeat count alone is not a change to report.
        """
        if self.rows.get(row.host) is row:
            return self.last_report[row.host]
        return replace(as_heartbeat(row), count=0)


def _send(message: Directory, links: Collection[Link]) -> None:
    data = encode(message)
    for link in links:
        link.send(data)
