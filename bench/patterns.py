"""Load patterns of the benchmark, for the mixes of both users."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from bench.policies import LeastReported, Naive, Scheduled
from bench.queues import ExternalStreams, Player, Policy, Run, Scenario, Slowdown
from bench.traces import (
    KORGUSOPE,
    KORGUSOPE_ENGINES,
    MATULA,
    MATULA_ENGINES,
    Engine,
    Kind,
    add_burst,
    add_flood,
    add_hangups,
    add_long,
    add_prefixes,
    make_trace,
)
from godwitladder.ids import TargetName

SECONDS = 100.0
LOADS = (0.5, 0.7, 1.0, 1.5, 2.0, 3.0, 4.0)
SEEDS = (1, 2, 3, 4, 5)
REPORT_LAGS_S = (0.0, 1.0, 2.0, 5.0)
DISTURBED_TARGET = TargetName("engine-02")
DISTURBANCE_START_S, DISTURBANCE_END_S = 30.0, 70.0

PolicyFactory = Callable[[Sequence[Engine]], Policy]


@dataclass(frozen=True)
class User:
    """The mix of requests and the targets of one user."""

    name: str
    mix: Sequence[Kind]
    engines: Sequence[Engine]

    def at_load(self, load: float, seconds: float = SECONDS) -> Scenario:
        """Return the mix at ``load`` times the capacity, without disturbances."""
        trace = make_trace(self.mix, self.engines, load, seconds)
        return Scenario(trace, self.engines)


@dataclass(frozen=True)
class Pattern:
    """One scenario and the two policies that are compared on it."""

    name: str
    user: User
    scenario: Scenario
    baseline: PolicyFactory = Naive
    ours: PolicyFactory = Scheduled


@dataclass(frozen=True)
class Comparison:
    """Runs of a pattern under the baseline and under the scheduler."""

    pattern: Pattern
    naive: Run
    ours: Run


USERS = (
    User("Matula", MATULA, MATULA_ENGINES),
    User("Kõrgusõpe", KORGUSOPE, KORGUSOPE_ENGINES),
)


def make_patterns(user: User) -> Iterator[Pattern]:
    """Yield all patterns of one user."""
    mix, engines = user.mix, user.engines
    for load in (1.0, 2.0, 4.0):
        yield Pattern(f"saturation {load:g}x", user, user.at_load(load))
    trace = add_burst(mix, engines, SECONDS)
    yield Pattern("burst", user, Scenario(trace, engines))
    trace = add_flood(mix, engines, SECONDS)
    yield Pattern("few callers", user, Scenario(trace, engines))
    yield Pattern("slow target", user, slow_scenario(user))
    trace = add_long(mix, engines, SECONDS)
    yield Pattern("long among short", user, Scenario(trace, engines))
    trace = make_trace(mix, engines, 2.0, SECONDS)
    storm = Scenario(trace, engines, max_retries=4, retry_after_compliance=0.3)
    yield Pattern("retry storm", user, storm)
    trace = add_hangups(make_trace(mix, engines, 1.5, SECONDS), 0.3)
    yield Pattern("callers hang up", user, Scenario(trace, engines))
    trace = add_prefixes(make_trace(mix, engines, 0.9, SECONDS), 40)
    yield Pattern("shared prefixes", user, Scenario(trace, engines))
    for lag_s in REPORT_LAGS_S:
        yield stale_report_pattern(user, lag_s)


def slow_scenario(user: User) -> Scenario:
    """Return a load of 0.9 with one target six times slower for some time."""
    trace = make_trace(user.mix, user.engines, 0.9, SECONDS)
    return Scenario(
        trace,
        user.engines,
        slow=Slowdown(DISTURBED_TARGET, DISTURBANCE_START_S, DISTURBANCE_END_S, 6.0),
    )


def stale_report_pattern(user: User, lag_s: float) -> Pattern:
    """Return a load of 0.9 with external streams on one target for some time.

    The baseline dispatches to the least loaded target by reports, as is common.
    """
    trace = make_trace(user.mix, user.engines, 0.9, SECONDS)
    count = user.engines[0].slots // 2
    scenario = Scenario(
        trace,
        user.engines,
        external_streams=ExternalStreams(
            DISTURBED_TARGET, DISTURBANCE_START_S, DISTURBANCE_END_S, count
        ),
    )
    return Pattern(
        f"reports {lag_s:g} s old",
        user,
        scenario,
        baseline=lambda engines: LeastReported(engines, lag_s),
        ours=lambda engines: Scheduled(engines, lag_s),
    )


def compare_seeds(user: User, load: float) -> list[tuple[Run, Run]]:
    """Return the runs of the baseline and the scheduler on several traces of a load."""
    runs = []
    for seed in SEEDS:
        trace = make_trace(user.mix, user.engines, load, SECONDS, seed)
        scenario = Scenario(trace, user.engines)
        naive = Player(scenario, Naive(user.engines)).play()
        runs.append((naive, Player(scenario, Scheduled(user.engines)).play()))
    return runs


def compare(pattern: Pattern) -> Comparison:
    """Simulate one pattern under both policies."""
    engines = pattern.scenario.engines
    naive = Player(pattern.scenario, pattern.baseline(engines)).play()
    ours = Player(pattern.scenario, pattern.ours(engines)).play()
    return Comparison(pattern, naive, ours)
