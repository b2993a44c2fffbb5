"""When a host says that callers may be sent to it."""

from types import SimpleNamespace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.routing.daemon import CRASHES_TIMEOUT_S, RoutingHost


@pytest.mark.parametrize(
    ("is_read", "waited_s", "expected"),
    [
        (False, 0.5, False),
        (True, 0.5, True),
        (False, CRASHES_TIMEOUT_S + 0.5, True),
    ],
)
def test_a_host_that_starts_reads_the_recorded_crashes_first(
    is_read, waited_s, expected
):
    """Guards against sends by a host that does not know yet what crashes targets.

    A store that stays away keeps no host from serving.
    """
    clock = ManualClock()
    host = SimpleNamespace(
        app=SimpleNamespace(
            in_force=SimpleNamespace(document=SimpleNamespace(version=1))
        ),
        freshness=SimpleNamespace(is_fresh=lambda now: True),
        clock=clock,
        started=clock.monotonic() - waited_s,
        peer_discovery_done=lambda: True,
        crash_recorder=SimpleNamespace(is_read=is_read),
        caller_server=object(),
        stopping=SimpleNamespace(is_set=lambda: False),
    )
    host.has_read_crashes = lambda: RoutingHost.has_read_crashes(host)
    assert RoutingHost.ready(host) is expected
