"""Claims under any interleaving, against a naive store in one process."""

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from godwitladder.claims.records import encode_record
from godwitladder.claims.table import ClaimTable
from godwitladder.claims.tracker import ClaimRequest, ClaimResult, ClaimTracker, Verdict
from godwitladder.clients.log import Page, Record

HOSTS = 3
KEYS = [bytes([index]) * 16 for index in range(2)]
BODY = b"body-abc"
RETENTION_S = 40.0
WINDOW_S = 100.0
PATIENCE_S = 3.0


@dataclass
class FakeLog:
    """The log's stream, which drops records by age."""

    records: list[Record] = field(default_factory=list)
    next: int = 0
    now: float = 1_000.0

    def append(self, batch) -> None:
        for row in batch:
            self.records.append(Record(self.next, self.now, encode_record(row)))
            self.next += 1

    def page(self, start: int, limit: int = 1000) -> Page:
        first = self.records[0].offset if self.records else self.next
        rows = [row for row in self.records if row.offset >= start][:limit]
        return Page(first, self.next, tuple(rows))

    def expire(self) -> None:
        oldest = self.now - RETENTION_S
        self.records = [row for row in self.records if row.time >= oldest]


@dataclass
class NaiveKeys:
    """The same promise in one process: when each key ran, and who holds it.

    A key that ran, or whose host died without a release, is held until the
    window of its claim is over; any other key is free.
    """

    held_until: dict[bytes, float] = field(default_factory=dict)

    def hold(self, key: bytes, until: float) -> None:
        self.held_until[key] = max(until, self.held_until.get(key, 0.0))


@dataclass
class Attempt:
    """One caller's request with a key on one host."""

    host: int
    key: bytes
    nonce: bytes
    claimed_at: float = 0.0
    state: str = "pending"


