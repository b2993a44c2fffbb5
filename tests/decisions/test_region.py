"""Decisions for a pool in which each dispatch is requested from the allocator."""

import random
from collections import Counter

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.limits.quotas import LOWERED_AFTER_S, TokenQuotas, TokenRate
from godwitladder.decisions.limits.retry_budget import (
    USED_SHARE,
    RetryBudget,
    RetryLimits,
)
from godwitladder.decisions.placing.precedence import (
    Precedence,
    Size,
    Timeliness,
    serving_order,
)
from godwitladder.decisions.policy import ROUTED
from godwitladder.decisions.prompts.prefill_fit import PrefillFit
from godwitladder.decisions.prompts.sizes import CallSizes
from godwitladder.decisions.types import ShedReason
from godwitladder.decisions.waiting.entitlement import Entitlements
from tests.decisions.pools import add, make_pool, make_target, shed_reasons, take
from tests.scheduler.harness import add_history

RATE = {"w0": TokenRate(1000.0, 2000.0)}


def add_timed(pool, request, rank, ttft_deadline, **more):
    """Add a waiting request whose first output is due at ``ttft_deadline``."""
    add(pool, request, rank, **more)
    pool.waiting[request].ttft_deadline = ttft_deadline


def placed_requests(pool, now=0.0):
    """Return the requests that one run of the allocator places, in order."""
    return [row.request for row in allocate(pool, now).placements]


def test_a_late_request_yields_to_one_that_can_be_in_time():
    """Guards against two late answers where one could be in time.

    A request of rank 0 has waited until its first output is late in any case,
    and a request of rank 2 has just arrived. If the late one were served first,
    both would be late.
    """
    pool = make_pool(make_target(limit=1))
    add_timed(pool, "late", 0, ttft_deadline=1.0)
    add_timed(pool, "fresh", 2, ttft_deadline=9.0)
    assert placed_requests(pool, now=5.0) == ["fresh"]


def test_among_requests_in_time_the_tier_decides():
    pool = make_pool(make_target(limit=1))
    add_timed(pool, "low", 2, ttft_deadline=9.0)
    add_timed(pool, "high", 0, ttft_deadline=9.0)
    assert placed_requests(pool) == ["high"]


def test_a_request_that_can_no_longer_start_is_refused():
    """Guards against prefill for a caller that will have hung up by then."""
    pool = make_pool(make_target(limit=0))
    add(pool, "r")
    pool.waiting["r"].start_by = 3.0
    assert shed_reasons(allocate(pool, 2.9)) == {}
    pool.waiting["r"].entry = None
    assert shed_reasons(allocate(pool, 3.1)) == {"r": ShedReason.DEADLINE}


def test_a_target_with_unprocessed_prompts_gets_no_further_prompt():
    """Guards against a queue at the target, where precedence has no effect."""
    busy = make_target("t0", pending_prefill_tokens=1000, max_pending_prefill_s=0.1)
    pool = make_pool(busy)
    add(pool, "r")
    assert placed_requests(pool) == []
    busy.pending_prefill_tokens = 400
    assert placed_requests(pool) == ["r"]


def test_one_run_sends_one_long_prompt_to_each_target():
    pool = make_pool(
        *(make_target(name, max_pending_prefill_s=0.1) for name in ("t0", "t1")),
    )
    for number in range(4):
        add(pool, f"r{number}", prompt_tokens=1000)
    targets = [row.target for row in allocate(pool, 0.0).placements]
    assert sorted(targets) == ["t0", "t1"]


def test_the_own_zone_is_preferred_among_equal_targets():
    pool = make_pool(
        make_target("t0", availability_zone="a"),
        make_target("t1", availability_zone="b"),
    )
    add(pool, "r", availability_zone="b")
    assert [row.target for row in allocate(pool, 0.0).placements] == ["t1"]


def order_of(shares, least=0.6):
    """Return the names of (name, precedence, share) rows in serving order."""
    names = {precedence: name for name, precedence, _ in shares}
    served = {precedence: share for _, precedence, share in shares}
    return [names[each] for each in serving_order(sorted(served), served, least)]


# Kinds of requests by rank: letters run long, questions and verdicts are short.
LETTER = Precedence(Timeliness.IN_TIME, 0)
QUESTION = Precedence(Timeliness.IN_TIME, 2)
VERDICT = Precedence(Timeliness.IN_TIME, 4)


