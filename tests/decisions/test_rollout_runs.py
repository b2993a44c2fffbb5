"""A few runs of the table of rollouts; `bench.rollouts` plays all."""

import pytest

from bench.rollouts import ROUGH, SETTINGS, VERSIONS, Player
from godwitladder.decisions.rollouts.progress import CutoverMode
from godwitladder.discovery.rollouts import RolloutState

BY_NAME = {version.name: version for version in VERSIONS}
RATE, DURATION_S, SEEDS = 100, 12.0, range(1000, 1008)
"""One outcome of each row may be wrong: in 600 runs with seeds from 1000 on, 4 versions
that fail in 10% were completed, with 2 to 4 failures in about 100 answers, among them
that of seed 1002. The required 99% is checked by the table."""


def play(name, setting=ROUGH, mode=CutoverMode.RESERVED):
    """Return the results of some seeds, none of which the table has."""
    version = BY_NAME[name]
    return [
        Player(version, setting, mode, RATE, DURATION_S, seed).play() for seed in SEEDS
    ]


def test_good_versions_are_completed():
    """Guards against a test that condemns or never proves a good version."""
    results = play("good")
    completed = [row.outcome is RolloutState.COMPLETED for row in results]
    assert sum(completed) >= len(completed) - 1


@pytest.mark.parametrize(
    "name", ["30% fail", "10% fail", "3 times as slow", "30% fail late"]
)
def test_bad_versions_are_rolled_back(name):
    """Guards against a test that proves a bad version."""
    results = play(name)
    rolled_back = [row.outcome is RolloutState.ROLLED_BACK for row in results]
    assert sum(rolled_back) >= len(rolled_back) - 1


@pytest.mark.parametrize("mode", CutoverMode)
@pytest.mark.parametrize("setting", SETTINGS, ids=lambda setting: setting.name)
def test_no_exposure_exceeds_its_bound(setting, mode):
    """Guards against a way of cutover that spends more than there is."""
    for name in ("good", "10% fail under load"):
        for row in play(name, setting, mode):
            assert row.exposed <= row.bound and not row.is_late
