"""Tests of the bounds of rollouts in the settings of a host."""

from pathlib import Path

import pytest

from godwitladder.decisions.rollouts.progress import RolloutLimits
from godwitladder.findings import InvalidInput
from godwitladder.routing.settings import read_routed_settings
from soak.fleet import SETTINGS_TEMPLATE
from tests.process.platform_fields import FIELDS
from tests.process.template import render

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.toml.in"


def read(folder, bounds):
    path = folder / "host.toml"
    text = SETTINGS_TEMPLATE.format(
        name="h1",
        zone="a",
        ports=(1, 2, 3, 4),
        store="127.0.0.1:5",
        seeds="[]",
        threads=8,
        connections=8,
    )
    path.write_text(f"{text}\n[bounds]\n{bounds}\n")
    return read_routed_settings(path).bounds


def test_without_the_share_versions_are_not_tried(tmp_path):
    assert read(tmp_path, "").rollouts is None
    assert read(tmp_path, "exposure_slack = 5\nrollback_s = 2").rollouts is None


def test_the_bounds_of_a_deployment_are_read(tmp_path):
    """Guards against a template whose bounds the settings do not know."""
    path = tmp_path / "host.toml"
    path.write_text(render(TEMPLATE.read_text(), FIELDS))
    assert read_routed_settings(path).bounds.rollouts == RolloutLimits(0.1, 50, 5.0)


@pytest.mark.parametrize("share", ["0", "-0.1", "1.5", '"much"'])
def test_a_share_that_is_none_is_a_finding(tmp_path, share):
    with pytest.raises(InvalidInput, match="bounds.exposure_share"):
        read(tmp_path, f"exposure_share = {share}")
