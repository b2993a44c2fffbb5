"""``GET /v1/requests/{id}``: returns the answer to a request, from any host.

Resuming dispatches nothing. The signed id and the configuration hold all that
is needed, so a caller whose host has failed gets the rest of its answer from
another host.
"""

import itertools
from collections.abc import Iterable, Mapping
from urllib.parse import parse_qs

from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind, Target
from godwitladder.configuration.state import ConfigState
from godwitladder.engines.wire import Dial, connect
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.serving.answers import answer_buffered, event_bytes, start_events
from godwitladder.serving.calls import Caller, CallRefused, deny, read_timeout
from godwitladder.serving.joining import join_chunks
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.relay import AnswerTruncated, StreamFollower
from godwitladder.serving.request_ids import ForgedId, RequestLocator, read_request_id

RESUME_TIMEOUT_S = 300.0
# The finish reason is in one of the last chunks. These are read again, so that a
# stream resumed after them can still be told apart from a truncated one.
REREAD_CHUNKS = 4


def resume_request(
    environ: Mapping,
    identity: str,
    caller: Caller,
    config: ConfigState,
    secret: str,
    clock: Clock,
    start_response,
    dial: Dial = connect,
) -> Iterable[bytes]:
    """Answer with the stream of ``identity`` from the requested event on.

    Raises
    ------
    CallRefused
        The id is invalid or belongs to another caller, or the answer is no longer
        available.
    """
    name, target = find_request(identity, caller, config, secret)
    start = read_start(environ)
    deadline = clock.monotonic() + read_timeout(environ, RESUME_TIMEOUT_S)
    follower = StreamFollower(target.address, name.stream, clock, deadline, dial=dial)
    try:
        if "application/json" in environ.get("HTTP_ACCEPT", ""):
            body = join_chunks(follower, identity, "")
            return answer_buffered(
                start_response, 200, "application/json", body, identity
            )
        follower.progress.next_sequence = max(0, start - REREAD_CHUNKS)
        batches = iter(follower)
        # The first batch is read before the answer starts, so that a stream that is
        # no longer available is reported by the status.
        first = next(batches, [])
    except AnswerTruncated as error:
        return answer_problem(start_response, error.refusal, identity)
    start_events(start_response, identity)
    return event_bytes(itertools.chain([first], batches), identity, start)


def find_request(
    identity: str, caller: Caller, config: ConfigState, secret: str
) -> tuple[RequestLocator, Target]:
    """Return the request that ``identity`` names and the target that holds its answer.

    Raises
    ------
    CallRefused
        The id is invalid or belongs to another caller, or the answer is no longer
        available.
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
    """Return the error for a request whose answer is no longer available."""
    return CallRefused(Refusal(RequestState.MAY_HAVE_RUN, Reason.TARGET_LOST, detail))


def read_start(environ: Mapping) -> int:
    """Return the number of the first event to send.

    That is the one after ``Last-Event-ID``, or else the query parameter ``from``.

    Raises
    ------
    CallRefused
        The value is not a whole number.
    """
    last = environ.get("HTTP_LAST_EVENT_ID")
    query = parse_qs(environ.get("QUERY_STRING", ""))
    text = last if last is not None else query.get("from", ["0"])[0]
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise deny(Reason.MALFORMED, f"{text!r} is no number of an event.")
    return int(text) + (last is not None)
