"""Stateful test that compares replicas of three hosts with a naive replay."""

import tomllib
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from godwitladder.configuration.ledger import SNAPSHOT_MAGIC
from godwitladder.configuration.replica import Phase
from godwitladder.configuration.snapshots import decode_snapshot, encode_snapshot
from tests.configuration.fakes import FakeHosts, ticket

TIERS = ("urgent", "normal", "low")
WORKSPACES = ("letters", "returns")
NUMBERS = st.integers(1, 12)
HOSTS = st.sampled_from(["host-0", "host-1", "host-2"])


def naive_replay(texts):
    """Return number and rank or tier of each object, by a naive replay of ``texts``."""
    accepted, values = [], {}
    for text in texts:
        raw = tomllib.loads(text)
        writes = {("tier", name): row["rank"] for name, row in raw["tiers"].items()}
        for name, row in raw["workspaces"].items():
            writes["workspace", name] = row["tier"]
        for name in raw["remove"]:
            writes["tier", name.removeprefix("tiers.")] = None
        if any(raw["number"] == other["number"] for other in accepted):
            continue
        if any(values.get(key, (0, 0))[0] > raw["number"] for key in writes):
            continue
        after = values | {key: (raw["number"], row) for key, row in writes.items()}
        refers = [row for (kind, _), (_, row) in after.items() if kind == "workspace"]
        if any(after.get(("tier", tier), (0, None))[1] is None for tier in refers):
            continue
        accepted.append(raw)
        values = after
    return values


def held(ledger):
    """Return the objects of ``ledger`` in the format of `naive_replay`."""
    return {
        (name.table[:-1], name.name): (
            row.number,
            row.value and getattr(row.value, "rank", getattr(row.value, "tier", None)),
        )
        for name, row in ledger.objects.items()
    }


class Replicas(RuleBasedStateMachine):
    """Three hosts follow one log; each must match a naive replay.

    They read, write snapshots, exchange states, lose the log and are replaced.
    """

    @initialize(pages=st.sampled_from([1, 3, 1000]))
    def start(self, pages):
        self.hosts = FakeHosts(3)
        self.hosts.log.page_records = pages
        self.records = []
        self.highest = {}

    def append(self, data):
        self.hosts.log.append("config", [data])
        self.records.append(data)

    @rule(
        number=NUMBERS,
        tiers=st.dictionaries(st.sampled_from(TIERS), st.integers(0, 2)),
        workspaces=st.dictionaries(st.sampled_from(WORKSPACES), st.sampled_from(TIERS)),
        remove=st.sets(st.sampled_from(TIERS)),
    )
    def submit(self, number, tiers, workspaces, remove):
        remove = remove - set(tiers)
        if not tiers and not workspaces and not remove:
            return
        lines = [f"remove = {[f'tiers.{name}' for name in sorted(remove)]}"]
        lines.append("[tiers]\n[workspaces]")
        lines += [f"[tiers.{name}]\nrank = {rank}" for name, rank in tiers.items()]
        lines += [f'[workspaces.{a}]\ntier = "{b}"' for a, b in workspaces.items()]
        self.append(ticket(number, "\n".join(lines)).encode())

    @precondition(lambda self: self.records)
    @rule(data=st.data())
    def lose_an_answer(self, data):
        self.append(data.draw(st.sampled_from(self.records)))

    @rule(name=HOSTS)
    def read(self, name):
        self.hosts.followers[name].follow_once()

    @rule(name=HOSTS, cut=st.booleans())
    def cut_off(self, name, cut):
        self.hosts.clients[name].disconnected = cut

    @rule(name=HOSTS)
    def snapshot(self, name):
        follower = self.hosts.followers[name]
        if follower.caught_up.is_set() and follower.replica.phase is Phase.FOLLOWING:
            self.append(encode_snapshot(follower.ledger))

    @rule(sender=HOSTS, name=HOSTS)
    def heartbeat(self, sender, name):
        self.hosts.clock.advance(1.0)
        self.hosts.heartbeat(sender, name)

    @rule(count=st.integers(1, 8))
    def expire(self, count):
        """Delete old records if a snapshot in the rest allows a full recovery."""
        first = self.hosts.log.first.get("config", 0) + count
        rest = self.hosts.log.records.get("config", [])[count:]
        for row in rest:
            snapshot = row.data.startswith(SNAPSHOT_MAGIC)
            if snapshot and decode_snapshot(row.data).next >= first:
                self.hosts.log.expire("config", count)
                return

    @rule(name=HOSTS)
    def replace(self, name):
        self.hosts.add(name)
        self.highest[name] = 0

    @invariant()
    def agree_with_the_naive_replay(self):
        for name, follower in self.hosts.followers.items():
            offset = follower.ledger.next
            texts = [
                data.decode()
                for data in self.records[:offset]
                if not data.startswith(SNAPSHOT_MAGIC)
            ]
            assert held(follower.ledger) == naive_replay(texts)
            assert offset >= self.highest.get(name, 0)
            assert self.hosts.published[name] == sorted(self.hosts.published[name])
            self.highest[name] = offset

    def teardown(self):
        """Reconnect all hosts and check that each one catches up."""
        end = len(self.records)
        names = list(self.hosts.followers)
        for name in names:
            self.hosts.clients[name].disconnected = False
            self.hosts.follow(name, 3 * end + 5)
        self.agree_with_the_naive_replay()
        followers = self.hosts.followers.values()
        assert [row.ledger.next for row in followers] == [end] * len(names)
        assert len({encode_snapshot(row.ledger) for row in followers}) == 1


Replicas.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestReplicas = Replicas.TestCase


def test_host_that_recovers_from_a_snapshot_skips_no_record_before_it(subtests):
    """A recovering host skips records between a snapshot's state and its offset."""
    # Each draw of `lose_an_answer` was the first record.
    first = SimpleNamespace(draw=lambda records: state.records[0])
    # The sequence as hypothesis printed it, then with a new ticket for a repeated one.
    for repeated in (True, False):
        with subtests.test(repeated=repeated):
            state = Replicas()
            state.start(pages=1000)
            state.agree_with_the_naive_replay()
            state.submit(number=1, remove={"urgent"}, tiers={}, workspaces={})
            state.agree_with_the_naive_replay()
            state.submit(
                number=1, remove=set(), tiers={}, workspaces={"letters": "urgent"}
            )
            state.agree_with_the_naive_replay()
            state.read(name="host-2")
            state.agree_with_the_naive_replay()
            if repeated:
                state.lose_an_answer(data=first)
            else:
                state.submit(number=2, remove=set(), tiers={"normal": 1}, workspaces={})
            state.agree_with_the_naive_replay()
            state.snapshot(name="host-2")
            state.agree_with_the_naive_replay()
            state.expire(count=1)
            state.agree_with_the_naive_replay()
            state.lose_an_answer(data=first)
            state.agree_with_the_naive_replay()
            if not repeated:
                hosts = [state.hosts.follow(name) for name in state.hosts.followers]
                in_force = [held(host.ledger).get(("tier", "normal")) for host in hosts]
                assert in_force == [(2, 1)] * 3
            state.teardown()
