"""Proxying of routed calls: what callers get when targets fail or misbehave."""

import contextlib
import dataclasses
import io
import json
import threading
from types import SimpleNamespace

import pytest

from godwitladder.clock import Clock
from godwitladder.decisions.health.departures import Departures
from godwitladder.decisions.limits.cooldowns import Cooldowns
from godwitladder.decisions.limits.rate_limits import RateLimits
from godwitladder.decisions.limits.retry_budget import RetryBudget, RetryLimits
from godwitladder.decisions.placing.stream_origins import (
    KEEP_S,
    StreamName,
    StreamOrigin,
)
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.wire import MayHaveRun, NoConnection
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, RequestState, refuse
from godwitladder.paths.connector import Connector, UntriedGateways
from godwitladder.paths.splicing import StreamEnd
from godwitladder.platform.documents import decode_document
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.quarantine.evidence import CrashEvidence, TargetPresence
from godwitladder.quarantine.gate import QuarantineGate
from godwitladder.quarantine.probing import ProbeResult, TargetProbe
from godwitladder.quarantine.records import Crash, PossibleCrash, TrialBegan
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.rollouts.counts import HostRollouts
from godwitladder.routing.app import RoutedApp, digest_call, index_document
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.scheduler.messages import (
    Finished,
    Returned,
    ReturnProof,
    Submit,
    TargetLost,
)
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.call_memory import CallMemory
from godwitladder.serving.call_watcher import CallWatcher
from godwitladder.serving.pacing import Pace
from godwitladder.serving.proxying import MAX_UNTRIED_ROUNDS, RoutedProxy
from godwitladder.serving.statements import TargetStatements
from godwitladder.serving.stream_origins import StreamOriginRegistry
from godwitladder.serving.target_evidence import TargetEvidence
from godwitladder.serving.upstream import StreamTruncated
from godwitladder.standins.routed import HEALTH_PATH, Ending, start_engine
from tests.fleet import wait_until
from tests.platform.test_adapter import CONFIG

DEFAULT_LIMITS = AnswerLimits()
UNREACHABLE_ADDRESS = "127.0.0.1:1"


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


class FakeScheduler:
    """Fake scheduler that dispatches to the given addresses in order."""

    def __init__(self, addresses):
        self.addresses = list(addresses)
        self.returned, self.finished, self.others = [], [], []
        self.unreached, self.avoided = [], []
        self.rows = {}
        self.release = ""

    def tell(self, message):
        if isinstance(message, Submit):
            self.rows[message.row.request] = message.row
            self.decide(message.row)
        elif isinstance(message, Returned):
            self.returned.append(message.proof)
            self.unreached.append(message.unreached)
            self.avoided.append(message.avoid)
            self.decide(self.rows[message.request])
        elif isinstance(message, Finished):
            self.finished.append(message.state)
        else:
            self.others.append(message)

    def decide(self, row):
        if not self.addresses:
            row.decisions.put(refuse(Reason.SHED, "Nothing is left.", 1.5))
            return
        address = self.addresses.pop(0)
        dispatch = Dispatch(
            row.request, row.stream, f"t-{address}", address, release=self.release
        )
        row.decisions.put(dispatch)


class FakePeers:
    """Links of a host that is alone."""

    def current(self):
        return []

    def send(self, host, message):
        return False

    def multicast(self, links, data):
        pass


class Answer:
    """The answer that a caller received."""

    def __init__(self, app, environ, keeps=True):
        body = app(environ, self.start)
        self.pieces, self.truncated = [], False
        try:
            self.pieces = []
            for piece in body:
                self.pieces.extend([piece] if keeps else [])
        except StreamTruncated:
            self.truncated = True
        finally:
            body.close()
        self.body = b"".join(self.pieces)

    def start(self, status, headers):
        self.status = int(status.split()[0])
        self.headers = dict(headers)


class Bench:
    """An application with its engines and a fake scheduler."""

    def __init__(self, stack, engines=1, limits=DEFAULT_LIMITS):
        self.engines = [start_engine() for _ in range(engines)]
        for engine in self.engines:
            stack.callback(engine.server_close)
            stack.callback(engine.shutdown)
        self.clock = Clock()
        self.watcher = CallWatcher(self.clock)
        self.watcher.start()
        stack.callback(self.watcher.stop)
        self.scheduler = FakeScheduler(engine.address for engine in self.engines)
        form = PlatformHeaders()
        self.freshness = DocumentFreshness(5.0)
        self.freshness.confirm(self.clock.boottime())
        self.statements = TargetStatements(
            self.scheduler, self.clock, RateLimits(), Departures(), Cooldowns()
        )
        self.addresses = [engine.address for engine in self.engines]
        self.published = []
        self.quarantine = QuarantineGate(
            self.clock,
            self.published.append,
            CrashEvidence(self.clock, lambda: self.addresses, TargetProbe(form)),
        )
        self.origins = StreamOriginRegistry("h1", FakePeers(), self.clock)
        self.rollouts = HostRollouts()
        self.metrics = Metrics()
        self.memory = CallMemory(limits)
        proxy = RoutedProxy(
            form,
            self.scheduler,
            self.clock,
            self.metrics,
            self.watcher,
            RetryBudget(RetryLimits()),
            self.quarantine,
            self.statements,
            lambda: 1,
            Connector(self.clock, Metrics()),
            self.origins,
            self.memory,
            Pace(self.clock),
            self.rollouts,
        )
        self.app = RoutedApp(form, proxy, self.freshness, self.clock, Metrics())
        document = decode_document(json.dumps(CONFIG | {"routes": ROUTES}).encode())
        self.app.in_force = index_document(document)

    def call(
        self,
        path,
        method="POST",
        body=b"",
        gone=lambda: False,
        keeps=True,
        **headers,
    ):
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
        return Answer(self.app, environ | headers, keeps)

    def runs(self):
        return [run for engine in self.engines for run in engine.standin.runs]


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def test_a_call_is_proxied_unchanged(stack):
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
    """An engine that reuses the address of an ended one must not run its calls.

    Hosts learn late that another service's engine has the address. The call names
    the engine it is meant for, so the other one rejects it, and the caller learns
    that it has not run.
    """
    bench = Bench(stack)
    for engine in bench.engines:
        engine.standin.knobs.name = "another"
    answer = bench.call("/charge/x")
    assert answer.status == 503
    assert json.loads(answer.body)["outcome"] == "not_run"
    assert bench.runs() == []


def test_an_unknown_key_and_an_unknown_route_are_refused(stack):
    bench = Bench(stack)
    assert bench.call("/charge/x", HTTP_AUTHORIZATION="Bearer no").status == 401
    assert bench.call("/nowhere/x").status == 404
    assert bench.call("/open/x", HTTP_AUTHORIZATION="").status == 200


def test_an_outdated_document_gives_503_for_keys_and_unknown_routes(stack):
    """Hosts must not judge keys and routes by an outdated document.

    The store was unreachable for longer than keys may be trusted. Calls with a key
    get 503 with Retry-After instead of 401 and run nowhere. An unknown route may
    exist by now, so it gets 503 instead of 404.
    """
    bench = Bench(stack)
    bench.freshness.confirmed_at -= 10
    answer = bench.call("/charge/x")
    assert (answer.status, "Retry-After" in answer.headers) == (503, True)
    assert bench.call("/nowhere/x").status == 503
    assert bench.call("/open/x").status == 200
    assert len(bench.runs()) == 1


def test_a_document_older_than_a_change_may_take_denies_no_key_or_route(stack):
    """Guards against a refusal by a document that may lack what was added since.

    Keys that it has are accepted for longer.
    """
    bench = Bench(stack)
    bench.freshness.confirmed_at -= 3
    assert bench.call("/charge/x").status == 200
    for path, key in (("/nowhere/x", "k1"), ("/charge/x", "no"), ("/charge/x", "")):
        answer = bench.call(path, HTTP_AUTHORIZATION=f"Bearer {key}")
        assert (answer.status, "Retry-After" in answer.headers) == (503, True)
    assert len(bench.runs()) == 1


def test_a_document_older_than_a_change_may_take_denies_no_size(stack):
    """Guards against a body refused by a limit that has been raised since."""
    bench = Bench(stack)
    document = bench.app.in_force.document
    limits = dataclasses.replace(document.limits, body_bytes=3)
    limited = dataclasses.replace(document, limits=limits)
    bench.app.in_force = index_document(limited)
    assert bench.call("/charge/x", body=b"four").status == 413
    bench.freshness.confirmed_at -= 3
    assert bench.call("/charge/x", body=b"four").status == 503
    assert bench.call("/charge/x", body=b"two").status == 200


def test_a_confirmation_of_a_later_document_accepts_no_key_of_this_one(stack):
    """Guards against a revoked key that runs as its revocation becomes known."""
    bench = Bench(stack)
    bench.freshness.confirmed_at -= 10
    before = bench.app.in_force

    class ConfirmingRoutes:
        def find(self, host, path):
            bench.app.in_force = index_document(type(before.document)())
            bench.freshness.confirm(bench.clock.boottime())
            return before.routes.find(host, path)

    bench.app.in_force = dataclasses.replace(before, routes=ConfirmingRoutes())
    assert bench.call("/charge/x").status == 503
    assert not bench.runs()


def test_a_host_without_a_document_refuses_calls(stack):
    bench = Bench(stack)
    bench.app.in_force = index_document(type(bench.app.in_force.document)())
    assert bench.call("/charge/x").status == 503


