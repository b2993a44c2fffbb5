"""Tests of the benchmark's engine model, and of the region simulated with it."""

import pytest

from bench.engines import CHUNK_TOKENS, PREFILL_TPS, STEP_S, BatchEngine, Job
from bench.region import KINDS, Load, RegionSimulation, tally


def run(engine, steps):
    """Return the total seconds of ``steps`` steps, and the jobs that ended in them."""
    seconds, ended = 0.0, []
    for _ in range(steps):
        took, _, done = engine.step()
        seconds += took
        ended += [job.name for job in done]
    return seconds, ended


def test_requests_are_admitted_in_order_of_arrival():
    """The short job arrives last, and no priority moves it ahead."""
    engine = BatchEngine(slots=1, memory=10_000)
    engine.queue.extend([Job("long", 10, 50), Job("short", 10, 1)])
    _, ended = run(engine, 60)
    assert ended == ["long", "short"]


def test_a_long_prompt_slows_concurrent_requests():
    """Its chunks are processed between the tokens of the other requests."""
    engine = BatchEngine(slots=2, memory=100_000)
    engine.queue.append(Job("a", 10, 100))
    run(engine, 2)
    baseline_s, _ = run(engine, 1)
    engine.queue.append(Job("long", 3 * CHUNK_TOKENS, 1))
    slowed_s, _ = run(engine, 1)
    assert slowed_s - baseline_s >= CHUNK_TOKENS / PREFILL_TPS
    run(engine, 2)
    recovered_s, _ = run(engine, 1)
    assert recovered_s < baseline_s + STEP_S * 2


def test_memory_bounds_the_running_requests():
    engine = BatchEngine(slots=8, memory=1000)
    engine.queue.extend(Job(f"r{n}", 400, 10) for n in range(4))
    engine.step()
    assert len(engine.running) == 2


def test_a_cancelled_request_frees_its_slot():
    engine = BatchEngine(slots=1, memory=1000)
    engine.queue.extend([Job("a", 10, 50), Job("b", 10, 1)])
    engine.step()
    engine.cancel("a")
    _, ended = run(engine, 3)
    assert ended == ["b"]


@pytest.fixture(scope="module")
def outcome():
    load = Load(seconds=6.0, engines=3, factor=1 / 3, burst=2.0, burst_at=2.0)
    return [tally(RegionSimulation(load).play()) for _ in range(2)]


def test_the_same_seed_gives_the_same_results(outcome):
    assert outcome[0] == outcome[1]


def test_every_call_is_accounted_for(outcome):
    """In a burst, each call is answered, refused or abandoned exactly once."""
    for row in outcome[0].values():
        assert row.offered == row.in_time + row.late + row.refused + row.abandoned
        assert 0 < row.credit <= row.max_credit


def test_the_most_important_kind_is_served_best(outcome):
    shares = [outcome[0][kind.name].share for kind in KINDS]
    assert shares[0] == max(shares)
