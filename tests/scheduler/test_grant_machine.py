"""Grants under any order of events, checked against a record of what runs."""

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
    """Two hosts may act as allocator at once, and each host reports to either.

    No request runs twice, no target gets more requests than its slots from each
    allocator, nothing is sent to a target that a host knows to be leaving, and
    nothing is dispatched on an expired grant or allowance. Messages are delayed or
    lost, hosts die, and requests end at any time.
    """

    holders = ("h0", "h1")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.harness = make_harness(SLOTS, HOSTS, self.holders)
        self.dead, self.rows, self.running = set(), {}, {}
        self.without_allocator, self.leaving, self.last_reports = set(), set(), {}
        self.sent_offers, self.dispatched = [], Counter()
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
            self.record_dispatches(host, alone)

    def record_dispatches(self, host, alone):
        for name, (owner, row) in self.rows.items():
            decided = decision(row) if owner == host else None
            if not isinstance(decided, Dispatch):
                continue
            self.dispatched[name] += 1
            self.running[name] = host, decided.target
            if alone:
                self.without_allocator.add(name)
            else:
                assert self.is_permitted(host, name, decided.target)
            assert (host, decided.target) not in self.leaving

    def is_permitted(self, host, name, target):
        return any(
            until > self.now
            and (
                any((row.request, row.target) == (name, target) for row in offer.grants)
                or any(row.target == target for row in offer.allowances)
            )
            for to, offer, until in self.sent_offers
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
        self.last_reports[host, holder] = self.now, waiting[0].sent_s
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
                self.sent_offers.append(
                    (host, offer, self.last_reports[host, by][1] + OFFER_LIFETIME_S)
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
        """Deliver all messages except the offers to the host ``late``."""
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

    def run_random_events(self, random):
        """Run many random events, alternating between busy and quiet phases."""
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
                partial(self.set_allocator, host, holder),
                partial(self.mark_leaving, host, "e1"),
                partial(self.die, "h2"),
            ]
            weights = [60, 40, 80, 80, 80, 50, 20, 20, 4, 1, 1]
            if quiet:
                weights[0], weights[5], weights[7] = 10, 200, 80
            random.choices(events, weights)[0]()
            self.no_request_runs_twice()
            self.no_target_exceeds_its_slots()

    @rule(index=st.integers(0, 9), sent=st.booleans())
    def finish(self, index, sent):
        if not self.running:
            return
        name = sorted(self.running)[index % len(self.running)]
        host, _ = self.running.pop(name)
        self.without_allocator.discard(name)
        if not self.alive(host):
            return
        tables, row = self.harness.hosts[host], self.rows[name][1]
        if sent:
            finish_request(tables, row, RequestState.COMPLETED, self.now)
        else:
            self.dispatched[name] -= 1
            return_request(tables, row, self.now)

    @rule(host=HOST, holder=HOLDER)
    def set_allocator(self, host, holder):
        self.harness.set_allocator(
            host, self.holders[holder % len(self.holders)], self.now
        )

    @rule(host=st.sampled_from(HOSTS[1:]))
    def die(self, host):
        if len(self.dead) < 1:
            self.dead.add(host)

    @rule(host=HOST, target_name=st.sampled_from(sorted(SLOTS)))
    def mark_leaving(self, host, target_name):
        tables = self.harness.hosts[host]
        tables.leaving |= {tables.config.targets[target_name].address}
        self.leaving.add((host, target_name))

    @invariant()
    def no_request_runs_twice(self):
        assert all(count <= 1 for count in self.dispatched.values())

    @invariant()
    def no_target_exceeds_its_slots(self):
        for target, slots in SLOTS.items():
            counted = [
                name
                for name, (host, target_name) in self.running.items()
                if target_name == target
                and name not in self.without_allocator
                and not self.is_timed_out(host)
            ]
            assert len(counted) <= slots * len(self.holders), counted

    def is_timed_out(self, host):
        return all(
            self.now - self.last_reports.get((host, holder), (0.0, 0.0))[0]
            > HOST_TIMEOUT_S
            for holder in self.holders
        )


class OneAllocatorMachine(GrantMachine):
    """With one allocator, a target never gets more requests than its slots."""

    holders = ("h0",)


TestGrantMachine = GrantMachine.TestCase
TestOneAllocatorMachine = OneAllocatorMachine.TestCase
TestGrantMachine.settings = settings(max_examples=20, stateful_step_count=30)
TestOneAllocatorMachine.settings = settings(max_examples=20, stateful_step_count=30)


@pytest.mark.parametrize("kind", [GrantMachine, OneAllocatorMachine])
@given(seed=st.integers(0, 2**32))
@settings(max_examples=60)
def test_grants_hold_in_long_random_runs(kind, seed):
    """Long runs always exhaust the pool; the short runs of the machine rarely do."""
    kind().run_random_events(Random(seed))
