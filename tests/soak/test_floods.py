"""Most new connections go to one small host, and callers are served all the same."""

import pytest

from soak.floods import FloodHistory, FloodRunSize, Reading, run_flood_seed


@pytest.mark.parametrize("moves", [False, True])
def test_callers_are_served_while_most_connections_go_to_one_host(moves, tmp_path):
    """Guards against a full host that reads requests only to refuse them."""
    size = FloodRunSize(hosts=4, before_s=3.0, flood_s=7.0, after_s=0.0, moves=moves)
    assert run_flood_seed(1, size, tmp_path).violations == []


def test_a_host_takes_new_connections_when_many_are_kept_idle(tmp_path):
    """Guards against a ready host whose idle connections shut callers out."""
    size = FloodRunSize(
        hosts=4, before_s=2.0, flood_s=5.0, after_s=7.0, connections=40, keeps=True
    )
    assert run_flood_seed(1, size, tmp_path).violations == []


def history(before, flood):
    size = FloodRunSize()
    rows = [Reading(-1.0, status, 0) for status in before]
    rows += [Reading(4.0, status, 0) for status in flood]
    return FloodHistory(size, rows)


def test_fewer_than_three_quarters_of_before_are_found():
    assert history([200] * 20, [200] * 15 + [503] * 5).check() == []
    assert history([200] * 20, [200] * 14 + [503] * 6).check() == [
        "0.70 served at the first try, 1.00 before"
    ]


def test_a_429_does_not_count():
    assert history([200] * 20, [200] * 20 + [429] * 20).check() == []
