"""Simulation of targets on shared machines that state how long work takes there.

``python -m bench.stated_load`` compares, on the same seeds and loads, allocators that
ignore the stated figure, trust it as received, and weigh it by its age. Each engine of
`bench.region` is slower for a while, at random. It states its present slowdown with
each first output, and the allocator receives that after a delay. The output shows which
share of the calls had their first output in time.
"""

import random
import statistics
import zlib
from dataclasses import dataclass, field, replace
from unittest.mock import patch

import defopt

from bench.region import MIXES, Call, Load, RegionSimulation
from bench.report import table
from godwitladder.decisions.placing.stated_load import MAX_FACTOR, StatedSlowdowns
from godwitladder.scheduler import views
from godwitladder.scheduler.messages import SlowdownStated
from godwitladder.scheduler.reports import due_reports, next_due_s, take_offer
from godwitladder.scheduler.statements import take_slowdown
from godwitladder.scheduler.systems import run_systems

SLOW_SHARE = 0.15
SLOWDOWN = 2.5
CHANGE_S = 0.6
MIN_DELAY_S, MAX_DELAY_S = 0.1, 1.0
MODES = ("ignored", "as received", "by age", "product", "true")


def noise(seed: int, target: str, now: float) -> float:
    """Return the slowdown of a target at a time, of 1 or `SLOWDOWN`.

    The targets change at different times.
    """
    number = zlib.crc32(target.encode())
    period = int(now / CHANGE_S + number % 997 / 997)
    draw = random.Random(f"{seed}/{target}/{period}").random()
    return SLOWDOWN if draw < SLOW_SHARE else 1.0


@dataclass
class NoisySimulation(RegionSimulation):
    """`RegionSimulation` with engines that slow down for a while.

    Attributes
    ----------
    mode : str
        How the allocator uses stated slowdowns, one of `MODES`. ``product`` sends them
        through the host's report, ``true`` uses the present slowdown, as no allocator
        can know it.
    delay_s : float
        Delay of each statement on its way to the allocator, in seconds; 0 draws each
        one between `MIN_DELAY_S` and `MAX_DELAY_S`.
    path_delay_s : float
        Delay of reports and of offers, in seconds each way.
    scales_choice : bool
        Whether the choice among the targets in time uses the figure as well.
    stated : StatedSlowdowns
        What the allocator knows.
    delays : random.Random
        Source of the drawn delays.
    """

    mode: str = "ignored"
    delay_s: float = 0.1
    path_delay_s: float = 0.0
    scales_choice: bool = False
    stated: StatedSlowdowns = field(default_factory=StatedSlowdowns)
    delays: random.Random = field(default_factory=lambda: random.Random(1))

    def __post_init__(self) -> None:
        super().__post_init__()
        learned_cost = self.role.speeds.prefill_cost

        def present_cost(target):
            factor = self.factor(target)
            fixed_s, token_s = learned_cost(target)
            return fixed_s * factor, token_s * factor

        self.role.speeds.prefill_cost = present_cost

    def scaled(self, found: dict) -> dict:
        """Return the views of the targets with their present prefill speed."""
        for name, view in found.items():
            view.prefill_tps /= self.factor(name)
        return found

    def play(self) -> list[Call]:
        """Run the simulation and return all calls with their outcomes."""
        if not self.scales_choice:
            return super().play()
        plain = views.target_views
        with patch.object(views, "target_views") as patched:
            patched.side_effect = lambda role, now: self.scaled(plain(role, now))
            return super().play()

    def factor(self, target: str) -> float:
        """Return the time of a prompt as a multiple of the learned time."""
        if self.mode == "by age":
            return self.stated.factor(target, "", self.now)
        row = self.stated.rows.get(target)
        if self.mode in ("ignored", "product") or row is None:
            return 1.0
        if self.mode == "true":
            return noise(self.load.seed, target, self.now) / row.mean
        return min(MAX_FACTOR, row.slowdown / row.mean)

    def step(self, name: str) -> None:
        """Run one step of an engine at its present speed."""
        engine = self.engines[name]
        usual = engine.slowness
        engine.slowness = usual * noise(self.load.seed, name, self.now)
        super().step(name)
        engine.slowness = usual

    def record_first_token(self, name: str) -> None:
        """Record a first token, and send the allocator what the engine states."""
        super().record_first_token(name)
        target, now = self.rows[name].target, self.now
        slowdown = noise(self.load.seed, target, now)
        delay_s = self.delay_s or self.delays.uniform(MIN_DELAY_S, MAX_DELAY_S)
        if self.mode == "product":
            stated = SlowdownStated(target, "", slowdown, now)
            self.schedule(now + delay_s, lambda: take_slowdown(self.tables, stated))
            return
        self.schedule(
            now + delay_s, lambda: self.stated.observe(target, "", slowdown, now)
        )

    def exchange(self) -> None:
        """Run the host's systems and the allocator, with delays between them."""
        if not self.path_delay_s:
            super().exchange()
            return
        self.exchange_scheduled = False
        run_systems(self.tables, self.now)
        for _, report in due_reports(self.tables, self.now):
            self.schedule(
                self.now + self.path_delay_s, lambda report=report: self.answer(report)
            )
        wait_s = next_due_s(self.tables, self.now)
        if wait_s is not None:
            self.schedule(self.now + wait_s, self.schedule_exchange)
        for name in list(self.active_calls):
            self.apply_decision(name)

    def answer(self, report) -> None:
        """Take a report at the allocator, and send the host its offers."""
        self.role.take_report(report, self.now)
        for offer in self.role.run(("h0",), self.now):
            self.schedule(
                self.now + self.path_delay_s, lambda offer=offer: self.take(offer)
            )

    def take(self, offer) -> None:
        """Apply an offer at the host."""
        take_offer(self.tables, offer, self.now)
        self.schedule_exchange()


