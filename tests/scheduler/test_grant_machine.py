"""Grants under any order of events, against a ledger of what really runs."""

from collections import Counter
from functools import partial
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitladder.outcomes import RequestState
from godwitladder.scheduler.role import HOST_TIMEOUT_S, OFFER_LIFETIME_S
from godwitladder.scheduler.rows import Dispatch
from godwitladder.scheduler.systems import finish_request, return_request
from tests.scheduler.harness import decision, make_harness, make_request, submit

SLOTS = {"e0": 4, "e1": 1}
HOSTS = ("h0", "h1", "h2")
HOST = st.sampled_from(HOSTS)
HOLDER = st.integers(0, 1)
LOST = st.sampled_from([False, False, False, False, True])
SECONDS = st.sampled_from([0.0, 0.01, 0.1, 0.6, 1.2])


class GrantMachine(RuleBasedStateMachine):
    """Two hosts may act as allocator at once, and each host asks either.

    The caller must never have its request run twice, a target never gets more
    than its slots from each allocator, nothing goes to a target that a host
    knows to be leaving, and nothing by leave that has lapsed. Messages come
    late or not at all, hosts die, requests end at any time.
    """

    holders = ("h0", "h1")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.harness = make_harness(SLOTS, HOSTS, self.holders)
        self.dead, self.rows, self.running = set(), {}, {}
        self.unasked, self.leaving, self.heard = set(), set(), {}
        self.given, self.dispatched = [], Counter()
        for _ in range(12):
            self.round(0.1)

    def alive(self, host):
        return host not in self.dead

    @rule(host=HOST, ranks=st.lists(st.sampled_from([0, 1]), min_size=1, max_size=4))
    def submit(self, host, ranks):
        for rank in ranks if self.alive(host) else ():
            name = f"r{len(self.rows)}"
            row = submit(self.harness.hosts[host], make_request(name, self.now, rank))
            self.rows[name] = host, row
        self.tick(host)

    @rule(seconds=SECONDS)
    def wait(self, seconds):
        self.now += seconds

    @rule(host=HOST)
    def tick(self, host):
        if self.alive(host):
            tables = self.harness.hosts[host]
            alone = tables.pools[self.harness.pool].is_cut_off(self.now)
            self.harness.tick(host, self.now)
            self.note_dispatches(host, alone)

    def note_dispatches(self, host, alone):
        for name, (owner, row) in self.rows.items():
            told = decision(row) if owner == host else None
            if not isinstance(told, Dispatch):
                continue
            self.dispatched[name] += 1
            self.running[name] = host, told.target
            if alone:
                self.unasked.add(name)
            else:
                assert self.has_leave(host, name, told.target)
            assert (host, told.target) not in self.leaving

    def has_leave(self, host, name, target):
        return any(
            until > self.now
            and (
                any((row.request, row.target) == (name, target) for row in offer.grants)
                or any(row.target == target for row in offer.allowances)
            )
            for to, offer, until in self.given
            if to == host
        )

    @rule(host=HOST, holder=HOLDER, lost=LOST)
    def report(self, host, holder, lost):
        holder = self.holders[holder % len(self.holders)]
        waiting = self.harness.reports.get((host, holder))
        if not waiting or not self.alive(holder):
            return
        if lost:
            waiting.popleft()
            return
        self.heard[host, holder] = self.now, waiting[0].sent_s
        self.harness.deliver_report(host, holder, self.now)

    @rule(holder=HOLDER)
    def decide(self, holder):
        holder = self.holders[holder % len(self.holders)]
        if not self.alive(holder):
            return
        before = {key: len(rows) for key, rows in self.harness.offers.items()}
        self.harness.decide(holder, self.now)
        for (host, by), rows in self.harness.offers.items():
            for offer in list(rows)[before.get((host, by), 0) :]:
                self.given.append(
                    (host, offer, self.heard[host, by][1] + OFFER_LIFETIME_S)
                )

    @rule(host=HOST, holder=HOLDER, lost=LOST)
    def offer(self, host, holder, lost):
        holder = self.holders[holder % len(self.holders)]
        waiting = self.harness.offers.get((host, holder))
        if not waiting or not self.alive(host):
            return
        if lost:
            waiting.popleft()
            return
        self.harness.deliver_offer(host, holder, self.now)
        self.tick(host)

    @rule(seconds=SECONDS, late=HOST)
    def round(self, seconds, late=None):
        """Let messages through, but for the offers to one host that is late."""
        self.now += seconds
        for host in HOSTS:
            self.tick(host)
        for index, holder in enumerate(self.holders):
            for host in HOSTS:
                while self.alive(holder) and self.harness.reports.get((host, holder)):
                    self.report(host, index, False)
            self.decide(index)
            for host in HOSTS:
                while (
                    host != late
                    and self.alive(host)
                    and self.harness.offers.get((host, holder))
                ):
                    self.offer(host, index, False)

    def storm(self, random):
        """Run many events in random order."""
        for index in range(300):
            quiet = index // 30 % 2
            host, holder = random.choice(HOSTS), random.randrange(2)
            lost = random.random() < 0.1
            events = [
                partial(self.submit, host, [random.randrange(2)]),
                partial(self.tick, host),
                partial(self.report, host, holder, lost),
                partial(self.decide, holder),
                partial(self.offer, host, holder, lost),
                partial(self.finish, random.randrange(10), True),
                partial(self.wait, random.choice([0.01, 0.1, 0.3, 1.2])),
                partial(self.round, 0.1, host),
                partial(self.ask, host, holder),
                partial(self.leave, host, "e1"),
                partial(self.die, "h2"),
            ]
            weights = [60, 40, 80, 80, 80, 50, 20, 20, 4, 1, 1]
            if quiet:
                weights[0], weights[5], weights[7] = 10, 200, 80
            random.choices(events, weights)[0]()
            self.no_request_runs_twice()
            self.no_target_is_overrun()

    @rule(index=st.integers(0, 9), sent=st.booleans())
    def finish(self, index, sent):
        if not self.running:
            return
        name = sorted(self.running)[index % len(self.running)]
        host, _ = self.running.pop(name)
        self.unasked.discard(name)
        if not self.alive(host):
            return
        tables, row = self.harness.hosts[host], self.rows[name][1]
        if sent:
            finish_request(tables, row, RequestState.COMPLETED, self.now)
        else:
            self.dispatched[name] -= 1
            return_request(tables, row, self.now)

    @rule(host=HOST, holder=HOLDER)
    def ask(self, host, holder):
        self.harness.set_allocator(
            host, self.holders[holder % len(self.holders)], self.now
        )

    @rule(host=st.sampled_from(HOSTS[1:]))
    def die(self, host):
        if len(self.dead) < 1:
            self.dead.add(host)

    @rule(host=HOST, place=st.sampled_from(sorted(SLOTS)))
    def leave(self, host, place):
        tables = self.harness.hosts[host]
        tables.leaving |= {tables.config.targets[place].address}
        self.leaving.add((host, place))

    @invariant()
    def no_request_runs_twice(self):
        assert all(count <= 1 for count in self.dispatched.values())

    @invariant()
    def no_target_is_overrun(self):
        for target, slots in SLOTS.items():
            counted = [
                name
                for name, (host, place) in self.running.items()
                if place == target
                and name not in self.unasked
                and not self.forgotten(host)
            ]
            assert len(counted) <= slots * len(self.holders), counted

    def forgotten(self, host):
        return all(
            self.now - self.heard.get((host, holder), (0.0, 0.0))[0] > HOST_TIMEOUT_S
            for holder in self.holders
        )


class OneAllocatorMachine(GrantMachine):
    """With one allocator, a target never gets more than its slots."""

    holders = ("h0",)


TestGrantMachine = GrantMachine.TestCase
TestOneAllocatorMachine = OneAllocatorMachine.TestCase
TestGrantMachine.settings = settings(max_examples=20, stateful_step_count=30)
TestOneAllocatorMachine.settings = settings(max_examples=20, stateful_step_count=30)


@pytest.mark.parametrize("kind", [GrantMachine, OneAllocatorMachine])
@given(seed=st.integers(0, 2**32))
@settings(max_examples=60)
def test_grants_hold_in_long_random_runs(kind, seed):
    """The machine's own short runs seldom use a pool up; these always do."""
    kind().storm(Random(seed))
