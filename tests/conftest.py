"""Hypothesis settings, fixtures and test selection shared by all tests."""

import contextlib
from pathlib import Path

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


FLEET_FOLDERS = frozenset({"platform", "soak"})
"""Folders whose tests run one at a time: each of them starts many processes."""


@pytest.fixture
def fleet(tmp_path):
    """A fleet that has only the stand-in of the platform; stopped after the test."""
    with contextlib.ExitStack() as stack:
        yield make_fleet(tmp_path, stack)


def pytest_collection_modifyitems(config, items):
    """Group the tests of whole fleets, and deselect those known to fail."""
    for item in items:
        folder = item.path.relative_to(config.rootpath / "tests").parts[0]
        if folder in FLEET_FOLDERS:
            item.add_marker(pytest.mark.xdist_group(folder))
    deselect_known_red(config, items)


def deselect_known_red(config, items):
    """Deselect the tests listed in `KNOWN-RED.txt`, unless a test is named by id."""
    known = read_known_red(config.rootpath / "KNOWN-RED.txt")
    if any("::" in arg for arg in config.args):
        return
    red = [item for item in items if item.nodeid in known]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in known]


def read_known_red(path: Path) -> set[str]:
    """Return the test ids in the list: each first word of a line with ``::`` in it."""
    if not path.exists():
        return set()
    words = [line.split()[:1] for line in path.read_text().splitlines()]
    return {word[0] for word in words if word and "::" in word[0]}