class ClaimMachine(RuleBasedStateMachine):
    """Three hosts, one log, and everything that may go wrong between them."""

    def __init__(self) -> None:
        super().__init__()
        self.log = FakeLog()
        self.hosts = [self.make_host(index, 1) for index in range(HOSTS)]
        self.attempts: dict[bytes, Attempt] = {}
        self.late: list = []
        self.naive = NaiveKeys()
        self.runs: list[tuple[bytes, float]] = []

    def make_host(self, index: int, incarnation: int) -> ClaimTracker:
        return ClaimTracker(f"host-{index}", incarnation, ClaimTable(WINDOW_S))

    def take(self, settled: list[ClaimResult]) -> None:
        for row in settled:
            attempt = self.attempts[row.nonce]
            assert attempt.state == "pending", "a claim was settled twice"
            won = row.verdict is Verdict.WON
            attempt.state = "won" if won else "not_run"
            attempt.claimed_at = self.log.now

    def want_on(self, index: int, key: bytes) -> Attempt:
        nonce = len(self.attempts).to_bytes(12, "big")
        attempt = self.attempts[nonce] = Attempt(index, key, nonce)
        wanted = ClaimRequest(key, nonce, BODY, 0.0, self.log.now + PATIENCE_S)
        settled = self.hosts[index].want(wanted, self.log.now)
        self.take([settled] if settled else [])
        return attempt

    hosts_ = st.integers(0, HOSTS - 1)
    picks = st.integers(0, 50)

    @rule(index=hosts_, key=st.sampled_from(KEYS))
    def want(self, index: int, key: bytes) -> None:
        self.want_on(index, key)

    @rule(index=hosts_, fate=st.sampled_from(["done", "lost", "refused", "late"]))
    def append(self, index: int, fate: str) -> None:
        """Append a batch; it may be applied with its answer lost, or later."""
        host = self.hosts[index]
        batch = list(host.take_batch())
        if not batch:
            return
        if fate in ("done", "lost"):
            self.log.append(batch)
        if fate == "late":
            self.late.append(batch)
        if fate == "done":
            host.append_done()
        else:
            host.append_failed(self.log.now)

    @precondition(lambda self: self.late)
    @rule(pick=picks)
    def apply_late(self, pick: int) -> None:
        self.log.append(self.late.pop(pick % len(self.late)))

    @rule(index=hosts_, limit=st.integers(1, 4))
    def read(self, index: int, limit: int) -> None:
        host = self.hosts[index]
        self.take(host.read(self.log.page(host.table.next, limit)))

    @rule(index=hosts_)
    def fail_read(self, index: int) -> None:
        self.hosts[index].read_failed()

    @rule(pick=picks)
    def dispatch(self, pick: int) -> None:
        """Run a won request, however long its host was frozen since."""
        won = [row for row in self.attempts.values() if row.state == "won"]
        if won:
            row = won[pick % len(won)]
            row.state = "ran"
            self.runs.append((row.key, row.claimed_at))

    @rule(pick=picks)
    def give_up(self, pick: int) -> None:
        """Shed a request, its deadline past or its caller gone."""
        rows = [
            row for row in self.attempts.values() if row.state in ("pending", "won")
        ]
        if rows:
            row = rows[pick % len(rows)]
            row.state = "not_run"
            self.hosts[row.host].give_up(row.key, row.nonce)

    @rule(index=hosts_)
    def expire(self, index: int) -> None:
        self.take(self.hosts[index].expire(self.log.now))

    @rule(index=hosts_)
    def crash(self, index: int) -> None:
        """Kill a host; a new incarnation takes its place."""
        for row in self.attempts.values():
            if row.host == index and row.state in ("pending", "won"):
                row.state = "died"
        held = self.hosts[index]
        unreleased = held.given_up | held.sent
        for row in self.attempts.values():
            if row.state == "died" or row.nonce in unreleased:
                self.naive.hold(row.key, self.log.now + WINDOW_S)
        self.hosts[index] = self.make_host(index, held.incarnation + 1)

    @rule()
    def wait(self) -> None:
        self.log.now += 1.0

    @rule()
    def age(self) -> None:
        """Time passes; live hosts record again what the log is about to drop."""
        self.log.now += RETENTION_S / 4
        self.flush()
        for host in self.hosts:
            host.snapshot(RETENTION_S / 2 - 1.0)
            self.log.append(host.take_batch())
            host.append_done()
        self.log.expire()

    def flush(self) -> None:
        """Let every host append what it has and read to the end."""
        for host in self.hosts:
            host.append_failed(self.log.now)
            self.log.append(host.take_batch())
            host.append_done()
        for host in self.hosts:
            self.take(host.read(self.log.page(host.table.next)))

    @invariant()
    def runs_at_most_once_in_a_window(self) -> None:
        for key in KEYS:
            times = sorted(at for name, at in self.runs if name == key)
            gaps = [
                after - before for before, after in zip(times, times[1:], strict=False)
            ]
            assert all(gap >= WINDOW_S - RETENTION_S for gap in gaps), (key, times)

    def teardown(self) -> None:
        """Once all is quiet, a key is free on any host if it is in one process."""
        for row in list(self.attempts.values()):
            if row.state in ("pending", "won"):
                row.state = "not_run"
                self.hosts[row.host].give_up(row.key, row.nonce)
            if row.state == "ran":
                self.naive.hold(row.key, row.claimed_at + WINDOW_S)
        for batch in self.late:
            self.log.append(batch)
        for _ in range(3):
            self.flush()
        for key in KEYS:
            free = self.naive.held_until.get(key, 0.0) <= self.log.now
            attempt = self.want_on(HOSTS - 1, key)
            self.flush()
            if free:
                assert attempt.state == "won", "a key that was given up is burnt"
            elif any(name == key for name, _ in self.runs):
                ran = max(at for name, at in self.runs if name == key)
                if ran + WINDOW_S - RETENTION_S > self.log.now:
                    assert attempt.state == "not_run", "a key that ran is free"


@pytest.mark.parametrize("steps", [15, 40])
def test_any_interleaving_runs_a_key_once_and_burns_none(steps):
    """A caller's key runs once in its window, and never stays unusable.

    Hosts claim, give up, crash, freeze and come back in any order; batches
    are lost, applied with their answers lost, or applied long after. Claims
    are settled by the order of the log, and what was given up is released.
    """
    run_state_machine_as_test(
        ClaimMachine,
        settings=settings(max_examples=150, stateful_step_count=steps),
    )
