"""Tests of trials between hosts and allocators, with messages driven by the test."""

import dataclasses
from dataclasses import replace

import pytest

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.rollouts.progress import Phase, RolloutLimits, Step
from godwitladder.discovery.rollouts import OrderInForce, RolloutOrder, RolloutState
from godwitladder.membership.codec import decode, encode
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.rollouts.coordinator import STATUS_INTERVAL_S, RolloutCoordinator
from godwitladder.rollouts.counts import AnswerResult
from godwitladder.rollouts.messages import CondemnedVersion, ProvedVersion
from godwitladder.rollouts.settling import settle
from godwitladder.rollouts.status import StatusKnown
from godwitladder.scheduler.reports import (
    due_reports,
    make_report,
    settle_targets,
    take_offer,
)
from godwitladder.scheduler.rows import Dispatch
from godwitladder.scheduler.systems import finish_request, run_systems
from tests.scheduler.harness import (
    LETTERS,
    START,
    decision,
    make_config,
    make_request,
    make_role,
    make_tables,
    submit,
)

LIMITS = RolloutLimits(0.1, 50)
ORDER = RolloutOrder(LETTERS, "v2", 30.0, 7)
ROUTE = "lookup"


def make_rollout_config(order=ORDER, ordered_at=START, slots=64, old=("v1", "v1")):
    """Return a configuration with old targets o0, o1 and a new one that is unproved."""
    names = [f"o{number}" for number in range(len(old))]
    config = make_config({**dict.fromkeys(names, slots), "n0": slots})
    releases = dict(zip(names, old, strict=True)) | {"n0": order.release}
    targets = {
        name: replace(target, release=releases[name])
        for name, target in config.targets.items()
    }
    if old:
        targets["n0"] = replace(targets["n0"], state=TargetState.UNPROVED)
    orders = {order.service: OrderInForce(order, ordered_at)}
    return replace(config, targets=targets, rollouts=orders)


class Region:
    """Hosts, allocators of which one is in use, and the desks of these."""

    def __init__(self, config=None, hosts=("h0", "h1"), limits=LIMITS):
        self.config = config or make_rollout_config()
        self.now = START
        self.limits = limits
        self.hosts = {}
        for host in hosts:
            tables = make_tables(host, hosts, self.config)
            tables.has_standing_grants = False
            tables.rollouts.set_orders(self.config.rollouts)
            settle_targets(tables)
            self.hosts[host] = tables
        self.wanted = []
        self.fresh = True
        self.number = 0
        self.take_over("a0", 1)

    def take_over(self, name, term):
        """Let a new allocator take over, which knows nothing."""
        self.name = name
        self.role = make_role(name, self.config, self.now, term, False)
        self.coordinator = RolloutCoordinator(self.limits, lambda: self.fresh)
        self.coordinator.request = self.wanted.append
        self.configure()
        for tables in self.hosts.values():
            for access in tables.pools.values():
                access.set_allocator(name, self.now)

    def configure(self, config=None):
        self.config = self.coordinator.settle(config or self.config)
        self.role.configure(self.role.pool, self.config, frozenset())
        services = frozenset({LETTERS})
        self.coordinator.configure(self.role.trials, services, self.config, self.now)

    @property
    def trial(self):
        return self.role.trials.rows[LETTERS]

    def step(self, passes=2):
        """Send reports, run the allocator and deliver its offers."""
        for _ in range(passes):
            self.now += 0.05
            for tables in self.hosts.values():
                run_systems(tables, self.now)
                for to, report in due_reports(tables, self.now):
                    if to == self.name:
                        self.deliver(decode(encode(report)))
            if self.role.is_warmed_up(tuple(self.hosts), self.now):
                self.coordinator.run_steps(self.role.trials, self.role.term, self.now)
            for offer in self.role.run(tuple(self.hosts), self.now):
                offer = self.coordinator.notify(self.role.trials, offer)
                take_offer(self.hosts[offer.host], decode(encode(offer)), self.now)
            for tables in self.hosts.values():
                run_systems(tables, self.now)

    def deliver(self, report):
        self.role.take_report(report, self.now)
        if self.coordinator.take_report(self.role.trials, report, self.now):
            self.configure()

    def call(self, host, fails=False, route=ROUTE, first_s=0.01, **fields):
        """Serve one call of a caller; return the target, or the refusal."""
        tables = self.hosts[host]
        row = make_request(f"r{self.number}", self.now, route=route, **fields)
        self.number += 1
        submit(tables, row)
        made = None
        for _ in range(4):
            self.step(1)
            made = decision(row)
            if made is not None:
                break
        if not isinstance(made, Dispatch):
            return made
        answer = tables.rollouts.begin(LETTERS, made.release, row.route, self.now)
        if answer is not None:
            answer.record_output(self.now + first_s)
            is_bad = fails and made.release == ORDER.release
            answer.end(AnswerResult.FAILED if is_bad else AnswerResult.GOOD)
        finish_request(tables, row, RequestState.COMPLETED, self.now)
        return made.target

    def serve(self, count, **more):
        """Serve calls of both hosts in turn; return the targets."""
        names = list(self.hosts)
        return [self.call(names[n % len(names)], **more) for n in range(count)]

    def fix_step(self, step):
        """Let the trial do the same in each step."""
        self.step()
        self.trial.progress.step = lambda *args: step


