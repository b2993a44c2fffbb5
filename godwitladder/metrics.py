"""Counters and histograms of one host, rendered for ``/metrics``."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render


class Metrics:
    """All metrics of one host, each a public attribute."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests_total", "Requests by outcome")
        self.sheds = self._counter("sheds_total", "Requests shed under overload")
        self.claims = self._counter("claims_total", "Claims by verdict")
        self.grants = self._counter("grants_total", "Grants by fate")
        self.wasted_prefill = self._counter(
            "wasted_prefill_tokens_total", "Prompt tokens processed for nothing"
        )
        self.config_offset = self._gauge("config_offset", "Offset in force")
        self.control_bytes = self._gauge(
            "control_bytes", "Bytes of messages between hosts so far, by direction"
        )
        self.links = self._gauge("peer_links", "Links to other hosts that are up")
        self.waiting = self._gauge("requests_waiting", "Requests waiting")
        self.running = self._gauge("requests_running", "Requests running")
        self.queue_wait = self._histogram("queue_wait_seconds", "Wait for a target")
        self.first_token = self._histogram(
            "first_token_seconds", "Arrival to first token"
        )

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"godwitladder_{name}", text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"godwitladder_{name}", text, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(f"godwitladder_{name}", text, registry=self.registry)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of the text exposition format."""
        return render(self.registry, ["text/plain"])
