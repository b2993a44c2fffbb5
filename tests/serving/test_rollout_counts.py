"""What the answers of targets count for during a rollout."""

import pytest

from godwitladder.discovery.rollouts import OrderInForce, RolloutOrder
from godwitladder.rollouts.counts import AnswerResult, HostRollouts
from godwitladder.rollouts.sent_parts import SentParts
from godwitladder.routing.calls import PromptPart
from tests.serving.test_passing import Bench, stack  # noqa: F401

ORDER = RolloutOrder("core", "v2", 30.0, 7)


def make_bench(stack, engines=1, **knobs):  # noqa: F811
    bench = Bench(stack, engines)
    bench.scheduler.release = "v2"
    bench.rollouts.set_orders({"core": OrderInForce(ORDER, 0.0)})
    for name, value in knobs.items():
        setattr(bench.engines[0].standin.knobs, name, value)
    return bench


def counts(bench, only_changed=False):
    """Return sent, good, failed and first outputs by route."""
    rows = bench.rollouts.take_counts({"core"}, only_changed)
    assert {row.release for row in rows} <= {"v2"}
    return {
        row.route: (row.sent, row.good, row.failed, sum(t.count for t in row.times))
        for row in rows
    }


@pytest.mark.parametrize("path", ["/charge/x", "/stream/x"])
def test_a_complete_answer_is_good(stack, path):  # noqa: F811
    bench = make_bench(stack)
    bench.call(path)
    assert list(counts(bench).values()) == [(1, 1, 0, 1)]


def test_an_answer_with_an_error_is_a_failure_also_if_it_is_repeated(stack):  # noqa: F811
    """Guards against a bad version whose failures are hidden by repetitions."""
    bench = make_bench(stack, engines=2, status=500)
    assert bench.call("/lookup/x").status == 200
    assert counts(bench) == {"lookup": (2, 1, 1, 2)}


def test_an_error_of_the_caller_is_a_good_answer(stack):  # noqa: F811
    bench = make_bench(stack, status=404)
    bench.call("/charge/x")
    assert counts(bench) == {"charge": (1, 1, 0, 1)}


def test_an_answer_of_another_request_is_a_failure(stack):  # noqa: F811
    bench = make_bench(stack, foreign=True)
    bench.call("/charge/x")
    assert counts(bench) == {"charge": (1, 0, 1, 0)}


def test_a_stream_that_breaks_is_a_failure(stack):  # noqa: F811
    bench = make_bench(stack, cut_after=2)
    assert bench.call("/stream/x").truncated
    assert counts(bench) == {"stream": (1, 0, 1, 1)}


def test_a_target_that_is_silent_up_to_the_deadline_has_failed(stack):  # noqa: F811
    """Guards against a version that never answers and is judged by the rest."""
    bench = make_bench(stack, pause_s=3.0)
    bench.call("/charge/x", HTTP_GODWITLADDER_DEADLINE_MS="1300")
    assert counts(bench) == {"charge": (1, 0, 1, 0)}


def test_a_refusal_or_a_caller_that_leaves_tells_nothing(stack):  # noqa: F811
    """Guards against versions that are condemned for what callers do."""
    bench = make_bench(stack, refuse=True)
    bench.call("/charge/x")
    assert counts(bench) == {"charge": (0, 0, 0, 0)}
    bench = make_bench(stack, pause_s=0.5)
    bench.call("/charge/x", gone=lambda: True)
    assert set(counts(bench).values()) <= {(0, 0, 0, 0)}


def test_without_an_order_nothing_is_counted(stack):  # noqa: F811
    bench = Bench(stack)
    bench.call("/charge/x")
    assert not bench.rollouts.rows
    assert bench.rollouts.tokens_to_read("t", [PromptPart("a", 5)]) == 0


def test_only_what_has_changed_is_reported_between_full_reports(stack):  # noqa: F811
    bench = make_bench(stack, engines=3)
    bench.call("/charge/x")
    assert counts(bench, only_changed=True) == {"charge": (1, 1, 0, 1)}
    bench.call("/lookup/x")
    assert counts(bench, only_changed=True) == {"lookup": (1, 1, 0, 1)}
    assert counts(bench, only_changed=True) == {}
    assert len(counts(bench)) == 2


def test_an_answer_after_the_end_of_its_order_is_not_reported():
    """Guards against reports without end of a count that no longer exists."""
    rollouts = HostRollouts()
    rollouts.set_orders({"core": OrderInForce(ORDER, 0.0)})
    answer = rollouts.begin("core", "v2", "charge", 0.0)
    rollouts.set_orders({})
    answer.record_output(0.1)
    answer.end(AnswerResult.GOOD)
    assert not rollouts.changed
    assert rollouts.begin("core", "v2", "charge", 0.0) is None


def test_the_first_failures_of_a_version_are_logged(stack, caplog):  # noqa: F811
    """Guards against a version that is rolled back without a trace of its calls."""
    caplog.set_level("INFO", "godwitladder.passing")
    bench = make_bench(stack, status=500)
    bench.call("/charge/x")
    lines = [row for row in caplog.records if "during a rollout" in row.message]
    assert [(row.request, row.release, row.detail) for row in lines] == [
        ("a1", "v2", "500")
    ]


def test_a_part_that_a_target_holds_is_not_read_again():
    """Guards against a new version that looks slow because it holds no prompts."""
    rollouts = HostRollouts(parts=SentParts())
    first = [PromptPart("system", 100), PromptPart("one", 10)]
    other = [PromptPart("system", 100), PromptPart("two", 20)]
    assert rollouts.tokens_to_read("t1", first) == 110
    assert rollouts.tokens_to_read("t1", other) == 20
    assert rollouts.tokens_to_read("t2", other) == 120
    swapped = [PromptPart("three", 5), PromptPart("system", 100)]
    assert rollouts.tokens_to_read("t1", swapped) == 105