def is_new(targets):
    return [target == "n0" for target in targets]


def test_a_version_on_trial_gets_single_requests_over_all_hosts():
    """Guards against a bound that each host counts for itself."""
    region = Region()
    region.fix_step(Step(Phase.TRIAL, 0.1))
    targets = region.serve(400)
    budget = region.trial.budget
    assert budget.requests == 400
    assert sum(is_new(targets)) == budget.exposed
    assert 20 <= budget.exposed <= 40


def test_a_version_gets_nothing_without_a_grant():
    """Guards against hosts without an allocator that use a version on trial."""
    region = Region()
    region.fix_step(Step(Phase.TRIAL, 1.0))
    region.trial.budget.slack = 50
    assert region.call("h0") == "n0"
    for tables in region.hosts.values():
        tables.early_fallback = True
        for access in tables.pools.values():
            access.set_allocator(None, region.now)
    assert set(region.serve(100)) <= {"o0", "o1"}


def test_a_stream_of_another_version_is_not_resumed_at_the_new_one():
    region = Region()
    region.fix_step(Step(Phase.CUTOVER, 1.0, True))
    region.trial.budget.slack = 50
    assert region.call("h0", release="v1") in ("o0", "o1")
    assert region.call("h0", release="v2") == "n0"
    assert region.trial.budget.exposed == 1


def test_a_stream_of_a_condemned_version_is_refused():
    """Guards against streams that wait for a version that gets nothing more."""
    region = Region()
    region.step()
    region.trial.condemn()
    region.call("h0")
    refusal = region.call("h0", release="v2")
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.RELEASE_GONE


def test_a_repeated_request_goes_to_the_old_version_on_trial():
    region = Region()
    region.fix_step(Step(Phase.TRIAL, 1.0))
    region.trial.budget.slack = 50
    tables = region.hosts["h0"]
    row = submit(tables, make_request("again", region.now, route=ROUTE))
    region.step()
    assert decision(row).target == "n0"
    del tables.running[row.request]
    tables.targets["n0"].running = 0
    row.change(RequestState.WAITING)
    submit(tables, row)
    region.step(6)
    assert decision(row).target in ("o0", "o1")


def test_new_targets_are_no_capacity_before_they_are_proved():
    """Guards against requests that are let in for targets that may not run them."""
    region = Region(make_rollout_config(slots=1))
    region.step()
    rows = [
        submit(region.hosts["h0"], make_request(f"w{n}", region.now, route=ROUTE))
        for n in range(6)
    ]
    region.step(6)
    assert sum(decision(row) is not None for row in rows) == 2


