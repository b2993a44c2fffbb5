"""The WSGI applications for routed calls and for readiness probes."""

import hashlib
import random
import secrets
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.decisions.placing.stream_origins import StreamName, StreamOrigin
from godwitladder.decisions.waiting.admission import Flow
from godwitladder.ids import (
    AttemptId,
    BodyDigest,
    Release,
    RequestId,
    ServiceName,
    StreamId,
    WorkspaceName,
)
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, refuse
from godwitladder.quarantine.traits import RequestTraits, make_traits
from godwitladder.routing.calls import (
    CallMetadata,
    HeaderCodec,
    Headers,
    PromptPart,
    RoutedCall,
    part_names,
)
from godwitladder.routing.freshness import DocumentFreshness, DocumentTrust
from godwitladder.routing.matching import RouteTable, choose_split, parse_host_header
from godwitladder.routing.model import (
    Route,
    RoutedService,
    RoutedWorkspace,
    RouteKind,
    RoutingDocument,
    TokenQuota,
)
from godwitladder.scheduler.gate import AdmissionGate
from godwitladder.scheduler.rows import RequestRow
from godwitladder.scheduler.systems import RELEASE_GONE_TEXT
from godwitladder.serving.answers import internal_fault
from godwitladder.serving.auth import key_digest
from godwitladder.serving.calls import CallRefused
from godwitladder.serving.counting import CountedApp
from godwitladder.serving.listener import limit_writes
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.proxying import STOPPING_REFUSAL, RoutedProxy
from godwitladder.serving.request_bodies import read_whole_body

log = component_logger("routing")

ROUTE_RANK_WEIGHT = 2
"""Factor of a route's rank in the combined rank; a workspace's rank counts once."""
NO_CONFIG_RETRY_S = 0.5
"""Retry-After, in seconds, while no current document is known; the next read
of the store is due within this time."""
MIN_SILENCE_S, TTFT_MULTIPLE, GAP_MULTIPLE = 2.0, 4.0, 8.0
"""Callers abandon a stream after a silence of the longest of: this minimum in
seconds, TTFT_MULTIPLE times the route's latency objective, and GAP_MULTIPLE times
its longest pause between events. The values follow what users state about their
callers."""
UNBOUNDED = 1 << 30
MAX_START_FRACTION = 0.7
"""Fraction of the caller's waiting time within which its call has to start. The
rest is left for prefill, or for the work of a plain service."""
FULL_RETRY_S = 0.5
"""Retry-After of a host whose threads are all busy. Another host probably has a
free thread at once; this one has when a call ends."""
ANY_RELEASE = Release("")
ORIGIN_UNKNOWN_TEXT = "It is not known here at which version the stream began."
ORIGIN_RETRY_S = 0.5
"""Retry-After, in seconds, of a stream of unknown origin; another host may know it."""
NO_WORKSPACE = RoutedWorkspace(WorkspaceName(""))
NO_SERVICE = RoutedService(ServiceName(""))


@dataclass(frozen=True)
class IndexedDocument:
    """A routing document with its routes indexed for look-up."""

    document: RoutingDocument
    routes: RouteTable


def index_document(document: RoutingDocument) -> IndexedDocument:
    """Return ``document`` with its routes indexed for look-up."""
    return IndexedDocument(document, RouteTable(document.routes))


