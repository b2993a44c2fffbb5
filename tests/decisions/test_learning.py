"""Tests of what is estimated from callers and targets, and of retry delays."""

import random
from collections import Counter

import pytest

from godwitladder.decisions.health.throttling import TargetThrottles
from godwitladder.decisions.placing.load_reports import LoadReports
from godwitladder.decisions.placing.speeds import TargetSpeeds
from godwitladder.decisions.placing.standing import fixed_share, standing_grants
from godwitladder.decisions.prompts.affinity import HINT_TTL_S, PrefixHints
from godwitladder.decisions.prompts.prediction import OutputPredictor, grow_reservation
from godwitladder.decisions.rendezvous import choose_host
from godwitladder.decisions.waiting.backoff import retry_after_s
from godwitladder.decisions.waiting.cancel import DisconnectAction, disconnect_action
from godwitladder.decisions.waiting.early_retries import RefusedRequests
from godwitladder.decisions.waiting.returning_callers import (
    MAX_CALLERS,
    RETENTION_S,
    RefusedCallers,
)
from tests.decisions.pools import add, make_pool, make_target

HOSTS = [f"host-{n}" for n in range(14)]


def lengths(median, count, seed=1):
    draw = random.Random(seed)
    return [max(1, int(median * draw.lognormvariate(0, 0.6))) for _ in range(count)]


def test_prediction_covers_nine_in_ten_and_follows_a_change():
    predictor = OutputPredictor()
    assert predictor.predict("w", "s", 4096) == 2048
    for output in lengths(100, 300):
        predictor.observe("w", "s", 4096, output)
    reserved = predictor.predict("w", "s", 4096)
    covered = sum(output <= reserved for output in lengths(100, 1000, seed=2))
    assert 800 <= covered <= 980
    assert 60 <= predictor.predict_median("w", "s", 4096) <= 170
    for output in lengths(1000, 60):
        predictor.observe("w", "s", 4096, output)
    assert predictor.predict_median("w", "s", 4096) > 500


def test_a_new_workspace_uses_the_estimate_of_its_service():
    predictor = OutputPredictor()
    for output in lengths(100, 100):
        predictor.observe("old", "s", 4096, output)
    assert predictor.predict_median("new", "s", 4096) < 300


def test_cut_responses_count_as_long_ones():
    """Guards against long responses being predicted too short under overload.

    Their deadlines cut them off, so only short responses complete. If the cut
    ones were ignored, long responses would be started too late and cut off again.
    """
    predictor = OutputPredictor()
    for output in lengths(400, 400):
        cut = output > 400
        predictor.observe("w", "s", 4096, min(output, 400), cut)
    assert predictor.predict("w", "s", 4096) >= 390


def test_a_reservation_grows_a_few_times_up_to_the_declared_limit():
    reserved, grown = 100, 0
    for produced in range(1, 4097):
        after = grow_reservation(reserved, produced, 4096)
        grown += after != reserved
        reserved = after
        assert produced <= reserved <= 4096
    assert grown < 12


def test_speeds_are_learned_from_completions():
    speeds = TargetSpeeds()
    speeds.set_configured("t", 4000.0, 40.0)
    assert not speeds.is_calibrated("t")
    for _ in range(60):
        speeds.observe("t", 1000, 101, first_token_s=0.5, total_s=5.5)
    assert speeds.expected_s("t", 1000, 100) == pytest.approx(5.5, rel=0.05)
    assert speeds.is_calibrated("t")


def observe_seconds(throttles, ratio, start, count, streams=4):
    limits = []
    for second in range(start, start + count):
        for _ in range(streams):
            throttles.observe("t", 1.0, ratio, float(second))
        limits.append(throttles.limit("t", 8, float(second)))
    return limits


def test_a_slow_target_is_throttled_in_seconds_and_restored_in_steps():
    """An engine becomes six times slower without warning, and recovers later.

    Its streams are observed each second. It must lose most of its slots within
    three seconds, keep one as a probe, and get them back one by one. A burst of
    requests on its first good second would slow it down again.
    """
    throttles = TargetThrottles()
    assert observe_seconds(throttles, 1.0, 0, 10) == [8] * 10
    slow = observe_seconds(throttles, 6.0, 10, 20)
    assert slow[2] <= 2 and min(slow) >= 1 and slow[-1] <= 2
    back = observe_seconds(throttles, 1.0, 30, 20)
    assert back[-1] == 8
    steps = [after - before for before, after in zip(back, back[1:], strict=False)]
    assert min(steps) >= 0 and max(steps) == 1


def test_one_late_interval_does_not_reduce_the_limit():
    throttles = TargetThrottles()
    throttles.observe("t", 1.0, 2.9, 0.0)
    assert throttles.limit("t", 8, 0.0) == 8


def test_retries_are_spread_over_the_length_of_the_backlog():
    waits = Counter(retry_after_s(20.0, f"r{n}") for n in range(2100))
    assert min(waits) >= 20 and max(waits) <= 40
    assert max(waits.values()) < 2 * 2100 / 20
    assert retry_after_s(0.0, "r") >= 1 and retry_after_s(1e9, "r", 9) <= 120


