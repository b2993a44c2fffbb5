"""Decisions for a pool in which each dispatch is asked for."""

import random
from collections import Counter

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.entitlement import Entitlements
from godwitladder.decisions.policy import ROUTED
from godwitladder.decisions.precedence import (
    Precedence,
    Size,
    Timeliness,
    serving_order,
)
from godwitladder.decisions.prefill_fit import PrefillFit
from godwitladder.decisions.quotas import LOWERED_AFTER_S, TokenQuotas, TokenRate
from godwitladder.decisions.retry_budget import KEEP, RetryBudget, RetryLimits
from godwitladder.decisions.sizes import CallSizes
from godwitladder.decisions.types import ShedReason
from tests.decisions.pools import add, make_pool, make_target, shed_reasons, take

RATE = {"w0": TokenRate(1000.0, 2000.0)}


def aimed(pool, request, rank, aim, **more):
    add(pool, request, rank, **more)
    pool.waiting[request].ttft_deadline = aim


def placed(pool, now=0.0):
    return [row.request for row in allocate(pool, now).placements]


def test_a_late_request_yields_to_one_that_can_be_in_time():
    """A burst has left a question waiting past its aim; a summary just came.

    The question is late whatever happens; served first, both would be late.
    """
    pool = make_pool(make_target(limit=1))
    aimed(pool, "late", 0, aim=1.0)
    aimed(pool, "fresh", 2, aim=9.0)
    assert placed(pool, now=5.0) == ["fresh"]


def test_among_requests_in_time_the_tier_decides():
    pool = make_pool(make_target(limit=1))
    aimed(pool, "low", 2, aim=9.0)
    aimed(pool, "high", 0, aim=9.0)
    assert placed(pool) == ["high"]


def test_a_request_that_can_no_longer_start_is_refused():
    """Its caller leaves after a silence; what it waits for would be read in vain."""
    pool = make_pool(make_target(limit=0))
    add(pool, "r")
    pool.waiting["r"].start_by = 3.0
    assert shed_reasons(allocate(pool, 2.9)) == {}
    pool.waiting["r"].entry = None
    assert shed_reasons(allocate(pool, 3.1)) == {"r": ShedReason.DEADLINE}


def test_a_target_that_reads_gets_no_further_prompt():
    """A long prompt was sent; the next would wait at the target, out of order."""
    reading = make_target("t0", pending_prefill_tokens=1000, max_pending_prefill_s=0.1)
    pool = make_pool(reading)
    add(pool, "r")
    assert placed(pool) == []
    reading.pending_prefill_tokens = 400
    assert placed(pool) == ["r"]


def test_one_run_sends_one_long_prompt_to_each_target():
    pool = make_pool(
        *(make_target(name, max_pending_prefill_s=0.1) for name in ("t0", "t1")),
    )
    for number in range(4):
        add(pool, f"r{number}", prompt_tokens=1000)
    targets = [row.target for row in allocate(pool, 0.0).placements]
    assert sorted(targets) == ["t0", "t1"]


def test_the_own_zone_is_preferred_among_equals():
    pool = make_pool(
        make_target("t0", availability_zone="a"),
        make_target("t1", availability_zone="b"),
    )
    add(pool, "r", availability_zone="b")
    assert [row.target for row in allocate(pool, 0.0).placements] == ["t1"]


def order_of(shares, least=0.6):
    """Return the names in serving order of (name, place, share) rows."""
    names = {precedence: name for name, precedence, _ in shares}
    got = {precedence: share for _, precedence, share in shares}
    return [names[each] for each in serving_order(sorted(got), got, least)]


LETTER = Precedence(Timeliness.IN_TIME, 0)
QUESTION = Precedence(Timeliness.IN_TIME, 2)
VERDICT = Precedence(Timeliness.IN_TIME, 4)


def test_no_rank_is_starved_however_long_its_calls_are():
    """Letters fill the pool without end; questions take as long as they do.

    Each rank that got less than its part goes before the first one.
    """
    rows = [("letter", LETTER, 0.8), ("question", QUESTION, 0.1)]
    assert order_of(rows) == ["question", "letter"]
    rows = [("letter", LETTER, 0.8), ("question", QUESTION, 0.5)]
    assert order_of(rows) == ["letter", "question"]
    rows.append(("verdict", VERDICT, 0.2))
    assert order_of(rows) == ["verdict", "letter", "question"]