def test_no_rank_is_starved_by_long_requests_of_another():
    """Guards against a first rank that fills the pool and starves the others.

    Each rank that was served less than its share goes before the first rank.
    """
    rows = [("letter", LETTER, 0.8), ("question", QUESTION, 0.1)]
    assert order_of(rows) == ["question", "letter"]
    rows = [("letter", LETTER, 0.8), ("question", QUESTION, 0.5)]
    assert order_of(rows) == ["letter", "question"]
    rows.append(("verdict", VERDICT, 0.2))
    assert order_of(rows) == ["verdict", "letter", "question"]


def test_a_rank_that_got_its_share_stays_behind_one_that_did_not():
    """Guards against a wrong order while half of the engines are lost.

    Then the first rank gets less than its share too.
    """
    rows = [("letter", LETTER, 0.4), ("question", QUESTION, 0.7)]
    assert order_of(rows) == ["letter", "question"]


def test_with_capacity_for_all_the_rank_decides():
    rows = [
        (name, precedence, 1.0) for name, precedence in (("l", LETTER), ("q", QUESTION))
    ]
    assert order_of(rows) == ["l", "q"]


def test_the_largest_requests_of_a_rank_get_a_share_of_their_own():
    """Guards against starving large requests, which go last by size alone."""
    large = LETTER._replace(size=Size.LARGEST)
    rows = [("letter", LETTER, 0.9), ("large", large, 0.3)]
    assert order_of(rows) == ["large", "letter"]
    rows = [("letter", LETTER, 0.9), ("large", large, 0.7)]
    assert order_of(rows) == ["letter", "large"]


def test_late_requests_of_any_rank_go_after_those_in_time():
    """Guards against late requests after a burst that delay those still in time."""
    returned = Precedence(Timeliness.RETRIED, 0)
    late = Precedence(Timeliness.LATE, 0)
    rows = [("late", late, 0.0), ("verdict", VERDICT, 1.0), ("back", returned, 0.0)]
    assert order_of(rows) == ["verdict", "back", "late"]


def test_a_tenth_of_a_rank_is_largest_and_a_fifth_is_large():
    sizes, rng = CallSizes(), random.Random(1)
    for _ in range(500):
        sizes.observe(0, rng.lognormvariate(0.0, 1.2))
    counts = Counter()
    for _ in range(2000):
        slot_s = rng.lognormvariate(0.0, 1.2)
        counts[sizes.size(0, slot_s)] += 1
        sizes.observe(0, slot_s)
    assert 0.15 < counts[Size.LARGE] / 2000 < 0.25
    assert 0.07 < counts[Size.LARGEST] / 2000 < 0.13


def test_a_rank_without_requests_so_far_has_no_large_ones():
    assert CallSizes().size(0, 100.0) is Size.USUAL


def test_requests_beyond_a_quota_are_refused_with_a_retry_time():
    pool = make_pool(make_target(limit=9))
    pool.quotas = TokenQuotas(rates=RATE)
    for number in range(3):
        add(pool, f"r{number}", charge=400)
    allocation = allocate(pool, 0.0)
    assert len(allocation.placements) == 1
    refused = allocation.sheds
    assert {row.reason for row in refused} == {ShedReason.QUOTA}
    assert all(0.1 <= row.retry_after_s < 1.0 for row in refused)


def test_a_request_waits_for_a_quota_that_refills_in_time():
    """Guards against refusals where a short wait would give enough tokens."""
    pool = make_pool(make_target(limit=9))
    pool.quotas = TokenQuotas(rates=RATE)
    add_timed(pool, "now", 0, ttft_deadline=0.8, charge=500)
    add_timed(pool, "soon", 0, ttft_deadline=0.8, charge=600)
    add_timed(pool, "too late", 0, ttft_deadline=0.8, charge=600)
    first = allocate(pool, 0.0)
    assert [row.request for row in first.placements] == ["now"]
    assert shed_reasons(first) == {"too late": ShedReason.QUOTA}
    take(pool, first)
    assert placed_requests(pool, now=0.5) == []
    assert placed_requests(pool, now=0.6) == ["soon"]


def test_requests_that_wait_for_a_quota_do_not_load_the_pool():
    """Guards against refusing others for slots that such requests don't use."""
    pool = make_pool(make_target(limit=9))
    pool.policy = ROUTED
    pool.quotas = TokenQuotas(rates=RATE)
    add_timed(pool, "now", 0, ttft_deadline=0.8, charge=500)
    add_timed(pool, "soon", 0, ttft_deadline=0.8, charge=400)
    allocate(pool, 0.0)
    assert pool.state.throughput == 0.0