def test_in_the_cutover_new_calls_go_to_the_new_version_alone():
    region = Region()
    region.fix_step(Step(Phase.CUTOVER, 1.0, True))
    region.trial.budget.slack = 10
    targets = region.serve(30)
    assert targets[:10] == ["n0"] * 10
    assert "n0" not in targets[12:20]


def test_in_the_cutover_calls_wait_while_the_new_version_is_busy():
    """Guards against calls at old targets that are about to stop at once."""
    region = Region(make_rollout_config(slots=1))
    region.fix_step(Step(Phase.CUTOVER, 1.0, True))
    region.trial.budget.slack = 10
    rows = [
        submit(region.hosts["h0"], make_request(f"c{n}", region.now, route=ROUTE))
        for n in range(3)
    ]
    region.step(6)
    made = [decision(row) for row in rows]
    assert [row.target for row in made if row is not None] == ["n0"]


def test_bad_answers_condemn_a_version_and_it_gets_nothing_more():
    """Guards against calls that go to a version that is known to be bad."""
    region = Region()
    region.step()
    region.trial.budget.slack = 50
    region.serve(300, fails=True)
    assert region.trial.is_condemned
    assert region.trial.budget.exposed < 50
    assert "n0" not in region.serve(100)
    assert region.wanted[-1].state is RolloutState.ROLLED_BACK


def test_hosts_repeat_to_a_new_allocator_what_is_condemned():
    """Guards against a takeover that forgets what is condemned, without the store."""
    region = Region()
    region.step()
    region.trial.condemn()
    region.serve(4)
    for tables in region.hosts.values():
        tables.rollouts.rows.clear()
    region.take_over("a1", 2)
    assert not region.trial.is_condemned
    region.step()
    assert region.trial.is_condemned
    region.trial.budget.slack = 50
    assert "n0" not in region.serve(60)


def test_a_grant_for_a_condemned_version_is_given_back():
    """Guards against a grant that is in transit when the version is condemned."""
    region = Region()
    region.fix_step(Step(Phase.TRIAL, 1.0))
    region.trial.budget.slack = 50
    tables = region.hosts["h0"]
    tables.rollouts.take_notice(CondemnedVersion(LETTERS, "v2", ORDER.offset))
    row = submit(tables, make_request("late", region.now, route=ROUTE))
    region.step(2)
    made = decision(row)
    assert made is None or made.target != "n0"


def test_a_new_allocator_gets_the_evidence_of_live_hosts():
    """Guards against evidence that ends with an allocator."""
    region = Region()
    region.step()
    region.trial.budget.slack = 50
    region.serve(100)
    region.step(30)
    before = region.trial.evidence.totals
    assert sum(row.sent for row in before.values()) == 100
    region.take_over("a1", 2)
    region.step()
    after = region.trial.evidence.totals
    assert {key: row.sent for key, row in after.items()} == {
        key: row.sent for key, row in before.items()
    }
    assert region.trial.progress.deadline == pytest.approx(START + 30.0, abs=0.1)


def test_what_a_version_got_before_its_order_was_read_counts():
    """Guards against targets that come before their order and use its bound twice."""
    config = make_rollout_config()
    active = replace(config.targets["n0"], state=TargetState.ACTIVE)
    before = replace(config, targets=config.targets | {"n0": active}, rollouts={})
    region = Region(before)
    for tables in region.hosts.values():
        tables.config = before
    targets = region.serve(20)
    assert 0 < sum(is_new(targets))
    ordered = replace(config, rollouts={LETTERS: OrderInForce(ORDER, START + 0.1)})
    region.configure(ordered)
    assert 0 < region.trial.budget.exposed <= sum(is_new(targets))
    assert region.trial.budget.exposed <= region.trial.budget.requests < 20


