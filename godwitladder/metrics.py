"""Counters, gauges and histograms of one host, rendered for ``/metrics``."""

import threading

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from godwitladder.outcomes import Reason, RequestState
from godwitladder.process.resources import LimitedResource, read_resource_use

# The collectors of aioprometheus are not thread-safe: they update a value by
# reading and writing it, and iterate over label sets while rendering. Without a
# lock, concurrent updates are lost, and a label set that is added during a
# scrape makes the scrape fail.
LOCK = threading.RLock()


class LockedCounter(Counter):
    """Thread-safe counter."""

    def add(self, labels: dict, value: float) -> None:
        """Add ``value``."""
        with LOCK:
            super().add(labels, value)


class LockedGauge(Gauge):
    """Thread-safe gauge."""

    def set(self, labels: dict, value: float) -> None:
        """Set the gauge to ``value``."""
        with LOCK:
            super().set(labels, value)


class LockedHistogram(Histogram):
    """Thread-safe histogram."""

    def add(self, labels: dict, value: float) -> None:
        """Add one observation."""
        with LOCK:
            super().add(labels, value)

    observe = add


class Metrics:
    """All metrics of one host; each metric is a public attribute."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests_total", "Requests by rank and outcome")
        self.refusals = self._counter("refusals_total", "Calls turned away by reason")
        self.sheds = self._counter("sheds_total", "Requests shed under overload")
        self.claims = self._counter("claims_total", "Claims by verdict")
        self.grants = self._counter("grants_total", "Grants by fate")
        self.allocator_restarts = self._counter(
            "allocator_restarts_total", "Allocator roles that failed and began anew"
        )
        self.failed_turns = self._counter(
            "failed_turns_total", "Turns of loops that failed unexpectedly, by part"
        )
        self.wasted_prefill = self._counter(
            "wasted_prefill_tokens_total", "Prompt tokens processed for nothing"
        )
        self.config_offset = self._gauge("config_offset", "Offset in force")
        self.refused_documents = self._counter(
            "refused_documents_total", "Routing documents that were not valid"
        )
        self.log_reachable = self._gauge(
            "log_reachable", "1 while the log answers this host, else 0"
        )
        self.config_following = self._gauge(
            "config_following", "1 while each record of the log is replayed, else 0"
        )
        self.control_bytes = self._gauge(
            "control_bytes", "Bytes of messages between hosts so far, by direction"
        )
        self.peer_links = self._gauge("peer_links", "Links to other hosts that are up")
        self.refused_peers = self._counter(
            "refused_peers_total", "Links refused, by reason"
        )
        self.lost_paths = self._gauge(
            "lost_paths", "Targets to which the last direct connection failed"
        )
        self.tunnels = self._counter(
            "tunnels_total", "Rounds of gateways asked for a tunnel, by outcome"
        )
        self.gateway_tunnels = self._gauge(
            "gateway_tunnels", "Tunnels of other hosts through this one"
        )
        self.connections = self._counter(
            "connections_total", "New connections of callers by what became of them"
        )
        self.process_use = self._gauge(
            "process_use", "What the process uses of a resource that may be limited"
        )
        self.process_limit = self._gauge(
            "process_limit", "Limits of the process; none for what is not limited"
        )
        self.rollout_answers = self._counter(
            "rollout_answers_total", "Answers during rollouts by service and version"
        )
        self.rollout_grants = self._counter(
            "rollout_grants_total", "Requests sent to versions on trial"
        )
        self.malformed_answers = self._counter(
            "malformed_answers_total", "Malformed answers of targets by shape"
        )
        self.waiting = self._gauge("requests_waiting", "Requests waiting")
        self.running = self._gauge("requests_running", "Requests running")
        self.queue_wait = self._histogram("queue_wait_seconds", "Wait for a target")
        self.first_token = self._histogram(
            "first_token_seconds", "Arrival to first token"
        )

    def _counter(self, name: str, text: str) -> Counter:
        return LockedCounter(f"godwitladder_{name}", text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return LockedGauge(f"godwitladder_{name}", text, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return LockedHistogram(f"godwitladder_{name}", text, registry=self.registry)

    def count_request(self, rank: int, state: RequestState) -> None:
        """Count a request that has ended."""
        self.requests.inc({"rank": str(rank), "outcome": state.value})

    def count_refused_request(self, rank: int, reason: Reason) -> None:
        """Count a request that was refused while it was queued."""
        self.count_request(rank, RequestState.NOT_RUN)
        if reason in (Reason.SHED, Reason.DEADLINE, Reason.NO_TARGET):
            self.sheds.inc({"rank": str(rank), "reason": reason.value})

    def count_refused_call(self, reason: Reason) -> None:
        """Count a call that was refused before it was queued as a request."""
        self.refusals.inc({"reason": reason.value})

    def read_process(self) -> None:
        """Read what the process uses, and its limits, which may have been changed."""
        use = read_resource_use()
        for resource in LimitedResource:
            labels = {"resource": resource.value}
            used, limit = use.pair(resource)
            if used is not None:
                self.process_use.set(labels, used)
            if limit is not None:
                self.process_limit.set(labels, limit)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the Prometheus text format, and its HTTP headers."""
        self.read_process()
        with LOCK:
            return render(self.registry, ["text/plain"])
