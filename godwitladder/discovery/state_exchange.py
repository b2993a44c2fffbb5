"""A copy of the store that asks peers for what it lacks, and answers those that ask.

A host that starts asks for the full state, a host that has missed news for just that.
"""

import math
from collections.abc import Callable

from godwitladder.clock import Clock
from godwitladder.discovery.fleet_copy import FleetCopy
from godwitladder.discovery.messages import FeedNews, FeedWanted, KnownState
from godwitladder.discovery.peer_requests import REQUEST_INTERVAL_S, PeerRequests
from godwitladder.discovery.source import Source
from godwitladder.discovery.store_view import StoreView
from godwitladder.discovery.telling import (
    describe_state,
    knows_more,
    make_full_news,
    make_missing_news,
)
from godwitladder.ids import HostId
from godwitladder.routing.freshness import DocumentFreshness

PEER_ANSWER_TIMEOUT_S = 1.2
"""Time after its start at which a host that has received nothing from a peer reads the
store itself, and uses what it has read."""
MAX_PENDING_REPLIES = 1_000
"""Requests that a host without any state keeps; hosts repeat theirs."""


class StateExchange(FleetCopy):
    """A copy of the store that is filled from peers, and sent to them.

    The parameters are those of `StoreCopy`.

    Attributes
    ----------
    started : float
        Time at which this host started.
    send_request : callable
        Sends a request to some peer, and returns whether there is one.
    requests : PeerRequests
        When the full state was requested.
    asked_at : float
        Time at which a peer was last asked for news that this host lacks.
    pending_replies : list of callable
        Replies to requests that arrived before this host had any state; called with
        the full state once there is one.
    """

    def __init__(
        self,
        host: HostId,
        source: Source,
        clock: Clock,
        freshness: DocumentFreshness,
        publish: Callable[[StoreView], None],
    ) -> None:
        super().__init__(host, source, clock, freshness, publish)
        self.started = clock.boottime()
        self.send_request: Callable[[FeedWanted], bool] = lambda wanted: False
        self.requests = PeerRequests()
        self.asked_at = -math.inf
        self.pending_replies: list[Callable[[FeedNews], None]] = []

    def forget_state(self) -> None:
        """Forget what is known of another store, and whom it was requested of."""
        super().forget_state()
        self.requests = PeerRequests()

    def request_state(
        self, send_request: Callable[[FeedWanted], bool] | None = None
    ) -> None:
        """Request the full state from one peer, if that is due.

        Each peer answers with whole documents. If all peers were asked at once, their
        answers would fill the link of a newly started host for seconds.

        Parameters
        ----------
        send_request : callable or None
            Sends the request to a certain peer and returns whether it was sent; None
            for any peer.
        """
        now = self.clock.boottime()
        if send_request is not None:
            self.requests.record_link(now)
        is_new = self.needs_peer(now)
        if not self.requests.is_due(now, is_new, self.document.version):
            return
        sent = (send_request or self.send_request)(FeedWanted(self.host))
        if send_request is None:
            self.requests.is_linked = sent
        if sent:
            self.requests.record_request(now, is_new, self.document.version)

    def needs_peer(self, now: float) -> bool:
        """Return whether this host waits for the state of a peer."""
        return not (self.has_state() and self.trusts_store(now))

    def trusts_store(self, now: float) -> bool:
        """Return whether what was read of the store may be used.

        The store may have come back from a copy just before this host started. It would
        let in callers whose keys its peers know to be revoked.
        """
        return self.requests.is_heard or now - self.started >= PEER_ANSWER_TIMEOUT_S

    def request_missing(self) -> None:
        """Request from a peer the records before news that can't be applied."""
        self.ask_peer(self.clock.boottime(), REQUEST_INTERVAL_S)

    def ask_peer(self, now: float, interval_s: float) -> bool:
        """Ask a peer for what this host lacks, unless it asked one lately.

        Parameters
        ----------
        interval_s : float
            Shortest time since the last question, in seconds.

        Returns
        -------
        bool
            Whether a peer was asked.
        """
        if not self.has_state() or now - self.asked_at < interval_s:
            return False
        is_sent = self.send_request(FeedWanted(self.host, describe_state(self)))
        if is_sent:
            self.asked_at = now
        return is_sent

    def answer_request(
        self, reply: Callable[[FeedNews], None], known: KnownState | None = None
    ) -> None:
        """Call ``reply`` with what a peer lacks, or with the full state.

        Parameters
        ----------
        known : KnownState or None
            What the peer has; there is no reply if this host knows nothing newer. None
            for the full state, now or once this host has any.
        """
        with self.lock:
            if known is not None:
                is_useful = self.has_state() and knows_more(self, known)
                news = make_missing_news(self, known) if is_useful else None
            else:
                news = self.make_full_news()
                if news is None and len(self.pending_replies) < MAX_PENDING_REPLIES:
                    self.pending_replies.append(reply)
        if news is not None:
            reply(news)

    def answer_pending(self) -> None:
        """Answer the requests that arrived before this host had any state."""
        if not self.has_state():
            return
        replies, self.pending_replies = self.pending_replies, []
        for reply in replies:
            reply(self.make_full_news())

    def make_full_news(self) -> FeedNews | None:
        """Return the full state of this host; None if it has none."""
        with self.lock:
            return make_full_news(self) if self.has_state() else None