def test_a_lowered_quota_applies_one_window_later():
    """Guards against refusals by a lower quota before its promise holds."""
    high, low = {"w0": TokenRate(1000.0, 2000.0)}, {"w0": TokenRate(100.0, 200.0)}
    quotas = TokenQuotas(rates=high)
    add_history(quotas, "host", (), 8.0, 0.0)
    quotas.apply_rates(0.0)
    quotas.rates = low
    quotas.apply_rates(1.0)
    assert quotas.wait_s("w0", 2000, 1.0 + LOWERED_AFTER_S - 0.1) == 0.0
    assert quotas.wait_s("w0", 200, 1.0 + LOWERED_AFTER_S, queued_tokens=1) > 0.0
    quotas.rates = high
    quotas.apply_rates(8.0)
    assert quotas.rate_of("w0", 8.0) == high["w0"]


def test_a_quota_lowered_twice_is_not_delayed_twice():
    """Guards against a lowered quota that never applies as it is lowered often."""
    rates = [{"w0": TokenRate(rate, 2000.0)} for rate in (1000.0, 500.0, 100.0)]
    quotas = TokenQuotas(rates=rates[0])
    quotas.apply_rates(0.0)
    for now, row in ((1.0, rates[1]), (4.0, rates[2])):
        quotas.rates = row
        quotas.apply_rates(now)
    assert quotas.rate_of("w0", 1.0 + LOWERED_AFTER_S) == rates[2]["w0"]


def test_a_window_holds_no_more_than_the_quota_allows():
    """Guards against a workspace that sends ten times its quota without a pause."""
    quotas = TokenQuotas(slack=500.0, rates=RATE)
    used = []
    for step in range(2000):
        now = step / 100
        if not quotas.wait_s("w0", 100, now):
            quotas.take("w0", 100, now)
            used.append(now)
    for start in range(12):
        window = sum(100 for at in used if start <= at < start + 8)
        assert window <= (8 * 1000.0 + 2000.0) * 1.1 + 500.0


def test_buckets_with_half_of_the_hosts_give_out_half():
    quotas = TokenQuotas(share=0.5, rates=RATE)
    quotas.take("w0", 500, 0.0)
    assert quotas.wait_s("w0", 500, 0.0) > 0.9


def test_a_request_larger_than_the_bucket_runs_when_it_is_full():
    quotas = TokenQuotas(rates=RATE)
    quotas.take("w0", 0, 0.0)
    assert quotas.wait_s("w0", 50_000, 0.0) > 0
    assert quotas.wait_s("w0", 50_000, 10.0) == 0


def test_retries_are_limited_to_a_share_of_the_requests():
    """Guards against doubled load when targets fail every request they get."""
    budget = RetryBudget(RetryLimits(0.2, 30.0, 10.0))
    for _ in range(100):
        budget.record_request("s", 0.0)
    taken = sum(budget.take("s", 3, 1.0) for _ in range(100))
    assert taken == int((0.2 * 100 + 30 / 3) * USED_SHARE)
    assert budget.take("s", 3, 11.5)


def test_a_returning_caller_goes_before_late_requests():
    """Guards against refusing a caller twice after a burst.

    A caller that retries after its Retry-After goes before requests that became
    late while they waited here; refused again, it would have waited in vain.
    """
    pool = make_pool(make_target(limit=1))
    add_timed(pool, "late", 0, ttft_deadline=1.0)
    add_timed(pool, "back", 0, ttft_deadline=1.0, arrived=4.0)
    pool.waiting["back"].first_arrived = 0.0
    assert placed_requests(pool, now=5.0) == ["back"]


def test_an_expired_request_sheds_no_lower_rank_that_is_in_time():
    """Guards against shedding a lower rank along with an expired request.

    All slots are used and a letter has waited for as long as it may. Only the
    letter is refused: where each rank gets a share, a question that has just
    arrived is still in time and is served as soon as a slot is free.
    """
    pool = make_pool(make_target(limit=1, used=1))
    pool.policy = ROUTED
    add_timed(pool, "letter", 0, ttft_deadline=1.0)
    pool.waiting["letter"].start_by = 2.0
    add_timed(pool, "question", 2, ttft_deadline=9.0, arrived=2.9)
    assert shed_reasons(allocate(pool, 3.0)) == {"letter": ShedReason.DEADLINE}


def test_a_request_that_will_be_late_is_refused_at_once():
    """Guards against callers that wait until their requests are late.

    Forty requests arrive at a slot that starts about one every two seconds. Those
    that can start in time wait, and the others are refused at once.
    """
    pool = make_pool(make_target(limit=1, used=1))
    pool.policy = ROUTED
    for number in range(40):
        add_timed(pool, f"q{number:02}", 2, ttft_deadline=5.0)
    refused = shed_reasons(allocate(pool, 1.0))
    assert 30 < len(refused) < 40
    assert set(refused.values()) == {ShedReason.OVERLOAD}