class RoutedApp(CountedApp):
    """Serves callers by the routes of the active document.

    Parameters
    ----------
    codec : HeaderCodec
        Reads and writes the headers of this platform.
    proxy : RoutedProxy
        Dispatches calls to targets.
    freshness : DocumentFreshness
        Tells whether the document may still be used.
    clock : Clock
        Time source.
    metrics : Metrics
        Counts the refused calls.
    max_open_calls : int
        Limit on open calls. A few threads beyond it refuse the remaining calls.
    gate : AdmissionGate or None
        Refuses calls before an allocator is asked; None admits all.

    Attributes
    ----------
    in_force : IndexedDocument
        The active document, always replaced as a whole.
    refusing : bool
        Whether new calls are refused because the host is about to stop.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        proxy: RoutedProxy,
        freshness: DocumentFreshness,
        clock: Clock,
        metrics: Metrics,
        max_open_calls: int = UNBOUNDED,
        gate: AdmissionGate | None = None,
    ) -> None:
        super().__init__()
        self.max_open_calls = max_open_calls
        self.gate = gate or AdmissionGate()
        self.codec = codec
        self.proxy = proxy
        self.freshness = freshness
        self.clock = clock
        self.metrics = metrics
        self.in_force = index_document(RoutingDocument())
        self.refusing = False

    def answer(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one request, or refuse it with the reason."""
        headers = read_headers(environ)
        metadata = self.codec.read_call(headers)
        try:
            call = self.parse_call(environ, headers, metadata)
        except CallRefused as error:
            return self.refuse_call(error, metadata, start_response)
        except Exception:
            log.exception(
                "A call could not be parsed", extra={"request": metadata.attempt}
            )
            return answer_problem(start_response, internal_fault())
        limit_writes(environ, call.deadline)
        gone = environ.get("waitress.client_disconnected", lambda: False)
        return self.proxy.serve(call, gone, start_response)

    def refuse_call(
        self, error: CallRefused, metadata: CallMetadata, start_response
    ) -> Iterable[bytes]:
        """Refuse a call that has not reached the scheduler."""
        refusal = error.refusal
        self.metrics.count_refused_call(refusal.reason)
        extra = {
            "request": metadata.attempt,
            "reason": refusal.reason.value,
            "detail": refusal.detail,
            "version": self.in_force.document.version,
            "age_s": round(self.freshness.age_s(self.clock.boottime()), 3),
            "confirmed_by": self.freshness.confirmed_by,
            "retry_after_s": refusal.retry_after_s,
        }
        log.info("A call was turned away", extra=extra)
        return answer_problem(start_response, refusal, exact=True)

    def parse_call(
        self, environ: Mapping, headers: Headers, metadata: CallMetadata
    ) -> RoutedCall:
        """Return the call in a request.

        Raises
        ------
        CallRefused
            No route matches, the key is not valid, the body is too large, the
            call is not admitted, its stream can't go on, targets crashed under it,
            the host is stopping or at its limit, or the document is missing or too
            old.
        """
        # Before the document is looked up: a confirmation that comes between the two
        # would hold for a later document.
        trust = self.freshness.trust(self.clock.boottime())
        in_force = self.in_force
        document = in_force.document
        if self.refusing:
            raise CallRefused(STOPPING_REFUSAL)
        # With all threads busy, a call would wait in the socket's queue, and its
        # caller would get no answer until its deadline.
        if self.open_calls > self.max_open_calls:
            raise _refused(Reason.SHED, "This host is full.", FULL_RETRY_S)
        if document.version < 0:
            raise _refused(Reason.NO_CONFIG, "No document is known.", NO_CONFIG_RETRY_S)
        path = environ.get("REQUEST_URI") or environ["PATH_INFO"]
        route = in_force.routes.find(
            parse_host_header(environ.get("HTTP_HOST", "")), path.partition("?")[0]
        )
        if route is None:
            # An outdated document may lack a route that has been added since.
            self.require_current(trust.may_deny)
            raise _refused(Reason.UNKNOWN_PATH, "No route leads there.")
        workspace = self.find_workspace(document, route, metadata, trust)
        body = self.read_body(environ, document.limits.body_bytes, trust)
        digest = digest_call(workspace.name, path, body)
        origin = self.find_origin(route, metadata, digest)
        service = origin.service
        self.check_admission((service, workspace.name), metadata)
        parts = part_names(metadata)
        traits = make_traits(digest, workspace.name, service, parts)
        refusal = self.proxy.quarantine.refusal(traits)
        if refusal is not None:
            raise CallRefused(refusal)
        return self.make_call(
            environ["REQUEST_METHOD"],
            path,
            headers,
            metadata,
            route,
            service,
            workspace,
            body,
            traits,
            origin.release,
        )

    def find_origin(
        self, route: Route, metadata: CallMetadata, digest: BodyDigest
    ) -> StreamOrigin:
        """Return the service of a call, and the version at which its stream began.

        The version is empty for a new call.

        Raises
        ------
        CallRefused
            The call takes a stream up of which nobody knows where it began, or whose
            service the route no longer leads to.
        """
        service = choose_split(route.splits, random.random()).service
        if not (route.resumable and metadata.last_event):
            return StreamOrigin(service, ANY_RELEASE)
        stream = StreamName(AttemptId(metadata.resumes), digest)
        origin = self.proxy.origins.find(service, stream, route.timeout_s)
        if origin is None:
            raise _refused(Reason.ORIGIN_UNKNOWN, ORIGIN_UNKNOWN_TEXT, ORIGIN_RETRY_S)
        if origin.service not in {split.service for split in route.splits}:
            raise _refused(Reason.RELEASE_GONE, RELEASE_GONE_TEXT)
        return origin

    def check_admission(self, flow: Flow, metadata: CallMetadata) -> None:
        """Refuse a call that the allocator would probably not serve.

        Raises
        ------
        CallRefused
            The admission gate refuses the call.
        """
        now = self.clock.monotonic()
        name = RequestId(metadata.attempt)
        refusal = self.gate.refusal(flow, name, random.random(), now)
        if refusal is not None:
            raise CallRefused(refusal)

    def require_current(self, current: bool) -> None:
        """Refuse a call that can't be decided with an outdated document.

        Raises
        ------
        CallRefused
            The document is not known to be the newest.
        """
        if not current:
            text = "The document in force is not known to be the newest."
            raise _refused(Reason.NO_CONFIG, text, NO_CONFIG_RETRY_S)

    def read_body(
        self, environ: Mapping, max_bytes: int, trust: DocumentTrust
    ) -> bytes:
        """Return the body of a request.

        Raises
        ------
        CallRefused
            The body has more than ``max_bytes`` bytes, or the document that says so is
            too old.
        """
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > max_bytes:
            self.require_current(trust.may_deny)
            raise _refused(Reason.TOO_LARGE, f"A body of {length} bytes is too large.")
        return read_whole_body(environ)

    def find_workspace(
        self,
        document: RoutingDocument,
        route: Route,
        metadata: CallMetadata,
        trust: DocumentTrust,
    ) -> RoutedWorkspace:
        """Return the workspace that the call's bearer key belongs to.

        A key may have been revoked since the document was last confirmed to be
        the newest, so no key is accepted once that is too long ago. A key may have been
        added since, so none is said to be unknown by an outdated document.

        Raises
        ------
        CallRefused
            The key is missing or unknown, or the document is too old.
        """
        if route.public or not document.requires_keys:
            return NO_WORKSPACE
        self.require_current(trust.accepts_keys)
        workspace = document.workspace_of.get(key_digest(metadata.key))
        if not metadata.key or workspace is None:
            self.require_current(trust.may_deny)
            raise _refused(Reason.UNAUTHENTICATED, "The bearer key is not known.")
        return workspace

    def make_call(
        self,
        method: str,
        path: str,
        headers: Headers,
        metadata: CallMetadata,
        route: Route,
        service: ServiceName,
        workspace: RoutedWorkspace,
        body: bytes,
        traits: RequestTraits,
        release: Release,
    ) -> RoutedCall:
        """Return the call with its row for the scheduler's table."""
        now = self.clock.monotonic()
        wait_s = min(metadata.wait_s or route.timeout_s, route.timeout_s)
        routed_service = self.in_force.document.services.get(service, NO_SERVICE)
        identity = secrets.token_hex(8)
        row = RequestRow(
            request=RequestId(identity),
            stream=StreamId(identity),
            workspace=workspace.name,
            service=service,
            tier_rank=combine_ranks(workspace, route),
            prompt_tokens=metadata.prompt_tokens,
            declared_tokens=metadata.output_tokens,
            arrived=now,
            deadline=now + wait_s,
            idempotent=may_rerun(route),
            body=traits.digest,
            prefix=shared_prefix_name(metadata.parts),
        )
        row.start_by = now + start_within_s(route, wait_s)
        if route.ttft_budget_s:
            row.ttft_deadline = now + route.ttft_budget_s
        row.gap_s, row.event_tokens = route.gap_s, routed_service.event_tokens
        row.charge = quota_charge(metadata, workspace.quota)
        row.release, row.route = release, route.name
        return RoutedCall(
            row=row,
            route=route,
            metadata=metadata,
            method=method,
            path=path,
            headers=headers,
            body=body,
            workspace=workspace.name,
            deadline=row.deadline,
            traits=traits,
            event_tokens=routed_service.event_tokens,
        )


