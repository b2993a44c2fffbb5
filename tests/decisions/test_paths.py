"""Which targets a host reaches directly."""

from godwitladder.decisions.placing.paths import (
    PROBE_INTERVAL_S,
    PathTable,
    order_gateways,
)
from godwitladder.membership.messages import Peer


def test_a_path_is_lost_from_a_failed_connection_to_the_next_one_made():
    paths = PathTable()
    assert paths.record_failed("t", 1.0)
    assert not paths.record_failed("t", 1.5)
    assert paths.is_lost("t")
    assert not paths.is_lost("other")
    assert paths.record_connected("t").since == 1.0
    assert not paths.is_lost("t")
    assert paths.record_connected("t") is None


def test_a_lost_path_is_tried_once_in_an_interval():
    """Guards against a connection that fails for each call of a long cut."""
    paths = PathTable()
    assert paths.take_probe("t", 0.0)
    paths.record_failed("t", 0.0)
    assert not paths.take_probe("t", PROBE_INTERVAL_S - 0.1)
    assert paths.take_probe("t", PROBE_INTERVAL_S)
    assert not paths.take_probe("t", PROBE_INTERVAL_S + 0.1)


def test_paths_to_targets_that_are_gone_are_forgotten():
    paths = PathTable()
    paths.record_failed("gone", 0.0)
    paths.record_failed("t", 0.0)
    paths.retain(frozenset({"t"}))
    assert set(paths.lost) == {"t"}


def test_gateways_in_the_zones_of_the_host_and_the_target_go_first():
    """Guards against bytes that cross zones where they needn't."""
    peers = [Peer(f"h{zone}", "", zone) for zone in "cba"]
    assert [row.host for row in order_gateways(peers, "a", "a")][0] == "ha"
    assert [row.host for row in order_gateways(peers, "a", "b")] == ["hb", "ha", "hc"]
