"""Passing routed calls on: what callers get when targets misbehave."""

import contextlib
import io
import json
import threading

import pytest

from godwitladder.clock import Clock
from godwitladder.decisions.retry_budget import RetryBudget, RetryLimits
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, RequestState, refuse
from godwitladder.platform.documents import decode_document
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.routing.app import RoutedApp, index_document
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.scheduler.messages import Finished, Returned, ReturnProof, Submit
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.call_watcher import CallWatcher
from godwitladder.serving.losses import AnswerLost, LossRegistry, digest_call
from godwitladder.serving.proxying import RoutedProxy
from godwitladder.serving.upstream import StreamTruncated
from godwitladder.standins.routed import start_engine
from tests.fleet import wait_until
from tests.platform.test_adapter import CONFIG

DEAD = "127.0.0.1:1"


def route(prefix, kind, **more):
    row = {
        "name": prefix,
        "host": "shop.example",
        "pathPrefix": f"/{prefix}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "core",
        "maxAttempts": 2,
    }
    return row | more


ROUTES = [
    route("charge", "non_idempotent", maxAttempts=1),
    route("twice", "non_idempotent"),
    route("lookup", "idempotent"),
    route("open", "idempotent", public=True),
    route("stream", "streaming", maxAttempts=1),
    route("resume", "streaming", resumable=True),
    route("slow", "non_idempotent", timeoutMs=300),
]


class Desk:
    """Stands in for the scheduler: gives the addresses it was given, in turn."""

    def __init__(self, addresses):
        self.addresses = list(addresses)
        self.returned, self.finished = [], []
        self.rows = {}

    def tell(self, message):
        if isinstance(message, Submit):
            self.rows[message.row.request] = message.row
            self.give(message.row)
        elif isinstance(message, Returned):
            self.returned.append(message.proof)
            self.give(self.rows[message.request])
        elif isinstance(message, Finished):
            self.finished.append(message.state)

    def give(self, row):
        if not self.addresses:
            row.decisions.put(refuse(Reason.SHED, "Nothing is left.", 1.5))
            return
        address = self.addresses.pop(0)
        row.decisions.put(Dispatch(row.request, row.stream, f"t-{address}", address))


class Answer:
    """What a caller got."""

    def __init__(self, app, environ):
        body = app(environ, self.start)
        self.pieces, self.cut = [], False
        try:
            self.pieces = []
            for piece in body:
                self.pieces.append(piece)
        except StreamTruncated:
            self.cut = True
        finally:
            body.close()
        self.body = b"".join(self.pieces)

    def start(self, status, headers):
        self.status = int(status.split()[0])
        self.headers = dict(headers)


class Bench:
    """An application, its engines and a scheduler's stand-in."""

    def __init__(self, stack, engines=1):
        self.engines = [start_engine() for _ in range(engines)]
        for engine in self.engines:
            stack.callback(engine.server_close)
            stack.callback(engine.shutdown)
        self.clock = Clock()
        self.watch = CallWatcher(self.clock)
        self.watch.start()
        stack.callback(self.watch.stop)
        self.desk = Desk(engine.address for engine in self.engines)
        form = PlatformHeaders()
        self.freshness = DocumentFreshness(5.0)
        self.freshness.confirm(self.clock.boottime())
        proxy = RoutedProxy(
            form,
            self.desk,
            self.clock,
            Metrics(),
            self.watch,
            RetryBudget(RetryLimits()),
            LossRegistry(self.clock, lambda message: None),
            lambda: 1,
        )
        self.app = RoutedApp(form, proxy, self.freshness, self.clock, Metrics())
        document = decode_document(json.dumps(CONFIG | {"routes": ROUTES}).encode())
        self.app.in_force = index_document(document)

    def call(self, path, method="POST", body=b"", gone=lambda: False, **headers):
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "REQUEST_URI": path,
            "HTTP_HOST": "shop.example",
            "HTTP_GODWITLADDER_ATTEMPT_ID": "a1",
            "HTTP_GODWITLADDER_DEADLINE_MS": "5000",
            "HTTP_AUTHORIZATION": "Bearer k1",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "waitress.client_disconnected": gone,
        }
        return Answer(self.app, environ | headers)

    def runs(self):
        return [run for engine in self.engines for run in engine.standin.runs]


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def test_a_call_is_passed_on_unchanged(stack):
    bench = Bench(stack)
    answer = bench.call("/charge/2f?x=%41", body=b"pay", HTTP_X_OWN="kept")
    (run,) = bench.runs()
    assert (run.method, run.path, run.body) == ("POST", "/charge/2f?x=%41", b"pay")
    assert run.headers["x-own"] == "kept"
    assert run.headers["godwitladder-tenant"] == "w1"
    assert "authorization" not in run.headers
    assert answer.body == b"answer of a1"
    assert answer.headers["Godwitladder-Response-Signature"] == "signed-a1"


