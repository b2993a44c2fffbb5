"""A rollout under any order of events, with two allocators and a store between them."""

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitladder.decisions.rollouts.evidence import (
    AnswerCounts,
    Evidence,
    time_bucket,
)
from godwitladder.decisions.rollouts.exposure import ExposureBudget
from godwitladder.decisions.rollouts.progress import (
    Phase,
    RolloutLimits,
    RolloutProgress,
)
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.ids import HostId, Incarnation, Release, RouteName, ServiceName

NEW, OLD = Release("2"), Release("1")
ROUTES = RouteName("letter"), RouteName("lookup")
DURATION_S = 12.0
SHARE, SLACK, ROLLBACK_S = 0.1, 50, 5.0
ORDER = RolloutOrder(ServiceName("letters"), NEW, DURATION_S, 7)
LIMITS = RolloutLimits(SHARE, SLACK, ROLLBACK_S)
OUTCOMES = RolloutState.COMPLETED, RolloutState.ROLLED_BACK
SLOT, HOST = st.integers(0, 1), st.integers(0, 2)
LOST = st.sampled_from([False, False, True])


@dataclass
class Host:
    """A host that counts answers and remembers what was condemned."""

    name: str
    incarnation: int = 1
    counts: dict = field(default_factory=dict)
    pending: list = field(default_factory=list)
    knows_condemned: bool = False
    is_cut: bool = False

    def answer(self):
        for release, route, failed in self.pending:
            row = self.counts[release, route]
            row[1 + failed] += 1
        self.pending.clear()

    def report(self):
        rows = {
            key: AnswerCounts(*row, ((time_bucket(0.1), row[1]),) if row[1] else ())
            for key, row in self.counts.items()
        }
        source = HostId(self.name), Incarnation(self.incarnation)
        return source, rows, self.knows_condemned


class Term:
    """One term of an allocator."""

    def __init__(self):
        self.progress = RolloutProgress(ORDER, LIMITS, 0.0)
        self.exposure, self.evidence = ExposureBudget(SHARE), Evidence()
        self.was_condemned = False

    def take_in(self, report):
        (source, rows, condemned) = report
        for (release, route), counts in rows.items():
            self.evidence.record(source, release, route, counts)
        if condemned:
            self.progress.condemn()

    def step(self, now):
        step = self.progress.step(self.evidence, self.exposure, now)
        self.was_condemned |= self.progress.test.is_condemned
        return step


@dataclass
class Write:
    """A conditional append on its way to the store."""

    term: Term
    at: int
    state: RolloutState
    acknowledged: bool


