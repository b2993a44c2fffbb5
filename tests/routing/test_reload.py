"""A settings file that changes while the host runs."""

from functools import partial
from types import SimpleNamespace

import pytest

from godwitladder.routing.daemon import RoutingHost, read_text

TEXT = """
host = "h1"
zone = "a"
region = "r"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
operators = "127.0.0.1:3"
peers = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[peers]
secret = "shared"
[bounds]
revoke_s = {revoke_s}
"""


@pytest.fixture
def host(tmp_path):
    """Return what a host has of its settings, without its other parts."""
    path = tmp_path / "host.toml"
    path.write_text(TEXT.format(revoke_s=5))
    host = SimpleNamespace(
        path=path,
        file_text=read_text(path),
        mesh=SimpleNamespace(seeds=frozenset(), address="127.0.0.1:4"),
        freshness=SimpleNamespace(max_age_s=5.0),
    )
    host.reload = partial(RoutingHost.reload, host)
    return host


def test_a_changed_file_is_read_without_a_signal(host):
    """An operator shortens the bound on revoked keys, and nobody sends SIGHUP.

    The host looks at the file from time to time. Without that, keys that were
    taken away would go on being used for the longer time until its next start.
    """
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 5.0
    host.path.write_text(TEXT.format(revoke_s=2))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 2.0


@pytest.mark.parametrize("text", ["", "host = 1", "no toml ["])
def test_a_file_that_is_half_written_changes_nothing(host, text):
    """The file is written in two steps, and looked at in between."""
    host.path.write_text(text)
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 5.0
    host.path.write_text(TEXT.format(revoke_s=2))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 2.0


def test_a_file_that_is_away_changes_nothing(host):
    """The file is replaced, and missing for a moment."""
    host.path.unlink()
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 5.0