def test_an_engine_that_took_over_an_address_runs_nothing(stack):
    """The engine of an address has ended; another service's has the address now.

    Hosts hear of it late. The call names the engine that it is meant for, so
    the other one turns it away, and the caller is told that it has not run.
    """
    bench = Bench(stack)
    for engine in bench.engines:
        engine.standin.knobs.name = "another"
    answer = bench.call("/charge/x")
    assert answer.status == 503
    assert json.loads(answer.body)["outcome"] == "not_run"
    assert bench.runs() == []


def test_an_unknown_key_and_an_unknown_route_are_told(stack):
    bench = Bench(stack)
    assert bench.call("/charge/x", HTTP_AUTHORIZATION="Bearer no").status == 401
    assert bench.call("/nowhere/x").status == 404
    assert bench.call("/open/x", HTTP_AUTHORIZATION="").status == 200


def test_an_old_document_refuses_keys_and_tells_no_falsehood(stack):
    """The store has been out of reach for longer than a key may be believed.

    Keyed calls get 503 with a time to come back, not 401, and run nowhere;
    a route that is not known may be there by now, so that is no 404 either.
    """
    bench = Bench(stack)
    bench.freshness.confirmed_at -= 10
    answer = bench.call("/charge/x")
    assert (answer.status, "Retry-After" in answer.headers) == (503, True)
    assert bench.call("/nowhere/x").status == 503
    assert bench.call("/open/x").status == 200
    assert len(bench.runs()) == 1


def test_a_host_without_a_document_promises_nothing(stack):
    bench = Bench(stack)
    bench.app.in_force = index_document(type(bench.app.in_force.document)())
    assert bench.call("/charge/x").status == 503


