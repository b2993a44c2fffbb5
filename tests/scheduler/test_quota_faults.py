"""Quotas under faults that a seed draws, in any order and overlapping."""

import random
from dataclasses import dataclass

import pytest

from godwitladder.decisions.limits.quotas import TokenRate
from tests.scheduler.quota_fleet import (
    LETTERS,
    ORDERS,
    WINDOW_S,
    Load,
    QuotaFleet,
    scaled,
)

HOSTS = 10
RATE = TokenRate(62_606.0, 62_606.0)
FAULTS, SECONDS, STEP_S = 5, 24.0, 0.2
NOTICE_S = 2.0
KINDS = ("pause", "cut", "restart", "late", "zone")
CHANGES = ("lower", "raise")
FACTORS = {"lower": 0.4, "raise": 1.5}


@dataclass(frozen=True)
class QuotaFault:
    """A fault of one or several hosts, or a change of the quota."""

    at: float
    kind: str
    draw: float
    duration_s: float


def draw_faults(seed, kinds):
    """Return the faults of a seed, in order of time."""
    rng = random.Random(f"{seed}-faults")
    faults = [
        QuotaFault(
            rng.uniform(4, 18), rng.choice(kinds), rng.random(), rng.uniform(0.5, 5)
        )
        for _ in range(FAULTS)
    ]
    return sorted(faults, key=lambda fault: fault.at)


def begin(fleet, fault):
    """Begin a fault; return what ends it, or None."""
    host = fleet.names[int(fault.draw * 1000) % HOSTS]
    if fault.draw < 0.8:
        host = fleet.allocator_of(LETTERS if fault.draw < 0.5 else ORDERS)
    if fault.kind == "pause":
        fleet.pause(host, fault.duration_s)
    elif fault.kind == "restart":
        fleet.restart(host)
    elif fault.kind == "late":
        fleet.late_s[host] = 0.3 + fault.draw * 1.5
        return fleet.late_s.clear
    elif fault.kind in FACTORS:
        fleet.set_quota(scaled(RATE, FACTORS[fault.kind]))
    else:
        cut = [host]
        if fault.kind == "zone":
            cut = fleet.names[: HOSTS // 3 + int(fault.draw * 3)]
        fleet.cut(cut)
        return lambda: fleet.cut([])
    return None


def play(seed, faults):
    """Return the fleet after all faults, with one workspace far beyond its quota."""
    fleet = QuotaFleet(HOSTS, RATE, seed)
    load = Load(7 * RATE.rate, orders_per_s=56)
    start, waiting, ends = fleet.now, list(faults), []
    while fleet.now - start < SECONDS:
        while waiting and waiting[0].at <= fleet.now - start:
            fault = waiting.pop(0)
            end = begin(fleet, fault)
            if end is not None:
                ends.append((fleet.now + fault.duration_s, end))
        for entry in [entry for entry in ends if entry[0] <= fleet.now]:
            ends.remove(entry)
            entry[1]()
        fleet.play(STEP_S, load)
    return fleet


def worst_ratio(fleet, faults):
    """Return the worst window as a share of what the quotas in force allow.

    A lowered quota binds a window after all hosts know it.
    """
    factors = [(0.0, 1.0)]
    factors += [(row.at, FACTORS[row.kind]) for row in faults if row.kind in FACTORS]
    runs = [row for row in fleet.runs if row.workspace == "w"]
    start, worst, first, tokens = runs[0].at, 0.0, 0, 0
    for run in runs:
        tokens += run.tokens
        while runs[first].at < run.at - WINDOW_S:
            tokens -= runs[first].tokens
            first += 1
        end = run.at - start + STEP_S
        begin_s = end - 2 * WINDOW_S - NOTICE_S
        ends = [at for at, _ in factors[1:]] + [float("inf")]
        in_force = [
            factor
            for (at, factor), until in zip(factors, ends, strict=True)
            if at <= end and until > begin_s
        ]
        worst = max(worst, tokens / fleet.allowed(scaled(RATE, max(in_force))))
    return worst


@pytest.mark.parametrize("seed", [21, 22, 44, 253])
def test_no_order_of_faults_exceeds_a_quota(seed):
    """Guards against a quota that several parts give out as faults overlap."""
    faults = draw_faults(seed, KINDS)
    assert worst_ratio(play(seed, faults), faults) <= 1


@pytest.mark.parametrize("seed", [316, 357])
def test_no_order_of_faults_and_changes_exceeds_a_quota(seed):
    """Guards against a changed quota that an absent or new allocator doesn't keep."""
    faults = draw_faults(seed, KINDS + CHANGES)
    assert any(fault.kind in FACTORS for fault in faults)
    assert worst_ratio(play(seed, faults), faults) <= 1
