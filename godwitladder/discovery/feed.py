"""Keeps documents and targets up to date with the store, and tracks their age.

One host, the reader, reads the store and broadcasts what it read; a host that has
received no news for a while reads the store itself. Each read costs money, and the
store allows a few hundred per second for all hosts together: if each host read for
itself, the number of reads would grow with the number of hosts.

A newly started host requests the full state from its peers, so that it can serve even
while the store is unavailable. If callers may already be waiting, it reads the store at
the same time. When a whole fleet starts for the first time, a host reads the store only
if no peer answers.
"""

import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from godwitladder.clock import Clock
from godwitladder.discovery.batches import (
    apply_batch,
    count_bytes,
    decode_batch,
    drop_known,
    encode_batch,
    join,
    merge_copy,
    snapshot_at,
)
from godwitladder.discovery.messages import FeedNews, FeedWanted, RawBatch
from godwitladder.discovery.peer_requests import REQUEST_INTERVAL_S, PeerRequests
from godwitladder.discovery.places import Fit, Place, is_other_history
from godwitladder.discovery.rewritten import RewrittenEntries
from godwitladder.discovery.rollout_tracker import RolloutTracker
from godwitladder.discovery.rollouts import held_back
from godwitladder.discovery.source import (
    NO_ERA,
    Batch,
    Record,
    Source,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.discovery.store_fleet import FIRST_CHECK_S, StoreFleet
from godwitladder.discovery.store_view import StoreView
from godwitladder.discovery.targets import TargetTable
from godwitladder.ids import FleetId, HostId
from godwitladder.logs import component_logger
from godwitladder.process.loops import Turns
from godwitladder.process.memory import require_room
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.model import RoutingDocument

log = component_logger("feed")

READ_INTERVAL_S = 0.6
"""Interval between reads. All hosts must know of a target that leaves, or of a changed
document, within 2 s. That limit covers one interval, one more if a read is missed, and
the store's answer."""
STEP_INTERVAL_S = 0.1
"""Interval at which a host checks whether it should read."""
NEWS_TIMEOUT_S = 1.0
"""Age of the state after which a host reads the store itself; allows for one missed
interval."""
TAKEOVER_DELAY_S = 0.1
"""Added to `NEWS_TIMEOUT_S` for each host that precedes this one in the reading order,
so that the hosts do not all start to read at once when the reader fails."""
MAX_TAKEOVER_RANK = 10
"""Maximum number of preceding hosts for which that delay is added."""
UNLINKED_START_TIMEOUT_S = 0.4
"""Time after its start at which a host that has found no peer reads the store itself.
It is short because after a failure of all hosts no caller is served before one of
them has read."""
PEER_ANSWER_TIMEOUT_S = 1.2
"""Time after its start at which a host that has received nothing from a peer reads the
store itself, and uses what it has read."""
MAX_READ_S = 1.0
"""Upper bound on the read duration that hosts allow for when they wait for news."""
MAX_NEWS_TIMEOUT_S = 2.5
"""Age of the state at which any host reads the store itself, however slow the store is.
It is half the time for which keys are accepted without a new confirmation."""
TELL_DELAY_S = 1.0
"""Time after which a host tells of a document that the store has lost; the reader does
so with its next read, within an interval."""
READER_LOSS_TIMEOUT_S = 3.0
"""Time without news after which a host outside the reading order broadcasts its own
reads: by then every host in the order has failed to read the store."""
LOG_INTERVAL_S = 1.0
"""Shortest interval between two lines about what is not applied, or was late."""
LATE_NEWS_S = 1.0
"""Time on the way from which news is logged as late."""
MAX_FURTHER_READS = 4
"""Reads of one topic in a row, after the first; a snapshot is shorter than so many
changes."""
MAX_PENDING_REPLIES = 1_000
"""Requests that a host without any state keeps; hosts repeat theirs."""
MAX_READS_FOR_ERA = 3
"""Reads of both topics until both are of one era."""
OUTAGE_THRESHOLD_S = 1.5
"""Time without a successful read that counts as a store outage, during which entries of
live targets may have expired."""


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


class Feed:
    """Keeps the newest document and the targets.

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
    fleet : StoreFleet or None
        Whose store this host reads; None to read it without a check.
    call_later : callable
        Calls a function in another thread after some seconds.
    enter_fleet : callable
        Called with the identity of the store whenever it has been checked.
    early_news : EarlyNews or None
        The last news that came before the first check of the fleet.
    requests : PeerRequests
    store_version : int or None
        Version of the newest document that this host has read of the store itself.
    document_place, entry_place : Place
        Place of the next document or target record to read.
    document_record : Record or None
        Record of the document in force. The store may have lost it.
    last_news_at : float
        Time at which news from another host was last applied.
    read_s : float
        Duration of the latest read, by this host or by the sender of the latest news,
        in seconds.
    is_unpublished : bool
        Whether a view waits until what was read of the store may be used.
    is_doubtful : bool
        Whether a turn failed since the last view, which may lack what it applied.
    tells_at : float or None
        Time at which this host tells others of a document that the store has lost,
        unless one of them does so before.
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
        reads_at_start: bool = False,
    ) -> None:
        self.host = host
        self.source = source
        self.clock = clock
        self.freshness = freshness
        self.publish = publish
        self.broadcast: Callable[[FeedNews], None] = lambda news: None
        self.send_request: Callable[[FeedWanted], bool] = lambda wanted: False
        self.fleet: StoreFleet | None = None
        self.early_news: EarlyNews | None = None
        self.call_later: Callable[[float, Callable[[], None]], None] = (
            lambda delay_s, function: None
        )
        self.enter_fleet: Callable[[FleetId], None] = lambda fleet: None
        self.reads_at_start = reads_at_start
        self.pending_replies: list[Callable[[FeedNews], None]] = []
        self.started = clock.boottime()
        self.requests, self.is_unpublished = PeerRequests(), False
        self.tells_at: float | None = None
        self.rewritten = RewrittenEntries()
        self.hosts: tuple[HostId, ...] = (host,)
        self.table = TargetTable()
        self.newest_documents: dict[str, Record] = {}
        self.newest_entries: dict[str, Record] = {}
        self.document = RoutingDocument()
        self.rollouts = RolloutTracker(source)
        self.document_record: Record | None = None
        self.store_version: int | None = None
        self.document_place = Place()
        self.entry_place = Place()
        self.read_at = float("-inf")
        self.last_news_at = clock.boottime()
        self.read_s = 0.0
        self.store_answered_at = clock.boottime()
        self.reachable = False
        self.version = 0
        self.ignored_at = self.late_logged_at = float("-inf")
        self.lock = threading.RLock()
        self.stopping = threading.Event()
        self.is_doubtful = False
        self.turns = Turns("feed", clock, self.doubt_copy)

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

    def doubt_copy(self) -> None:
        """Have all records read anew: some may have been applied in part.

        Until they are and their view is published, nothing is confirmed, and no other
        host is told of this copy. The document in force stays.
        """
        with self.lock:
            self.is_doubtful = True
            self.document_place = Place(self.document_place.era)
            self.entry_place = Place(self.entry_place.era)

    def pause_s(self) -> float:
        """Return the seconds until the next step.

        A host that receives news from a reader wakes up when its state becomes too
        old.
        """
        reads = not self.hosts or self.hosts[0] == self.host
        waits = self.is_unpublished or self.tells_at is not None
        if reads or waits or not self.has_state() or self.table.pending_removals:
            return STEP_INTERVAL_S
        return max(
            STEP_INTERVAL_S,
            NEWS_TIMEOUT_S - self.freshness.age_s(self.clock.boottime()),
        )

    def step(self) -> None:
        """Read the store if this host should, and remove expired targets and orders."""
        now = self.clock.boottime()
        self.request_state()
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
        if self.hosts[:1] == (self.host,) or not self.has_state():
            return
        extra = {
            "age_s": self.age_s(),
            "confirmed_by": self.freshness.confirmed_by,
            "last_news_s": round(now - self.last_news_at, 3),
            "read_s": round(self.read_s, 3),
            "rank": self.takeover_rank(),
        }
        log.info("The store is read for lack of news", extra=extra)

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

    def forget_state(self) -> None:
        """Forget what is known of another store, so that this one is read anew.

        The view that was published stays in force without being confirmed until then,
        so no key is accepted by it.
        """
        extra = {"version": self.document.version, "fleet": self.fleet.fleet}
        log.warning("The state is of another store, and is forgotten", extra=extra)
        self.freshness.doubt()
        self.document, self.document_record = RoutingDocument(), None
        self.store_version = None
        self.newest_documents, self.newest_entries = {}, {}
        self.table, self.rewritten = TargetTable(), RewrittenEntries()
        self.rollouts.forget()
        self.document_place = self.entry_place = Place()
        self.requests, self.tells_at = PeerRequests(), None
        self.read_at = -math.inf

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

    def has_state(self) -> bool:
        """Return whether this host has any state from the store."""
        return self.document_place.offset >= 0

    def answer_request(self, reply: Callable[[FeedNews], None]) -> None:
        """Call ``reply`` with the full state, now or once this host has any."""
        with self.lock:
            news = self.make_full_news()
            if news is None and len(self.pending_replies) < MAX_PENDING_REPLIES:
                self.pending_replies.append(reply)
        if news is not None:
            reply(news)

    def answer_pending(self) -> None:
        """Answer the requests that arrived before this host had any state."""
        replies, self.pending_replies = self.pending_replies, []
        for reply in replies:
            reply(self.make_full_news())

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
        """Request the full state from a peer, since its news can't be applied.

        A host that the store turns away depends on it.
        """
        now = self.clock.boottime()
        is_asked = now - self.requests.requested_at < REQUEST_INTERVAL_S
        if self.freshness.age_s(now) <= NEWS_TIMEOUT_S or is_asked:
            return
        if self.send_request(FeedWanted(self.host)):
            self.requests.requested_at = now

    def make_full_news(self) -> FeedNews | None:
        """Return the full state of this host; None if it has none."""
        with self.lock:
            if not self.has_state():
                return None
            documents = tuple(self.newest_documents.values())
            entries = tuple(self.newest_entries.values())
            require_room(count_bytes(documents) + count_bytes(entries))
            now = self.clock.boottime()
            return FeedNews(
                self.host,
                self.freshness.age_s(now),
                encode_batch(snapshot_at(self.document_place, documents)),
                encode_batch(snapshot_at(self.entry_place, entries)),
                self.document.version,
                sent_s=now,
            )

    def should_read(self, now: float) -> bool:
        """Return whether this host should read the store now."""
        if not self.hosts or self.hosts[0] == self.host or not self.has_state():
            return True
        return self.freshness.age_s(now) > self.patience_s()

    def patience_s(self) -> float:
        """Return the age of the state, in seconds, at which this host reads the store.

        While the store is slow, news is late although the reader works. If all hosts
        then read the store and broadcast the same records, a changed document would
        fill every link for seconds.
        """
        takeover_s = max(TAKEOVER_DELAY_S, self.read_s) * self.takeover_rank()
        return min(NEWS_TIMEOUT_S + 2 * self.read_s + takeover_s, MAX_NEWS_TIMEOUT_S)

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
        """Read both topics in one era.

        Raises
        ------
        StoreUnavailable
            The store failed, or came back from a copy again and again meanwhile.
        """
        for _ in range(MAX_READS_FOR_ERA):
            documents = self.fetch(self.source.read_documents, self.document_place)
            entries = self.fetch(self.source.read_entries, self.entry_place)
            if documents.era == entries.era:
                return documents, entries
        raise StoreUnavailable("the era of the store changed during the read")

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
            self.record_read_duration(self.clock.boottime() - began)
        if news is not None:
            now, version = self.clock.boottime(), self.document.version
            age_s = now - began
            self.broadcast(replace(news, age_s=age_s, version=version, sent_s=now))
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
        return not self.hosts or self.hosts[0] == self.host

    def record_read_duration(self, seconds: float) -> None:
        """Record the duration of a read, in seconds."""
        self.read_s = min(seconds, MAX_READ_S)

    def fetch(self, read: Callable[[int], Batch], place: Place) -> Batch:
        """Read all records from ``place`` on; a snapshot if it is of another era.

        In another era, records before the place may have changed too. A snapshot is
        also read if the place is gone, or too many records follow it. What is returned
        is never a part of the records: it would confirm a document that a later record
        replaces.
        """
        try:
            batch = read(place.offset)
            for _ in range(MAX_FURTHER_READS):
                if batch.is_whole or batch.era != place.era:
                    break
                batch = join(batch, read(batch.next))
        except StoreTrimmed:
            return read(-1)
        if batch.is_snapshot or (batch.is_whole and batch.era == place.era):
            return batch
        return read(-1)

    def record_store_failure(self, error: StoreUnavailable) -> None:
        """Record that the store did not answer."""
        if self.reachable:
            extra = {"error": str(error), "age_s": self.age_s()}
            log.warning("Store unavailable", extra=extra)
        self.reachable = False

    def record_store_answer(self) -> None:
        """Record that the store answered; after an outage, delay target removals."""
        now = self.clock.boottime()
        away_s = now - self.store_answered_at
        self.store_answered_at = now
        if away_s > OUTAGE_THRESHOLD_S:
            self.table.record_store_return(now)
        if not self.reachable:
            log.info("Store available", extra={"away_s": round(away_s, 3)})
        self.reachable = True

    def age_s(self, confirmed_at: float = -math.inf) -> float:
        """Return the time since the state was last confirmed, in seconds.

        Parameters
        ----------
        confirmed_at : float
            A confirmation that is not recorded yet.
        """
        now = self.clock.boottime()
        return round(min(self.freshness.age_s(now), now - confirmed_at), 3)

    def make_news(self, documents: Batch, entries: Batch) -> FeedNews | None:
        """Return the news to broadcast after a read, or None for none.

        It must be called before the read is applied. A host outside the reading
        order broadcasts nothing while it receives news. The first read of a newly
        started host contains whole documents. Only the reader broadcasts these, and it
        must, since the document may have changed while there was no reader.
        """
        since_news_s = self.clock.boottime() - self.last_news_at
        if self.host not in self.hosts and since_news_s <= READER_LOSS_TIMEOUT_S:
            return None
        if self.reads_at_start and not self.has_state() and not self.is_reader():
            return None
        # Each of the others reads the copy by itself if there is no reader.
        if self.is_from_copy(documents) and not self.is_reader():
            return None
        documents = drop_known(
            self.with_document_in_force(documents), self.document_place
        )
        entries = drop_known(self.drop_unchanged(entries), self.entry_place)
        require_room(count_bytes(documents.records) + count_bytes(entries.records))
        return FeedNews(self.host, 0.0, encode_batch(documents), encode_batch(entries))

    def drop_unchanged(self, entries: Batch) -> Batch:
        """Return ``entries`` without the heartbeats that change nothing.

        Each target writes its entry once a second; broadcasting all of these would
        make up most of the traffic between availability zones.

        A target that was removed and added again within the batch is included,
        although its entry equals the one that this host has. While this host was
        paused, another one may have read the removal alone, and would otherwise never
        learn of the target again. For the same reason the first entry of each target
        in an era is included: other hosts may know better than the store's copy, and
        wait for it.
        """
        if entries.is_snapshot:
            return entries
        newest = {record.key: record for record in entries.records}
        changed = {record.key for record in entries.records if self.is_change(record)}
        changed |= self.rewritten.first_of(newest.keys())
        kept = tuple(record for key, record in newest.items() if key in changed)
        return replace(entries, records=kept)

    def is_change(self, record: Record) -> bool:
        """Return whether a record differs from the entry that this host has."""
        entry = self.source.decode_entry(record) if record.value else None
        held = self.table.entries.get(record.key)
        return (
            entry is None or entry != held or record.key in self.table.pending_removals
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

    def apply_news(self, news: FeedNews, late_s: float = 0.0) -> None:
        """Apply what another host has read.

        News that starts beyond the last record of this host leaves a gap. It is
        ignored, and the host reads the store itself when its state is too old.

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
                if math.isfinite(age_s):
                    self.record_read_duration(age_s)
                self.apply(
                    decode_batch(news.documents),
                    decode_batch(news.entries),
                    began,
                    news.host,
                )
                self.requests.record_news(news.version)
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

    def apply(
        self,
        documents: Batch,
        entries: Batch,
        began: float,
        reader: HostId | None = None,
    ) -> None:
        """Apply a read that started at ``began``.

        Versions decide which document is in force, places what is read next.

        Parameters
        ----------
        reader : HostId or None
            The peer that read it; None for this host.
        """
        fits = self.document_place.fit(documents), self.entry_place.fit(entries)
        if any(row is not Fit.APPLIES for row in fits):
            self.log_ignored([row.value for row in fits], documents, entries)
        if self.is_from_copy(documents):
            self.record_copy(documents)
        changed = self.apply_documents(documents, reader, began)
        if fits[0] is Fit.APPLIES:
            self.document_place = self.document_place.after(documents)
            apply_batch(self.newest_documents, documents)
            self.keep_document_in_force()
            confirmed_at = self.freshness.confirmed_at
            changed |= self.rollouts.apply(
                documents, self.clock.boottime(), confirmed_at
            )
        if fits[1] is Fit.APPLIES:
            if entries.is_snapshot and self.is_other_era(entries):
                entries = merge_copy(entries, self.newest_entries, self.knows_better)
            self.entry_place = self.entry_place.after(entries)
            self.rewritten.record(entries, self.clock.boottime())
            apply_batch(self.newest_entries, entries)
            changed |= self.apply_entries(entries)
        if changed or self.is_doubtful:
            self.publish_view(began)
        # Only now: until the view is in force, keys are looked up in the one before.
        if fits[0] is Fit.APPLIES:
            self.freshness.confirm(began, reader or HostId(""))
        if self.pending_replies:
            self.answer_pending()

    def is_other_era(self, entries: Batch) -> bool:
        """Return whether the offsets of ``entries`` don't count on from this place."""
        return self.entry_place.offset < 0 or entries.era > self.entry_place.era

    def knows_better(self, record: Record) -> bool:
        """Return whether a target's record in a copy tells nothing new."""
        entry = self.source.decode_entry(record)
        return entry is not None and self.table.knows_better(entry)

    def is_from_copy(self, batch: Batch) -> bool:
        """Return whether the store has come back from a copy since this host read."""
        knows_any = self.has_state() or self.is_doubtful
        return batch.era > self.document_place.era != NO_ERA and knows_any

    def record_copy(self, documents: Batch) -> None:
        """Record that the store has come back from a copy, which is ``documents``.

        Targets that it lacks are kept for the time in which they write again.
        """
        self.table.record_store_return(self.clock.boottime())
        self.rollouts.begin_era()
        self.rewritten.begin(self.clock.boottime())
        copied_version = self.newest_version(documents)
        log.info(
            "The store came back from a copy",
            extra={
                "era": documents.era,
                "before": vars(self.document_place),
                "next": documents.next,
                "version": self.document.version,
                "copied_version": copied_version,
            },
        )
        if copied_version < self.document.version and not self.is_reader():
            delay_s = TELL_DELAY_S + TAKEOVER_DELAY_S * self.takeover_rank()
            self.tells_at = self.clock.boottime() + delay_s

    def newest_version(self, documents: Batch) -> int:
        """Return the highest version in a batch; -1 if it has no document."""
        decoded = map(self.source.decode_document, documents.records)
        return max((row.version for row in decoded if row is not None), default=-1)

    def tell_document(self) -> None:
        """Tell all others of the document in force, which the store has lost."""
        with self.lock:
            self.tells_at = None
            place = self.document_place.offset
            batches = [
                encode_batch(Batch(row.offset, row.offset, records, row.era))
                for row, records in (
                    (self.document_place, (self.document_record,)),
                    (self.entry_place, ()),
                )
            ]
            now = self.clock.boottime()
            news = FeedNews(
                self.host,
                self.freshness.age_s(now),
                *batches,
                self.document.version,
                sent_s=now,
            )
        log.info(
            "Told the others of a document that the store has lost",
            extra={"version": self.document.version, "place": place},
        )
        self.broadcast(news)

    def with_document_in_force(self, documents: Batch) -> Batch:
        """Return a snapshot with the document in force in place of an older one."""
        record = self.document_record
        if record is None or not documents.is_snapshot:
            return documents
        if self.newest_version(documents) >= self.document.version:
            return documents
        others = tuple(row for row in documents.records if row.key != record.key)
        return replace(documents, records=(*others, record))

    def keep_document_in_force(self) -> None:
        """Keep the document in force for hosts that start, if the store lost it."""
        record = self.document_record
        if record is not None:
            self.newest_documents[record.key] = record

    def log_ignored(
        self,
        reasons: Iterable[str],
        documents: Batch | RawBatch,
        entries: Batch | RawBatch,
    ) -> None:
        """Log what is not applied and why, at most one line a second."""
        now = self.clock.boottime()
        if now - self.ignored_at < LOG_INTERVAL_S:
            return
        self.ignored_at = now
        log.info(
            "Records not applied",
            extra={
                "reasons": sorted(set(reasons)),
                "era": documents.era,
                "documents": [documents.start, documents.next],
                "entries": [entries.start, entries.next],
                "places": [vars(self.document_place), vars(self.entry_place)],
                "version": self.document.version,
                "age_s": self.age_s(),
            },
        )

    def apply_documents(
        self,
        batch: Batch,
        reader: HostId | None = None,
        confirmed_at: float = -math.inf,
    ) -> bool:
        """Adopt the newest document, if it is newer than the current one.

        The version must never decrease: a snapshot, a peer that lags behind or a store
        that came back from a copy must not restore an older document.
        """
        changed = False
        for record in batch.records:
            document = self.source.decode_document(record)
            if document is not None and document.version >= self.document.version:
                self.tells_at = None
            if document is not None and document.version > self.document.version:
                extra = {
                    "version": document.version,
                    "before": self.document.version,
                    "read_by": reader or self.host,
                    "age_s": self.age_s(confirmed_at),
                    "routes": len(document.routes),
                    "quotas": {
                        name: [row.quota.rate, row.quota.burst]
                        for name, row in document.workspaces.items()
                    },
                }
                log.info("Routing document changed", extra=extra)
                self.document = document
                self.document_record = record
                changed = True
        return changed

    def apply_entries(self, batch: Batch) -> bool:
        """Update the targets from a batch of entries."""
        now = self.clock.boottime()
        changed = False
        for record in batch.records:
            entry = self.source.decode_entry(record) if record.value else None
            if entry is not None:
                changed |= self.table.put(entry)
            else:
                changed |= self.table.remove(record.key, now)
        if batch.is_snapshot:
            keys = {record.key for record in batch.records if record.value}
            changed |= self.table.keep_only(keys, now)
        return changed

    def publish_view(self, confirmed_at: float = -math.inf) -> None:
        """Publish a new view of the current state, as soon as it may be used.

        Parameters
        ----------
        confirmed_at : float
            Time at which the state was the newest, if that is not recorded yet.
        """
        self.is_unpublished = not self.trusts_store(self.clock.boottime())
        if self.is_unpublished:
            return
        self.version += 1
        targets = tuple(self.table.entries.values())
        orders, superseded = self.rollouts.orders, self.rollouts.superseded
        unproved = held_back(orders, targets, superseded)
        log.info(
            "Store view published",
            extra={
                "version": self.version,
                "targets": len(targets),
                "leaving": [row.name for row in targets if row.leaving],
                "held_back": sorted(unproved),
                "age_s": self.age_s(confirmed_at),
            },
        )
        rollouts = self.rollouts.orders_to_try()
        self.publish(
            StoreView(self.version, self.document, targets, unproved, rollouts)
        )
        self.is_doubtful = False