def test_a_rank_that_got_its_part_stays_behind_one_that_did_not():
    """Nothing gets its part: half of the engines are gone."""
    rows = [("letter", LETTER, 0.4), ("question", QUESTION, 0.7)]
    assert order_of(rows) == ["letter", "question"]


def test_with_room_for_all_the_ranks_decide():
    rows = [(name, place, 1.0) for name, place in (("l", LETTER), ("q", QUESTION))]
    assert order_of(rows) == ["l", "q"]


def test_the_largest_calls_of_a_rank_are_owed_a_part_of_the_others():
    """Large letters take most of the time; in order of size alone they got none."""
    large = LETTER._replace(size=Size.LARGEST)
    rows = [("letter", LETTER, 0.9), ("large", large, 0.3)]
    assert order_of(rows) == ["large", "letter"]
    rows = [("letter", LETTER, 0.9), ("large", large, 0.7)]
    assert order_of(rows) == ["letter", "large"]


def test_late_calls_of_any_rank_come_after_those_in_time():
    """A burst is over; late letters wait beside a verdict that has just come."""
    back = Precedence(Timeliness.RETRIED, 0)
    late = Precedence(Timeliness.LATE, 0)
    rows = [("late", late, 0.0), ("verdict", VERDICT, 1.0), ("back", back, 0.0)]
    assert order_of(rows) == ["verdict", "back", "late"]


def test_a_tenth_of_a_rank_is_largest_and_a_fifth_is_large():
    sizes, dice = CallSizes(), random.Random(1)
    for _ in range(500):
        sizes.observe(0, dice.lognormvariate(0.0, 1.2))
    told = Counter()
    for _ in range(2000):
        slot_s = dice.lognormvariate(0.0, 1.2)
        told[sizes.size(0, slot_s)] += 1
        sizes.observe(0, slot_s)
    assert 0.15 < told[Size.LARGE] / 2000 < 0.25
    assert 0.07 < told[Size.LARGEST] / 2000 < 0.13


def test_a_rank_never_seen_has_no_large_calls():
    assert CallSizes().size(0, 100.0) is Size.USUAL


def test_tokens_beyond_a_quota_are_refused_with_the_time_to_come_back():
    pool = make_pool(make_target(limit=9))
    pool.quotas = TokenQuotas(rates=RATE)
    for number in range(3):
        add(pool, f"r{number}", charge=400)
    allocation = allocate(pool, 0.0)
    assert len(allocation.placements) == 1
    refused = allocation.sheds
    assert {row.reason for row in refused} == {ShedReason.QUOTA}
    assert all(0.1 <= row.retry_after_s < 1.0 for row in refused)


def test_a_call_waits_for_a_quota_that_fills_within_its_aim():
    """Guards against callers sent away for seconds for want of a moment's tokens."""
    pool = make_pool(make_target(limit=9))
    pool.quotas = TokenQuotas(rates=RATE)
    aimed(pool, "now", 0, aim=0.8, charge=500)
    aimed(pool, "soon", 0, aim=0.8, charge=600)
    aimed(pool, "too late", 0, aim=0.8, charge=600)
    first = allocate(pool, 0.0)
    assert [row.request for row in first.placements] == ["now"]
    assert shed_reasons(first) == {"too late": ShedReason.QUOTA}
    take(pool, first)
    assert placed(pool, now=0.5) == []
    assert placed(pool, now=0.6) == ["soon"]


def test_calls_that_wait_for_a_quota_are_no_load_of_the_pool():
    """Guards against others refused for places that such calls do not take."""
    pool = make_pool(make_target(limit=9))
    pool.policy = ROUTED
    pool.quotas = TokenQuotas(rates=RATE)
    aimed(pool, "now", 0, aim=0.8, charge=500)
    aimed(pool, "soon", 0, aim=0.8, charge=400)
    allocate(pool, 0.0)
    assert pool.state.throughput == 0.0


