"""The WSGI application for routed calls, and the one that tells readiness."""

import random
import secrets
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.decisions.admission import Flow
from godwitladder.ids import (
    BodyDigest,
    RequestId,
    ServiceName,
    StreamId,
    WorkspaceName,
)
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, refuse
from godwitladder.routing.calls import (
    CallMetadata,
    HeaderCodec,
    Headers,
    PromptPart,
    RoutedCall,
)
from godwitladder.routing.freshness import DocumentFreshness
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
from godwitladder.serving.answers import internal_fault
from godwitladder.serving.auth import key_digest
from godwitladder.serving.calls import CallRefused
from godwitladder.serving.counting import CountedApp
from godwitladder.serving.losses import digest_call
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.proxying import RoutedProxy

log = component_logger("routing")

ROUTE_RANK_WEIGHT = 2
"""Ranks of workspaces that weigh as much as one rank of routes."""
UNKNOWN_RETRY_S = 0.5
"""A host without a document, or with one that is too old, asks again so soon:
a read of the store is due within that time."""
LEAST_SILENCE_S, AIMS, GAPS = 2.0, 4.0, 8.0
"""Callers leave a stream after the longest of this silence and these multiples
of the route's aim and of its longest pause: what the users say of theirs."""
UNBOUNDED = 1 << 30
MAX_START_FRACTION = 0.7
"""Part of a caller's patience in which its call has to start; the rest is for
the prompt to be read, or for the work of a plain service."""
FULL_RETRY_S = 0.5
"""Another host is likely to have room at once; this one has when a call ends."""
STOPPING_RETRY_S = 0.1
"""Another host can take the call at once."""
NO_WORKSPACE = RoutedWorkspace(WorkspaceName(""))
NO_SERVICE = RoutedService(ServiceName(""))


@dataclass(frozen=True)
class IndexedDocument:
    """A document with its routes sorted for look-ups."""

    document: RoutingDocument
    routes: RouteTable


def index_document(document: RoutingDocument) -> IndexedDocument:
    """Return ``document`` ready for use."""
    return IndexedDocument(document, RouteTable(document.routes))


