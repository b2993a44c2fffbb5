"""Settings of the limits on answers."""

import pytest

from godwitladder.findings import InvalidInput
from godwitladder.routing.settings import read_routed_settings
from tests.routing.test_reload import TEXT


def read(tmp_path, lines):
    path = tmp_path / "host.toml"
    path.write_text(TEXT.format(revoke_s=5) + "[answers]\n" + lines)
    return read_routed_settings(path)


def test_the_memory_of_the_host_is_read(tmp_path):
    settings = read(tmp_path, "memory_mb = 400")
    assert settings.answers.memory_bytes == 60_000_000


@pytest.mark.parametrize(
    "lines",
    [
        "memory_share = 1.0",
        "held_bytes = 2000\nbody_bytes = 1000",
        "memory_mb = 20",
        "line_bytes = 0",
    ],
)
def test_limits_that_can_t_hold_are_found_at_start(tmp_path, lines):
    """Guards against a host that refuses or breaks all answers once it serves."""
    with pytest.raises(InvalidInput, match="answers"):
        read(tmp_path, lines)
