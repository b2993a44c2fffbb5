"""Limits that all hosts share, on hosts that no longer see each other."""

from godwitladder.clock import ManualClock
from godwitladder.decisions.limits.retry_budget import RetryBudget, RetryLimits
from godwitladder.scheduler.quotas import HOST_EXPIRY_S, SeenHosts, SharingHosts

HOSTS = ("h0", "h1", "h2", "h3", "h4")
LIMITS = RetryLimits(ratio=0.2, slack=100.0, window_s=10.0)


def count_retries(sharing, clock):
    """Return the retries that one host may make without any request."""
    budget = RetryBudget(LIMITS)
    count = 0
    while budget.take("s", sharing.count(), clock.monotonic()):
        count += 1
    return count


def test_hosts_that_lose_each_other_do_not_each_use_the_whole_retry_budget():
    """Guards against a retry budget that grows with the parts of a partition."""
    clock = ManualClock()
    sides = [SharingHosts(clock, (host,)) for host in HOSTS]
    for side in sides:
        side.update(HOSTS)
    clock.advance(60.0)
    for host, side in zip(HOSTS, sides, strict=True):
        side.update((host,))
    assert sum(count_retries(side, clock) for side in sides) <= LIMITS.slack


def test_the_retries_of_hosts_that_ended_return_to_the_others():
    clock = ManualClock()
    side = SharingHosts(clock, HOSTS)
    side.update(HOSTS[:1])
    clock.advance(HOST_EXPIRY_S + 1)
    assert side.count() == 1


def test_hosts_that_ended_are_forgotten():
    """Guards against a table of all hosts that ever were."""
    seen = SeenHosts()
    for number in range(100):
        seen.record_alive([f"h{number}"], number * HOST_EXPIRY_S)
    assert len(seen.last_seen) <= 2
