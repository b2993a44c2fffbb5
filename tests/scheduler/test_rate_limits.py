"""Rate limits that targets state, on hosts and allocators."""

from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.rate_limits import KEEP_ABSENT_S, NO_LIMIT, RateLimits
from godwitladder.metrics import Metrics
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.messages import NewConfig, RateLimitStated
from godwitladder.scheduler.ticker import Ticker
from tests.scheduler.harness import make_config, make_tables


def with_generation(config, generation):
    """Return ``config`` with all its targets restarted as ``generation``."""
    targets = {
        name: replace(target, generation=generation)
        for name, target in config.targets.items()
    }
    return replace(config, targets=targets)


CONFIG = with_generation(make_config({"e0": 4}), "1")


@pytest.fixture
def scheduler():
    clock = ManualClock()
    tables = make_tables("h0", ("h0",), CONFIG)
    ticker = Ticker(clock, 1.0)
    return Scheduler(tables, clock, Metrics(), ticker, lambda host, report: None)


def test_a_rate_limit_and_its_end_are_each_logged_once(scheduler, caplog):
    caplog.set_level("INFO")
    for rate in (3.0, 3.0, NO_LIMIT, NO_LIMIT):
        scheduler.take(RateLimitStated("e0", "1", rate))
    assert caplog.text.count("A target states a rate limit") == 1
    assert caplog.text.count("A target's rate limit has ended") == 1


def test_an_answer_of_an_earlier_process_limits_nothing(scheduler):
    """Guards against a limit of a process that has ended, applied to its successor."""
    scheduler.take(RateLimitStated("e0", "0", 3.0))
    assert not scheduler.tables.rate_limits.limited


def test_a_restarted_target_has_no_rate_limit(scheduler):
    scheduler.take(RateLimitStated("e0", "1", 3.0))
    assert scheduler.tables.rate_limits.limited == {"e0"}
    scheduler.take(NewConfig(with_generation(CONFIG, "2")))
    assert not scheduler.tables.rate_limits.limited


def test_an_entry_that_lapses_for_a_while_keeps_the_rate_limit(scheduler):
    """Guards against a limit that is forgotten with an entry that comes back."""
    scheduler.take(RateLimitStated("e0", "1", 3.0))
    scheduler.take(NewConfig(ConfigState()))
    scheduler.take(NewConfig(CONFIG))
    assert scheduler.tables.rate_limits.limited == {"e0"}


def test_the_limits_of_targets_that_are_gone_are_forgotten():
    """Guards against a table that grows with each target that ever was."""
    limits = RateLimits()
    limits.observe("e0", "1", 3.0, 10.0)
    limits.keep_generations({}, 10.0 + KEEP_ABSENT_S)
    assert limits.limited == {"e0"}
    limits.keep_generations({}, 10.1 + KEEP_ABSENT_S)
    assert not limits.rows
    assert not limits.limited


def test_an_older_statement_changes_nothing():
    limits = RateLimits()
    limits.observe("e0", "1", 3.0, 10.0)
    assert not limits.observe("e0", "1", NO_LIMIT, 9.0)
    assert limits.limited == {"e0"}