def test_a_lowered_quota_binds_when_most_of_a_window_has_passed():
    """Guards against refusals by a lower quota before it is promised to anyone."""
    high, low = {"w0": TokenRate(1000.0, 2000.0)}, {"w0": TokenRate(100.0, 200.0)}
    book = TokenQuotas(rates=high)
    book.add_history("host", (), 8.0, 0.0)
    book.settle(0.0)
    book.rates = low
    book.settle(1.0)
    assert book.wait_s("w0", 2000, 1.0 + LOWERED_AFTER_S - 0.1) == 0.0
    assert book.wait_s("w0", 200, 1.0 + LOWERED_AFTER_S, promised=1) > 0.0
    book.rates = high
    book.settle(8.0)
    assert book.rate_of("w0", 8.0) == high["w0"]


def test_a_quota_lowered_twice_goes_by_the_first_one_no_longer():
    """Guards against a quota that is never lowered since it is lowered often."""
    rates = [{"w0": TokenRate(rate, 2000.0)} for rate in (1000.0, 500.0, 100.0)]
    book = TokenQuotas(rates=rates[0])
    book.settle(0.0)
    for now, row in ((1.0, rates[1]), (4.0, rates[2])):
        book.rates = row
        book.settle(now)
    assert book.rate_of("w0", 1.0 + LOWERED_AFTER_S) == rates[2]["w0"]


def test_a_window_holds_no_more_than_the_quota_allows():
    """A workspace asks for ten times its quota, without a pause."""
    book = TokenQuotas(slack=500.0, rates=RATE)
    used = []
    for step in range(2000):
        now = step / 100
        if not book.wait_s("w0", 100, now):
            book.take("w0", 100, now)
            used.append(now)
    for start in range(12):
        window = sum(100 for at in used if start <= at < start + 8)
        assert window <= (8 * 1000.0 + 2000.0) * 1.1 + 500.0


def test_a_book_that_sees_half_of_the_hosts_gives_out_half():
    book = TokenQuotas(share=0.5, rates=RATE)
    book.take("w0", 500, 0.0)
    assert book.wait_s("w0", 500, 0.0) > 0.9


def test_a_request_larger_than_the_bucket_runs_when_it_is_full():
    book = TokenQuotas(rates=RATE)
    book.take("w0", 0, 0.0)
    assert book.wait_s("w0", 50_000, 0.0) > 0
    assert book.wait_s("w0", 50_000, 10.0) == 0


def test_repeats_are_a_share_of_the_requests():
    """Half of the targets fail each request; sent again, all of it comes twice."""
    budget = RetryBudget(RetryLimits(0.2, 30.0, 10.0))
    for _ in range(100):
        budget.note_request("s", 0.0)
    taken = sum(budget.take("s", 3, 1.0) for _ in range(100))
    assert taken == int((0.2 * 100 + 30 / 3) * KEEP)
    assert budget.take("s", 3, 11.5)


def test_who_comes_back_as_told_goes_before_those_that_are_late():
    """A caller was sent away in a burst and is back; others became late here.

    Sent away again, it would have waited for nothing.
    """
    pool = make_pool(make_target(limit=1))
    aimed(pool, "late", 0, aim=1.0)
    aimed(pool, "back", 0, aim=1.0, arrived=4.0)
    pool.waiting["back"].first_arrived = 0.0
    assert placed(pool, now=5.0) == ["back"]


def test_a_letter_out_of_time_takes_no_shorter_call_with_it():
    """All places are taken; a letter has waited for as long as it may.

    The letter is refused. A question that has just come is still in time and is
    served as soon as a place is free, where each kind is owed a part.
    """
    pool = make_pool(make_target(limit=1, used=1))
    pool.policy = ROUTED
    aimed(pool, "letter", 0, aim=1.0)
    pool.waiting["letter"].start_by = 2.0
    aimed(pool, "question", 2, aim=9.0, arrived=2.9)
    assert shed_reasons(allocate(pool, 3.0)) == {"letter": ShedReason.DEADLINE}


def test_a_call_that_will_be_late_is_refused_at_once():
    """A burst: forty questions come to a place that starts one a second.

    Those that can start by their aim wait; the others are told at once to come
    back, and none waits until it is late.
    """
    pool = make_pool(make_target(limit=1, used=1))
    pool.policy = ROUTED
    for number in range(40):
        aimed(pool, f"q{number:02}", 2, aim=5.0)
    refused = shed_reasons(allocate(pool, 1.0))
    assert 30 < len(refused) < 40
    assert set(refused.values()) == {ShedReason.OVERLOAD}


