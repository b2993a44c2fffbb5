"""Operators see what became of the grants that a host was given."""

from types import SimpleNamespace

from godwitladder.clock import ManualClock
from godwitladder.decisions.types import Grant
from godwitladder.metrics import Metrics
from godwitladder.scheduler.access import HeldGrant, PoolAccess
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.messages import Tick
from godwitladder.scheduler.pools import Pool
from godwitladder.scheduler.rows import Tables


def test_grants_that_lapse_and_that_are_given_back_are_counted_once():
    """Many lapsed grants tell an operator of a slow host or a slow link.

    One grant has lapsed when the systems run; the request of the other is
    gone, so it is given back. Neither is counted again at the next run.
    """
    clock, metrics = ManualClock(), Metrics()
    tables = Tables("host", "a", hosts=("host",))
    access = PoolAccess(Pool("p", frozenset(), frozenset()), is_local=True)
    tables.pools["p"] = access
    for name, until in (("late", clock.now), ("gone", clock.now + 5)):
        grant = Grant(name, "host", "engine", name, 0, 8, 1.0)
        access.grants[name] = HeldGrant(grant, until)
    ticker = SimpleNamespace(tick_in=lambda seconds: None)
    scheduler = Scheduler.start(tables, clock, metrics, ticker, lambda *message: None)
    try:
        scheduler.ask(Tick())
        scheduler.ask(Tick())
    finally:
        scheduler.stop()
    counts = {labels["fate"]: count for labels, count in metrics.grants.get_all()}
    assert counts == {"lapsed": 1, "given_back": 1}