def refused_verdicts(started):
    """Return how many of twelve verdicts are refused, given the starts so far."""
    pool = make_pool(make_target(limit=10, used=10))
    pool.policy = ROUTED
    pool.state.started = dict(started)
    for number in range(12):
        add_timed(pool, f"v{number:02}", 4, ttft_deadline=4.0, predicted_tokens=20)
    return len(shed_reasons(allocate(pool, 0.0)))


def test_a_rank_with_a_share_is_not_refused_for_the_use_of_others():
    """Guards against refusing a rank that is served by its own share.

    Letters take almost all of what starts. If verdicts were judged only by what
    letters leave, none would seem to start in time.
    """
    assert refused_verdicts({LETTER: 20.0, VERDICT: 6.0}) == 0
    assert refused_verdicts({LETTER: 20.0}) == 11


SLOW = {"first_s": 0.1, "read_s": 0.0001, "decode_tps": 50.0}


def test_a_prompt_goes_where_it_does_not_stall_other_streams():
    """Guards against a prefill that stalls other streams for too long.

    A slow target has a free slot and streams that may pause for 0.3 s. The prefill
    of the letter would stall them for 0.4 s, so the letter waits for the other
    target, which is full but faster. A question goes to the slow target.
    """
    slow = make_target("t0", used=2, **SLOW)
    fast = make_target("t1", limit=1, used=1, read_s=0.00001)
    pool = make_pool(slow, fast)
    pool.policy = ROUTED
    limits = {"gap_s": 0.3, "event_tokens": 5}
    add_timed(pool, "letter", 0, ttft_deadline=9.0, prompt_tokens=3000, **limits)
    add_timed(pool, "question", 2, ttft_deadline=9.0, prompt_tokens=300, **limits)
    assert placed_requests(pool) == ["question"]
    fast.used = 0
    assert "letter" in placed_requests(pool)


def test_a_prompt_that_stalls_streams_on_any_target_is_still_placed():
    """Guards against a long prompt that never runs while all targets are slow."""
    pool = make_pool(make_target("t0", used=2, **SLOW))
    pool.policy = ROUTED
    add_timed(
        pool,
        "letter",
        0,
        ttft_deadline=9.0,
        prompt_tokens=9000,
        gap_s=0.3,
        event_tokens=5,
    )
    assert placed_requests(pool) == ["letter"]


def test_a_request_goes_where_its_first_output_is_in_time():
    """Guards against a free target that takes 0.4 s where only 0.3 s are left."""
    slow = make_target("t0", first_s=0.4)
    fast = make_target("t1", limit=1, used=1, first_s=0.05)
    pool = make_pool(slow, fast)
    pool.policy = ROUTED
    add_timed(pool, "r", 0, ttft_deadline=0.3, prompt_tokens=10)
    assert placed_requests(pool) == []
    fast.used = 0
    assert placed_requests(pool) == ["r"]


def test_prefill_time_is_fitted_as_a_constant_and_a_time_per_token():
    fit = PrefillFit()
    assert fit.coefficients() is None
    for tokens in (100, 5000, 300, 9000, 1000, 40):
        fit.observe(tokens, 0.04 + tokens * 0.00002)
    fixed_s, token_s = fit.coefficients()
    assert abs(fixed_s - 0.04) < 1e-6
    assert abs(token_s - 0.00002) < 1e-9


def test_prompts_of_one_length_give_no_fit():
    fit = PrefillFit()
    for _ in range(20):
        fit.observe(500, 0.1)
    assert fit.coefficients() is None


def test_a_request_beyond_its_quota_yields_to_late_ones_within_theirs():
    """Guards against a flood beyond a quota that delays another workspace."""
    pool = make_pool(make_target(limit=1))
    add_timed(pool, "beyond", 0, ttft_deadline=9.0)
    pool.waiting["beyond"].within_quota = False
    add_timed(pool, "late", 2, ttft_deadline=1.0)
    assert placed_requests(pool, now=5.0) == ["late"]


def test_requests_are_entitled_in_order_of_arrival_up_to_the_quota():
    entitlements = Entitlements()
    entitled = [entitlements.take("w0", 900, RATE["w0"], 0.0) for _ in range(3)]
    assert entitled == [True, True, False]
    assert entitlements.take("w0", 900, RATE["w0"], 0.8)
    assert entitlements.take("free", 10**9, None, 0.8)


def test_a_request_larger_than_its_quota_is_entitled_when_the_bucket_is_full():
    entitlements = Entitlements()
    assert entitlements.take("w0", 5000, RATE["w0"], 0.0)
    assert not entitlements.take("w0", 10, RATE["w0"], 1.0)
    assert entitlements.take("w0", 10, RATE["w0"], 3.5)
