"""Reports that tell an allocator what has changed of a host's demand."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.membership.codec import encode
from godwitladder.scheduler.access import WHOLE_S
from godwitladder.scheduler.reports import HEARTBEAT_S, due_reports, take_offer
from godwitladder.scheduler.systems import run_systems
from tests.scheduler.harness import START, make_request, submit
from tests.scheduler.test_returns import make_host_and_role

ROUND_S = 0.05
SMALL_BYTES = 600
EVENTS = ("submit", "report", "lose", "decide", "lose offer", "wait")


class Pair:
    """A host and its allocator, with a way between them that may lose messages."""

    def __init__(self) -> None:
        self.tables, self.role = make_host_and_role()
        self.now = START + 1.0
        self.count = 0
        self.offers: list = []

    def submit(self) -> None:
        self.count += 1
        # Each third one leaves soon.
        timeout_s = 0.2 if self.count % 3 == 0 else 60.0
        row = make_request(f"r{self.count}", self.now, timeout_s=timeout_s)
        submit(self.tables, row)

    def report(self, lose: bool = False) -> list:
        run_systems(self.tables, self.now)
        reports = [report for _, report in due_reports(self.tables, self.now)]
        for report in reports:
            if not lose:
                self.role.take_report(report, self.now)
        return reports

    def decide(self, lose: bool = False) -> None:
        for offer in self.role.run(("h0",), self.now):
            if not lose:
                take_offer(self.tables, offer, self.now)

    def lines(self) -> set:
        (account,) = self.role.current(self.now)
        return set(account.demands)

    def play(self, event: str) -> None:
        self.now += ROUND_S
        if event == "submit":
            self.submit()
        elif event in ("report", "lose"):
            self.report(event == "lose")
        elif event in ("decide", "lose offer"):
            self.decide(event == "lose offer")


def test_a_report_among_many_waiting_requests_is_small():
    """Guards against reports that grow with all that waits, in an overload."""
    pair = Pair()
    for _ in range(30):
        pair.submit()
    (whole,) = pair.report()
    assert len(whole.demands) == 30
    pair.now += ROUND_S
    pair.submit()
    (change,) = pair.report()
    assert [line.request for line in change.demands] == ["r31"]
    assert len(encode(change)) <= SMALL_BYTES
    assert len(pair.lines()) == 31


def test_a_request_that_was_granted_and_waits_again_is_told_anew():
    """Guards against one that its allocator has forgotten and its host has not."""
    pair = Pair()
    pair.report(), pair.decide()
    pair.now += ROUND_S
    pair.report()
    pair.now += ROUND_S
    pair.submit()
    pair.report(), pair.decide()
    for target in pair.tables.targets.values():
        target.avoided_until = pair.now + 10
    run_systems(pair.tables, pair.now)
    assert list(pair.tables.waiting) == ["r1"]
    pair.now += ROUND_S
    (report,) = pair.report()
    assert report.incremental
    assert pair.lines() == {"r1"}


@given(st.lists(st.sampled_from(EVENTS), max_size=60))
def test_an_allocator_knows_what_waits_after_any_losses(events):
    """Guards against requests that wait unknown, and lines of those that have left."""
    pair = Pair()
    pair.report()
    for event in events:
        pair.play(event)
    pair.now += max(WHOLE_S, HEARTBEAT_S) + ROUND_S
    run_systems(pair.tables, pair.now)
    pair.submit()
    pair.report()
    waiting = set(pair.tables.waiting)
    (account,) = pair.role.current(pair.now)
    granted = {
        name for access in pair.tables.pools.values() for name in access.grants
    } | set(account.grants)
    assert pair.lines() == waiting - granted
