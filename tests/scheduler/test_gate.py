"""Calls that are refused before they are reported to an allocator."""

import pytest

from godwitladder.decisions.types import PoolName
from godwitladder.decisions.waiting.admission import AdmissionShare
from godwitladder.outcomes import Reason, RequestState
from godwitladder.scheduler.gate import SHARES_LIFETIME_S, AdmissionGate

POOL = PoolName("region", "models")
FLOW, OTHER = ("models", "floods"), ("models", "quiet")


@pytest.fixture
def gate():
    made = AdmissionGate()
    made.set(POOL, [AdmissionShare(*FLOW, 0.25, 2.0)], 10.0)
    return made


def test_a_share_of_the_calls_is_refused_with_a_retry_time(gate):
    """Guards against callers that wait although an allocator would refuse them."""
    assert gate.refusal(FLOW, "r", 0.2, 10.5) is None
    refusal = gate.refusal(FLOW, "r", 0.3, 10.5)
    assert (refusal.reason, refusal.outcome) == (Reason.SHED, RequestState.NOT_RUN)
    assert 2.0 <= refusal.retry_after_s <= 4.0
    assert gate.refusal(OTHER, "r", 0.9, 10.5) is None


def test_expired_shares_refuse_nothing(gate):
    """Guards against refusals by outdated shares after an allocator is lost."""
    assert gate.refusal(FLOW, "r", 0.9, 10.0 + SHARES_LIFETIME_S + 0.1) is None


def test_new_shares_replace_earlier_ones(gate):
    gate.set(POOL, [], 10.2)
    assert gate.refusal(FLOW, "r", 0.9, 10.3) is None
