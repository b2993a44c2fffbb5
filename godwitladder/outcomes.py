"""States of a request, reasons for refusing it, and refusals."""

import enum
import http
from dataclasses import dataclass


class RequestState(enum.Enum):
    """State of a request on its entry host, to which the caller is connected."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.WAITING: frozenset(
        {RequestState.CLAIMING, RequestState.DISPATCHED, RequestState.NOT_RUN}
    ),
    RequestState.CLAIMING: frozenset({RequestState.WAITING, RequestState.NOT_RUN}),
    # A request returns to WAITING only if no byte was written to the target, if
    # the target reported that it did not run the request, or if the request
    # may run more than once.
    RequestState.DISPATCHED: frozenset(
        {
            RequestState.WAITING,
            RequestState.COMPLETED,
            RequestState.FAILED,
            RequestState.NOT_RUN,
            RequestState.MAY_HAVE_RUN,
        }
    ),
    RequestState.COMPLETED: frozenset(),
    RequestState.FAILED: frozenset(),
    RequestState.NOT_RUN: frozenset(),
    RequestState.MAY_HAVE_RUN: frozenset(),
}


OWN_SHARE = "own share"
"""Decided by a host that has no answer of an allocator."""


class Reason(enum.Enum):
    """Why a request was refused or failed; the values are part of the public API."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    NO_CONFIG = "no_config"
    KEY_REQUIRED = "key_required"
    KEY_IN_USE = "key_in_use"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    SHED = "shed"
    QUOTA = "quota"
    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    QUARANTINED = "quarantined"
    CRASHED_TARGETS = "crashed_targets"
    ORIGIN_UNKNOWN = "origin_unknown"
    RELEASE_GONE = "release_gone"
    LOG_UNAVAILABLE = "log_unavailable"
    STOPPING = "stopping"
    TARGET_REFUSED = "target_refused"
    TARGET_LOST = "target_lost"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


HTTP_STATUS: dict[Reason, http.HTTPStatus] = {
    Reason.MALFORMED: http.HTTPStatus.BAD_REQUEST,
    Reason.TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.UNAUTHENTICATED: http.HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_PATH: http.HTTPStatus.NOT_FOUND,
    Reason.NO_CONFIG: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.KEY_REQUIRED: http.HTTPStatus.BAD_REQUEST,
    Reason.KEY_IN_USE: http.HTTPStatus.CONFLICT,
    Reason.KEY_EXPIRED: http.HTTPStatus.GONE,
    Reason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.SHED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.QUOTA: http.HTTPStatus.TOO_MANY_REQUESTS,
    Reason.DEADLINE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_TARGET: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.CRASHED_TARGETS: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.ORIGIN_UNKNOWN: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.RELEASE_GONE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.QUARANTINED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.LOG_UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.STOPPING: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.TARGET_REFUSED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.TARGET_LOST: http.HTTPStatus.BAD_GATEWAY,
    Reason.CALLER_GONE: http.HTTPStatus.REQUEST_TIMEOUT,
    Reason.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
}


@dataclass(frozen=True)
class Refusal:
    """A final error response that the scheduler, not the target, produced.

    Attributes
    ----------
    outcome : RequestState
        NOT_RUN, MAY_HAVE_RUN or FAILED.
    reason : Reason
        Why the request was refused or failed.
    detail : str
        One human-readable sentence.
    retry_after_s : float or None
        Delay after which the caller may retry, in seconds; None if a retry
        can't succeed.
    decided_by : str
        Allocator that decided, or `OWN_SHARE`; empty if it needs no allocator. For
        the log only.
    """

    outcome: RequestState
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    decided_by: str = ""


def refuse(reason: Reason, detail: str, retry_after_s: float | None = None) -> Refusal:
    """Return the refusal of a request that did not run.

    Parameters
    ----------
    reason : Reason
        Why the request is refused.
    detail : str
        One human-readable sentence.
    retry_after_s : float or None, default=None
        Delay after which the caller may retry, in seconds.
    """
    return Refusal(RequestState.NOT_RUN, reason, detail, retry_after_s)
