"""Hosts, an allocator and targets with rate limits, in simulated time."""

from dataclasses import dataclass, replace

from godwitladder.outcomes import Refusal, RequestState
from godwitladder.scheduler.messages import CooldownStated, RateLimitStated
from godwitladder.scheduler.rows import Dispatch, RequestRow
from godwitladder.scheduler.statements import take_cooldown, take_rate_limit
from godwitladder.scheduler.systems import finish_request, run_systems
from tests.scheduler.harness import (
    START,
    AllocationHarness,
    make_config,
    make_request,
    make_role,
    make_tables,
    submit,
)

HOSTS = ("h0", "h1", "h2")
RANKS = 2
STEP_S = 0.05
WINDOW_S = 4.0
TIMEOUT_S = 3.0
START_WITHIN_S = 2.0
TTFT_BUDGET_S = 0.4


def with_generation(config, generation):
    """Return ``config`` with all its targets restarted as ``generation``."""
    targets = {
        name: replace(target, generation=generation)
        for name, target in config.targets.items()
    }
    return replace(config, targets=targets)


def allowed(rate):
    """Return the requests that a target with a limit may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


@dataclass(frozen=True)
class SentCall:
    """A dispatch, with its time in seconds."""

    at: float
    host: str
    target: str
    rank: int


@dataclass(frozen=True)
class RefusedCall:
    """A refusal, and the seconds for which the call waited for it."""

    refusal: Refusal
    waited_s: float


@dataclass
class DecisionRecorder:
    """Records the decision on one call in place of the queue of its thread."""

    pool: "LimitedPool"
    host: str
    row: RequestRow

    def put(self, decision):
        """Record a decision."""
        now = self.pool.now
        if isinstance(decision, Dispatch):
            call = SentCall(now, self.host, decision.target, self.row.tier_rank)
            self.pool.sent.append(call)
        else:
            waited_s = now - self.row.arrived
            self.pool.refused.append(RefusedCall(decision, waited_s))


class LimitedPool:
    """Hosts with steady calls, and targets that complete each of them at once.

    Attributes
    ----------
    sent : list of SentCall
        All dispatches.
    refused : list of RefusedCall
        All refusals.
    cut_off : set of str
        Hosts whose messages are lost.
    """

    def __init__(self, slots, hosts=HOSTS, holders=("h0",), standing=False):
        config = with_generation(make_config(slots), "1")
        self.now = START
        self.number = 0
        self.sent, self.refused, self.cut_off = [], [], set()
        tables = {}
        for host in hosts:
            tables[host] = make_tables(host, hosts, config)
            tables[host].has_standing_grants = standing
            tables[host].early_fallback = not standing
            tables[host].availability_zone = tables[host].zone
            tables[host].seen_hosts.record_alive(hosts, START)
        roles = {
            holder: make_role(holder, config, START, term, standing)
            for term, holder in enumerate(holders, 1)
        }
        self.harness = AllocationHarness(config, tables, roles)
        for host in hosts:
            self.harness.set_allocator(host, holders[0], START)

    def state_limit(self, host, rate, target="e0"):
        """Let an answer to ``host`` state a rate limit."""
        statement = RateLimitStated(target, "1", rate)
        take_rate_limit(self.harness.hosts[host], statement, self.now)

    def ask_for_cooldown(self, host, cooldown_s, target="e0"):
        """Let an answer to ``host`` ask for cooldown."""
        statement = CooldownStated(target, "1", cooldown_s)
        take_cooldown(self.harness.hosts[host], statement, self.now)

    def run(self, seconds, calls_per_step=1, **fields):
        """Let all hosts send calls for so long."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for host, tables in self.harness.hosts.items():
                tables.seen_hosts.record_alive(tables.hosts, self.now)
                for row in list(tables.running.values()):
                    finish_request(tables, row, RequestState.COMPLETED, self.now)
                self.submit(tables, calls_per_step, fields)
                self.harness.tick(host, self.now)
            self.exchange()

    def submit(self, tables, count, fields):
        for _ in range(count):
            self.number += 1
            row = make_request(
                f"{tables.host}-{self.number}",
                self.now,
                self.number % RANKS,
                TIMEOUT_S,
                declared_tokens=1,
                **fields,
            )
            row.start_by = self.now + START_WITHIN_S
            row.ttft_deadline = self.now + TTFT_BUDGET_S
            row.decisions = DecisionRecorder(self, tables.host, row)
            submit(tables, row)

    def exchange(self):
        """Deliver all messages but those from and to hosts that are cut off."""
        for messages in (self.harness.reports, self.harness.offers):
            for pair, waiting in messages.items():
                if self.cut_off & set(pair) and pair[0] != pair[1]:
                    waiting.clear()
        for host, holder in list(self.harness.reports):
            while self.harness.reports[host, holder]:
                self.harness.deliver_report(host, holder, self.now)
        for holder in self.harness.roles:
            self.harness.decide(holder, self.now)
        for host, holder in list(self.harness.offers):
            while self.harness.offers[host, holder]:
                self.harness.deliver_offer(host, holder, self.now)
        for tables in self.harness.hosts.values():
            run_systems(tables, self.now)

    def most_sent(self, since, target="e0"):
        """Return the most requests that ``target`` got in a window."""
        times = [
            call.at for call in self.sent if call.target == target and call.at >= since
        ]
        return max(
            (sum(at <= later < at + WINDOW_S for later in times) for at in times),
            default=0,
        )
