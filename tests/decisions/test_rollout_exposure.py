"""How many requests a version on trial gets."""

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitladder.decisions.rollouts.exposure import ExposureBudget
from godwitladder.ids import RouteName

SHARE = 0.1
SLACK = 50
LARGE, SMALL = RouteName("large"), RouteName("small")


def grant(budget, requests, share=1.0, route=LARGE):
    """Grant requests, for the new version as often as is allowed."""
    for _ in range(requests):
        exposed = budget.may_expose(0.0, share, route)
        budget.record_granted(exposed, 0.0, route)
    return budget.exposed


def test_a_term_spends_at_most_its_share():
    """Guards against a version that gets more than its part while it is unproved."""
    assert 90 <= grant(ExposureBudget(SHARE), 1000) <= 100


def test_a_term_without_the_slack_exposes_nothing_at_first():
    """Guards against each of several terms that spends the slack of the order."""
    assert grant(ExposureBudget(SHARE), 10) == 0


def test_the_term_with_the_slack_spends_it_once():
    assert 140 <= grant(ExposureBudget(SHARE, SLACK), 1000) <= 150


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 200)), max_size=30),
    st.integers(0, 3),
)
def test_terms_that_overlap_stay_within_the_bound_together(grants, holder):
    """Guards against a bound that each of two allocators keeps, but not both."""
    terms = [ExposureBudget(SHARE, SLACK if n == holder else 0) for n in range(4)]
    for term, requests in grants:
        grant(terms[term], requests)
        total = sum(requests for _, requests in grants)
        assert sum(term.exposed for term in terms) <= SHARE * total + SLACK


def test_a_repeated_request_adds_nothing_to_the_budget():
    """Guards against retries of failing answers that raise a bad version's share."""
    budget = ExposureBudget(SHARE)
    for _ in range(1000):
        budget.record_granted(False, 0.0, is_repeated=True)
    assert not budget.may_expose(0.0)
    budget.record_granted(True, 0.0, is_repeated=True)
    assert budget.exposed == 1


def test_what_is_reserved_is_not_spent():
    """Guards against a cutover that leaves nothing for the time after it."""
    budget = ExposureBudget(SHARE, SLACK, reserved=30.0)
    assert grant(budget, 1000) <= SHARE * 1000 + SLACK - 30


def test_the_share_of_the_trial_is_spread_evenly():
    """Guards against a trial that sees only the first seconds of a rollout."""
    budget = ExposureBudget(SHARE, SLACK)
    seen = [grant(budget, 100, 0.05) for _ in range(10)]
    assert all(4 <= after - before <= 6 for before, after in pairwise(seen))


def test_a_small_route_gets_more_than_its_proportion():
    """Guards against faults on small routes that too few answers show."""
    budget = ExposureBudget(SHARE)
    for _ in range(300):
        grant(budget, 9, 0.05, LARGE)
        grant(budget, 1, 0.05, SMALL)
    part = budget.exposed_by_route[SMALL] / budget.exposed
    assert 0.15 <= part <= 0.35


def test_the_rate_is_that_of_the_last_second():
    budget = ExposureBudget(SHARE)
    for index in range(100):
        budget.record_granted(False, index * 0.1, count=2)
    assert 18 <= budget.request_rate(9.9) <= 22
    assert budget.request_rate(20.0) == 0