def test_evidence_is_kept_by_route():
    """Guards against a route that fails behind the good answers of others."""
    region = Region()
    region.step()
    region.serve(20, route="lookup")
    region.serve(20, route="charge")
    assert {route for _, route in region.trial.evidence.totals} == {"lookup", "charge"}


def test_only_the_term_that_wrote_the_first_status_has_the_slack():
    """Guards against a slack that each allocator that takes over spends again."""
    region = Region()
    region.step()
    running = StatusKnown(ORDER, RolloutState.RUNNING, 1, is_first=True)
    region.coordinator.take_status(region.role.trials, running, region.role.term)
    assert region.trial.budget.slack == 50
    region.take_over("a1", 2)
    region.coordinator.take_status(region.role.trials, running, region.role.term)
    found = replace(running, term=2, is_first=False)
    region.coordinator.take_status(region.role.trials, found, region.role.term)
    assert region.trial.budget.slack == 0


def test_two_allocators_at_once_stay_within_the_share():
    """Guards against a bound that each allocator counts from the whole traffic."""
    exposed = requests = 0
    for term in (1, 2):
        region = Region()
        region.role.term = term
        region.fix_step(Step(Phase.CUTOVER, 1.0, True))
        region.serve(150)
        exposed += region.trial.budget.exposed
        requests += region.trial.budget.requests
    assert 0 < exposed <= 0.1 * requests


def test_nothing_is_granted_once_the_news_of_the_order_are_old():
    """Guards against a zone that is cut off and goes on with a trial."""
    region = Region()
    region.fix_step(Step(Phase.CUTOVER, 1.0, True))
    region.trial.budget.slack = 50
    region.fresh = False
    assert "n0" not in region.serve(40)
    region.fresh = True
    assert region.call("h0") == "n0"


def test_a_completed_version_replaces_the_old_one():
    region = Region()
    region.step()
    known = StatusKnown(ORDER, RolloutState.COMPLETED, 1)
    assert region.coordinator.take_status(region.role.trials, known, 1)
    region.configure()
    assert set(region.serve(20)) == {"n0"}
    tables = region.hosts["h0"]
    assert tables.targets["n0"].target.state is TargetState.ACTIVE
    assert tables.targets["o0"].target.state is TargetState.LEAVING
    region.config = make_rollout_config()
    region.take_over("a1", 2)
    region.step()
    assert set(region.serve(20)) == {"n0"}


def test_a_version_that_was_condemned_before_it_completed_stays_completed():
    """Guards against a service whose old targets have stopped and whose new ones wait.

    One allocator condemned the version while the store held ``completed`` already.
    Hosts repeat what they were told in full reports.
    """
    region = Region()
    region.step()
    known = StatusKnown(ORDER, RolloutState.COMPLETED, 1)
    assert region.coordinator.take_status(region.role.trials, known, 1)
    trials = region.role.trials
    notice = CondemnedVersion(ORDER.service, ORDER.release, ORDER.offset)
    trials.take_report(("h0", 1), (), (), (notice,), (), region.now)
    assert not trials.condemned()
    assert [row.release for row in trials.proved()] == [ORDER.release]


def test_a_version_without_targets_replaces_nothing():
    """Guards against a service without targets after its new ones are gone."""
    config = make_rollout_config()
    proved = [ProvedVersion(ORDER.service, "v9", ORDER.offset)]
    assert settle(config, proved).targets == config.targets


def test_an_allocator_asks_again_what_the_store_holds():
    """Guards against a second allocator that goes on with a version rolled back."""
    region = Region()
    region.step()
    asked = len(region.wanted)
    for _ in range(int(2 * STATUS_INTERVAL_S / 0.1)):
        region.step()
    assert len(region.wanted) > asked
    assert {row.state for row in region.wanted} == {RolloutState.RUNNING}


