"""Follows the store: documents, targets, and how old that knowledge is.

One host reads for all and passes on what it read; a host that has heard
nothing for a while reads by itself. Each read is a priced call of a store that
allows a few hundred a second for all hosts together: with each host reading
by itself, the calls would grow with the number of hosts.

A host that has just started asks its peers for all that there is, so that it can
also serve while the store is away. Where callers may be waiting it reads at the
same time; at the first start of a whole fleet, only if no peer answers.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from godwitladder.clock import Clock
from godwitladder.discovery.batches import (
    fits,
    keep_newest,
    raw_batch,
    read_batch,
    since,
)
from godwitladder.discovery.messages import FeedNews, FeedWanted
from godwitladder.discovery.rollout_tracker import RolloutDesk
from godwitladder.discovery.rollouts import held_back
from godwitladder.discovery.source import (
    Batch,
    Record,
    Source,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.discovery.targets import TargetTable
from godwitladder.ids import HostId, TargetName
from godwitladder.logs import component_logger
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.model import RoutingDocument

log = component_logger("feed")

PERIOD_S = 0.6
"""Between two reads. A target that leaves, and a change of the document, are
to be known everywhere within 2 s: a read, its answer and one lost period."""
STEP_S = 0.1
"""How often a host looks whether it should read."""
SILENCE_S = 1.0
"""Age of the last news after which a host reads by itself: one lost period."""
TURN_S = 0.1
"""Added to that for each host before it in the order, so that not all begin at
once when the reader is gone."""
TURNS = 10
UNLINKED_S = 0.4
"""A host that found no peer in this time after its start reads by itself. After a
kill of all hosts nobody is served before the first one has read."""
UNTOLD_S = 1.2
"""The same for one that has peers of which none told it anything."""
ASK_S = 0.25
"""Between two questions of a host that knows nothing yet: an answer may be as long
as a whole document, and take the link of a weak host for that long."""
LONGEST_READ_S = 1.0
"""A read that takes longer makes others wait no longer for its news."""
LONGEST_SILENCE_S = 2.5
"""Half of the time for which keys are believed without a proof: any host reads by
itself then, however slow the store was."""
UNHEARD_S = 3.0
"""A host that may not read for others tells them what it has read after so long
without news: the store has turned away all that may."""
AWAY_S = 1.5
"""Failure to read for so long counts as the store being away: targets may have
lapsed there although they live."""


@dataclass(frozen=True)
class StoreView:
    """What a host knows from the store; replaced as a whole.

    Attributes
    ----------
    version : int
        Counts the changes on this host.
    held_back : frozenset of TargetName
        Targets whose version is not proved.
    """

    version: int
    document: RoutingDocument
    targets: tuple
    held_back: frozenset[TargetName] = frozenset()


class Feed:
    """Knows the newest document and the targets.

    Parameters
    ----------
    host : HostId
        This host.
    source : Source
        The store.
    clock : Clock
        The host's clock.
    currency : Currency
        Told of each proof.
    publish : callable
        Called with a `StoreView` when anything has changed.
    reads_at_start : bool
        Whether this host reads at its start without asking a peer.

    Attributes
    ----------
    heard_at : float
        When another host's news were last taken in.
    read_s : float
        How long the newest read took, this host's or that of whoever told of it.
    unanswered : list of callable
        Called with all that this host knows, once it knows anything: hosts that
        asked before.
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
        self.reads_at_start = reads_at_start
        self.unanswered: list[Callable[[FeedNews], None]] = []
        self.started = clock.boottime()
        self.asked_at = float("-inf")
        self.linked = False
        self.hosts: tuple[HostId, ...] = (host,)
        self.table = TargetTable()
        self.newest_documents: dict[str, Record] = {}
        self.newest_entries: dict[str, Record] = {}
        self.document = RoutingDocument()
        self.desk = RolloutDesk(source)
        self.next_document = -1
        self.next_entry = -1
        self.read_at = float("-inf")
        self.heard_at = clock.boottime()
        self.read_s = 0.0
        self.answered_at = clock.boottime()
        self.reachable = False
        self.version = 0
        self.lock = threading.RLock()
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start to follow, in a thread."""
        threading.Thread(target=self.run, name="feed", daemon=True).start()

    def stop(self) -> None:
        """Stop after the read in progress."""
        self.stopping.set()

    def run(self) -> None:
        """Follow until stopped."""
        while not self.stopping.is_set():
            self.step()
            self.clock.wait(self.stopping, self.pause_s())

    def pause_s(self) -> float:
        """Return the seconds until this host is to look again.

        One that hears news from another looks when these have become too old.
        """
        reads = not self.hosts or self.hosts[0] == self.host
        if reads or not self.knows() or self.table.missing:
            return STEP_S
        return max(STEP_S, SILENCE_S - self.freshness.age_s(self.clock.boottime()))

    def step(self) -> None:
        """Read if it is this host's turn, and let go of what is gone."""
        now = self.clock.boottime()
        if not self.knows():
            self.request_state()
        if (
            not self.awaits_peer(now)
            and now - self.read_at >= PERIOD_S
            and self.is_turn(now)
        ):
            self.read()
        with self.lock:
            now = self.clock.boottime()
            if self.table.expire(now) | self.desk.expire(now):
                self.tell()

    def awaits_peer(self, now: float) -> bool:
        """Return whether this host knows nothing yet, and a peer may tell it."""
        if self.knows() or self.reads_at_start or self.is_reader():
            return False
        return now - self.started < (UNTOLD_S if self.linked else UNLINKED_S)

    def is_reader(self) -> bool:
        """Return whether this host is the one that reads for others."""
        return len(self.hosts) > 1 and self.hosts[0] == self.host

    def knows(self) -> bool:
        """Return whether this host knows anything of the store."""
        return self.next_document >= 0

    def answer_request(self, reply: Callable[[FeedNews], None]) -> None:
        """Call ``reply`` with all that this host knows, now or once it does."""
        with self.lock:
            news = self.all_news()
            if news is None:
                self.unanswered.append(reply)
        if news is not None:
            reply(news)

    def answer_all(self) -> None:
        """Answer the hosts that asked when this one knew nothing."""
        waiting, self.unanswered = self.unanswered, []
        for reply in waiting:
            reply(self.all_news())

    def request_state(self, ask: Callable[[FeedWanted], bool] | None = None) -> None:
        """Ask one peer for all that it knows, if none was asked a moment ago.

        Each of them answers with whole documents. Asked over every link, they
        filled that of a host which had just started for seconds.

        Parameters
        ----------
        ask : callable or None
            Asks a certain peer; None for any.
        """
        now = self.clock.boottime()
        if self.knows() or now - self.asked_at < ASK_S:
            return
        asked = (ask or self.send_request)(FeedWanted(self.host))
        if ask is None:
            self.linked = asked
        if asked:
            self.asked_at = now

    def all_news(self) -> FeedNews | None:
        """Return all that this host knows; None if it knows nothing."""
        with self.lock:
            if not self.knows():
                return None
            documents = tuple(self.newest_documents.values())
            entries = tuple(self.newest_entries.values())
            return FeedNews(
                self.host,
                self.freshness.age_s(self.clock.boottime()),
                raw_batch(Batch(-1, self.next_document, documents)),
                raw_batch(Batch(-1, self.next_entry, entries)),
            )

    def is_turn(self, now: float) -> bool:
        """Return whether this host is to read now."""
        if not self.hosts or self.hosts[0] == self.host or self.next_document < 0:
            return True
        return self.freshness.age_s(now) > self.patience_s()

    def patience_s(self) -> float:
        """Return the age of the last proof at which this host reads by itself.

        While the store is slow its news are late though the reader works. If all
        hosts read then, and passed on what all others read too, a change of the
        document would fill every link for seconds.
        """
        place = self.hosts.index(self.host) if self.host in self.hosts else TURNS
        turn_s = max(TURN_S, self.read_s) * min(place, TURNS)
        return min(SILENCE_S + 2 * self.read_s + turn_s, LONGEST_SILENCE_S)

    def read(self) -> None:
        """Read what is new and pass it on."""
        began = self.read_at = self.clock.boottime()
        try:
            documents = self.fetch(self.source.read_documents, self.next_document)
            entries = self.fetch(self.source.read_entries, self.next_entry)
        except StoreUnavailable as error:
            self.note_lost(error)
            return
        self.finish_read(documents, entries, began)

    def finish_read(self, documents: Batch, entries: Batch, began: float) -> None:
        """Take in a read that began at ``began``, and pass it on."""
        with self.lock:
            self.note_answer()
            news = self.news(documents, entries)
            self.take(documents, entries, began)
            self.note_duration(self.clock.boottime() - began)
        if news is not None:
            self.broadcast(replace(news, age_s=self.clock.boottime() - began))
        if self.answers_orders():
            self.desk.answer()

    def answers_orders(self) -> bool:
        """Return whether this host is the one that answers operators."""
        return not self.hosts or self.hosts[0] == self.host

    def note_duration(self, seconds: float) -> None:
        """Remember how long a read took."""
        self.read_s = min(seconds, LONGEST_READ_S)

    def fetch(self, read: Callable[[int], Batch], offset: int) -> Batch:
        """Return what is new from ``offset``, or a snapshot if that is gone."""
        try:
            return read(offset)
        except StoreTrimmed:
            return read(-1)

    def note_lost(self, error: StoreUnavailable) -> None:
        """Note that the store did not answer."""
        if self.reachable:
            extra = {"error": str(error), "age_s": self.age_s()}
            log.warning("The store was lost", extra=extra)
        self.reachable = False

    def note_answer(self) -> None:
        """Note that the store answered, and whether it had been away."""
        now = self.clock.boottime()
        away_s = now - self.answered_at
        self.answered_at = now
        if away_s > AWAY_S:
            self.table.store_returned(now)
        if not self.reachable:
            log.info("The store answers", extra={"away_s": round(away_s, 3)})
        self.reachable = True

    def age_s(self) -> float:
        """Return the age of the last proof, in seconds."""
        return round(self.freshness.age_s(self.clock.boottime()), 3)

    def news(self, documents: Batch, entries: Batch) -> FeedNews | None:
        """Return what others are to be told of a read, before it is taken in.

        Hosts that may not read for all tell nobody while they hear from one that
        may. One that has just started has read whole documents: only the reader
        tells of them, as a change may have come while there was none.
        """
        unheard_s = self.clock.boottime() - self.heard_at
        if self.host not in self.hosts and unheard_s <= UNHEARD_S:
            return None
        if self.reads_at_start and not self.knows() and not self.is_reader():
            return None
        documents = since(documents, self.next_document)
        entries = since(self.changed(entries), self.next_entry)
        return FeedNews(self.host, 0.0, raw_batch(documents), raw_batch(entries))

    def changed(self, entries: Batch) -> Batch:
        """Return ``entries`` without the beats that say nothing new.

        A target writes its entry each second; passed on whole, that would be
        most of the bytes between zones.

        A target that went and came back within the batch is passed on, though
        it is as this host knew it: another host may have read by itself in
        between, while this one stood still, and would miss it for good.
        """
        if entries.whole:
            return entries
        newest = {record.key: record for record in entries.records}
        moved = {record.key for record in entries.records if self.is_news(record)}
        kept = tuple(record for key, record in newest.items() if key in moved)
        return replace(entries, records=kept)

    def is_news(self, record: Record) -> bool:
        """Return whether a record says anything else than this host knows."""
        entry = self.source.decode_entry(record) if record.value else None
        held = self.table.entries.get(record.key)
        return entry is None or entry != held or record.key in self.table.missing

    def apply_news(self, news: FeedNews) -> None:
        """Take in what another host has read.

        News that begins after what this host has is a gap: it says nothing
        here, and the host reads by itself when its own knowledge is too old.
        """
        began = self.clock.boottime() - news.age_s
        with self.lock:
            if fits(news.documents, self.next_document) and fits(
                news.entries, self.next_entry
            ):
                self.answered_at = max(self.answered_at, began)
                self.heard_at = self.clock.boottime()
                self.note_duration(news.age_s)
                self.take(read_batch(news.documents), read_batch(news.entries), began)

    def take(self, documents: Batch, entries: Batch, began: float) -> None:
        """Take in a read that began at ``began``."""
        changed = False
        if documents.next >= self.next_document:
            self.next_document = documents.next
            keep_newest(self.newest_documents, documents)
            changed |= self.take_documents(documents)
            changed |= self.desk.take(documents, self.clock.boottime())
            self.freshness.confirm(began)
        if entries.next >= self.next_entry:
            self.next_entry = entries.next
            keep_newest(self.newest_entries, entries)
            changed |= self.take_entries(entries)
        if changed:
            self.tell()
        if self.unanswered:
            self.answer_all()

    def take_documents(self, batch: Batch) -> bool:
        """Put the newest document in force, if it is newer than the one there is.

        Versions only grow: a snapshot or a peer that is behind must not bring
        an older one back.
        """
        changed = False
        for record in batch.records:
            document = self.source.decode_document(record)
            if document is not None and document.version > self.document.version:
                extra = {
                    "version": document.version,
                    "before": self.document.version,
                    "routes": len(document.routes),
                    "quotas": {
                        name: [row.quota.rate, row.quota.burst]
                        for name, row in document.workspaces.items()
                    },
                }
                log.info("A document is in force", extra=extra)
                self.document = document
                changed = True
        return changed

    def take_entries(self, batch: Batch) -> bool:
        """Bring the targets in line with their entries."""
        now = self.clock.boottime()
        changed = False
        for record in batch.records:
            entry = self.source.decode_entry(record) if record.value else None
            if entry is not None:
                changed |= self.table.put(entry)
            else:
                changed |= self.table.drop(record.key, now)
        if batch.whole:
            keys = {record.key for record in batch.records if record.value}
            changed |= self.table.keep_only(keys, now)
        return changed

    def tell(self) -> None:
        """Publish what is known now."""
        self.version += 1
        targets = tuple(self.table.entries.values())
        unproved = held_back(self.desk.orders, targets)
        log.info(
            "Targets are known",
            extra={
                "version": self.version,
                "targets": len(targets),
                "leaving": [row.name for row in targets if row.leaving],
                "held_back": sorted(unproved),
                "age_s": self.age_s(),
            },
        )
        self.publish(StoreView(self.version, self.document, targets, unproved))
