"""How a host treats requests whose target crashed, tested with fakes."""

import dataclasses
import itertools
import threading
from dataclasses import dataclass, field

import pytest

from godwitladder.claims.actor import AppendCrashEvent, ReleaseClaim, SubmitClaim
from godwitladder.claims.tracker import ClaimResult, Verdict
from godwitladder.clock import ManualClock
from godwitladder.configuration.model import Service, ServiceKind, Target
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.health.quarantine import HOLD_S, QuarantineStatus
from godwitladder.outcomes import Reason, RequestState
from godwitladder.quarantine.records import Cleared, Crash
from godwitladder.quarantine.watch import ACK_TIMEOUT_S, CrashWatch, crash_digest
from godwitladder.scheduler.rows import RequestRow
from godwitladder.serving.calls import Call, CallRefused
from godwitladder.standins.ports import free_ports
from godwitladder.standins.service import start_service
from tests.fleet import wait_until

MODEL = Service(ServiceKind.MODEL, True)
PLAIN = Service(ServiceKind.PLAIN, True)


@dataclass
class FakeClaims:
    """Resolves every claim with one verdict and records all messages."""

    verdict: Verdict = Verdict.WON
    messages: list = field(default_factory=list)

    def tell(self, message) -> None:
        self.messages.append(message)
        if isinstance(message, SubmitClaim):
            message.reply.put(ClaimResult(message.request.nonce, self.verdict))

    def kinds(self) -> list[type]:
        return [type(message) for message in self.messages]


@dataclass(frozen=True)
class FakeLink:
    """Link that has only a peer name."""

    peer: str


class FakeMesh:
    """Records broadcast messages; has no links unless a test adds some."""

    def __init__(self) -> None:
        self.sent: list = []
        self.links: list[FakeLink] = []

    def current(self) -> list[FakeLink]:
        return self.links

    def broadcast(self, message) -> None:
        self.sent.append(message)


def make_call(text: str, service: Service = MODEL) -> Call:
    row = RequestRow("r", "s", "w", "letters", 0, 0, 0, 0.0, 9.0, True)
    row.target = "t1"
    body = b'{"messages": ["%b"]}' % text.encode()
    return Call(row, service, body, "application/json", False)


def make_watch(run, address: str = "") -> CrashWatch:
    address = address or f"127.0.0.1:{free_ports(1)[0]}"
    config = ConfigState(targets={"t1": Target(address=address)})
    return CrashWatch(run, lambda: config, FakeClaims(), FakeMesh(), ManualClock())


def end(state: RequestState):
    def run(call: Call, environ, start_response) -> list[bytes]:
        refusal = call.before_dispatch()
        call.on_end(RequestState.NOT_RUN if refusal else state)
        return [refusal]

    return run


@pytest.mark.parametrize(
    ("verdict", "trials"), [(Verdict.WON, [False, True]), (Verdict.HELD, [False])]
)
def test_copies_that_wait_are_refused_before_they_are_written(verdict, trials):
    """Guards against queued copies of a request that each crash a target.

    All copies were admitted before the first crash was known. Each is checked
    again before its first byte is sent: the next one becomes the trial, if
    that can be claimed, and all others are refused as not run.
    """
    inner = end(RequestState.MAY_HAVE_RUN)
    depth = itertools.count()
    refusals = []

    def run(call, environ, start_response):
        if next(depth) < 3:
            watch.serve(make_call("poison"), {}, None)
        refusals.extend(inner(call, environ, start_response))
        return []

    watch = make_watch(run)
    watch.claims.verdict = verdict
    watch.serve(make_call("poison"), {}, None)
    ran = len(trials)
    assert refusals[:ran] == [None] * ran
    outcomes = {(row.reason, row.outcome) for row in refusals[ran:]}
    assert outcomes == {(Reason.QUARANTINED, RequestState.NOT_RUN)}
    crashes = [row for row in watch.mesh.sent if isinstance(row, Crash)]
    assert [row.trial for row in crashes] == trials


