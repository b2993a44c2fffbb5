"""A host whose threads all serve calls."""

import json

from godwitladder.clock import ManualClock
from godwitladder.metrics import Metrics
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.routing.app import RoutedApp
from godwitladder.routing.freshness import DocumentFreshness


def test_a_call_beyond_the_threads_is_refused_at_once_and_truly():
    """More callers are being served than the host may have threads for.

    The next one is told at once that nothing ran and when to come back, and
    doesn't count as served; one that comes when there is room again is read.
    """
    app = RoutedApp(
        PlatformHeaders(),
        None,
        DocumentFreshness(5.0),
        ManualClock(),
        Metrics(),
        max_open_calls=2,
    )
    app.open_calls = 2
    status, headers, body = ask(app)
    assert status.startswith("503")
    assert float(headers["Retry-After"]) > 0
    assert body["outcome"] == "not_run"
    assert body["reason"] == "shed"
    assert app.open_calls == 2
    app.open_calls = 1
    assert ask(app)[2]["reason"] == "no_config"


def ask(app):
    """Return status, headers and body of the answer to one call."""
    heads = []
    environ = {"REQUEST_METHOD": "POST", "PATH_INFO": "/a/x", "HTTP_HOST": "h"}
    answer = app(environ, lambda status, headers: heads.append((status, headers)))
    body = json.loads(b"".join(answer))
    answer.close()
    status, headers = heads[0]
    return status, dict(headers), body