def test_a_refusal_by_the_target_goes_elsewhere_within_the_sends(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.refuse = True
    assert bench.call("/twice/x").body == b"answer of a1"
    assert bench.desk.returned == [ReturnProof.TARGET_SAID]


def test_a_refusal_by_the_only_target_allowed_is_told_as_not_run(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.refuse = True
    answer = bench.call("/charge/x")
    assert answer.status == 503
    assert json.loads(answer.body)["outcome"] == "not_run"
    assert bench.runs() == []


def test_a_target_that_can_not_be_reached_costs_no_send(stack):
    bench = Bench(stack)
    bench.desk.addresses.insert(0, DEAD)
    assert bench.call("/charge/x").body == b"answer of a1"
    assert bench.desk.returned == [ReturnProof.NOTHING_SENT]


def test_an_answer_to_another_request_is_never_passed_on(stack):
    """An engine hands out a late answer where this call's is expected.

    The charge may have run: the caller gets 502, which promises nothing, and
    the call is not sent again.
    """
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.foreign = True
    answer = bench.call("/twice/x")
    assert answer.status == 502
    assert b"answer of" not in answer.body
    assert len(bench.runs()) == 1
    assert bench.desk.finished == [RequestState.MAY_HAVE_RUN]


def test_a_lost_answer_of_an_idempotent_call_is_fetched_elsewhere(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.foreign = True
    assert bench.call("/lookup/x", method="GET").body == b"answer of a1"
    assert bench.desk.returned == [ReturnProof.IDEMPOTENT]


def test_a_failure_that_was_tried_again_in_vain_is_passed_on(stack):
    """The first target failed and there is no second: the caller gets that failure.

    A 503 would promise that nothing ran.
    """
    bench = Bench(stack)
    bench.engines[0].standin.knobs.status = 500
    answer = bench.call("/lookup/x", method="GET")
    assert answer.status == 500
    assert answer.headers["Godwitladder-Response-Signature"] == "signed-a1"


def test_a_lost_answer_with_no_second_target_promises_nothing(stack):
    bench = Bench(stack)
    bench.engines[0].standin.knobs.foreign = True
    assert bench.call("/lookup/x", method="GET").status == 502


def test_a_failure_of_what_may_not_repeat_is_passed_on(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.status = 500
    assert bench.call("/twice/x").status == 500
    assert len(bench.runs()) == 1


def test_events_come_whole_and_in_order(stack):
    bench = Bench(stack)
    answer = bench.call("/stream/x")
    assert answer.body.count(b"id: ") == 5
    assert not answer.cut
    assert bench.desk.finished == [RequestState.COMPLETED]


def test_a_stream_that_breaks_looks_broken(stack):
    """An engine stops in the middle of an event.

    The caller gets whole events only, and an answer without an end.
    """
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/stream/x")
    assert answer.cut
    assert answer.body.count(b"id: ") == 2
    assert answer.body.endswith(b"\n\n")
    assert len(bench.runs()) == 1
    assert bench.desk.finished == [RequestState.FAILED]


def test_a_resumable_stream_goes_on_at_another_target(stack):
    """An engine crashes in mid-stream; the route says that it may be resumed.

    The caller sees one answer with the head of the first engine, no event
    missing and none twice.
    """
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/resume/stream/x")
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [b"id: %d" % number for number in range(1, 6)]
    assert not answer.cut
    assert bench.runs()[1].headers["last-event-id"] == "2"


def test_a_resumable_stream_without_a_second_target_looks_broken(stack):
    bench = Bench(stack)
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/resume/stream/x")
    assert answer.cut and answer.body.count(b"id: ") == 2


def test_the_time_of_a_route_ends_a_call(stack):
    """The engine takes longer than the operator lets callers wait.

    The call may run to its end there: the caller is told 504, not 503.
    """
    bench = Bench(stack)
    bench.engines[0].standin.knobs.pause_s = 30.0
    answer = bench.call("/slow/x")
    assert answer.status == 504
    assert json.loads(answer.body)["outcome"] == "may_have_run"


def test_a_caller_that_leaves_takes_its_stream_along(stack):
    """The caller closes its connection before the first event.

    Its engine's connection is closed by the watcher, while the thread that
    serves the call waits for that engine.
    """
    bench = Bench(stack)
    engine = bench.engines[0].standin
    engine.knobs.pause_s = 0.3
    engine.knobs.events = 100
    left = threading.Event()
    threading.Timer(0.4, left.set).start()
    answer = bench.call("/stream/x", gone=left.is_set)
    assert answer.cut
    wait_until(lambda: engine.broken_connections == 1, "the stream to break")
    assert not bench.watch.calls


def test_a_call_that_three_targets_lost_is_held_back(stack):
    """One call crashes each target that runs it, and comes again at any host.

    Two other hosts tell of two targets, the third loss is seen here. Then the
    call is refused before a fourth target, another call of its caller is not.
    """
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.foreign = True
    digest = digest_call("w1", "/charge/bad", b"x")
    for name in ("t8", "t9"):
        bench.app.proxy.losses.record_loss(AnswerLost(digest, name))
    assert bench.call("/charge/bad", body=b"x").status == 502
    assert bench.call("/charge/bad", body=b"x").status == 503
    assert bench.call("/charge/good", body=b"x").status == 200


def test_a_host_about_to_stop_sends_callers_elsewhere(stack):
    bench = Bench(stack)
    bench.app.refusing = True
    answer = bench.call("/charge/x")
    assert (answer.status, answer.headers["Retry-After"]) == (503, "0.10")