def test_an_order_that_replaces_one_under_way_begins_anew():
    """Guards against counts and a condemnation of the order before."""
    region = Region()
    region.step()
    region.serve(20)
    region.trial.condemn()
    region.serve(4)
    order = replace(ORDER, offset=9)
    config = make_rollout_config(order, region.now)
    for tables in region.hosts.values():
        tables.rollouts.set_orders(config.rollouts)
    region.configure(config)
    region.step()
    assert region.trial.order == order
    assert not region.trial.is_condemned
    assert not region.trial.evidence.totals
    assert region.trial.progress.deadline == pytest.approx(region.now + 30, abs=1.0)


def test_an_order_at_the_offset_of_a_lost_one_begins_anew():
    """Guards against an outcome of an order that a copy of the store has lost."""
    region = Region()
    region.step()
    known = StatusKnown(ORDER, RolloutState.COMPLETED, 1)
    region.coordinator.take_status(region.role.trials, known, 1)
    region.serve(4)
    assert region.hosts["h0"].rollouts.notices
    config = make_rollout_config(replace(ORDER, release="v3"), region.now)
    for tables in region.hosts.values():
        tables.rollouts.set_orders(config.rollouts)
    region.configure(config)
    region.step()
    assert not region.hosts["h0"].rollouts.notices
    assert region.trial.step.phase is Phase.TRIAL
    assert region.config.targets["n0"].state is TargetState.UNPROVED


def test_the_version_in_force_is_completed_at_once(caplog):
    caplog.set_level("INFO", "godwitladder.rollouts")
    region = Region(make_rollout_config(old=()))
    region.step(4)
    assert [row.state for row in region.wanted] == [RolloutState.COMPLETED]
    lines = [row for row in caplog.records if "the deployed version" in row.message]
    assert len(lines) == 1


def test_a_version_that_is_left_alone_by_a_failure_is_not_completed():
    """Guards against a version on trial that wins because the old targets failed."""
    config = make_rollout_config(old=(), ordered_at=START - 10.0)
    region = Region(config)
    region.step(4)
    assert [row.state for row in region.wanted] == [RolloutState.RUNNING]


def test_an_order_for_an_unknown_service_is_logged_once(caplog):
    caplog.set_level("INFO", "godwitladder.rollouts")
    coordinator = RolloutCoordinator(LIMITS)
    config = make_rollout_config(replace(ORDER, service="nowhere"))
    coordinator.note_unknown_services(config)
    coordinator.note_unknown_services(config)
    lines = [row for row in caplog.records if "without targets" in row.message]
    assert len(lines) == 1


def test_an_order_of_unknown_age_is_rolled_back():
    """Guards against an order that begins again with each allocator."""
    region = Region(make_rollout_config(ordered_at=float("-inf")))
    region.step(10)
    assert region.trial.progress is None
    assert not region.wanted
    region.now += 2.0
    region.step()
    assert region.wanted[-1].state is RolloutState.ROLLED_BACK


def test_the_age_that_is_known_best_counts():
    region = Region(make_rollout_config(ordered_at=float("-inf")))
    orders = {LETTERS: OrderInForce(ORDER, START - 4.0)}
    region.hosts["h1"].rollouts.set_orders(orders)
    region.step()
    assert region.trial.progress.deadline == pytest.approx(START + 26.0, abs=0.1)


def test_without_bounds_no_message_and_no_decision_changes():
    """Guards against a system without rollouts that behaves differently."""
    config = dataclasses.replace(make_rollout_config(), rollouts={})
    region = Region(config, limits=None)
    region.step()
    assert set(region.serve(20)) <= {"o0", "o1"}
    tables = region.hosts["h0"]
    submit(tables, make_request("plain", region.now, route=ROUTE))
    (access,) = tables.pools.values()
    report = make_report(tables, access, region.now)
    assert report.version_counts == report.order_ages == report.condemned == ()
    assert [row.route for row in report.demands] == [""]
    assert not region.role.trials.rows
