"""Settings and fixtures shared by all tests."""

import contextlib

import pytest
from hypothesis import HealthCheck, settings

from tests.fleet import make_fleet

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("fixed")


@pytest.fixture
def fleet(tmp_path):
    """A fleet with only the platform's stand-in; ends what it started."""
    with contextlib.ExitStack() as stack:
        yield make_fleet(tmp_path, stack)