def first_in_time(calls: list[Call]) -> float:
    """Return the share of calls with their first output in time."""
    in_time = sum(
        bool(call.first_token_at)
        and call.first_token_at <= call.arrived + call.kind.ttft_budget_s
        for call in calls
    )
    return in_time / len(calls)


def main(
    *,
    seconds: float = 20.0,
    factor: float = 0.9,
    seeds: int = 3,
    first_seed: int = 1,
    mix: str = "letters",
    delays: list[float] = (0.1, 0.3, 1.0),
    path_delay: float = 0.0,
    modes: list[str] = MODES,
    choice: bool = False,
) -> None:
    """Compare the modes and print the shares of first outputs in time.

    Parameters
    ----------
    seconds : float
        Time over which calls arrive in each simulation.
    factor : float
        Multiple of all arrival rates.
    seeds : int
        Number of simulations.
    first_seed : int
        Seed of the first one.
    mix : str
        Mix of calls: letters or quotes.
    delays : list[float]
        Delays of statements in seconds; 0 draws each one.
    path_delay : float
        Delay of reports and of offers in seconds, each way.
    modes : list[str]
        Modes to compare.
    choice : bool
        Whether the choice among the targets in time uses the figure as well.
    """
    load = Load(seconds=seconds, factor=factor, burst=1.0, mix=MIXES[mix])
    rows = []
    for mode in modes:
        for delay_s in delays if mode not in ("ignored", "true") else (0.0,):
            shares, completed = [], []
            for seed in range(first_seed, first_seed + seeds):
                run = NoisySimulation(
                    replace(load, seed=seed),
                    mode=mode,
                    delay_s=delay_s,
                    path_delay_s=path_delay,
                    scales_choice=choice,
                )
                calls = run.play()
                shares.append(first_in_time(calls))
                completed.append(sum(bool(c.ended_at) for c in calls) / len(calls))
            each = " ".join(f"{share:.3f}" for share in shares)
            mean, served = statistics.mean(shares), statistics.mean(completed)
            rows.append((mode, delay_s, f"{mean:.4f}", f"{served:.3f}", each))
    print(table(("figure", "delay s", "in time", "completed", "by seed"), rows))


if __name__ == "__main__":
    defopt.run(main)