def test_a_call_that_a_target_refused_is_sent_to_another(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.refuse = True
    assert bench.call("/twice/x").body == b"answer of a1"
    assert bench.scheduler.returned == [ReturnProof.TARGET_SAID]


def test_a_refusal_on_the_last_attempt_is_reported_as_not_run(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.refuse = True
    answer = bench.call("/charge/x")
    assert answer.status == 503
    assert json.loads(answer.body)["outcome"] == "not_run"
    assert bench.runs() == []


def test_an_unreachable_target_does_not_count_as_an_attempt(stack):
    bench = Bench(stack)
    bench.scheduler.addresses.insert(0, UNREACHABLE_ADDRESS)
    assert bench.call("/charge/x").body == b"answer of a1"
    assert bench.scheduler.returned == [ReturnProof.NOTHING_SENT]
    assert bench.scheduler.unreached == [True]


def test_a_call_that_is_held_back_is_no_sign_of_a_lost_path(stack):
    """Guards against naming a missing path where the target wants no requests."""
    bench = Bench(stack, engines=2)
    first = f"t-{bench.engines[0].address}"
    bench.statements.departures.observe(first, "", 0.0)
    assert bench.call("/charge/x").body == b"answer of a1"
    assert bench.scheduler.returned == [ReturnProof.NOTHING_SENT]
    assert bench.scheduler.unreached == [False]


def test_an_answer_to_another_request_is_never_returned(stack):
    """An engine returns the late answer of another call.

    The charge may have run: the caller gets 502 with the outcome may_have_run, and
    the call is not sent again.
    """
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.foreign = True
    answer = bench.call("/twice/x")
    assert answer.status == 502
    assert b"answer of" not in answer.body
    assert len(bench.runs()) == 1
    assert bench.scheduler.finished == [RequestState.MAY_HAVE_RUN]


def test_an_idempotent_call_is_retried_after_its_answer_is_lost(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.foreign = True
    assert bench.call("/lookup/x", method="GET").body == b"answer of a1"
    assert bench.scheduler.returned == [ReturnProof.IDEMPOTENT]


def test_an_error_answer_is_returned_if_no_retry_is_possible(stack):
    """The first target fails and there is no second: the caller gets that failure.

    A 503 would state that nothing ran.
    """
    bench = Bench(stack)
    bench.engines[0].standin.knobs.status = 500
    answer = bench.call("/lookup/x", method="GET")
    assert answer.status == 500
    assert answer.headers["Godwitladder-Response-Signature"] == "signed-a1"


def test_a_lost_answer_without_a_second_target_is_not_reported_as_not_run(stack):
    bench = Bench(stack)
    bench.engines[0].standin.knobs.foreign = True
    assert bench.call("/lookup/x", method="GET").status == 502


def test_an_error_answer_of_a_non_idempotent_call_is_returned(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.status = 500
    assert bench.call("/twice/x").status == 500
    assert len(bench.runs()) == 1


def test_events_arrive_complete_and_in_order(stack):
    bench = Bench(stack)
    answer = bench.call("/stream/x")
    assert answer.body.count(b"id: ") == 5
    assert not answer.truncated
    assert bench.scheduler.finished == [RequestState.COMPLETED]


def test_a_broken_stream_is_visibly_truncated(stack):
    """An engine stops in the middle of an event.

    The caller gets complete events only, and an answer without a regular end.
    """
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/stream/x")
    assert answer.truncated
    assert answer.body.count(b"id: ") == 2
    assert answer.body.endswith(b"\n\n")
    assert len(bench.runs()) == 1
    assert bench.scheduler.finished == [RequestState.FAILED]


def test_a_resumable_stream_is_resumed_at_another_target(stack):
    """An engine crashes in mid-stream on a route that allows resuming.

    The caller gets one answer with the headers of the first engine, without missing
    or repeated events.
    """
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/resume/stream/x")
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [b"id: %d" % number for number in range(1, 6)]
    assert not answer.truncated
    assert bench.runs()[1].headers["last-event-id"] == "2"


def test_a_resumable_stream_without_a_second_target_is_truncated(stack):
    bench = Bench(stack)
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/resume/stream/x")
    assert answer.truncated and answer.body.count(b"id: ") == 2


def test_the_timeout_of_a_route_aborts_a_call(stack):
    """The engine takes longer than the timeout of the route.

    The call may run to its end there, so the caller gets 504, not 503.
    """
    bench = Bench(stack)
    bench.engines[0].standin.knobs.pause_s = 30.0
    answer = bench.call("/slow/x")
    assert answer.status == 504
    assert json.loads(answer.body)["outcome"] == "may_have_run"


def test_a_caller_that_disconnects_aborts_its_stream(stack):
    """The caller disconnects before the first event.

    The watcher closes the connection to the engine while the thread that serves the
    call waits for that engine.
    """
    bench = Bench(stack)
    engine = bench.engines[0].standin
    engine.knobs.pause_s = 0.3
    engine.knobs.events = 100
    disconnected = threading.Event()
    threading.Timer(0.4, disconnected.set).start()
    answer = bench.call("/stream/x", gone=disconnected.is_set)
    assert answer.truncated
    wait_until(lambda: engine.broken_connections == 1, "the stream to break")
    assert not bench.watcher.calls


def end_on(engine, body, ending=Ending.BEFORE_HEAD):
    """Let an engine end for good under requests with ``body``."""

    def stop(ending):
        engine.shutdown()
        engine.server_close()

    engine.standin.knobs.ends_on = body
    engine.standin.knobs.ending = ending
    engine.standin.on_end = stop


@pytest.mark.parametrize(
    ("path", "ending"),
    [
        ("/charge/x", Ending.BEFORE_HEAD),
        ("/charge/x", Ending.AFTER_HEAD),
        ("/stream/stream/x", Ending.AFTER_HEAD),
        ("/stream/stream/x", Ending.MID_STREAM),
        ("/resume/stream/x", Ending.MID_STREAM),
    ],
)
def test_a_call_under_which_three_targets_ended_reaches_no_fourth(stack, path, ending):
    """Guards against targets that end one by one, whatever was answered before."""
    bench = Bench(stack, engines=6)
    for engine in bench.engines[:4]:
        end_on(engine, b"bad", ending)
    for _ in range(6):
        bench.call(path, body=b"bad")
    assert [len(engine.standin.runs) for engine in bench.engines] == [1, 1, 1, 0, 0, 0]
    assert bench.call("/charge/good", body=b"good").status == 200


def test_a_request_that_a_target_turns_down_has_not_shown_that_it_is_sound(stack):
    """Guards against a 404 that clears a request under which targets end."""
    bench = Bench(stack, engines=5)
    for number in (0, 2, 3, 4):
        end_on(bench.engines[number], b"bad")
    bench.engines[1].standin.knobs.status = 404
    for _ in range(6):
        bench.call("/charge/x", body=b"bad")
    assert [len(engine.standin.runs) for engine in bench.engines] == [1, 1, 1, 1, 0]


def test_a_call_that_ran_before_it_was_held_back_is_not_reported_as_not_run(stack):
    """Guards against a refusal as not run of a call that ended a target before.

    The third target ends under an idempotent call, whose retry is then held back.
    """
    bench = Bench(stack, engines=4)
    for engine in bench.engines:
        end_on(engine, b"bad")
    assert bench.call("/charge/x", body=b"bad").status == 502
    assert bench.call("/charge/x", body=b"bad").status == 502
    digest = digest_call("w1", "/lookup/x", b"bad")
    for number in range(2):
        crash = Crash(f"e{number}", f"t{number}", digest, False)
        bench.quarantine.registry.apply(crash)
    answer = bench.call("/lookup/x", body=b"bad")
    assert answer.status == 502
    assert json.loads(answer.body)["outcome"] == "may_have_run"
    assert len(bench.runs()) == 3


@pytest.mark.parametrize("kind", ["lost", "failed"])
def test_a_call_that_ran_is_not_reported_as_not_run_by_a_later_refusal(stack, kind):
    """Guards against the refusal of a second target after the call ran at the first."""
    bench = Bench(stack, engines=2)
    first, second = (engine.standin.knobs for engine in bench.engines)
    first.foreign = kind == "lost"
    first.status = 500 if kind == "failed" else 200
    second.refuse = True
    answer = bench.call("/lookup/x")
    assert answer.status == (502 if kind == "lost" else 500)
    assert len(bench.runs()) == 1


def test_answers_that_are_lost_by_a_live_target_hold_nothing_back(stack):
    """Guards against innocent calls that are held back as answers are lost."""
    bench = Bench(stack)
    bench.scheduler.addresses *= 5
    bench.engines[0].standin.knobs.foreign = True
    for _ in range(4):
        assert bench.call("/charge/x", body=b"x").status == 502
    bench.engines[0].standin.knobs.foreign = False
    assert bench.call("/charge/x", body=b"x").status == 200


def take_up(bench, resumes="a0", path="/resume/stream/x"):
    """Take up a stream after its second event."""
    return bench.call(path, HTTP_LAST_EVENT_ID="2", HTTP_RESUMES=resumes)


def last_row(bench):
    """Return the last row that was submitted to the scheduler."""
    return list(bench.scheduler.rows.values())[-1]


def test_a_stream_that_is_taken_up_waits_for_targets_of_its_version(stack):
    """Guards against a stream that its caller takes up at another version."""
    bench = Bench(stack)
    bench.origins.record(StreamName("a0", "-"), StreamOrigin("core", "v7"))
    answer = take_up(bench)
    assert answer.status == 200
    assert b"piece 2" not in answer.body
    assert last_row(bench).release == "v7"


def test_a_stream_of_unknown_origin_is_refused_as_not_run(stack):
    """Guards against a guess at which version a stream began."""
    bench = Bench(stack)
    answer = take_up(bench)
    assert answer.status == 503
    assert answer.headers["Retry-After"] == "0.50"
    assert json.loads(answer.body)["reason"] == "origin_unknown"
    assert bench.runs() == []


def test_a_caller_that_names_no_attempt_takes_its_stream_up(stack):
    """Guards against refusing each caller that doesn't say which stream it takes up."""
    bench = Bench(stack, engines=2)
    bench.scheduler.release = "v7"
    bench.origins.started -= KEEP_S
    bench.call("/resume/stream/x", body=b"prompt")
    answer = bench.call("/resume/stream/x", body=b"prompt", HTTP_LAST_EVENT_ID="2")
    assert answer.status == 200
    assert last_row(bench).release == "v7"


def test_a_stream_whose_service_has_gone_is_refused(stack):
    """Guards against a stream that goes on at another service of a split route."""
    bench = Bench(stack)
    bench.origins.record(StreamName("a0", "-"), StreamOrigin("another", "v7"))
    answer = take_up(bench)
    assert json.loads(answer.body)["reason"] == "release_gone"
    assert bench.runs() == []


def test_a_stream_that_its_host_resumes_waits_for_targets_of_its_version(stack):
    """Guards against one answer that holds events of two versions."""
    bench = Bench(stack, engines=2)
    bench.scheduler.release = "v7"
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/resume/stream/x")
    assert answer.body.count(b"id: ") == 5
    assert last_row(bench).release == "v7"
    assert bench.origins.find("core", StreamName("a1", "-")) == StreamOrigin(
        "core", "v7"
    )


def test_a_stream_without_an_event_may_begin_at_any_version(stack):
    """Guards against a stream that can't begin as its first target has gone."""
    bench = Bench(stack, engines=2)
    bench.scheduler.release = "v7"
    bench.engines[0].standin.knobs.cut_after = 0
    releases = []
    decide = bench.scheduler.decide
    bench.scheduler.decide = lambda row: (releases.append(row.release), decide(row))
    assert bench.call("/resume/stream/x").body.count(b"id: ") == 5
    assert releases == ["", ""]


def test_a_stream_that_was_taken_up_keeps_the_version_of_its_first_event(stack):
    """Guards against the version of the second target that counts as the origin."""
    bench = Bench(stack)
    bench.origins.record(StreamName("a0", "-"), StreamOrigin("core", "v7"))
    bench.scheduler.release = "v8"
    take_up(bench)
    assert bench.origins.find("core", StreamName("a1", "-")) == StreamOrigin(
        "core", "v7"
    )


def crashed_bodies(bench):
    """Return the targets of the crashes that were published."""
    return [row.target for row in bench.published if isinstance(row, Crash)]


def test_a_target_that_ended_in_silence_is_seen_by_its_entry(stack, monkeypatch):
    """Guards against targets that end one by one without a sign."""
    monkeypatch.setattr("godwitladder.serving.target_evidence.MIN_UNHEARD_S", 0.2)
    bench = Bench(stack)
    engine = bench.engines[0].standin
    engine.knobs.pause_s = 30.0
    disconnected = threading.Event()
    threading.Timer(0.5, disconnected.set).start()
    bench.call("/charge/x", body=b"bad", gone=disconnected.is_set)
    assert crashed_bodies(bench) == []
    bench.quarantine.update_targets({})
    assert crashed_bodies(bench) == [f"t-{bench.addresses[0]}"]


def test_a_target_that_goes_dark_is_seen_before_its_call_ends(stack, monkeypatch):
    """Guards against targets that go dark one by one until deadlines pass."""
    monkeypatch.setattr("godwitladder.quarantine.under_way.MIN_SILENCE_S", 0.05)
    monkeypatch.setattr("godwitladder.serving.target_evidence.MIN_UNHEARD_S", 0.05)
    bench = Bench(stack)
    bench.engines[0].standin.knobs.pause_s = 30.0
    digest = digest_call("w1", "/charge/x", b"bad")
    for number in range(2):
        crash = Crash(f"e{number}", f"t{number}", digest, False)
        bench.quarantine.registry.apply(crash)
    disconnected = threading.Event()

    def lose_entry():
        bench.quarantine.update_targets({})
        disconnected.set()

    threading.Timer(0.5, lose_entry).start()
    bench.call("/charge/x", body=b"bad", gone=disconnected.is_set)
    assert [type(row) for row in bench.published] == [TrialBegan, PossibleCrash]
    assert bench.quarantine.refusal(RequestTraits(digest)).retry_after_s
    bench.quarantine.update_targets({})
    assert crashed_bodies(bench) == [f"t-{bench.addresses[0]}"]


def break_connections(engine, body):
    """Let an engine break its connections under requests with ``body``."""
    engine.standin.knobs.ends_on = body
    engine.standin.on_end = lambda ending: None


@pytest.mark.parametrize("path", ["/charge/x", "/stream/stream/x"])
def test_a_trial_whose_answer_is_lost_goes_on_until_the_entry_tells(stack, path):
    """Guards against the next copy of a request that goes out before the verdict."""
    bench = Bench(stack, engines=4)
    for engine in bench.engines:
        break_connections(engine, b"bad")
    answers = [bench.call(path, body=b"bad").status for _ in range(4)]
    assert answers == [502, 502, 502, 503]
    kinds = [type(row) for row in bench.published]
    assert kinds == [PossibleCrash, PossibleCrash, TrialBegan, PossibleCrash]
    bench.quarantine.update_targets({})
    assert crashed_bodies(bench) == [f"t-{row}" for row in bench.addresses[:3]]
    refused = bench.call(path, body=b"bad")
    assert (refused.status, refused.headers.get("Retry-After")) == (503, None)


@pytest.mark.parametrize("path", ["/charge/x", "/stream/stream/x"])
@pytest.mark.parametrize("is_alive", [True, False])
def test_a_target_that_loses_answers_is_avoided_unless_it_runs(stack, path, is_alive):
    """Guards against a target that breaks calls at once and looks idle for it."""
    bench = Bench(stack)
    break_connections(bench.engines[0], b"bad")
    name = f"t-{bench.addresses[0]}"
    health_path = HEALTH_PATH if is_alive else ""
    bench.quarantine.update_targets({name: TargetPresence("", False, health_path)})
    assert bench.call(path, body=b"bad").status == 502
    lost = [row for row in bench.scheduler.others if isinstance(row, TargetLost)]
    assert lost == ([] if is_alive else [TargetLost(name)])


def test_a_caller_that_leaves_at_once_says_nothing_of_the_target(stack, monkeypatch):
    """Guards against calls that count only because their callers left."""
    monkeypatch.setattr("godwitladder.serving.target_evidence.MIN_UNHEARD_S", 60.0)
    bench = Bench(stack)
    bench.engines[0].standin.knobs.pause_s = 30.0
    bench.call("/charge/x", body=b"good", gone=lambda: True)
    bench.quarantine.update_targets({})
    assert crashed_bodies(bench) == []


def test_a_caller_that_leaves_early_shows_a_target_that_is_gone(stack):
    """Guards against targets that go dark under callers who never wait for long."""
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.pause_s = 30.0
    name = f"t-{bench.addresses[0]}"
    bench.quarantine.update_targets({name: TargetPresence("", False)})
    results = {bench.addresses[0]: ProbeResult.NO_CONNECTION}
    bench.quarantine.evidence.probe = lambda target, address, path: results[address]
    bench.call("/charge/x", body=b"bad", gone=lambda: True)
    lost = [row.target for row in bench.published if isinstance(row, PossibleCrash)]
    assert lost == [name]


def test_a_call_through_another_host_that_is_given_up_shows_no_dark_target(stack):
    """Guards against suspects at hosts that have no path of their own to a target."""
    bench = Bench(stack, engines=2)
    name = f"t-{bench.addresses[0]}"
    bench.quarantine.update_targets({name: TargetPresence("", False)})
    bench.quarantine.evidence.probe = lambda *args: ProbeResult.REFUSED
    evidence = TargetEvidence(
        RequestTraits("bad"), bench.quarantine, bench.clock, bench.metrics
    )
    evidence.begin(Dispatch("r", "s", name, bench.addresses[0]))
    assert not evidence.record_loss(MayHaveRun("given up"), True, False, False)
    assert bench.published == []


def test_a_target_that_is_lost_while_a_stream_is_resumed_counts(stack):
    """Guards against ends that are seen at the first target of a stream only."""
    bench = Bench(stack, engines=4)
    end_on(bench.engines[0], b"bad", Ending.MID_STREAM)
    end_on(bench.engines[1], b"bad", Ending.BEFORE_HEAD)
    bench.call("/resume/stream/x", body=b"bad")
    assert crashed_bodies(bench) == [f"t-{row}" for row in bench.addresses[:2]]


def test_a_way_through_another_host_that_breaks_is_no_end_of_the_target(stack):
    """Guards against a gateway that is killed and takes all its calls for crashes."""
    bench = Bench(stack)
    end_on(bench.engines[0], b"bad")
    break_tunnels(bench)
    assert bench.call("/charge/x", body=b"bad").status == 502
    bench.quarantine.update_targets({})
    assert crashed_bodies(bench) == []


def break_tunnels(bench):
    """Let all connections lead through a gateway, and each loss be its own."""
    connect = bench.app.proxy.connector.connect

    def connect_through_gateway(*args):
        connection = connect(*args)
        tunnel = SimpleNamespace(gateway="h9", end=StreamEnd.BROKEN)
        return dataclasses.replace(connection, tunnel=tunnel)

    bench.app.proxy.connector.connect = connect_through_gateway


@pytest.mark.parametrize("kind", [NoConnection, UntriedGateways])
def test_gateways_that_fail_do_not_make_their_target_avoided(stack, kind):
    """Guards against refusals for a lost path while other gateways are not asked."""
    bench = Bench(stack, engines=2)
    connect = bench.app.proxy.connector.connect

    def fail_once(*args):
        bench.app.proxy.connector.connect = connect
        raise kind("no path")

    bench.app.proxy.connector.connect = fail_once
    assert bench.call("/charge/x").status == 200
    is_lost = kind is NoConnection
    assert (bench.scheduler.avoided, bench.scheduler.unreached) == (
        [is_lost],
        [is_lost],
    )


def test_a_target_that_no_gateway_reaches_is_avoided_in_the_end(stack):
    """Guards against a call that spends its whole time on rounds of gateways."""
    bench = Bench(stack, engines=1)
    bench.scheduler.addresses *= MAX_UNTRIED_ROUNDS + 2
    connect = bench.app.proxy.connector.connect
    rounds = []

    def fail_often(*args):
        rounds.append(args)
        if len(rounds) > MAX_UNTRIED_ROUNDS:
            bench.app.proxy.connector.connect = connect
        raise UntriedGateways("no path")

    bench.app.proxy.connector.connect = fail_often
    assert bench.call("/charge/x").status == 200
    assert bench.scheduler.avoided == [False] * MAX_UNTRIED_ROUNDS + [True]


@pytest.mark.parametrize("path", ["/lookup/x", "/resume/stream/x"])
@pytest.mark.parametrize("is_through_gateway", [True, False])
def test_a_way_that_breaks_does_not_make_its_target_avoided(
    stack, path, is_through_gateway
):
    """Guards against idle targets that get no calls since a gateway froze."""
    bench = Bench(stack, engines=2)
    end_on(bench.engines[0], b"bad")
    if is_through_gateway:
        break_tunnels(bench)
    assert bench.call(path, body=b"bad").status == 200
    assert bench.scheduler.avoided == [not is_through_gateway]
    gateways = bench.app.proxy.connector.gateways
    now = bench.clock.monotonic()
    assert gateways.may_help("h9", "any", now) is not is_through_gateway


def test_a_stopping_host_refuses_calls(stack):
    bench = Bench(stack)
    bench.app.refusing = True
    answer = bench.call("/charge/x")
    assert (answer.status, answer.headers["Retry-After"]) == (503, "0.10")
