"""Calls to a host whose threads are all busy."""

import json

from godwitladder.clock import ManualClock
from godwitladder.metrics import Metrics
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.routing.app import RoutedApp
from godwitladder.routing.freshness import DocumentFreshness


def test_a_call_beyond_the_limit_is_refused_at_once_as_not_run():
    """Guards against a call that waits without an answer while all threads are busy.

    The call must be refused at once, with an outcome that says that it did not run
    and with a Retry-After, and must not be counted as open. After another call has
    ended, the next one must be parsed.
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
    """Return the status, headers and body of the answer to one call."""
    responses = []
    environ = {"REQUEST_METHOD": "POST", "PATH_INFO": "/a/x", "HTTP_HOST": "h"}
    answer = app(environ, lambda status, headers: responses.append((status, headers)))
    body = json.loads(b"".join(answer))
    answer.close()
    status, headers = responses[0]
    return status, dict(headers), body