def test_suspect_runs_alone_and_is_cleared_by_its_end():
    """A bystander's retry claims the trial, completes, and is cleared."""
    watch = make_watch(end(RequestState.MAY_HAVE_RUN))
    call = make_call("letter")
    watch.serve(call, {}, None)
    assert watch.status(crash_digest(call)) is QuarantineStatus.SUSPECT
    watch.run = end(RequestState.COMPLETED)
    assert watch.serve(call, {}, None) == [None]
    assert watch.status(crash_digest(call)) is QuarantineStatus.CLEAR
    assert watch.claims.kinds() == [
        AppendCrashEvent,
        SubmitClaim,
        AppendCrashEvent,
        ReleaseClaim,
    ]
    assert isinstance(watch.mesh.sent[-1], Cleared)


@pytest.mark.parametrize("verdict", [Verdict.HELD, Verdict.UNAVAILABLE])
def test_suspect_without_its_trial_is_refused_as_not_run(verdict):
    """A suspect is refused while another one runs or the log is unavailable.

    It ends as not run, so its key is released and the request can be retried.
    """
    watch = make_watch(end(RequestState.MAY_HAVE_RUN))
    watch.serve(make_call("letter"), {}, None)
    watch.claims.verdict = verdict
    states = []
    call = dataclasses.replace(make_call("letter"), on_end=states.append)
    with pytest.raises(CallRefused) as refused:
        watch.serve(call, {}, None)
    assert refused.value.refusal.reason is Reason.QUARANTINED
    assert refused.value.refusal.retry_after_s > 0
    assert states == [RequestState.NOT_RUN]


def test_lost_answer_of_a_live_target_is_no_crash():
    """A target that lost an answer but still accepts connections has not crashed."""
    server = start_service()
    watch = make_watch(end(RequestState.MAY_HAVE_RUN), server.address)
    watch.serve(make_call("order", PLAIN), {}, None)
    server.shutdown()
    server.server_close()
    assert not watch.mesh.sent


def test_duplicate_or_old_event_changes_nothing():
    """Old and duplicate events are ignored.

    Events arrive both over links and through the log.
    """
    watch = make_watch(end(RequestState.COMPLETED))
    event = Crash("report", "t1", "d", False)
    watch.handle_message(FakeLink("peer"), event)
    watch.handle_message(FakeLink("peer"), event)
    assert watch.mesh.sent == [event]
    watch.handle_message(FakeLink("peer"), Cleared("second", "d"))
    watch.replay(event, watch.clock.wall())
    watch.replay(Crash("third", "t2", "d", False), watch.clock.wall() - HOLD_S - 1)
    assert watch.status("d") is QuarantineStatus.CLEAR


def test_digest_is_of_the_messages_alone():
    """The digest ignores other fields of the body, but not a different prompt."""
    row = make_call("poison").row
    bodies = [
        b'{"messages": ["x"], "max_tokens": 5}',
        b'{"max_tokens": 9, "messages":["x"]}',
        b'{"messages": ["y"]}',
    ]
    digests = [crash_digest(Call(row, MODEL, body, "", False)) for body in bodies]
    assert digests[0] == digests[1] != digests[2]


def test_caller_is_answered_once_peers_acknowledged_its_crash():
    """Guards against a retry that reaches a peer which does not know of the crash."""
    watch = make_watch(end(RequestState.MAY_HAVE_RUN))
    watch.mesh.links = [FakeLink("near"), FakeLink("far")]
    answered = threading.Event()

    def serve() -> None:
        watch.serve(make_call("poison"), {}, None)
        answered.set()

    thread = threading.Thread(target=serve)
    thread.start()
    wait_until(lambda: watch.mesh.sent, "the event to be sent")
    event = watch.mesh.sent[0]
    watch.handle_message(FakeLink("near"), event)
    assert not answered.is_set()
    watch.handle_message(FakeLink("far"), event)
    thread.join()
    assert answered.is_set()


def test_unreachable_peer_delays_an_answer_only_briefly():
    """Guards against callers that wait for an unreachable peer."""
    watch = make_watch(end(RequestState.MAY_HAVE_RUN))
    watch.mesh.links = [FakeLink("lost")]
    thread = threading.Thread(target=lambda: watch.serve(make_call("poison"), {}, None))
    thread.start()
    wait_until(lambda: watch.mesh.sent, "the event to be sent")
    while thread.is_alive():
        watch.clock.advance(ACK_TIMEOUT_S)
        thread.join(0.01)
