"""Every exit path of a dispatch frees its target and reports the true outcome."""

import contextlib
import dataclasses
import json
import threading
from types import SimpleNamespace

import pytest

from godwitladder.engines.wire import MayHaveRun
from godwitladder.serving import dispatching, relay
from godwitladder.standins.engine import start_engine
from godwitladder.standins.service import start_service
from tests.serving.app import App


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def with_engine(stack, **knobs):
    server = start_engine(crash=lambda: None, decode_tps=400, **knobs)
    stack.callback(server.server_close)
    stack.callback(server.shutdown)
    return App(stack, engine=server.address), server.standin


def with_service(stack, **knobs):
    server = start_service(**knobs)
    stack.callback(server.server_close)
    stack.callback(server.shutdown)
    return App(stack, service=server.address), server.standin


@pytest.mark.parametrize("taken", [0, 1, 3])
def test_a_caller_that_leaves_its_stream_frees_the_target(stack, taken):
    """A caller that disconnects must not occupy its target's slot forever.

    The server closes the answer after some events, or before it read the first. The
    engine still runs the stream, so the slot is freed when that ends, and the end
    is reported once.
    """
    app, _ = with_engine(stack)
    answer = app.chat(stream=True)
    events = iter(answer.body)
    for _ in range(taken):
        next(events)
    answer.body.close()
    app.wait_until_idle()
    assert app.outcomes() == {"completed": 1}


def test_a_caller_gone_before_the_dispatch_costs_no_prefill(stack):
    """The caller disconnects in the queue, just as its request is dispatched."""
    app, engine = with_engine(stack)
    answer = app.chat({"waitress.client_disconnected": lambda: True})
    assert answer.problem()["reason"] == "caller_gone"
    app.wait_until_idle()
    assert not engine.sequences
    assert app.outcomes() == {"not_run": 1}


@pytest.mark.parametrize(
    ("streamed", "key", "state"),
    [(False, "", "cancelled"), (False, "k1", "done"), (True, "", "done")],
)
def test_work_that_nobody_can_come_back_for_is_cancelled(stack, streamed, key, state):
    """The caller disconnects after the first tokens of a long answer.

    Nobody can fetch a joined answer without a key any more, so it is cancelled at
    the engine. A streamed answer can be resumed by its id, and one with a key is
    found by a retry, so these run to their end.
    """
    app, engine = with_engine(stack)
    disconnected = []
    environ = {"waitress.client_disconnected": lambda: bool(disconnected)}
    environ |= {"HTTP_IDEMPOTENCY_KEY": key} if key else {}
    dispatcher = app.app.dispatcher
    app.app.keyed = SimpleNamespace(serve=lambda *args: dispatcher.serve(*args[:3]))
    disconnecting = start_disconnect(engine, disconnected)
    answer = app.chat(environ, stream=streamed, max_tokens=4000)
    if streamed:
        next(iter(answer.body))
    answer.body.close()
    disconnecting.join()
    app.wait_until_idle()
    assert [item.state for item in engine.sequences.values()] == [state]


def start_disconnect(engine, disconnected):
    """Return a started thread that disconnects the caller at the first token."""

    def disconnect():
        with engine.changed:
            engine.changed.wait_for(
                lambda: any(row.events for row in engine.sequences.values()), 10.0
            )
        disconnected.append(True)

    thread = threading.Thread(target=disconnect)
    thread.start()
    return thread


@pytest.mark.parametrize(
    "status, outcome", [(429, "not_run"), (503, "not_run"), (500, "may_have_run")]
)
def test_an_engine_that_turns_away_is_reported_as_it_answered(stack, status, outcome):
    """The caller may retry only what surely did not run.

    A 429 or 503 means that the engine did not accept the request. A 500 may come
    from the middle of the work, and must not be reported as not run.
    """
    app, _ = with_engine(stack, refuse_status=status)
    problem = app.chat().problem()
    app.wait_until_idle()
    assert problem["outcome"] == outcome
    assert app.outcomes() == {outcome: 1}


def test_an_engine_that_asks_for_cooldown_is_left_alone(stack):
    """Guards against calls to an engine that has just asked for cooldown."""
    app, _ = with_engine(stack, refuse_status=503, cooldown_s=60.0)
    app.chat().problem()
    app.wait_until_idle()
    assert app.tables.cooldowns.rows.keys() == {"engine"}


