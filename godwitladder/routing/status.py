"""The operators' endpoint for the metrics and status of a host."""

import json
from collections.abc import Mapping


class StatusApp:
    """Serves ``/metrics`` and ``/v1/status``, which contain no caller's data.

    Parameters
    ----------
    host : RoutingHost
        The host to report on.
    """

    def __init__(self, host) -> None:
        self.host = host

    def __call__(self, environ: Mapping, start_response) -> list[bytes]:
        """Answer one request (WSGI)."""
        path = environ["PATH_INFO"]
        if path == "/metrics":
            body, headers = self.host.metrics.render()
            start_response("200 OK", list(headers.items()))
            return [body]
        if path == "/v1/status":
            body = json.dumps(self.status()).encode()
            kind = [("Content-Type", "application/json")]
            start_response("200 OK", kind)
            return [body]
        start_response("404 Not Found", [("Content-Length", "0")])
        return []

    def status(self) -> dict:
        """Return the status of this host as a JSON-serializable dict."""
        host = self.host
        refused = host.source.refused.newest
        return {
            "host": host.settings.host,
            "ready": host.ready(),
            "stopping": host.stopping.is_set(),
            "fleet": host.feed.fleet.fleet,
            "version": host.app.in_force.document.version,
            "store_version": host.feed.store_version,
            "refused_document": None if refused is None else vars(refused),
            "age_s": host.feed.age_s(),
            "confirmed_by": host.freshness.confirmed_by,
            "store_reachable": host.feed.reachable,
            "store_places": {
                "documents": vars(host.feed.document_place),
                "entries": vars(host.feed.entry_place),
            },
            "hosts": list(host.hosts),
            "reading_order": list(host.feed.hosts),
            "targets": {
                row.name: "leaving" if row.leaving else "active"
                for row in host.feed.table.entries.values()
            },
            "open_calls": host.app.open_calls,
            "open_connections": host.count_connections(),
        }
