"""Heads and chunks of targets that are no HTTP, as callers see their answers."""

import contextlib
import dataclasses

import pytest

from godwitladder.decisions.limits.retry_budget import RetryBudget, RetryLimits
from godwitladder.engines.engine import open_stream, resume_stream
from godwitladder.engines.wire import MayHaveRun
from godwitladder.ids import StreamId
from godwitladder.platform import names
from tests.engines.odd_heads import (
    ANSWERS,
    BODY,
    BROKEN,
    CODING,
    VALID,
    add_fields,
    with_head,
)
from tests.engines.raw_target import RawTarget
from tests.serving.app import App
from tests.serving.odd_targets import OddTarget, chunk
from tests.serving.test_endless_answers import OddBench, is_broken, is_refused

SIGNED = f"{names.ATTEMPT}: a1\r\n{names.SIGNATURE}: s\r\n".encode()
STREAM = b"Content-Type: text/event-stream\r\n"
KINDS = {
    "/charge/x": b"",
    "/stream/stream/x": STREAM,
    "/lookup/x": b"",
    "/resume/stream/x": STREAM,
}
"""Fields of the answers on each route. On the first two a call is sent once."""
ONCE = list(KINDS)[:2]
NOT_EXECUTED = f"{names.NOT_EXECUTED}: 1\r\n".encode()
TIMEOUT_S = 5.0
CHARGE = "/v1/services/charge"


class ShapedTarget(OddTarget):
    """A target that answers all requests with the same bytes."""

    def __init__(self):
        self.answer = b""
        super().__init__(script=None)

    def send(self, sock, attempt):
        sock.sendall(self.answer)


@pytest.fixture
def bench():
    """Return an application before two targets, with retries for all calls."""
    with contextlib.ExitStack() as stack:
        bench = OddBench(stack, ShapedTarget(), ShapedTarget())
        budget = RetryBudget(RetryLimits(slack=10_000))
        bench.app.proxy = dataclasses.replace(bench.app.proxy, retry_budget=budget)
        yield bench


def ask(bench, path, number, *answers):
    """Return what a caller gets where the targets give these answers in turn."""
    for target, answer in zip(bench.targets, answers, strict=False):
        target.answer = answer
    bench.scheduler.addresses = bench.addresses[: len(answers)]
    # No two requests are alike, so that none is held back after others.
    return bench.call(path, body=b"%d" % number)


def sign(path, answer):
    """Return ``answer`` with the fields of an answer to a call on this route."""
    return add_fields(answer, SIGNED + KINDS[path])


@pytest.mark.parametrize("path", KINDS)
def test_a_broken_answer_is_no_success(bench, path):
    """Guards against bytes of a target in trouble that a caller gets as its answer."""
    for number, name in enumerate(BROKEN):
        answer = ask(bench, path, number, sign(path, BROKEN[name]))
        assert is_broken(answer), (name, answer.status, answer.body)
    assert bench.targets[0].requests == len(BROKEN)


@pytest.mark.parametrize("path", KINDS)
def test_a_rare_answer_is_served(bench, path):
    """Guards against a host that refuses what HTTP allows."""
    for number, name in enumerate(VALID):
        answer = ask(bench, path, number, sign(path, VALID[name]))
        assert not is_broken(answer), name
        assert answer.body == BODY, name


@pytest.mark.parametrize("path", ONCE)
def test_a_call_with_a_broken_answer_is_sent_once(bench, path):
    """Guards against a second run of a call that may not be repeated."""
    sound = sign(path, VALID["chunks"])
    for number, name in enumerate(BROKEN):
        answer = ask(bench, path, number, sign(path, BROKEN[name]), sound)
        assert is_broken(answer), name
    assert bench.targets[1].requests == 0


def test_a_lookup_with_a_broken_answer_is_answered_by_another_target(bench):
    """Guards against a part of a broken answer within that of the next target."""
    sound = sign("/lookup/x", VALID["chunks"])
    for number, name in enumerate(BROKEN):
        answer = ask(bench, "/lookup/x", number, sign("/lookup/x", BROKEN[name]), sound)
        assert (answer.status, answer.body) == (200, BODY), name


FIRST_EVENT = b"id: 0\ndata: first\n\n"
CUT_STREAM = with_head(SIGNED, STREAM, CODING, body=chunk(FIRST_EVENT))


