"""A copy of the store that takes news of peers of one fleet only.

What is known of another store must not be in force beside this one. News that come
before this host has checked whose store it reads are held for a moment.
"""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.discovery.messages import FeedNews
from godwitladder.discovery.places import Place, is_other_history
from godwitladder.discovery.source import Batch, Source, StoreUnavailable
from godwitladder.discovery.store_copy import LOG_INTERVAL_S, StoreCopy
from godwitladder.discovery.store_fleet import FIRST_CHECK_S, StoreFleet
from godwitladder.discovery.store_view import StoreView
from godwitladder.ids import FleetId, HostId
from godwitladder.logs import component_logger
from godwitladder.process.loops import Turns
from godwitladder.routing.freshness import DocumentFreshness

log = component_logger("feed")


@dataclass(frozen=True)
class EarlyNews:
    """News that wait until this host knows its fleet.

    Attributes
    ----------
    late_s : float
        Longest time that they may have been on the way, in seconds.
    fleet : FleetId or None
        Fleet of the sender.
    received_at : float
        Time at which they arrived.
    """

    news: FeedNews
    late_s: float
    fleet: FleetId | None
    received_at: float


class FleetCopy(StoreCopy, abc.ABC):
    """A copy of the store of this host's fleet.

    The parameters are those of `StoreCopy`.

    Attributes
    ----------
    fleet : StoreFleet or None
        Whose store this host reads; None to read it without a check.
    call_later : callable
        Calls a function in another thread after some seconds.
    enter_fleet : callable
        Called with the identity of the store whenever it has been checked.
    early_news : EarlyNews or None
        The last news that came before the first check of the fleet.
    turns : Turns
        Runs what applies records.
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
        self.fleet: StoreFleet | None = None
        self.call_later: Callable[[float, Callable[[], None]], None] = (
            lambda delay_s, function: None
        )
        self.enter_fleet: Callable[[FleetId], None] = lambda fleet: None
        self.early_news: EarlyNews | None = None
        self.turns = Turns("feed", clock, self.doubt_copy)

    @abc.abstractmethod
    def apply_news(self, news: FeedNews, late_s: float = 0.0) -> None:
        """Apply what another host of this fleet has read."""

    def check_fleet(self) -> bool:
        """Check whose store this is; return whether the state here was another's.

        What is known of another store must not be in force beside this one, however
        high its versions are. A check that fails holds up no read: the identity is a
        further call, and a store may refuse to keep one.
        """
        try:
            is_other = self.fleet.check(self.document_place.era)
        except StoreUnavailable as error:
            self.record_store_failure(error)
            self.receive_early_news()
            return False
        with self.lock:
            self.record_store_answer()
            if is_other:
                self.forget_state()
        self.enter_fleet(self.fleet.fleet)
        self.receive_early_news()
        return is_other

    def is_fleet_in_doubt(self, asked: tuple[Place, Place], *batches: Batch) -> bool:
        """Return whether a read may be of another store than the reads before."""
        if self.fleet is None:
            return False
        rows = tuple(zip(asked, batches, strict=True))
        return self.fleet.is_other_connection() or any(
            place.offset >= 0
            and (place.era != batch.era or is_other_history(place, batch))
            for place, batch in rows
        )

    def receive_news(
        self, news: FeedNews, late_s: float = 0.0, fleet: FleetId | None = None
    ) -> None:
        """Apply what another host has read, in a turn of this part.

        Parameters
        ----------
        fleet : FleetId or None
            Fleet of that host; None if it can't tell.
        """
        if self.fleet is None:
            self.turns.run(self.apply_news, news, late_s)
            return
        with self.lock:
            if self.fleet.is_waiting():
                self.hold_early_news(news, late_s, fleet)
                return
            if not self.fleet.accepts(fleet, self.reachable):
                self.log_refused(news.host, fleet)
                return
            self.fleet.record_news(fleet)
            self.turns.run(self.apply_news, news, late_s)
        self.enter_fleet(self.fleet.fleet)

    def hold_early_news(
        self, news: FeedNews, late_s: float, fleet: FleetId | None
    ) -> None:
        """Keep news until the first check of the fleet, or the end of its time.

        A store that is silent holds this part's own thread for longer than that.
        """
        if self.early_news is None:
            self.call_later(FIRST_CHECK_S, self.receive_early_news)
        elif news.documents.start >= 0:
            # It may not follow what the state that is held has.
            return
        self.early_news = EarlyNews(news, late_s, fleet, self.clock.boottime())

    def receive_early_news(self) -> None:
        """Apply the last news that came before the first check of the fleet."""
        early, self.early_news = self.early_news, None
        if early is not None:
            held_s = self.clock.boottime() - early.received_at
            self.receive_news(early.news, early.late_s + held_s, early.fleet)

    def log_refused(self, sender: HostId, fleet: FleetId | None) -> None:
        """Log news that may be of another fleet, at most one line a second."""
        now = self.clock.boottime()
        if now - self.ignored_at < LOG_INTERVAL_S:
            return
        self.ignored_at = now
        extra = {"sender": sender, "sender_fleet": fleet, "fleet": self.fleet.fleet}
        log.info("News of a peer not applied", extra=extra)
