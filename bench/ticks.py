"""Measures one tick of a host's scheduler and one run of an allocator.

``python -m bench.ticks`` prints median and longest durations in milliseconds, with 16
targets and several numbers of requests waiting at one host. Ticks are measured on a
full pool, where no request can be dispatched, and on a pool with a free slot.
"""

import statistics
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from godwitladder.configuration.model import Target, Tier, Workspace
from godwitladder.configuration.state import ConfigState
from godwitladder.ids import HostId, Incarnation, RequestId, StreamId, Zone
from godwitladder.scheduler.exchange import Allowance
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import (
    HEARTBEAT_S,
    choose_allocators,
    due_reports,
    update_targets,
)
from godwitladder.scheduler.role import RENEWAL_INTERVAL_S, PoolRole
from godwitladder.scheduler.rows import RequestRow, Tables
from godwitladder.scheduler.systems import add_request, run_systems

TARGETS = 16
SLOTS = 8
HOSTS = 15
WAITING = (0, 100, 1_000, 10_000)
ROUNDS = 60


def make_config() -> ConfigState:
    """Return a configuration with one pool."""
    targets = {
        f"engine-{index}": Target(f"10.0.0.{index}:1", Zone("a"), ("letters",), SLOTS)
        for index in range(TARGETS)
    }
    workspaces = {f"workspace-{index}": Workspace("urgent") for index in range(5)}
    return ConfigState(
        tiers={"urgent": Tier(0)}, workspaces=workspaces, targets=targets
    )


def make_tables(waiting: int) -> Tables:
    """Return the tables of a host with ``waiting`` waiting requests."""
    tables = Tables(
        HostId("h0"), Zone("a"), Incarnation(1), make_config(), hosts=("h0",)
    )
    update_targets(tables)
    choose_allocators(tables, 0.0)
    for index in range(waiting):
        name = f"request-{index:06}"
        row = RequestRow(
            request=RequestId(name),
            stream=StreamId(name),
            workspace=f"workspace-{index % 5}",
            service="letters",
            tier_rank=index % 4,
            prompt_tokens=500,
            declared_tokens=500,
            arrived=0.0,
            deadline=1_000.0 + index % 97,
            idempotent=True,
        )
        add_request(tables, row)
    return tables


def time_ticks(waiting: int, free: bool) -> list[float]:
    """Return the durations of ticks in seconds; each tick sends a report."""
    tables = make_tables(waiting)
    (access,) = tables.pools.values()
    now = 1.0

    def tick() -> None:
        run_systems(tables, now)
        due_reports(tables, now)

    times = []
    for _ in range(ROUNDS):
        now += HEARTBEAT_S
        access.answered_at = now
        access.allowances_expire_at = now + 1.0
        if free:
            running = tables.targets["engine-0"].running
            allowance = Allowance("engine-0", running + 1, 1_000_000)
            access.allowances = {"engine-0": allowance}
        times.append(time_call(tick))
    return times


def time_allocator(demand_count: int) -> list[float]:
    """Return the durations of many runs in seconds.

    Each host reports ``demand_count`` demands.
    """
    config = make_config()
    (pool,) = make_pools(config.targets).values()
    role = PoolRole(pool, HostId("h0"), 1, 0.0)
    role.configure(pool, config, frozenset())
    ((_, report),) = due_reports(make_tables(demand_count), 1.0)
    hosts = [f"h{index}" for index in range(HOSTS)]
    now, times = 1.0, []
    for number in range(1, ROUNDS + 1):
        now += RENEWAL_INTERVAL_S
        for host in hosts:
            rows = tuple(
                replace(demand, request=f"{host}-{demand.request}")
                for demand in report.demands
            )
            host_report = replace(
                report,
                host=host,
                number=number,
                sent_s=now,
                term=role.term,
                acked_offer=number - 1,
                demands=rows,
            )
            role.take_report(host_report, now)
        times.append(time_call(partial(role.run, hosts, now)))
    return times


def time_call(call: Callable[[], object]) -> float:
    """Return the duration of ``call`` in seconds."""
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


def print_times(name: str, times: list[float]) -> None:
    """Print the median and the longest duration, in milliseconds."""
    median, longest = statistics.median(times) * 1e3, max(times) * 1e3
    print(f"{name:44} median {median:7.2f} ms  longest {longest:7.2f} ms")


def main() -> None:
    """Run all measurements and print their results."""
    for waiting in WAITING:
        print_times(f"tick, full pool, {waiting} waiting", time_ticks(waiting, False))
        print_times(f"tick, a free slot, {waiting} waiting", time_ticks(waiting, True))
    for demand_count in (0, 1, 8, 32):
        name = f"allocator, {HOSTS} hosts, {demand_count} lines each"
        print_times(name, time_allocator(demand_count))


if __name__ == "__main__":
    main()