def test_a_retry_before_its_delay_has_passed_is_recognized():
    refused = RefusedRequests()
    assert refused.retry_wait_s("w", "body", 0.0) == 0.0
    refused.record_refusal("w", "body", 10.0, now=0.0)
    assert refused.retry_wait_s("w", "body", 4.0) == 6.0
    assert refused.retry_wait_s("other", "body", 4.0) == 0.0
    assert refused.retry_wait_s("w", "body", 11.0) == 0.0
    assert refused.count("w", "body", 11.0) == 1
    assert refused.count("w", "body", 1000.0) == 0


@pytest.mark.parametrize(
    ("running", "idempotent", "keyed", "produced", "outcome"),
    [
        (False, False, True, 0, DisconnectAction.DROP),
        (True, False, False, 5, DisconnectAction.FINISH),
        (True, True, False, 95, DisconnectAction.CANCEL),
        (True, True, True, 95, DisconnectAction.FINISH),
        (True, True, True, 20, DisconnectAction.CANCEL),
    ],
)
def test_action_on_the_request_of_a_disconnected_caller(
    running, idempotent, keyed, produced, outcome
):
    assert disconnect_action(running, idempotent, keyed, produced, 100) is outcome


def test_cache_hints_follow_events_and_expire():
    """Cache events arrive late, and an eviction event may be lost."""
    hints = PrefixHints()
    hints.record_dispatch("t", "a", 0.0)
    hints.apply_event("t", "b", kept=True, now=1.0)
    hints.apply_event("t", "b", kept=False, now=2.0)
    hints.apply_event("t", "never-seen", kept=False, now=2.0)
    assert hints.prefixes("t", 3.0) == {"a"}
    assert hints.prefixes("t", HINT_TTL_S + 1.0) == set()
    for n in range(1000):
        hints.record_dispatch("t", f"p{n}", 0.0)
    assert len(hints.prefixes("t", 0.0)) <= 128


def test_shares_without_an_allocator_add_up_to_the_limit():
    """No host reaches the allocator, and each must continue on its own."""
    for limit in (0, 3, 8, 30):
        target = make_target("t", limit=limit)
        assert sum(fixed_share(target, host, HOSTS) for host in HOSTS) == limit


def test_standing_grants_leave_half_and_end_when_a_request_waits():
    pool = make_pool(make_target("t0", limit=8), make_target("t1", limit=8, used=6))
    granted = standing_grants(pool, HOSTS)
    assert Counter(grant.target for grant in granted) == {"t0": 4, "t1": 1}
    assert len(set(granted)) == len(granted)
    held = {grant for grant in granted if grant.target == "t0"}
    assert not held & set(standing_grants(pool, HOSTS, held))
    add(pool, "r0")
    assert standing_grants(pool, HOSTS) == []


def test_only_the_keys_of_a_host_that_left_are_reassigned():
    keys = [f"pool-{n}" for n in range(200)]
    before = {key: choose_host(HOSTS, key) for key in keys}
    after = {key: choose_host(HOSTS[1:], key) for key in keys}
    reassigned = {key for key in keys if before[key] != after[key]}
    assert reassigned == {key for key in keys if before[key] == HOSTS[0]}
    assert max(Counter(before.values()).values()) < 40


@pytest.mark.parametrize("lag", [0, 1, 2, 5])
def test_reports_show_only_the_load_of_others(lag):
    """Guards against counting our own requests as load of others.

    Reports are seconds old, and our own load changes meanwhile. If it is now
    lower than at the time of the report, subtracting it from the report would
    leave some of our own requests over.
    """
    loads = LoadReports()
    ours = [4 + (3 if second // 3 % 2 else -3) for second in range(120)]
    shown = []
    for second in range(lag, 120):
        loads.record_own("t", ours[second], float(second))
        outside = 3 if second - lag >= 60 else 0
        loads.observe("t", ours[second - lag] + outside)
        shown.append(loads.external("t"))
    assert set(shown[10:55]) <= {0, 1}
    assert set(shown[-20:]) <= {2, 3, 4}


def test_the_overhead_of_short_prompts_is_not_a_slowdown():
    """Guards against shedding the requests of a burst while most slots are free.

    A prompt of ten tokens should take a millisecond and takes twenty, because of
    the network and the engine's own step. Counted as a slowdown, two such prompts
    left each target one slot of four.
    """
    throttles = TargetThrottles()
    for second in range(10):
        throttles.observe("t", 0.001, 0.02, float(second))
    assert throttles.limit("t", 4, 10.0) == 4
    throttles.observe("t", 0.001, 1.0, 11.0)
    assert throttles.limit("t", 4, 11.0) < 4


def test_a_refused_caller_is_recognized_when_it_returns():
    callers = RefusedCallers()
    callers.record_refusal("b1", 1.0, 1.2)
    callers.record_refusal("b1", 4.0, 4.2)
    assert callers.first_arrival("b1", 5.0) == 1.0
    assert callers.first_arrival("b2", 5.0) is None
    assert callers.first_arrival("b1", 1.0 + RETENTION_S + 0.1) is None


def test_calls_without_a_body_are_always_new():
    callers = RefusedCallers()
    callers.record_refusal("", 1.0, 1.2)
    assert callers.first_arrival("", 1.3) is None


def test_the_number_of_refused_callers_is_bounded():
    callers = RefusedCallers()
    for number in range(MAX_CALLERS + 10):
        callers.record_refusal(f"b{number}", 1.0, 1.0)
    assert len(callers.first_arrivals) == MAX_CALLERS
    callers.record_refusal("new", 100.0, 100.0)
    assert list(callers.first_arrivals) == ["new"]
