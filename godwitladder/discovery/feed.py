"""Keeps documents and targets up to date with the store, and tracks their age.

One host, the reader, reads the store and broadcasts what it read. Each read costs
money, and the store allows a few hundred per second for all hosts together: if each
host read for itself, the number of reads would grow with the number of hosts. A host
whose news are late asks a peer for what it lacks, and reads the store itself in time
for the bound of a change.

A newly started host requests the full state from its peers, so that it can serve even
while the store is unavailable. If callers may already be waiting, it reads the store at
the same time. When a whole fleet starts for the first time, a host reads the store only
if no peer answers.
"""

import math
import threading
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace

from godwitladder.clock import Clock
from godwitladder.discovery.batches import decode_batch
from godwitladder.discovery.messages import FeedNews
from godwitladder.discovery.places import Fit, Place, is_other_history
from godwitladder.discovery.read_timing import (
    ASK_INTERVAL_S,
    MAX_READ_S,
    MAX_TAKEOVER_RANK,
    READ_INTERVAL_S,
    STEP_INTERVAL_S,
    TAKEOVER_DELAY_S,
    ask_age_s,
    news_due_s,
    read_age_s,
)
from godwitladder.discovery.source import Batch, Source, StoreUnavailable
from godwitladder.discovery.state_exchange import PEER_ANSWER_TIMEOUT_S, StateExchange
from godwitladder.discovery.store_copy import LOG_INTERVAL_S
from godwitladder.discovery.store_reads import Beside, call_in_turn, read_both
from godwitladder.discovery.store_view import StoreView
from godwitladder.discovery.telling import (
    make_document_news,
    make_read_news,
)
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.routing.freshness import DocumentFreshness

log = component_logger("feed")

UNLINKED_START_TIMEOUT_S = 0.4
"""Time after its start at which a host that has found no peer reads the store itself.
It is short because after a failure of all hosts no caller is served before one of
them has read."""
TELL_DELAY_S = 1.0
"""Time after which a host tells of a document that the store has lost; the reader does
so with its next read, within an interval."""
TELLERS = 3
"""Hosts at the start of the reading order that broadcast whatever they read. If all
hosts that read at the same time did so, each would send a changed document to each."""
READER_LOSS_TIMEOUT_S = 3.0
"""Time without news after which a host outside the reading order broadcasts its own
reads: by then every host in the order has failed to read the store."""
COMPARED_READS = 2
"""Reads whose shortest tells how long one takes; all are long if the store is slow."""
LATE_NEWS_S = 1.0
"""Time on the way from which news is logged as late."""