class RoutedApp(CountedApp):
    """Serves callers by the routes of the document in force.

    Parameters
    ----------
    form : HeaderCodec
        Names of headers on this platform.
    passer : Passer
        Sends calls on.
    currency : Currency
        How long the document may be used.
    max_open_calls : int
        Calls that may be open at once; some threads beyond them refuse the rest.
    gate : AdmissionGate or None
        Which calls are worth asking an allocator for; None for all.

    Attributes
    ----------
    in_force : IndexedDocument
        Replaced as a whole.
    refusing : bool
        Whether new calls are turned away, since the host is about to stop.
    """

    def __init__(
        self,
        form: HeaderCodec,
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
        self.form = form
        self.proxy = proxy
        self.freshness = freshness
        self.clock = clock
        self.metrics = metrics
        self.in_force = index_document(RoutingDocument())
        self.refusing = False

    def answer(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one request, or say why not."""
        headers = read_headers(environ)
        facts = self.form.read_call(headers)
        try:
            call = self.read(environ, headers, facts)
        except CallRefused as error:
            return self.turn_away(error, facts, start_response)
        except Exception:
            log.exception("A call can't be read", extra={"request": facts.attempt})
            return answer_problem(start_response, internal_fault())
        gone = environ.get("waitress.client_disconnected", lambda: False)
        return self.proxy.serve(call, gone, start_response)

    def turn_away(
        self, error: CallRefused, facts: CallMetadata, start_response
    ) -> Iterable[bytes]:
        """Refuse a call that has not reached the scheduler."""
        refusal = error.refusal
        self.metrics.count_refused_call(refusal.reason)
        extra = {
            "request": facts.attempt,
            "reason": refusal.reason.value,
            "detail": refusal.detail,
            "version": self.in_force.document.version,
            "age_s": round(self.freshness.age_s(self.clock.boottime()), 3),
            "retry_after_s": refusal.retry_after_s,
        }
        log.info("A call was turned away", extra=extra)
        return answer_problem(start_response, refusal, exact=True)

    def read(
        self, environ: Mapping, headers: Headers, facts: CallMetadata
    ) -> RoutedCall:
        """Return the call in a request.

        Raises
        ------
        CallRefused
            No route, no key, or nothing known that could tell.
        """
        in_force = self.in_force
        document = in_force.document
        if self.refusing:
            raise _refused(Reason.STOPPING, "This host is stopping.", STOPPING_RETRY_S)
        # Without a thread left a call would wait unread, and its caller would
        # be told nothing until its time is up.
        if self.open_calls > self.max_open_calls:
            raise _refused(Reason.SHED, "This host is full.", FULL_RETRY_S)
        if document.version < 0:
            raise _refused(Reason.NO_CONFIG, "No document is known.", UNKNOWN_RETRY_S)
        path = environ.get("REQUEST_URI") or environ["PATH_INFO"]
        route = in_force.routes.find(
            parse_host_header(environ.get("HTTP_HOST", "")), path.partition("?")[0]
        )
        current = self.freshness.is_fresh(self.clock.boottime())
        if route is None:
            # An older document may lack a route that is there by now.
            self.need_current(current)
            raise _refused(Reason.UNKNOWN_PATH, "No route leads there.")
        workspace = self.find_workspace(document, route, facts, current)
        service = choose_split(route.splits, random.random()).service
        self.need_open((service, workspace.name), facts)
        body = read_body(environ, document.limits.body_bytes)
        digest = digest_call(workspace.name, path, body)
        held_s = self.proxy.losses.held_s(digest)
        if held_s > 0:
            text = "Several targets lost the answer to this call."
            raise _refused(Reason.LOST_BEFORE, text, held_s)
        return self.make_call(
            environ["REQUEST_METHOD"],
            path,
            headers,
            facts,
            route,
            service,
            workspace,
            body,
            digest,
        )

    def need_open(self, flow: Flow, facts: CallMetadata) -> None:
        """Refuse a call that the allocator would hardly serve."""
        now = self.clock.monotonic()
        name = RequestId(facts.attempt)
        refusal = self.gate.refusal(flow, name, random.random(), now)
        if refusal is not None:
            raise CallRefused(refusal)

    def need_current(self, current: bool) -> None:
        """Refuse what can't be told from a document that is too old."""
        if not current:
            text = "The document in force is not known to be the newest."
            raise _refused(Reason.NO_CONFIG, text, UNKNOWN_RETRY_S)

    def find_workspace(
        self,
        document: RoutingDocument,
        route: Route,
        facts: CallMetadata,
        current: bool,
    ) -> RoutedWorkspace:
        """Return whose key a call bears.

        A key may have been taken away since the document was last proved to
        be the newest; beyond a bound it is believed no more.
        """
        if route.public or not document.requires_keys:
            return NO_WORKSPACE
        self.need_current(current)
        workspace = document.workspace_of.get(key_digest(facts.key))
        if not facts.key or workspace is None:
            raise _refused(Reason.UNAUTHENTICATED, "The bearer key is not known.")
        return workspace

    def make_call(
        self,
        method: str,
        path: str,
        headers: Headers,
        facts: CallMetadata,
        route: Route,
        service: ServiceName,
        workspace: RoutedWorkspace,
        body: bytes,
        digest: BodyDigest,
    ) -> RoutedCall:
        """Return a call with its row."""
        now = self.clock.monotonic()
        wait_s = min(facts.wait_s or route.timeout_s, route.timeout_s)
        known = self.in_force.document.services.get(service, NO_SERVICE)
        identity = secrets.token_hex(8)
        row = RequestRow(
            request=RequestId(identity),
            stream=StreamId(identity),
            workspace=workspace.name,
            service=service,
            tier_rank=rank_of(workspace, route),
            prompt_tokens=facts.prompt_tokens,
            declared_tokens=facts.output_tokens,
            arrived=now,
            deadline=now + wait_s,
            idempotent=may_repeat(route),
            body=digest,
            prefix=shared_prefix_name(facts.parts),
        )
        row.start_by = now + start_within_s(route, wait_s)
        if route.ttft_budget_s:
            row.ttft_deadline = now + route.ttft_budget_s
        row.gap_s, row.event_tokens = route.gap_s, known.event_tokens
        row.charge = charge_of(facts, workspace.quota)
        return RoutedCall(
            row=row,
            route=route,
            metadata=facts,
            method=method,
            path=path,
            headers=headers,
            body=body,
            workspace=workspace.name,
            deadline=row.deadline,
            event_tokens=known.event_tokens,
        )


def rank_of(workspace: RoutedWorkspace, route: Route) -> int:
    """Return the rank: the route's, put back by the workspace's.

    On one route a workspace of a higher rank goes first. Ordered by workspace
    alone, the longest letters of one wait behind the least of another's requests.
    """
    return ROUTE_RANK_WEIGHT * route.rank + (workspace.rank or 0)


def start_within_s(route: Route, wait_s: float) -> float:
    """Return the seconds in which a call has to start to be of use.

    A caller leaves a stream after a silence, before its first event too.
    """
    if route.kind is RouteKind.STREAM:
        silence_s = max(LEAST_SILENCE_S, AIMS * route.ttft_budget_s, GAPS * route.gap_s)
        wait_s = min(wait_s, silence_s)
    return wait_s * MAX_START_FRACTION


def may_repeat(route: Route) -> bool:
    """Return whether a request may run more than once."""
    return route.kind is RouteKind.IDEMPOTENT or route.resumable


def shared_prefix_name(parts: Sequence[PromptPart]) -> str:
    """Return by what the start of a prompt is known that others have too.

    The last part belongs to the request alone. A target that keeps the part before
    it keeps all before that one as well.
    """
    return parts[-2].name if len(parts) > 1 else ""


def charge_of(facts: CallMetadata, quota: TokenQuota) -> int:
    """Return the tokens that a request counts for in its workspace's quota."""
    return facts.prompt_tokens + facts.output_tokens or quota.default_tokens


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


def read_body(environ: Mapping, most: int) -> bytes:
    """Return the body of a request.

    Raises
    ------
    CallRefused
        It has more than ``most`` bytes.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > most:
        raise _refused(Reason.TOO_LARGE, f"A body of {length} bytes is too large.")
    return environ["wsgi.input"].read(length) if length else b""


def _refused(
    reason: Reason, text: str, retry_after_s: float | None = None
) -> CallRefused:
    return CallRefused(refuse(reason, text, retry_after_s))


class ReadinessApp:
    """Tells the balancer whether to send callers here.

    Parameters
    ----------
    ready : callable
        Asked at each look.
    """

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready

    def __call__(self, environ: Mapping, start_response) -> list[bytes]:
        """Answer one look (WSGI)."""
        status = "200 OK" if self.ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []
