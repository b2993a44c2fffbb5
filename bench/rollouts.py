"""Measures rollouts of good and bad versions: ``python -m bench.rollouts``.

Plays seeded rollouts against a model that knows requests, versions and answers only,
and prints a Markdown table for each way of cutover. There are no network, hosts or
queues: each request arrives, is granted for one of both versions, and its answer is
counted up to 0.2 s later by a source that reports every 0.2 s. Time passes in steps of
0.1 s.
"""

import math
import sys
from dataclasses import dataclass, replace
from multiprocessing import Pool

import defopt
import numpy as np

from bench.report import table
from godwitladder.decisions.rollouts.evidence import (
    LAST_BUCKET,
    AnswerCounts,
    Evidence,
)
from godwitladder.decisions.rollouts.exposure import ExposureBudget
from godwitladder.decisions.rollouts.progress import (
    CutoverMode,
    Phase,
    RolloutLimits,
    RolloutProgress,
    Step,
)
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.ids import (
    HostId,
    Incarnation,
    Release,
    RouteName,
    ServiceName,
)

STEP_S = 0.1
KNOWN_AFTER_S = 0.3
WRITE_STEPS = 1
REPORT_S = 0.2
TARGETS = 6
SPEEDS = np.array([0.55, 1.0, 2.8] * 2)
NOISE_PERIOD_STEPS = 6
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5
TIME_S = 0.1
TIME_SPREAD = 0.4
ROUTES = tuple(RouteName(name) for name in ("letter", "question", "lookup"))
ROUTE_SHARES = np.array([0.5, 0.3, 0.2])
BAD_ROUTE = 2
MOST_AT_ONCE = 50
SHARE = 0.1
SLACK = 50
BAD_ANSWERS = 50
ROLLBACK_S = 5.0
LATE_FRACTION = 0.6
LOADED_SHARE = 0.5
NEW, OLD = Release("2"), Release("1")
SOURCE = HostId("h1"), Incarnation(1)
SENT, GOOD, FAILED, FIRST_BUCKET = range(4)
SLOTS = FIRST_BUCKET + LAST_BUCKET + 1
REPORT_STEPS = 2
BURST_S = 4.0, 6.0
BUCKETS = np.array(
    [2.0 ** (index / 2) * 0.001 for index in range(LAST_BUCKET)], dtype=float
)


@dataclass(frozen=True)
class Version:
    """How a new version answers.

    Attributes
    ----------
    failing : float
        Share of its answers that fail while it is bad, beyond those that fail with the
        old version as well.
    slower : float
        Factor by which its answers take longer.
    hanging : float
        Share of its requests that never get an answer.
    late, loaded, one_route : bool
        Whether it is bad only after `LATE_FRACTION` of the duration, only with more
        than `LOADED_SHARE` of all requests, only on one route.
    is_good : bool
        Whether it is to be completed.
    """

    name: str
    failing: float = 0.0
    slower: float = 1.0
    hanging: float = 0.0
    late: bool = False
    loaded: bool = False
    one_route: bool = False
    is_good: bool = False


@dataclass(frozen=True)
class Setting:
    """Conditions of a run.

    Attributes
    ----------
    old_failing : float
        Share of the answers that fail with both versions.
    burst_failing : float
        The same during `BURST_S`.
    is_noisy : bool
        Whether targets are slow at times.
    stream_s : float
        Seconds from the first output to the end of an answer.
    takeover : bool
        Whether another allocator takes over after half of the duration.
    has_slack : bool
        Whether the first term holds the slack.
    """

    name: str
    old_failing: float = 0.0
    burst_failing: float = 0.0
    is_noisy: bool = False
    stream_s: float = 0.0
    takeover: bool = False
    has_slack: bool = True


VERSIONS = (
    Version("good", is_good=True),
    Version("30% fail", failing=0.3),
    Version("10% fail", failing=0.1),
    Version("3% fail", failing=0.03),
    Version("3 times as slow", slower=3.0),
    Version("30% hang", hanging=0.3),
    Version("30% fail late", failing=0.3, late=True),
    Version("10% fail late", failing=0.1, late=True),
    Version("30% fail under load", failing=0.3, loaded=True),
    Version("10% fail under load", failing=0.1, loaded=True),
    Version("30% fail on one route", failing=0.3, one_route=True),
    Version("10% fail on one route", failing=0.1, one_route=True),
)
QUIET = Setting("quiet")
ROUGH = Setting(
    "old 0.5%, noise", old_failing=0.005, burst_failing=0.005, is_noisy=True
)
SETTINGS = (
    QUIET,
    ROUGH,
    Setting("special: streams of 2 s", stream_s=2.0),
    replace(ROUGH, name="special: takeover", takeover=True),
    replace(ROUGH, name="special: no slack", has_slack=False),
    replace(ROUGH, name="special: both fail 30% for 2 s", burst_failing=0.3),
)
LOADS = ((100, 12.0), (100, 30.0), (1000, 12.0), (1000, 30.0))


@dataclass
class Result:
    """One run.

    Attributes
    ----------
    outcome : RolloutState or None
        What the store held at the deadline.
    exposed : int
        Requests sent to the new version until then.
    bound : float
        Most that it may get.
    bad : int
        Bad answers until the deadline.
    is_late : bool
        Whether a request was sent more than `ROLLBACK_S` after the 50th bad answer.
    """

    outcome: RolloutState | None
    exposed: int
    bound: float
    bad: int
    is_late: bool


class Load:
    """All requests of a run, drawn beforehand, with the answers of both versions.

    Attributes
    ----------
    first : array
        Index of the first request of each step and route.
    route : array
        Route of each request.
    cells : dict
        Where each request is counted, by version and by whether the version is bad at
        the time: cells of `Counts.added`.
    seen : array
        Step in which a bad answer to each request is known; `steps` if later or never.
    """

    def __init__(
        self, version: Version, setting: Setting, rate: float, steps: int, seed: int
    ) -> None:
        rng = np.random.default_rng(seed)
        counts = rng.poisson(rate * STEP_S * ROUTE_SHARES, size=(steps, len(ROUTES)))
        self.steps = steps
        self.first = np.concatenate([[0], np.cumsum(counts.ravel())])
        cells = np.repeat(np.arange(steps * len(ROUTES)), counts.ravel())
        self.step, self.route = np.divmod(cells, len(ROUTES))
        size = len(cells)
        fails = rng.random(size) < self.failing(setting)
        bad = rng.random(size) < version.failing
        hangs = rng.random(size) < version.hanging
        if version.one_route:
            bad &= self.route == BAD_ROUTE
        spread = np.exp(TIME_SPREAD * rng.standard_normal(size))
        delay = REPORT_S * rng.random(size)
        never = np.zeros(size, bool)
        self.cells = {}
        for release, slower in ((OLD, 1.0), (NEW, version.slower)):
            taken = self.times(rng, setting) * spread * slower
            started = self.step + np.ceil((taken + delay) / STEP_S).astype(int)
            ended = started + math.ceil(setting.stream_s / STEP_S)
            bucket = np.searchsorted(BUCKETS, taken)
            self.cells[release, False] = self.place(
                started, ended, bucket, fails, never
            )
            self.cells[release, True] = self.place(
                started, ended, bucket, fails | bad, hangs
            )
        is_seen = ~hangs & (fails | bad | (version.slower > 1.0))
        self.seen = np.where(is_seen, np.minimum(ended, steps), steps)

    def failing(self, setting: Setting) -> np.ndarray:
        """Return the share of answers that fail with both versions."""
        now = self.step * STEP_S
        first, last = BURST_S
        is_burst = (first <= now) & (now < last)
        return np.where(is_burst, setting.burst_failing, setting.old_failing)

    def times(self, rng: np.random.Generator, setting: Setting) -> np.ndarray:
        """Return the time that each request takes on some target of a version."""
        target = rng.integers(0, TARGETS, len(self.step))
        times = TIME_S / SPEEDS[target]
        if setting.is_noisy:
            periods = self.steps // NOISE_PERIOD_STEPS + 1
            slow = rng.random((periods, TARGETS)) < NOISE_SHARE
            times = times * np.where(
                slow[self.step // NOISE_PERIOD_STEPS, target], NOISE_FACTOR, 1.0
            )
        return times

    def place(
        self,
        started: np.ndarray,
        ended: np.ndarray,
        bucket: np.ndarray,
        failed: np.ndarray,
        hangs: np.ndarray,
    ) -> np.ndarray:
        """Return the cells in which each request and its answer are counted."""
        end = np.where(failed, FAILED, GOOD)
        return np.stack(
            [
                self.cell(self.step + 1, SENT, False),
                self.cell(started, FIRST_BUCKET + bucket, failed | hangs),
                self.cell(ended, end, hangs),
            ],
            axis=1,
        )

    def cell(
        self, step: np.ndarray, slot: np.ndarray | int, dropped: np.ndarray | bool
    ) -> np.ndarray:
        """Return the cells of a slot; what is not counted goes into the last one."""
        cells = (step * len(ROUTES) + self.route) * SLOTS + slot
        last = self.steps * len(ROUTES) * SLOTS
        return np.where(dropped | (step >= self.steps), last, cells)


class Counts:
    """What the source counts of one version.

    Attributes
    ----------
    added : array
        What is counted in each step, by route and slot.
    sums : array
        What has been counted, by route and slot.
    """

    def __init__(self, steps: int) -> None:
        self.added = np.zeros(steps * len(ROUTES) * SLOTS + 1, int)
        self.sums = np.zeros((len(ROUTES), SLOTS), int)

    def pass_step(self, step: int) -> None:
        """Add what is counted in a step."""
        size = len(ROUTES) * SLOTS
        row = self.added[step * size : (step + 1) * size]
        self.sums += row.reshape(len(ROUTES), SLOTS)

    def report(self) -> list[AnswerCounts]:
        """Return the sums by route."""
        return [
            AnswerCounts(
                row[SENT],
                row[GOOD],
                row[FAILED],
                tuple(
                    (bucket, count)
                    for bucket, count in enumerate(row[FIRST_BUCKET:])
                    if count
                ),
            )
            for row in self.sums.tolist()
        ]


class Player:
    """One rollout."""

    def __init__(
        self,
        version: Version,
        setting: Setting,
        mode: CutoverMode,
        rate: float,
        duration_s: float,
        seed: int,
    ) -> None:
        self.version, self.setting, self.duration_s = version, setting, duration_s
        self.steps = math.ceil(duration_s / STEP_S)
        self.load = Load(version, setting, rate, self.steps, seed)
        self.counts = {release: Counts(self.steps) for release in (NEW, OLD)}
        self.order = RolloutOrder(ServiceName("service"), NEW, duration_s, 1)
        self.limits = RolloutLimits(SHARE, SLACK, ROLLBACK_S, mode=mode)
        self.evidence = Evidence()
        self.begin_term(SLACK if setting.has_slack else 0)
        self.bad_answers = np.zeros(self.steps + 1, int)
        self.exposed_by_step = np.zeros(self.steps, int)
        self.writes: list[tuple[int, RolloutState]] = []
        self.stored: RolloutState | None = None

    def begin_term(self, slack: int) -> None:
        """Let an allocator begin."""
        self.exposure = ExposureBudget(SHARE, slack)
        self.progress = RolloutProgress(self.order, self.limits, 0.0)

    def play(self) -> Result:
        """Play the rollout until its deadline."""
        for index in range(self.steps):
            now = index * STEP_S
            if self.setting.takeover and index == self.steps // 2:
                self.begin_term(0)
            for counts in self.counts.values():
                counts.pass_step(index)
            if index % REPORT_STEPS == 0:
                self.report()
            step = Step(Phase.TRIAL)
            if now >= KNOWN_AFTER_S:
                step = self.progress.step(self.evidence, self.exposure, now)
            self.write(step, index)
            if self.stored is RolloutState.ROLLED_BACK:
                break
            self.send(step, index, now)
        for _, state in self.writes:
            self.stored = self.stored or state
        return self.result()

    def report(self) -> None:
        """Record what the source has counted."""
        for release, counts in self.counts.items():
            for route, row in zip(ROUTES, counts.report(), strict=True):
                self.evidence.record(SOURCE, release, route, row)

    def write(self, step: Step, index: int) -> None:
        """Write an outcome, which the store holds some steps later."""
        if step.outcome is not None and not self.writes:
            self.writes.append((index + WRITE_STEPS, step.outcome))
        for at, state in self.writes:
            if at <= index and self.stored is None:
                self.stored = state
                self.progress.record_outcome(state)

    def send(self, step: Step, index: int, now: float) -> None:
        """Send the requests of a step to either version."""
        exposed = []
        for route in range(len(ROUTES)):
            cell = index * len(ROUTES) + route
            first, last = self.load.first[cell], self.load.first[cell + 1]
            exposed += self.choose(step, route, int(first), int(last), now)
        begin = self.load.first[index * len(ROUTES)]
        end = self.load.first[(index + 1) * len(ROUTES)]
        chosen = np.zeros(end - begin, bool)
        chosen[np.array(exposed, int) - begin] = True
        rows = np.arange(begin, end)
        rate = len(exposed) / max(1, end - begin)
        is_bad = self.is_bad(rate, now)
        new = rows[chosen]
        self.count(OLD, rows[~chosen], False)
        self.count(NEW, new, is_bad)
        if is_bad:
            np.add.at(self.bad_answers, self.load.seen[new], 1)
        self.exposed_by_step[index] = len(exposed)

    def choose(
        self, step: Step, route: int, first: int, last: int, now: float
    ) -> list[int]:
        """Return the requests of a route that are granted for the new version."""
        name, exposed = ROUTES[route], []
        if step.phase is Phase.COMPLETED:
            return list(range(first, last))
        chunk = self.chunk(step, name)
        for index in range(first, last, chunk):
            size = min(chunk, last - index)
            is_exposed = step.share > 0 and self.exposure.may_expose(
                now, step.share, name
            )
            if is_exposed:
                exposed.append(index)
                self.exposure.record_granted(True, now, name)
                size -= 1
            if size:
                self.exposure.record_granted(False, now, name, count=size)
        return exposed

    def chunk(self, step: Step, route: RouteName) -> int:
        """Return how many requests are granted at once, at most one of them exposed."""
        if step.share >= 1.0:
            return 1
        share = step.share * self.exposure.route_weight(route)
        return max(1, min(MOST_AT_ONCE, int(0.5 / share))) if share else MOST_AT_ONCE

    def is_bad(self, rate: float, now: float) -> bool:
        """Return whether the new version is bad at present."""
        if self.version.is_good:
            return False
        if self.version.late and now < LATE_FRACTION * self.duration_s:
            return False
        return not self.version.loaded or rate > LOADED_SHARE

    def count(self, release: Release, rows: np.ndarray, is_bad: bool) -> None:
        """Count some requests and their answers at the time at which they are known."""
        cells = self.load.cells[release, is_bad][rows]
        np.add.at(self.counts[release].added, cells.ravel(), 1)

    def result(self) -> Result:
        """Return what the run gave."""
        bad = np.cumsum(self.bad_answers[: self.steps])
        limit = int(np.searchsorted(bad, BAD_ANSWERS))
        late = limit + math.ceil(ROLLBACK_S / STEP_S) + 1
        return Result(
            self.stored,
            int(self.exposed_by_step.sum()),
            SHARE * len(self.load.step) + SLACK,
            int(bad[-1]),
            bool(self.exposed_by_step[late:].any()),
        )


@dataclass(frozen=True)
class Row:
    """A row of the table: the same case with several seeds."""

    version: Version
    setting: Setting
    mode: CutoverMode
    rate: float
    duration_s: float
    seeds: int

    def run(self) -> tuple[str, ...]:
        """Return the cells of the row."""
        results = [
            Player(
                self.version, self.setting, self.mode, self.rate, self.duration_s, seed
            ).play()
            for seed in range(self.seeds)
        ]
        wanted = (
            RolloutState.COMPLETED if self.version.is_good else RolloutState.ROLLED_BACK
        )
        right = sum(row.outcome is wanted for row in results)
        return (
            self.version.name,
            self.setting.name,
            f"{self.rate:.0f}/s, {self.duration_s:.0f} s",
            f"{right / len(results):.1%}",
            f"{max(row.exposed / row.bound for row in results):.0%}",
            str(sum(row.exposed > row.bound for row in results)),
            f"{np.mean([row.bad for row in results]):.0f}",
            str(max(row.bad for row in results)),
            str(sum(row.is_late for row in results)),
        )


HEAD = (
    "version",
    "setting",
    "load",
    "right outcome",
    "most exposed",
    "over the bound",
    "bad answers, mean",
    "most",
    "sent too late",
)


def run_row(row: Row) -> tuple[str, ...]:
    """Return the cells of a row; for worker processes."""
    return row.run()


def make_rows(
    seeds: int, mode: CutoverMode, version: str, setting: str, load: str
) -> list[Row]:
    """Return the rows that match the words given."""
    loads = LOADS
    if load:
        rate, duration_s = load.split("x")
        loads = ((int(rate), float(duration_s)),)
    return [
        Row(row, conditions, mode, rate, duration_s, seeds)
        for row in VERSIONS
        if version in row.name
        for conditions in SETTINGS
        if setting in conditions.name
        for rate, duration_s in loads
    ]


def main(
    *,
    seeds: int = 200,
    jobs: int = 2,
    mode: CutoverMode = CutoverMode.RESERVED,
    version: str = "",
    setting: str = "",
    load: str = "",
) -> int:
    """Print the table and return the exit code.

    Parameters
    ----------
    seeds : int
        Number of runs of each row, with seeds from 0 on.
    jobs : int
        Number of processes.
    mode : CutoverMode
        Way of cutover.
    version : str
        Part of the names of the versions to play.
    setting : str
        Part of the names of the settings to play.
    load : str
        Requests per second and duration to play, such as 100x12; by default all.
    """
    rows = make_rows(seeds, mode, version, setting, load)
    print(table(HEAD, []), flush=True)
    with Pool(jobs) as pool:
        for cells in pool.imap(run_row, rows):
            print(f"| {' | '.join(cells)} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