class Feed(StateExchange):
    """Keeps this host's copy of the store up to date.

    Parameters
    ----------
    host : HostId
        This host.
    source : Source
        Interface to the store.
    clock : Clock
        The host's clock.
    freshness : DocumentFreshness
        Notified of each confirmation that the document is the newest.
    publish : callable
        Called with a new `StoreView` after each change.
    reads_at_start : bool
        Whether this host reads the store at its start without waiting for a peer.

    Attributes
    ----------
    hosts : tuple of HostId
        Hosts that may read the store for others, in reading order; the first is the
        reader.
    broadcast : callable
        Sends news to all peers.
    beside : callable
        Starts the read of one topic while the other one is read.
    store_version : int or None
        Version of the newest document that this host has read of the store itself.
    read_at : float
        Start of the last read.
    last_news_at : float
        Time at which news from another host was last applied.
    peer_read_at : float
        Start of the newest read by another host that this one knows of.
    last_reads_s : deque of float
        Durations of the latest reads, by this host or by the senders of news, in
        seconds.
    read_s : float
        The shortest of these.
    """

    def __init__(
        self,
        host: HostId,
        source: Source,
        clock: Clock,
        freshness: DocumentFreshness,
        publish: Callable[[StoreView], None],
        reads_at_start: bool = False,
    ) -> None:
        super().__init__(host, source, clock, freshness, publish)
        self.reads_at_start = reads_at_start
        self.broadcast: Callable[[FeedNews], None] = lambda news: None
        self.beside: Beside = call_in_turn
        self.hosts: tuple[HostId, ...] = (host,)
        self.store_version: int | None = None
        self.read_s = 0.0
        self.last_reads_s = deque([self.read_s], maxlen=COMPARED_READS)
        self.last_news_at = self.peer_read_at = clock.boottime()
        self.read_at = self.asks_logged_at = -math.inf
        self.late_logged_at = -math.inf
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the update loop in a thread."""
        threading.Thread(target=self.run, name="feed", daemon=True).start()

    def stop(self) -> None:
        """Stop the update loop after the read in progress."""
        self.stopping.set()

    def run(self) -> None:
        """Run the update loop until stopped."""
        self.turns.loop(self.stopping, self.step_in_turn)

    def step_in_turn(self) -> float:
        """Run one step, and return the seconds until the next one."""
        self.step()
        return self.pause_s()

    def pause_s(self) -> float:
        """Return the seconds until the next step.

        A host that receives news from a reader wakes up when its state becomes too
        old.
        """
        waits = self.is_unpublished or self.tells_at is not None
        if self.reads_always() or waits or self.table.pending_removals:
            return STEP_INTERVAL_S
        return max(
            STEP_INTERVAL_S,
            ask_age_s(self.read_s) - self.freshness.age_s(self.clock.boottime()),
        )

    def step(self) -> None:
        """Read the store if this host should, and remove expired targets and orders."""
        now = self.clock.boottime()
        self.request_state()
        self.request_late_news(now)
        if self.fleet is not None and self.fleet.is_due(now, self.should_read(now)):
            self.check_fleet()
        if (
            not self.waits_for_peer(now)
            and now - self.read_at >= READ_INTERVAL_S
            and self.should_read(now)
        ):
            self.log_lack_of_news(now)
            self.read()
        with self.lock:
            now = self.clock.boottime()
            changed = self.table.expire(now) | self.rollouts.expire(now)
            if changed or self.is_unpublished:
                self.publish_view()
        if self.tells_at is not None and now >= self.tells_at:
            self.tell_document()

    def log_lack_of_news(self, now: float) -> None:
        """Log a read of a host that waits for news of others."""
        if not self.reads_always():
            extra = self.describe_lack(now)
            log.info("The store is read for lack of news", extra=extra)

    def describe_lack(self, now: float) -> dict:
        """Return the fields of a line about news that are late."""
        return {
            "version": self.document.version,
            "age_s": self.age_s(),
            "confirmed_by": self.freshness.confirmed_by,
            "last_news_s": round(now - self.last_news_at, 3),
            "read_s": round(self.read_s, 3),
            "rank": self.takeover_rank(),
        }

    def forget_state(self) -> None:
        """Forget what is known of another store, so that this one is read anew."""
        extra = {"version": self.document.version, "fleet": self.fleet.fleet}
        log.warning("The state is of another store, and is forgotten", extra=extra)
        super().forget_state()
        self.store_version = None
        self.read_at = -math.inf

    def waits_for_peer(self, now: float) -> bool:
        """Return whether this host has no state yet and waits for a peer to send it."""
        if self.has_state() or self.reads_at_start or self.is_reader():
            return False
        linked = self.requests.is_linked
        limit_s = PEER_ANSWER_TIMEOUT_S if linked else UNLINKED_START_TIMEOUT_S
        return now - self.started < limit_s

    def is_reader(self) -> bool:
        """Return whether this host reads the store for other hosts."""
        return len(self.hosts) > 1 and self.hosts[0] == self.host

    def is_first(self) -> bool:
        """Return whether no other host reads the store for this one."""
        return not self.hosts or self.hosts[0] == self.host

    def reads_always(self) -> bool:
        """Return whether this host reads the store at each interval."""
        return self.is_first() or not self.has_state()

    def request_late_news(self, now: float) -> None:
        """Ask a peer for news that are late.

        The link to the reader may hang while all others have its news. A host that the
        store turns away depends on it, the reader too.
        """
        if self.freshness.age_s(now) <= ask_age_s(self.read_s):
            return
        if self.ask_peer(now, ASK_INTERVAL_S):
            self.log_question(now)

    def log_question(self, now: float) -> None:
        """Log that a peer is asked, at most one line a second."""
        if now - self.asks_logged_at < LOG_INTERVAL_S:
            return
        self.asks_logged_at = now
        log.info("News are asked of a peer", extra=self.describe_lack(now))

    def should_read(self, now: float) -> bool:
        """Return whether this host should read the store now."""
        if self.reads_always():
            return True
        bound_s = self.freshness.change_s
        return self.freshness.age_s(now) > read_age_s(
            self.read_s, self.takeover_rank(), bound_s
        )

    def takeover_rank(self) -> int:
        """Return how many hosts precede this one in the reading order, limited."""
        if self.host not in self.hosts:
            return MAX_TAKEOVER_RANK
        return min(self.hosts.index(self.host), MAX_TAKEOVER_RANK)

    def read(self) -> None:
        """Read the new records and broadcast them."""
        began = self.read_at = self.clock.boottime()
        asked = self.document_place, self.entry_place
        try:
            documents, entries = self.fetch_both()
        except StoreUnavailable as error:
            self.record_store_failure(error)
            return
        is_doubtful = self.is_fleet_in_doubt(asked, documents, entries)
        if is_doubtful and self.check_fleet():
            return
        with self.lock:
            self.leave_lost_history(asked, documents, entries)
        self.finish_read(documents, entries, began)

    def fetch_both(self) -> tuple[Batch, Batch]:
        """Read both topics from this host's places on."""
        return read_both(
            self.source, self.document_place, self.entry_place, self.beside
        )

    def leave_lost_history(
        self, asked: tuple[Place, Place], documents: Batch, entries: Batch
    ) -> None:
        """Give up the places of this host if the store lost them without a new era.

        A store that tells no era, or counts eras anew, would else be taken for one
        that answers late, for ever.
        """
        if asked != (self.document_place, self.entry_place):
            return
        batches = documents, entries
        if any(map(is_other_history, asked, batches)):
            log.warning(
                "The store lost this host's place without a new era",
                extra={"era": documents.era, "places": [vars(row) for row in asked]},
            )
            self.document_place = self.entry_place = Place(documents.era)
            self.record_copy(documents)

    def finish_read(self, documents: Batch, entries: Batch, began: float) -> None:
        """Apply a read that started at ``began``, and broadcast it."""
        with self.lock:
            self.record_store_answer()
            news = self.make_news(documents, entries)
            self.record_store_version(documents)
            self.apply(documents, entries, began)
            self.answer_pending()
            self.record_read_duration(self.clock.boottime() - began)
        if news is not None:
            now, version = self.clock.boottime(), self.document.version
            age_s = read_s = now - began
            news = replace(news, age_s=age_s, version=version, sent_s=now)
            self.broadcast(replace(news, read_s=read_s))
        if self.answers_orders():
            self.rollouts.answer_orders()

    def record_store_version(self, documents: Batch) -> None:
        """Record which version the store has; log if it is older than that in force.

        The one in force stays: the store has lost what it had acknowledged.
        """
        version = self.newest_version(documents)
        if version < 0 or version == self.store_version:
            return
        self.store_version = version
        if version < self.document.version:
            log.warning(
                "The store's document is older than the one in force",
                extra={"version": self.document.version, "store_version": version},
            )

    def answers_orders(self) -> bool:
        """Return whether this host is the one that answers rollout orders."""
        return self.is_first()

    def record_read_duration(self, seconds: float) -> None:
        """Record the duration of a read, in seconds.

        One long read tells nothing of the store: its host may have stood still.
        """
        self.last_reads_s.append(min(seconds, MAX_READ_S))
        self.read_s = min(self.last_reads_s)

    def make_news(self, documents: Batch, entries: Batch) -> FeedNews | None:
        """Return the news to broadcast after a read, or None for none.

        It must be called before the read is applied. The first read of a newly started
        host contains whole documents. Only the reader broadcasts these, and it must,
        since the document may have changed while there was no reader.
        """
        if self.clock.boottime() - self.peer_read_at <= self.silence_s():
            return None
        if self.reads_at_start and not self.has_state() and not self.is_reader():
            return None
        # Each of the others reads the copy by itself if there is no reader.
        if self.is_from_copy(documents) and not self.is_reader():
            return None
        return make_read_news(self, documents, entries)

    def apply_news(self, news: FeedNews, late_s: float = 0.0) -> None:
        """Apply what another host has read.

        News that starts beyond the last record of this host leaves a gap. It is
        ignored, and a peer is asked for what is missing.

        Parameters
        ----------
        late_s : float
            Longest time that the news may have been on the way, in seconds. It confirms
            nothing if that is infinite.
        """
        age_s = news.age_s + late_s
        began = self.clock.boottime() - age_s
        if late_s > LATE_NEWS_S:
            self.log_late(news, late_s)
        is_full = news.documents.start < 0
        with self.lock:
            self.requests.is_heard |= is_full
            fits = (
                self.document_place.fit(news.documents),
                self.entry_place.fit(news.entries),
            )
            if Fit.GAP in fits or Fit.OLD_ERA in fits:
                self.ignore_news(news, fits)
            else:
                self.store_answered_at = max(self.store_answered_at, began)
                self.last_news_at = self.clock.boottime()
                self.peer_read_at = max(self.peer_read_at, began)
                if news.read_s is not None:
                    self.record_read_duration(news.read_s)
                self.apply(
                    decode_batch(news.documents),
                    decode_batch(news.entries),
                    began,
                    news.host,
                )
                self.requests.record_news(news.version)
                self.answer_pending()
        if not is_full and self.requests.named_version > self.document.version:
            self.request_state()

    def log_late(self, news: FeedNews, late_s: float) -> None:
        """Log news that was long on the way, at most one line a second."""
        now = self.clock.boottime()
        if now - self.late_logged_at < LOG_INTERVAL_S:
            return
        self.late_logged_at = now
        extra = {
            "sender": news.host,
            "late_s": round(late_s, 3) if math.isfinite(late_s) else None,
            "read_before_s": round(news.age_s, 3),
            "age_s": self.age_s(),
        }
        log.info("News of a peer was late", extra=extra)

    def ignore_news(self, news: FeedNews, fits: Iterable[Fit]) -> None:
        """Take no more than a newer document from news of another place."""
        if Fit.GAP in fits:
            self.request_missing()
        if Fit.OLD_ERA in fits and self.rewritten.keys is None:
            self.rewritten.begin(self.clock.boottime())
        reasons = [row.value for row in fits if row is not Fit.APPLIES]
        self.log_ignored(reasons, news.documents, news.entries)
        if self.apply_documents(decode_batch(news.documents), news.host):
            self.publish_view()

    def silence_s(self) -> float:
        """Return how old the newest read of a peer is once this host tells its own.

        The store may turn away the first hosts of the reading order. A peer that is
        asked may answer with an old read.
        """
        if self.host in self.hosts[:TELLERS]:
            return -math.inf
        if self.host in self.hosts:
            return news_due_s(self.read_s) + 2 * self.read_s
        return READER_LOSS_TIMEOUT_S

    def tell_document(self) -> None:
        """Tell all others of the document in force, which the store has lost."""
        with self.lock:
            self.tells_at = None
            news = make_document_news(self)
        place = self.document_place.offset
        log.info(
            "Told the others of a document that the store has lost",
            extra={"version": news.version, "place": place},
        )
        self.broadcast(news)

    def tell_delay_s(self) -> float | None:
        """Return after how long to tell of a document that the store has lost.

        None for the reader, which tells with its next read.
        """
        if self.is_reader():
            return None
        return TELL_DELAY_S + TAKEOVER_DELAY_S * self.takeover_rank()
