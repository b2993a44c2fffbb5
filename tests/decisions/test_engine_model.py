"""The engine model of the bench, and the region that is played through it."""

import pytest

from bench.engines import CHUNK_TOKENS, READ_TPS, STEP_S, BatchEngine, Job
from bench.region import KINDS, Load, Region, tally


def run(engine, steps):
    """Return the seconds of some steps, and who ended in them."""
    seconds, ended = 0.0, []
    for _ in range(steps):
        took, _, done = engine.step()
        seconds += took
        ended += [job.name for job in done]
    return seconds, ended


def test_requests_are_admitted_in_order_of_arrival():
    """The short one came last; no priority brings it forward."""
    engine = BatchEngine(slots=1, memory=10_000)
    engine.queue.extend([Job("long", 10, 50), Job("short", 10, 1)])
    _, ended = run(engine, 60)
    assert ended == ["long", "short"]


def test_a_long_prompt_slows_what_runs_beside_it():
    """Its chunks are read between the tokens of the others."""
    alone = BatchEngine(slots=2, memory=100_000)
    alone.queue.append(Job("a", 10, 100))
    run(alone, 2)
    usual_s, _ = run(alone, 1)
    alone.queue.append(Job("long", 3 * CHUNK_TOKENS, 1))
    slowed_s, _ = run(alone, 1)
    assert slowed_s - usual_s >= CHUNK_TOKENS / READ_TPS
    run(alone, 2)
    again_s, _ = run(alone, 1)
    assert again_s < usual_s + STEP_S * 2


def test_memory_bounds_what_runs():
    engine = BatchEngine(slots=8, memory=1000)
    engine.queue.extend(Job(f"r{n}", 400, 10) for n in range(4))
    engine.step()
    assert len(engine.running) == 2


def test_a_caller_that_left_takes_no_place():
    engine = BatchEngine(slots=1, memory=1000)
    engine.queue.extend([Job("a", 10, 50), Job("b", 10, 1)])
    engine.step()
    engine.cancel("a")
    _, ended = run(engine, 3)
    assert ended == ["b"]


@pytest.fixture(scope="module")
def outcome():
    load = Load(seconds=6.0, engines=3, factor=1 / 3, burst=2.0, burst_at=2.0)
    return [tally(Region(load).play()) for _ in range(2)]


def test_the_same_seed_gives_the_same_figures(outcome):
    assert outcome[0] == outcome[1]


def test_every_call_is_accounted_for(outcome):
    """In a burst, each call is answered, refused or left by its caller, once."""
    for row in outcome[0].values():
        assert row.offered == row.in_time + row.late + row.refused + row.left
        assert 0 < row.earned <= row.owed


def test_the_most_important_kind_is_served_best(outcome):
    shares = [outcome[0][kind.name].share for kind in KINDS]
    assert shares[0] == max(shares)