class RolloutMachine(RuleBasedStateMachine):
    """Two allocators may act at once, and either may be replaced at any time.

    Reports and writes are delayed, repeated, lost and overtaken; hosts restart and are
    cut off; the version turns bad at any time. There is at most one outcome, the
    exposure stays within its bound until the version is completed, and nothing is sent
    to a version that the allocator or a host that can tell it knows to be bad.
    """

    def __init__(self):
        super().__init__()
        self.now, self.requests, self.exposed, self.failing = 0.0, 0, 0, 0
        self.hosts = [Host(f"h{index}") for index in range(3)]
        self.terms = [Term(), Term()]
        self.mail, self.writes, self.store = [], [], []
        self.condemned_at = None
        self.failed = 0

    def outcome(self):
        found = [state for state in self.store if state in OUTCOMES]
        return found[0] if found else None

    @rule(slot=SLOT, host=HOST, count=st.integers(1, 60))
    def serve(self, slot, host, count):
        term, host = self.terms[slot], self.hosts[host]
        step = term.step(self.now)
        self.share_condemnation(term)
        for index in range(count):
            self.grant(term, host, step, ROUTES[index % 3 == 0])
        host.answer()

    def grant(self, term, host, step, route):
        exposed = step.phase is Phase.COMPLETED
        if not exposed:
            allowed = term.exposure.may_expose(self.now, step.share, route)
            exposed = step.share > 0 and allowed
            term.exposure.record_granted(exposed, self.now, route)
        self.requests += 1
        failed = False
        if exposed:
            self.check_exposed(term, step)
            self.exposed += self.outcome() is not RolloutState.COMPLETED
            failed = self.exposed % 10 < self.failing
            self.failed += failed
        release = NEW if exposed else OLD
        host.counts.setdefault((release, route), [0, 0, 0])[0] += 1
        host.pending.append((release, route, failed))

    def check_exposed(self, term, step):
        if step.phase is Phase.COMPLETED:
            assert self.outcome() is RolloutState.COMPLETED
            return
        assert not term.was_condemned
        assert self.now < DURATION_S
        if self.condemned_at is not None:
            is_late = self.now > self.condemned_at + ROLLBACK_S
            can_tell = any(h.knows_condemned and not h.is_cut for h in self.hosts)
            assert not (is_late and can_tell)

    def share_condemnation(self, term):
        if not term.was_condemned:
            return
        if self.condemned_at is None:
            self.condemned_at = self.now
        for host in self.hosts:
            host.knows_condemned |= not host.is_cut

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 3.0]))
    def wait(self, seconds):
        """Let time pass, in which hosts that are not cut off report."""
        self.now += seconds
        for host in self.hosts:
            if not host.is_cut:
                for term in self.terms:
                    term.take_in(host.report())

    @rule(slot=SLOT, seconds=st.sampled_from([1.0, 4.0]), other=st.booleans())
    def run(self, slot, seconds, other):
        """Let calls arrive steadily."""
        for step in range(int(seconds / 0.1)):
            chosen = (slot + step) % 2 if other else slot
            self.serve(chosen, step % 3, 20)
            self.wait(0.1)
            self.write(chosen, False)
            self.execute(len(self.writes) - 1)

    @rule(host=HOST, slot=SLOT)
    def post(self, host, slot):
        """Send a report that arrives late."""
        self.mail.append((slot, self.hosts[host].report()))

    @rule(index=st.integers(0, 20), again=st.booleans())
    def deliver(self, index, again):
        if self.mail:
            index %= len(self.mail)
            slot, report = self.mail[index]
            self.terms[slot].take_in(report)
            if not again:
                del self.mail[index]

    @rule(slot=SLOT)
    def take_over(self, slot):
        """Replace an allocator; the next one first hears all hosts that it can."""
        self.terms[slot] = Term()
        for host in self.hosts:
            if not host.is_cut:
                self.terms[slot].take_in(host.report())

    @rule(host=HOST)
    def restart(self, host):
        row = self.hosts[host]
        self.hosts[host] = Host(row.name, row.incarnation + 1, is_cut=row.is_cut)

    @rule(host=HOST, is_cut=st.booleans())
    def cut(self, host, is_cut):
        self.hosts[host].is_cut = is_cut

    @rule(failing=st.sampled_from([0, 0, 1, 3, 10]))
    def change_version(self, failing):
        self.failing = failing

    @rule(slot=SLOT, lost=LOST)
    def claim(self, slot, lost):
        """Append ``running``, with which the slack of the order goes to a term."""
        if not self.store:
            term = self.terms[slot]
            self.writes.append(Write(term, 0, RolloutState.RUNNING, not lost))

    @rule(slot=SLOT, lost=LOST)
    def write(self, slot, lost):
        """Read the status; append an outcome unless there is one."""
        term = self.terms[slot]
        if self.outcome() is not None:
            term.progress.record_outcome(self.outcome())
            return
        state = term.step(self.now).outcome
        if state is not None:
            self.writes.append(Write(term, len(self.store), state, not lost))

    @rule(index=st.integers(0, 20))
    def execute(self, index):
        """Let the store execute a write, also one of a term that has ended."""
        if not self.writes:
            return
        write = self.writes.pop(index % len(self.writes))
        if write.at != len(self.store):
            return
        self.store.append(write.state)
        if not write.acknowledged:
            return
        if write.state is RolloutState.RUNNING:
            write.term.exposure.slack = SLACK
        else:
            write.term.progress.record_outcome(write.state)

    @invariant()
    def there_is_at_most_one_outcome(self):
        assert sum(state in OUTCOMES for state in self.store) <= 1

    @invariant()
    def the_exposure_is_within_its_bound(self):
        assert self.exposed <= SHARE * self.requests + SLACK

    @invariant()
    def no_term_has_counted_more_than_there_was(self):
        for term in self.terms:
            rows = [term.evidence.new_version(NEW, route) for route in ROUTES]
            assert sum(row.failed for row in rows) <= self.failed


TestRollouts = RolloutMachine.TestCase
TestRollouts.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=40, deadline=None
)


def play(machine, seconds, slots=(0,)):
    """Let calls arrive for some seconds at allocators in turn."""
    for index in range(round(seconds / 0.1)):
        slot = slots[index % len(slots)]
        machine.serve(slot, index % 3, 20)
        machine.wait(0.1)
        machine.write(slot, False)
        machine.execute(len(machine.writes) - 1)
        machine.the_exposure_is_within_its_bound()
        machine.there_is_at_most_one_outcome()


def test_the_machine_reaches_a_completion():
    """Guards against a machine that never gets as far as an outcome."""
    machine = RolloutMachine()
    machine.claim(0, False)
    machine.execute(0)
    play(machine, DURATION_S)
    assert machine.store == [RolloutState.RUNNING, RolloutState.COMPLETED]


def test_the_machine_reaches_a_rollback():
    machine = RolloutMachine()
    machine.failing = 3
    play(machine, DURATION_S, (0, 1))
    assert machine.store == [RolloutState.ROLLED_BACK]
    assert machine.condemned_at is not None


def test_a_new_allocator_hears_that_a_version_is_condemned():
    """Guards against a takeover that tries a condemned version again."""
    machine = RolloutMachine()
    machine.failing = 5
    play(machine, 6.0)
    assert machine.condemned_at is not None
    machine.take_over(0)
    before = machine.exposed
    play(machine, 1.0)
    assert machine.exposed == before


@pytest.mark.parametrize("lost", [False, True])
def test_a_late_write_changes_no_outcome(lost):
    """Guards against a completed that the store executes after a rollback."""
    machine = RolloutMachine()
    play(machine, DURATION_S - 0.6)
    late = Write(machine.terms[0], len(machine.store), RolloutState.COMPLETED, not lost)
    machine.terms[1].progress.condemn()
    machine.write(1, False)
    machine.writes.append(late)
    machine.execute(0)
    machine.execute(0)
    assert machine.store == [RolloutState.ROLLED_BACK]
