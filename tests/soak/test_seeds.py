"""A short run of the soak, and every seed that ever failed."""

import pytest

from soak.run import Size, play

SHORT = Size(hosts=3, targets=2, callers=4, faults=6, seconds=6.0)

SEEDS = {
    0: "planned work only: no call may be cut",
    3: "kills, pauses and faults of the store",
}
"""Seeds that CI plays in short."""

FAILED = {
    1796269771: "a target that came back while the reader was paused stayed unknown",
    344: "SIGTERM while the host was loading ended it as a crash (-15)",
}
"""Seeds that failed once, at the size at which they did, and why."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    """Callers call while hosts, store and targets fail as the seed has drawn.

    Nothing runs twice that may not, no refusal is untrue, every answer is the
    caller's own and whole, keys and targets that are gone are not used, and in
    the end all is served again.
    """
    assert play(seed, SHORT, tmp_path).broken == []


@pytest.mark.parametrize("seed", FAILED)
def test_a_seed_that_failed_breaks_no_promise(seed, tmp_path):
    """The same faults at the same times as in the run that found them."""
    assert play(seed, Size(faults=14), tmp_path).broken == []