def test_a_plain_service_that_asks_for_cooldown_is_left_alone(stack):
    """Guards against calls to a service that has just asked for cooldown."""
    app, _ = with_service(stack, cooldown_s=60.0)
    answer = app.ask("POST", "/v1/services/charge", b"pay")
    assert answer.status.startswith("503")
    answer.read()
    app.wait_until_idle()
    assert app.tables.cooldowns.rows.keys() == {"app"}


def test_an_engine_whose_first_answer_is_lost_is_resumed(stack):
    """The response headers are lost, but the request runs once and completes."""
    app, engine = with_engine(stack, hang_up_before_answer=1)
    answer = app.chat()
    assert answer.status == "200 OK"
    assert json.loads(answer.read())["choices"][0]["finish_reason"] == "stop"
    assert [row.runs for row in engine.sequences.values()] == [1]
    app.wait_until_idle()


@pytest.mark.parametrize("knobs", [{"break_after": 3}, {"silent_after": 3}])
@pytest.mark.parametrize("stream", [True, False])
def test_connections_that_break_or_go_silent_are_replaced(
    stack, monkeypatch, knobs, stream
):
    """A caller gets its complete answer although connections to the engine fail.

    Each connection carries three chunks, and then breaks or goes silent while new
    connections work. The stream is resumed on a new one each time, and the request
    runs once.
    """
    monkeypatch.setattr(relay, "IDLE_TIMEOUT_S", 0.1)
    app, engine = with_engine(stack, **knobs)
    body = app.chat(stream=stream).read()
    row = next(iter(engine.sequences.values()))
    assert body.count(row.digest[:6].encode()) == 10
    assert row.runs == 1
    app.wait_until_idle()


@pytest.mark.parametrize("stream", [True, False])
def test_an_answer_without_a_finish_is_an_error_for_the_caller(stack, stream):
    """A truncated answer of an engine must not look complete.

    The engine drops the request and ends the stream with the usual marker but no
    finish reason. The streamed answer ends in an error event, the joined one has an
    error status.
    """
    app, _ = with_engine(stack, drop_finish=True)
    answer = app.chat(stream=stream)
    body = answer.read()
    assert b"[DONE]" not in body
    assert b'"outcome": "failed"' in body
    assert (answer.status == "200 OK") is stream
    app.wait_until_idle()
    assert app.outcomes() == {"failed": 1}


@pytest.mark.parametrize("stream", [True, False])
def test_a_late_stream_ends_in_an_error_and_is_cancelled(stack, stream):
    """After the deadline the caller gets an error and the stream is cancelled."""
    app, engine = with_engine(stack)
    app.wait_for_allowances()
    answer = app.chat({"HTTP_REQUEST_TIMEOUT": "0.3"}, stream=stream, max_tokens=4000)
    body = answer.read()
    assert b"[DONE]" not in body
    assert b'"reason": "deadline"' in body
    assert b'"outcome": "failed"' in body
    app.wait_until_idle()
    assert [row.state for row in engine.sequences.values()] == ["cancelled"]


@pytest.mark.parametrize("stream", [True, False])
def test_a_fault_of_the_host_itself_frees_the_target(stack, monkeypatch, stream):
    """An unexpected error must not hold the slot, nor be reported as not run."""

    def fail(*args):
        raise RuntimeError("unforeseen")

    app, _ = with_engine(stack)
    monkeypatch.setattr(relay.StreamFollower, "_reorder", fail)
    body = app.chat(stream=stream).read()
    assert b'"outcome": "may_have_run"' in body
    app.wait_until_idle()


@pytest.mark.parametrize(
    "knob", ["lose_answers", "cut_answers", "unframed_answers", "foreign_answers"]
)
def test_a_plain_answer_that_is_not_whole_or_not_its_own_is_an_error(stack, knob):
    """The caller must not get a truncated answer or that of another call.

    The service runs the call and the answer is lost, ends before its stated length,
    states no length at all, or names another call.
    """
    app, service = with_service(stack, **{knob: 1})
    answer = app.ask("POST", "/v1/services/charge", b"order 7")
    assert answer.status.startswith("502")
    assert answer.problem()["outcome"] == "may_have_run"
    assert len(service.runs) == 1
    app.wait_until_idle()
    assert app.outcomes() == {"may_have_run": 1}


