"""Settings that the platform fills in from fields that lack or have odd values."""

import logging

import pytest

from godwitladder.findings import InvalidInput
from godwitladder.routing.settings import read_routed_settings, read_start_settings
from review.common.fleet import ROOT
from tests.process.platform_fields import FIELDS, REQUIRED, change, field_names
from tests.process.template import render

TEMPLATE = (ROOT / "deploy/settings.toml.in").read_text(encoding="utf-8")
OPTIONAL = [
    name
    for name in field_names()
    if name not in REQUIRED and name not in {"listen", "platform"}
]
NUMBERS = [
    *("limits.cpuShare", "limits.cores", "limits.memoryMb"),
    *(f"bounds.{name}" for name in FIELDS["bounds"] if name != "strictRevocation"),
]
ODD_VALUES = (0, -1, -0.5, 1e300, "", "much", "5", True, False)


@pytest.fixture
def read(tmp_path):
    """Return a function that reads the settings made from fields, as a start does."""

    def read(fields, reader=read_start_settings):
        path = tmp_path / "host.toml"
        path.write_text(render(TEMPLATE, fields), encoding="utf-8")
        return reader(path)

    return read


def test_all_fields_are_read(read):
    """Guards against a template that names a field otherwise than the platform."""
    settings = read(FIELDS, read_routed_settings)
    assert (settings.host, settings.zone, settings.region) == (
        "edge-a-1",
        "zone-a",
        "region-x",
    )
    listen, bounds = settings.listen, settings.bounds
    assert listen.callers == "127.0.0.1:8221"
    assert listen.readiness == "127.0.0.1:8224"
    assert listen.peers == "127.0.0.1:8229"
    assert listen.operators == "127.0.0.1:7615"
    assert settings.store.address == "127.0.0.1:8225"
    assert settings.peers.seeds == tuple(FIELDS["seedNodes"])
    assert (settings.processor.share, settings.processor.speed) == (0.731, 1)
    assert settings.answers.memory_mb == 222
    assert (bounds.revoke_s, bounds.grace_s, bounds.rollback_s) == (5, 8, 5)
    assert bounds.change_s == 2
    assert (bounds.repeat_ratio, bounds.repeat_slack) == (0.2, 108)
    assert (bounds.repeat_window_s, bounds.quota_window_s) == (10, 8)
    assert (bounds.quota_slack, bounds.exposure_share) == (140000, 0.1)
    assert (bounds.exposure_slack, settings.first_start) == (50, True)


@pytest.mark.parametrize("name", OPTIONAL)
@pytest.mark.parametrize("values", [(), (None,)], ids=["absent", "null"])
def test_a_field_without_a_value_does_not_stop_the_start(read, name, values):
    """Guards against one missing field that ends all processes at each start."""
    fields = change(name, *values)
    settings = read(fields, read_start_settings)
    assert settings.host and settings.zone and settings.region
    assert read(fields, read_routed_settings) == settings


@pytest.mark.parametrize("value", ODD_VALUES, ids=repr)
@pytest.mark.parametrize("name", NUMBERS)
def test_an_odd_number_does_not_stop_the_start(read, name, value):
    """Guards against one odd figure that ends all processes at each start."""
    settings = read(change(name, value))
    assert settings.processor.cores > 0
    assert settings.answers.memory_bytes > 0
    assert settings.bounds.revoke_s > 0


@pytest.mark.parametrize("value", ["", "x", ["x"], [], 5, True, ["127.0.0.1:1", 7]])
@pytest.mark.parametrize("name", ["seedNodes", "portRange", "ip"])
def test_an_odd_address_does_not_stop_the_start(read, name, value):
    """Guards against one odd address that ends all processes at each start."""
    assert read(change(name, value)).region == "region-x"


@pytest.mark.parametrize("value", ["", 5, True])
@pytest.mark.parametrize("name", ["nodeName", "region", "zone"])
def test_an_odd_name_does_not_stop_the_start(read, name, value):
    """Guards against one odd name that ends all processes at each start."""
    settings = read(change(name, value))
    assert settings.host and settings.zone and settings.region


@pytest.mark.parametrize("value", [(), (None,), ("",), ("x",), (5,), ([],)], ids=repr)
@pytest.mark.parametrize("name", REQUIRED)
def test_an_address_without_default_is_named(read, name, value):
    """Guards against a start that fails without saying which address is missing."""
    listed = {
        "listen.front": "listen.callers",
        "listen.ready": "listen.readiness",
        "listen.control": "listen.peers",
        "platform.address": "store.address",
    }
    with pytest.raises(InvalidInput, match=listed[name]):
        read(change(name, *value))


@pytest.mark.parametrize("name", ["retrySlack", "exposureSlack", "quotaSlack"])
def test_a_slack_of_nothing_is_kept(read, name):
    """Guards against a figure of 0 that counts as missing and gets a larger one."""
    bounds = read(change(f"bounds.{name}", 0)).bounds
    slack = {
        "retrySlack": bounds.repeat_slack,
        "exposureSlack": bounds.exposure_slack,
        "quotaSlack": bounds.quota_slack,
    }
    assert slack[name] == 0


def test_what_is_not_used_is_logged(read, caplog):
    """Guards against a host that runs with other figures than its settings name."""
    with caplog.at_level(logging.WARNING, "godwitladder"):
        settings = read(change("bounds.revokeMs", -1000))
    assert settings.bounds.revoke_s == 5.0
    (record,) = caplog.records
    assert "bounds.revoke_s" in record.place
    assert "-1.0" in record.error


def test_one_invalid_seed_leaves_the_others(read):
    """Guards against a host that finds no peer for one odd address among three."""
    settings = read(change("seedNodes", ["127.0.0.2:8229", "odd", 7]))
    assert settings.peers.seeds == ("127.0.0.2:8229",)


def test_the_region_of_the_zone_stands_in_for_that_of_the_host(read):
    """Guards against hosts of one region that form regions of their own."""
    assert read(change("region")).region == "region-x"
    assert read(change("region", "")).region == "region-x"


@pytest.mark.parametrize("memory_mb", [1, 20, 40, 64])
def test_little_memory_means_few_threads(read, memory_mb):
    """Guards against a small machine on which no process starts."""
    settings = read(change("limits.memoryMb", memory_mb))
    assert 0 < settings.limits.threads < 160
    assert settings.answers.memory_mb == memory_mb


def test_a_file_that_is_cut_off_is_refused(read, tmp_path):
    """Guards against a file that is read while it is written, and taken for whole."""
    text = render(TEMPLATE, FIELDS).rstrip()
    path = tmp_path / "cut.toml"
    for end in range(len(text)):
        path.write_text(text[:end], encoding="utf-8")
        with pytest.raises(InvalidInput):
            read_start_settings(path)
        with pytest.raises(InvalidInput):
            read_routed_settings(path)
