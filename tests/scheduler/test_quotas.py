"""Tokens of a workspace on a host that has no allocator."""

from godwitladder.clock import PausedClock
from godwitladder.configuration.model import (
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)
from godwitladder.configuration.state import ConfigState
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.messages import HostsChanged, Tick
from godwitladder.scheduler.quotas import UNSEEN_S, token_rates
from godwitladder.scheduler.reports import update_targets
from godwitladder.scheduler.rows import RequestRow, Tables
from godwitladder.scheduler.systems import add_request, run_systems
from godwitladder.scheduler.ticker import Ticker

CONFIG = ConfigState(
    tiers={"t": Tier(0)},
    workspaces={"w": Workspace("t", token_rate=1000.0, token_burst=1000.0)},
    services={"s": Service(ServiceKind.PLAIN, False)},
    targets={"e": Target("10.0.0.1:1", "a", ("s",), slots=100)},
)


def make_tables(hosts):
    tables = Tables("h1", "a", hosts=("h1",), config=CONFIG)
    tables.quotas.rates = token_rates(CONFIG)
    tables.seen.note(hosts, 0.0)
    update_targets(tables)
    return tables


def submit(tables, number, now=0.0):
    row = RequestRow(f"r{number}", f"r{number}", "w", "s", 0, 0, 0, now, now + 9, False)
    row.charge = 100
    add_request(tables, row)
    run_systems(tables, now)
    return row.decisions.get_nowait()


def test_a_host_that_is_cut_off_gives_out_its_part_alone():
    """Five hosts lose each other; a workspace asks all of them for all it can.

    Each gives out a fifth, and refuses the rest with the time to come back.
    """
    tables = make_tables(["h1", "h2", "h3", "h4", "h5"])
    submit(tables, 0)
    decided = [submit(tables, number, now=10.0) for number in range(1, 11)]
    refused = [row for row in decided if isinstance(row, Refusal)]
    assert len(decided) - len(refused) == 1000 / 5 / 100
    assert {row.reason for row in refused} == {Reason.QUOTA}
    assert all(row.retry_after_s > 0 for row in refused)


def test_hosts_that_are_gone_for_long_leave_their_part():
    tables = make_tables(["h1", "h2", "h3", "h4", "h5"])
    now = UNSEEN_S + 1
    tables.seen.note(["h1"], now)
    decided = [submit(tables, number, now) for number in range(10)]
    assert sum(isinstance(row, Refusal) for row in decided) < 9


def test_a_calm_minute_before_a_cut_changes_no_part():
    """Five hosts see each other for a minute; then a cut leaves one alone.

    Nothing changed in that minute, so nobody told of the hosts. The one that
    is left must still share the quotas with the four that it has just lost.
    """
    clock = PausedClock()
    tables = make_tables([])
    scheduler = Scheduler(
        tables, clock, Metrics(), Ticker(clock, 1.0), lambda host, report: None
    )
    scheduler.take(HostsChanged(("h1", "h2", "h3", "h4", "h5"), {}))
    clock.advance(2 * UNSEEN_S)
    scheduler.take(Tick())
    scheduler.take(HostsChanged(("h1",), {}))
    assert tables.seen.recent(clock.monotonic()) == 5