def combine_ranks(workspace: RoutedWorkspace, route: Route) -> int:
    """Return the rank of a call; lower ranks are served first.

    The route's rank counts most. Between calls with the same route rank, the
    workspace with the lower rank goes first. If the workspace's rank alone counted,
    the longest requests of one workspace would wait behind the least important
    requests of another.
    """
    return ROUTE_RANK_WEIGHT * route.rank + (workspace.rank or 0)


def start_within_s(route: Route, wait_s: float) -> float:
    """Return the seconds within which a call has to start to be useful.

    The caller of a stream disconnects after a long silence, which also applies
    before the first event.
    """
    if route.kind is RouteKind.STREAM:
        silence_s = max(
            MIN_SILENCE_S,
            TTFT_MULTIPLE * route.ttft_budget_s,
            GAP_MULTIPLE * route.gap_s,
        )
        wait_s = min(wait_s, silence_s)
    return wait_s * MAX_START_FRACTION


def may_rerun(route: Route) -> bool:
    """Return whether a request of this route may run more than once."""
    return route.kind is RouteKind.IDEMPOTENT or route.resumable


def shared_prefix_name(parts: Sequence[PromptPart]) -> str:
    """Return the name of the last prompt part that other requests may share.

    The last part is unique to the request, so this is the one before it; empty if
    there is none. A target that has this part in its prefix cache also has all
    parts before it.
    """
    return parts[-2].name if len(parts) > 1 else ""


def quota_charge(metadata: CallMetadata, quota: TokenQuota) -> int:
    """Return the tokens that a request is charged to its workspace's quota."""
    return metadata.prompt_tokens + metadata.output_tokens or quota.default_tokens


def digest_call(workspace: str, path: str, body: bytes) -> BodyDigest:
    """Return the digest by which a repeated call is recognized."""
    digest = hashlib.blake2b(f"{workspace}\n{path}\n".encode(), digest_size=12)
    digest.update(body)
    return BodyDigest(digest.hexdigest())


def read_headers(environ: Mapping) -> Headers:
    """Return the headers of a WSGI request."""
    rows = [
        (key[5:].replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        rows.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(rows)


def _refused(
    reason: Reason, text: str, retry_after_s: float | None = None
) -> CallRefused:
    return CallRefused(refuse(reason, text, retry_after_s))


class ReadinessApp:
    """Answers the readiness probes of the load balancer.

    Parameters
    ----------
    ready : callable
        Returns whether the host is ready; called at each probe.
    """

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready

    def __call__(self, environ: Mapping, start_response) -> list[bytes]:
        """Answer one probe (WSGI)."""
        status = "200 OK" if self.ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []
