"""An in-memory store that may come back from a copy, and hosts that read it."""

from dataclasses import replace

from godwitladder.clock import ManualClock
from godwitladder.discovery.source import Batch, StoreTrimmed
from tests.discovery.test_discovery import (
    KNOWN,
    ONE,
    MemorySource,
    make_feed,
    make_new_feed,
)

STEP_S = 0.1
ENTRIES = KNOWN | {b"one again": replace(ONE, started_ms=1)}


class CopiedSource(MemorySource):
    """A store whose newest records may be lost, in a new era."""

    def __init__(self, era=1):
        super().__init__()
        self.era = era
        self.statuses = []

    def read(self, records, offset):
        batch = super().read(records, offset)
        if offset > len(records):
            raise StoreTrimmed("beyond the end")
        return Batch(batch.start, batch.next, batch.records, self.era)

    def decode_entry(self, record):
        return ENTRIES.get(record.value)

    def come_back(self, documents=0, entries=0):
        """Come back from a copy that lacks the newest records of each topic."""
        del self.documents[len(self.documents) - documents :]
        del self.entries[len(self.entries) - entries :]
        self.era += 1


class Region:
    """Hosts that are linked to each other, and the store that they read.

    Attributes
    ----------
    deaf : set of str
        Hosts that nothing reaches which others broadcast.
    """

    def __init__(self, count=3):
        self.source, self.clock = CopiedSource(), ManualClock()
        names = [f"h{number}" for number in range(1, count + 1)]
        self.feeds, self.views = [], {}
        self.unready = 0
        self.deaf = set()
        for name in names:
            self.add(*make_feed(self.source, self.clock, name, tuple(names)))

    def add(self, feed, views):
        self.feeds.append(feed)
        self.views[feed.host] = views
        feed.broadcast = lambda news: [
            row.apply_news(news)
            for row in self.feeds
            if row is not feed and row.host not in self.deaf
        ]

    def add_new(self, name="new"):
        """Start one more host, which asks the others for their state."""
        peers = list(self.feeds)
        feed, views = make_new_feed(self.source, self.clock, peers, host=name)
        feed.reads_at_start = True
        self.add(feed, views)
        return feed

    def restart(self, number):
        """End a host, and start one of its name that knows nothing."""
        names = tuple(feed.host for feed in self.feeds)
        feed, views = make_feed(self.source, self.clock, names[number], names)
        feed.started = self.clock.boottime()
        feed.reads_at_start = True
        others = [row for row in self.feeds if row.host != feed.host]

        def ask(wanted):
            others[0].answer_request(feed.apply_news, wanted.known)
            return True

        feed.send_request = ask
        del self.feeds[number]
        self.add(feed, views)
        self.feeds.insert(number, self.feeds.pop())

    def run(self, seconds):
        """Let all hosts take their steps, and count those that are not ready."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for feed in self.feeds:
                feed.step()
            now = self.clock.boottime()
            self.unready += sum(not row.freshness.is_fresh(now) for row in self.feeds)

    def targets(self):
        """Return the targets that each host uses, and whether each leaves."""
        return [
            {row.name: row.leaving for row in self.views[feed.host][-1].targets}
            for feed in self.feeds
        ]

    def versions(self):
        """Return the versions that hosts have in force."""
        return [
            self.views[feed.host][-1].document.version if self.views[feed.host] else -1
            for feed in self.feeds
        ]


def make_region(*versions, count=3):
    """Return a region whose hosts know the newest of some documents."""
    region = Region(count)
    for version in versions:
        region.source.put_document(version)
    region.run(2)
    assert region.versions() == [versions[-1]] * count
    region.unready = 0
    return region
