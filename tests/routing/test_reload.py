"""Changes of the settings file while the host runs."""

from functools import partial
from types import SimpleNamespace

import pytest

from godwitladder.routing.daemon import RoutingHost, read_settings_text
from godwitladder.routing.settings import find_ignored, read_routed_settings

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
    """Return a stub of a host with only the attributes that hold settings."""
    path = tmp_path / "host.toml"
    path.write_text(TEXT.format(revoke_s=5))
    host = SimpleNamespace(
        path=path,
        file_text=read_settings_text(path),
        ignored=(),
        settings=read_routed_settings(path),
        mesh=SimpleNamespace(seeds=frozenset(), address="127.0.0.1:4"),
        freshness=SimpleNamespace(max_age_s=5.0),
    )
    host.reload = partial(RoutingHost.reload, host)
    return host


def test_a_changed_file_is_read_without_a_signal(host):
    """Guards against settings that take effect only after a SIGHUP or a restart.

    An operator shortens the time for which a revoked key may be used, without
    sending SIGHUP. If the host did not check the file periodically, it would accept
    revoked keys for the longer time until its next start.
    """
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 5.0
    host.path.write_text(TEXT.format(revoke_s=2))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 2.0


@pytest.mark.parametrize("text", ["", "host = 1", "no toml ["])
def test_a_partly_written_file_changes_nothing(host, text):
    """Guards against applying a file that is read while it is being written."""
    host.path.write_text(text)
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 5.0
    host.path.write_text(TEXT.format(revoke_s=2))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 2.0


@pytest.mark.parametrize("value", ["-1", '"much"', "0", "[2]"])
def test_an_invalid_value_changes_nothing(host, value):
    """Guards against an odd value that replaces a bound in force by its default."""
    host.path.write_text(TEXT.format(revoke_s=2))
    RoutingHost.reload_if_changed(host)
    host.path.write_text(TEXT.format(revoke_s=value))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 2.0


def test_a_value_that_was_invalid_at_the_start_does_not_stop_reloads(host):
    """Guards against a host that starts with an odd value and follows no change."""
    odd = TEXT.replace('region = "r"', 'region = ""')
    host.path.write_text(odd.format(revoke_s=5))
    host.ignored = find_ignored(host.path)
    host.path.write_text(odd.format(revoke_s=2))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 2.0


def test_a_missing_file_changes_nothing(host):
    """Guards against a failure while the file is missing, as during a replacement."""
    host.path.unlink()
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 5.0


@pytest.mark.parametrize(
    "removed", ["revoke_s = {revoke_s}\n", "[bounds]\nrevoke_s = {revoke_s}\n"]
)
def test_a_missing_bound_does_not_loosen_the_one_in_force(host, removed):
    """Guards against a field without a value that lets revoked keys in for longer."""
    host.path.write_text(TEXT.format(revoke_s=1))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 1.0
    host.path.write_text(TEXT.replace(removed, ""))
    RoutingHost.reload_if_changed(host)
    assert host.freshness.max_age_s == 1.0
