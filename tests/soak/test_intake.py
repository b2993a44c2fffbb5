"""The check that ready hosts take new connections finds those that don't."""

import pytest

from soak.intake import Intake, Try


def intake(taken, times, unready=()):
    rows = [Try(at, at in taken) for at in times]
    return Intake({"h1": rows}, {"h1": list(unready)})


def test_a_ready_host_that_takes_nobody_is_found():
    """Guards against a check that never finds anything."""
    found = intake({0.0}, [0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.5])
    assert found.find_stretches() == ["h1 took none of 8 in 4.5 s"]


@pytest.mark.parametrize(
    "case",
    [
        intake({0.0, 2.0}, [0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.5]),
        intake({0.0}, [0.0, 1.0, 2.0, 3.0, 4.0, 4.5]),
        intake({0.0}, [0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5]),
        intake({0.0}, [0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.5], [1.2]),
    ],
    ids=["one is taken", "few tries", "a short time", "not ready"],
)
def test_what_is_allowed_is_not_found(case):
    assert case.find_stretches() == []
