"""``GET /v1/requests/{id}``: the answer of a request, from any host.

Resuming dispatches nothing. What it needs stands in the signed id and in the
configuration, so that a caller whose host has died gets the rest of its
answer from another one.
"""

import itertools
from collections.abc import Iterable, Mapping
from urllib.parse import parse_qs

from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind, Target
from godwitladder.configuration.state import ConfigState
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.serving.answers import answer_whole, event_bytes, start_events
from godwitladder.serving.calls import Caller, CallRefused, deny, read_timeout
from godwitladder.serving.joining import join_chunks
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.relay import AnswerTruncated, StreamFollower
from godwitladder.serving.request_ids import ForgedId, RequestLocator, read_request_id

RESUME_TIMEOUT_S = 300.0
# The reason to finish stands in one of the last chunks. They are read again, so
# that the end of an answer resumed behind them can still be told from a cut.
LOOK_BACK = 4


def resume_request(
    environ: Mapping,
    identity: str,
    caller: Caller,
    config: ConfigState,
    secret: str,
    clock: Clock,
    start_response,
) -> Iterable[bytes]:
    """Answer with the stream of ``identity`` from where the caller says.

    Raises
    ------
    CallRefused
        The id is not one of this caller's.
    """
    name, target = find_request(identity, caller, config, secret)
    start = read_start(environ)
    deadline = clock.monotonic() + read_timeout(environ, RESUME_TIMEOUT_S)
    follower = StreamFollower(target.address, name.stream, clock, deadline)
    try:
        if "application/json" in environ.get("HTTP_ACCEPT", ""):
            body = join_chunks(follower, identity, "")
            return answer_whole(start_response, 200, "application/json", body, identity)
        follower.tally.next = max(0, start - LOOK_BACK)
        batches = iter(follower)
        # The first read comes before the answer starts: a stream that can't
        # be had is told by the status then.
        first = next(batches, [])
    except AnswerTruncated as error:
        return answer_problem(start_response, error.refusal, identity)
    start_events(start_response, identity)
    return event_bytes(itertools.chain([first], batches), identity, start)


def find_request(
    identity: str, caller: Caller, config: ConfigState, secret: str
) -> tuple[RequestLocator, Target]:
    """Return what ``identity`` names and the target that has it.

    Raises
    ------
    CallRefused
        The id is not one of this caller's, or its answer can't be had again.
    """
    try:
        name = read_request_id(secret, identity)
    except ForgedId as error:
        raise deny(Reason.UNKNOWN_PATH, f"{error}.") from error
    if name.workspace != caller.name:
        raise deny(Reason.UNKNOWN_PATH, "There is no such request.")
    target = config.targets.get(name.target)
    if target is None:
        raise unavailable("Its target is no longer configured.")
    kinds = {config.services[service].kind for service in target.services}
    if ServiceKind.MODEL not in kinds:
        raise unavailable("The answer of a plain service is given once.")
    return name, target


def unavailable(detail: str) -> CallRefused:
    """Return the refusal of a request whose answer can't be had again."""
    return CallRefused(Refusal(RequestState.MAY_HAVE_RUN, Reason.TARGET_LOST, detail))


def read_start(environ: Mapping) -> int:
    """Return the first event wanted: after ``Last-Event-ID``, or ``from``.

    Raises
    ------
    CallRefused
        It is no whole number.
    """
    last = environ.get("HTTP_LAST_EVENT_ID")
    query = parse_qs(environ.get("QUERY_STRING", ""))
    text = last if last is not None else query.get("from", ["0"])[0]
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise deny(Reason.MALFORMED, f"{text!r} is no number of an event.")
    return int(text) + (last is not None)
