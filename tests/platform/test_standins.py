"""Tests of the stand-ins of the platform's store and engines."""

import pytest

from godwitladder.standins.routed import EngineKnobs, StoreKnobs


@pytest.mark.parametrize("knobs", [StoreKnobs(), EngineKnobs()])
def test_a_knob_that_does_not_exist_is_refused(knobs):
    """Guards against a test whose fault is never injected."""
    with pytest.raises(AttributeError):
        knobs.no_such_knob = 1
