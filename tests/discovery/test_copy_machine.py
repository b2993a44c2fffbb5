"""Any interleaving of writes, losses, reads, news and restarts, against what must hold.

No host has a document in force that is older than one that it had before; each host
that is linked to others stays fresh while the store answers; and once nothing more is
lost, all hosts know what is written, within the time for a change.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from godwitladder.discovery.messages import FeedWanted
from godwitladder.discovery.state_exchange import PEER_ANSWER_TIMEOUT_S
from godwitladder.discovery.telling import describe_state
from godwitladder.membership.codec import decode, encode
from tests.discovery.copied_store import STEP_S, Region

HOSTS = 4
CHANGE_S = 2.0
"""Time within which all hosts know of a change."""
KEYS = ("e1", "e2")
VALUES = {"e1": (b"one", b"one leaves", b"one again"), "e2": (b"two",)}


class CopiedStoreMachine(RuleBasedStateMachine):
    """Hosts that read a store, which may come back from a copy."""

    @initialize()
    def start(self):
        self.region = Region(HOSTS)
        self.source, self.clock = self.region.source, self.region.clock
        self.version = 0
        self.in_force = {}
        self.late = []
        self.write_document()
        self.region.run(CHANGE_S)

    @rule()
    def write_document(self):
        self.version += 1
        self.source.put_document(self.version)

    @rule()
    def write_again(self):
        """The operator writes its newest document again, as the store lost it."""
        if self.source.documents[-1:] and self.newest_stored() < self.version:
            self.source.put_document(self.version)

    @rule(key=st.sampled_from(KEYS), number=st.integers(0, 2), removes=st.booleans())
    def write_entry(self, key, number, removes):
        values = VALUES[key]
        self.source.put(b"" if removes else values[number % len(values)], key)

    @rule(documents=st.integers(0, 3), entries=st.integers(0, 3))
    def come_back(self, documents, entries):
        self.source.come_back(
            min(documents, max(0, len(self.source.documents) - 1)),
            min(entries, len(self.source.entries)),
        )

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.7]))
    def run_hosts(self, seconds):
        self.region.run(seconds)

    @rule(number=st.integers(0, HOSTS - 1))
    def begin_read(self, number):
        """A host reads, and its answer will come late."""
        feed = self.region.feeds[number]
        if feed.has_state():
            self.late.append((feed, feed.fetch_both(), self.clock.boottime()))

    @rule()
    def finish_late_read(self):
        if self.late:
            feed, batches, began = self.late.pop()
            if feed in self.region.feeds:
                feed.finish_read(*batches, began)

    @rule(sender=st.integers(0, HOSTS - 1), receiver=st.integers(0, HOSTS - 1))
    def send_full_news(self, sender, receiver):
        """News of one host reaches another, maybe much later."""
        news = self.region.feeds[sender].make_full_news()
        if news is not None and sender != receiver:
            self.region.feeds[receiver].apply_news(decode(encode(news)))

    @rule(number=st.integers(0, HOSTS - 1), seconds=st.sampled_from([0.7, 1.5]))
    def miss_news(self, number, seconds):
        """Nothing that is broadcast reaches a host for some time."""
        self.region.deaf = {self.region.feeds[number].host}
        self.region.run(seconds)
        self.region.deaf = set()

    @rule(asking=st.integers(0, HOSTS - 1), asked=st.integers(0, HOSTS - 1))
    def ask_for_news(self, asking, asked):
        """A host asks another one for what it lacks."""
        feed = self.region.feeds[asking]
        if feed.has_state() and asking != asked:
            wanted = decode(encode(FeedWanted(feed.host, describe_state(feed))))
            peer = self.region.feeds[asked]
            peer.answer_request(feed.apply_news, wanted.known)

    @rule(number=st.integers(0, HOSTS - 1))
    def restart(self, number):
        """A host ends, and one of its name starts that knows nothing."""
        self.region.restart(number)
        self.in_force.pop(self.region.feeds[number].host, None)

    @invariant()
    def no_document_is_undone(self):
        for feed, version in zip(
            self.region.feeds, self.region.versions(), strict=True
        ):
            assert version >= self.in_force.get(feed.host, -1)
            self.in_force[feed.host] = version

    def newest_stored(self):
        return max((int(row.value) for row in self.source.documents), default=-1)

    def stored_targets(self):
        newest = {row.key: row for row in self.source.entries}
        entries = [
            self.source.decode_entry(row) for row in newest.values() if row.value
        ]
        return {entry.name: entry.leaving for entry in entries}

    def teardown(self):
        if not hasattr(self, "region"):
            return
        self.late.clear()
        self.region.run(PEER_ANSWER_TIMEOUT_S + STEP_S)
        for key in KEYS:
            self.source.put(VALUES[key][0], key)
        self.version += 1
        self.source.put_document(self.version)
        self.region.unready = 0
        self.region.run(CHANGE_S)
        assert self.region.versions() == [self.version] * HOSTS
        assert self.region.targets() == [self.stored_targets()] * HOSTS
        assert self.region.unready == 0


TestCopiedStore = CopiedStoreMachine.TestCase
TestCopiedStore.settings = settings(max_examples=200, stateful_step_count=30)