def test_a_stream_is_not_taken_up_by_a_broken_answer(bench):
    """Guards against a stream that goes on with bytes that are no answer."""
    path = "/resume/stream/x"
    for number, name in enumerate(ANSWERS.broken_heads()):
        answer = ask(bench, path, number, CUT_STREAM, sign(path, BROKEN[name]))
        assert answer.truncated, name
        assert answer.body == FIRST_EVENT, name
    assert bench.targets[1].requests == len(ANSWERS.broken_heads())


def test_a_stream_is_taken_up_by_a_rare_answer(bench):
    path = "/resume/stream/x"
    for number, name in enumerate(VALID):
        answer = ask(bench, path, number, CUT_STREAM, sign(path, VALID[name]))
        assert not answer.truncated, name
        assert answer.body == FIRST_EVENT + BODY, name


def refuse(answer):
    """Return an answer that refuses, in place of one that succeeds."""
    return answer.replace(b"200 OK", b"503 No")


@pytest.mark.parametrize("path", KINDS)
def test_a_broken_refusal_is_not_told_as_not_run(bench, path):
    """Guards against a promise to the caller that the target did not make."""
    for number, (name, answer) in enumerate(ANSWERS.broken_heads().items()):
        broken = refuse(add_fields(answer, NOT_EXECUTED))
        assert is_refused(ask(bench, path, number, broken)), name


def test_blanks_after_the_id_of_a_call_are_not_a_part_of_it(bench):
    """Guards against a whole answer that is refused as that of another call."""
    answer = with_head(SIGNED.replace(b"\r\n", b" \t\r\n"), ANSWERS.length, body=BODY)
    assert ask(bench, "/charge/x", 0, answer).body == BODY


BROKEN_LENGTH = with_head(b"Content-Length: -0\r\n", body=BODY)


def test_a_broken_answer_leaves_a_line_with_its_target_and_cause(bench, caplog):
    """Guards against a target in trouble that no log names."""
    caplog.set_level("INFO")
    ask(bench, "/charge/x", 0, sign("/charge/x", BROKEN_LENGTH))
    (line,) = [row for row in caplog.records if "is malformed" in row.message]
    assert line.address == bench.addresses[0]
    assert "length b'-0'" in line.error


@pytest.mark.parametrize("kind", ["engine", "service"])
def test_a_broken_answer_to_an_own_call_leaves_a_line_too(kind, caplog):
    """Guards against a target in trouble that no log of `godwitladder serve` names."""
    caplog.set_level("INFO")
    with contextlib.ExitStack() as stack:
        target = stack.enter_context(RawTarget(BROKEN_LENGTH, closes=True))
        app = App(stack, **{kind: target.address})
        app.wait_for_allowances()
        ask_app = {"engine": app.chat, "service": lambda: app.ask("POST", CHARGE)}
        answer = ask_app[kind]()
        assert answer.status.startswith("502")
        assert answer.problem()["outcome"] == "may_have_run"
    lines = [row for row in caplog.records if row.message.endswith("answer was lost")]
    assert {line.address for line in lines} == {target.address}
    assert all("length b'-0'" in line.error and line.target for line in lines)


OPENED = {
    "open": lambda address: open_stream(address, StreamId("s1"), b"{}", TIMEOUT_S),
    "resume": lambda address: resume_stream(address, StreamId("s1"), 0, TIMEOUT_S),
}
EVENTS = b'id: s1:0\ndata: {"n": 1}\n\nid: s1:1\ndata: [DONE]\n\n'


def read_stream(name, answer):
    """Return the data of the events of a model engine's answer."""
    with RawTarget(answer, closes=True) as target:
        with contextlib.closing(OPENED[name](target.address)) as stream:
            return [event.data for events in stream for event in events]


@pytest.mark.parametrize("name", OPENED)
def test_a_broken_stream_of_a_model_engine_may_have_run(name):
    """Guards against a broken answer that is told complete, or as not run."""
    answers = type(ANSWERS)(EVENTS)
    for shape, answer in answers.broken().items():
        with pytest.raises(MayHaveRun):
            pytest.fail(f"{shape}: {read_stream(name, answer)}")
    for shape, answer in answers.broken_heads().items():
        with pytest.raises(MayHaveRun):
            pytest.fail(f"{shape}: {read_stream(name, refuse(answer))}")


@pytest.mark.parametrize("name", OPENED)
def test_a_rare_stream_of_a_model_engine_is_read(name):
    for shape, answer in type(ANSWERS)(EVENTS).rare().items():
        assert read_stream(name, answer) == [b'{"n": 1}', b"[DONE]"], shape
