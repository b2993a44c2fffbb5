"""A short run of the soak, and every seed that ever failed."""

import pytest

from soak.run import Size, play

SHORT = Size(hosts=3, targets=2, callers=4, faults=6, seconds=6.0)

SEEDS = {
    0: "planned work only: no call may be cut",
    3: "kills, pauses and faults of the store",
}
"""Seeds that CI plays; one that failed stays, with a line on its cause."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    """Callers call while hosts, store and targets fail as the seed has drawn.

    Nothing runs twice that may not, no refusal is untrue, every answer is the
    caller's own and whole, keys and targets that are gone are not used, and in
    the end all is served again.
    """
    assert play(seed, SHORT, tmp_path).broken == []