def test_a_slow_plain_call_ends_at_its_deadline_and_may_have_run(stack):
    """A charge that is only slow must not be reported as not run."""
    app, service = with_service(stack, delay_s=1.0)
    answer = app.ask("POST", "/v1/services/charge", b"x", HTTP_REQUEST_TIMEOUT="0.3")
    assert answer.status.startswith("504")
    problem = answer.problem()
    assert (problem["outcome"], problem["reason"]) == ("may_have_run", "deadline")
    assert len(service.runs) == 1
    app.wait_until_idle()


def test_a_connection_refused_frees_the_target_and_waits_on(stack):
    """Nothing was written, so the request stays queued until its deadline."""
    app = App(stack, service="127.0.0.1:9")
    answer = app.ask("POST", "/v1/services/charge", b"x", HTTP_REQUEST_TIMEOUT="0.3")
    problem = answer.problem()
    assert (problem["outcome"], problem["reason"]) == ("not_run", "no_target")
    app.wait_until_idle()
    assert app.metrics.sheds.get({"rank": "0", "reason": "no_target"}) == 1


def test_the_rest_of_an_answer_can_be_had_again(stack):
    """A caller that lost its connection resumes after the last event it received."""
    app, _ = with_engine(stack)
    answer = app.chat(stream=True)
    whole = answer.read()
    path = f"/v1/requests/{answer.headers['Request-Id']}"
    rest = app.ask("GET", path, HTTP_LAST_EVENT_ID="6").read()
    rest = rest.replace(b": waiting\n\n", b"")
    assert whole.endswith(rest.split(b"\n\n", 1)[1])
    assert rest.count(b"id: ") == 4
    last = app.ask("GET", path, QUERY_STRING="from=10").read()
    assert last.count(b"id: ") == 1 and b"[DONE]" in last
    joined = app.ask("GET", path, HTTP_ACCEPT="application/json")
    content = json.loads(joined.read())["choices"][0]["message"]["content"]
    assert len(content.split()) == 10


def test_what_can_not_be_had_again_is_told(stack):
    """The engine restarted and lost the stream, or the id belongs to another caller."""
    app, engine = with_engine(stack)
    answer = app.chat()
    answer.read()
    engine.sequences.clear()
    path = f"/v1/requests/{answer.headers['Request-Id']}"
    again = app.ask("GET", path)
    assert again.status.startswith("502")
    assert again.problem()["outcome"] == "may_have_run"
    other = app.ask("GET", path, HTTP_AUTHORIZATION="Bearer returns-key")
    assert other.status.startswith("404")
    assert app.ask("GET", f"{path}x").status.startswith("404")


def test_a_cancel_that_fails_changes_nothing(stack, monkeypatch):
    """The caller gets the deadline error although the engine is unreachable."""

    def fail(*args):
        raise MayHaveRun("gone")

    monkeypatch.setattr(dispatching, "cancel_stream", fail)
    app, _ = with_engine(stack)
    answer = app.chat({"HTTP_REQUEST_TIMEOUT": "0.2"}, max_tokens=4000)
    assert answer.problem()["reason"] == "deadline"
    app.wait_until_idle()


def test_a_call_that_the_server_can_not_start_does_not_hold_up_a_stop(stack):
    """A planned stop waits for open calls only.

    The server refuses to start the answer, here because of an invalid header. It
    never gets an answer to close, but the call must not stay open.
    """

    def refuse_start(status, headers):
        raise ValueError("no such header")

    app, _ = with_engine(stack)
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/"}
    with pytest.raises(ValueError):
        app.app(environ, refuse_start)
    assert app.app.open_calls == 0


def test_a_fault_right_before_the_dispatch_frees_the_target(stack):
    """An error in the checks before a dispatch must not hold the slot."""

    def fail():
        raise RuntimeError("unforeseen")

    def serve(call, environ, start_response, resume):
        call = dataclasses.replace(call, before_dispatch=fail)
        return app.app.dispatcher.serve(call, environ, start_response)

    app, engine = with_engine(stack)
    app.app.keyed.serve = serve
    assert app.chat().problem()["outcome"] == "may_have_run"
    app.wait_until_idle()
    assert not engine.sequences