def refused_verdicts(started):
    """Return how many of twelve verdicts are refused after what was ``started``."""
    pool = make_pool(make_target(limit=10, used=10))
    pool.policy = ROUTED
    pool.state.started = dict(started)
    for number in range(12):
        aimed(pool, f"v{number:02}", 4, aim=4.0, predicted_tokens=20)
    return len(shed_reasons(allocate(pool, 0.0)))


def test_a_place_that_is_owed_a_part_is_not_refused_for_what_others_take():
    """Letters take all that starts; verdicts got their part a moment ago.

    Reckoned with what the letters leave, no verdict would ever start in time.
    """
    assert refused_verdicts({LETTER: 20.0, VERDICT: 6.0}) == 0
    assert refused_verdicts({LETTER: 20.0}) == 11


SLOW = {"first_s": 0.1, "read_s": 0.0001, "decode_tps": 50.0}


def test_a_prompt_goes_where_it_makes_no_long_pause_in_others():
    """A slow target has a place free, and streams that may pause for 0.3 s.

    The letter's prompt would stop them for 0.4 s. It waits for the other target,
    which is full but reads it in time; a question goes to the slow one.
    """
    slow = make_target("t0", used=2, **SLOW)
    fast = make_target("t1", limit=1, used=1, read_s=0.00001)
    pool = make_pool(slow, fast)
    pool.policy = ROUTED
    ways = {"gap_s": 0.3, "event_tokens": 5}
    aimed(pool, "letter", 0, aim=9.0, prompt_tokens=3000, **ways)
    aimed(pool, "question", 2, aim=9.0, prompt_tokens=300, **ways)
    assert placed(pool) == ["question"]
    fast.used = 0
    assert "letter" in placed(pool)


def test_a_prompt_too_long_for_any_target_still_goes_somewhere():
    """All targets are slow; refused for the pauses it makes, it never ran."""
    pool = make_pool(make_target("t0", used=2, **SLOW))
    pool.policy = ROUTED
    aimed(pool, "letter", 0, aim=9.0, prompt_tokens=9000, gap_s=0.3, event_tokens=5)
    assert placed(pool) == ["letter"]


def test_a_call_goes_where_its_first_output_is_in_time():
    """The target that is free takes 0.4 s; the call has 0.3 s, and waits."""
    slow = make_target("t0", first_s=0.4)
    fast = make_target("t1", limit=1, used=1, first_s=0.05)
    pool = make_pool(slow, fast)
    pool.policy = ROUTED
    aimed(pool, "r", 0, aim=0.3, prompt_tokens=10)
    assert placed(pool) == []
    fast.used = 0
    assert placed(pool) == ["r"]


def test_reading_is_learned_as_a_fixed_time_and_one_for_each_token():
    fit = PrefillFit()
    assert fit.coefficients() is None
    for tokens in (100, 5000, 300, 9000, 1000, 40):
        fit.observe(tokens, 0.04 + tokens * 0.00002)
    fixed_s, token_s = fit.coefficients()
    assert abs(fixed_s - 0.04) < 1e-6
    assert abs(token_s - 0.00002) < 1e-9


def test_prompts_of_one_length_tell_no_line():
    fit = PrefillFit()
    for _ in range(20):
        fit.observe(500, 0.1)
    assert fit.coefficients() is None


def test_a_call_beyond_its_quota_yields_to_late_ones_within_theirs():
    """One workspace sends six times its quota; another's question is late."""
    pool = make_pool(make_target(limit=1))
    aimed(pool, "beyond", 0, aim=9.0)
    pool.waiting["beyond"].within_quota = False
    aimed(pool, "late", 2, aim=1.0)
    assert placed(pool, now=5.0) == ["late"]


def test_calls_are_entitled_as_they_come_up_to_the_quota():
    book = Entitlements()
    asked = [book.take("w0", 900, RATE["w0"], 0.0) for _ in range(3)]
    assert asked == [True, True, False]
    assert book.take("w0", 900, RATE["w0"], 0.8)
    assert book.take("free", 10**9, None, 0.8)


def test_a_call_larger_than_its_quota_is_entitled_when_nothing_was_spent():
    book = Entitlements()
    assert book.take("w0", 5000, RATE["w0"], 0.0)
    assert not book.take("w0", 10, RATE["w0"], 1.0)
    assert book.take("w0", 10, RATE["w0"], 3.5)
