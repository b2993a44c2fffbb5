"""Draws the faults of a run from its seed. This module has no side effects."""

import dataclasses
import enum
import random
from dataclasses import dataclass


class FaultKind(enum.Enum):
    """Kinds of faults and planned operations, named after what they affect."""

    HOST_KILL = "host_kill"
    HOST_PAUSE = "host_pause"
    HOST_TERM = "host_term"
    HOST_HUP = "host_hup"
    ALL_KILL = "all_kill"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    STORE_FORGET = "store_forget"
    STORE_CUT = "store_cut"
    STORE_SILENT = "store_silent"
    TARGET_RESET = "target_reset"
    TARGET_SILENT = "target_silent"
    TARGET_HELD = "target_held"
    TARGET_GONE = "target_gone"
    TARGET_REFUSES = "target_refuses"
    TARGET_FAILS = "target_fails"
    TARGET_FOREIGN = "target_foreign"
    TARGET_CUTS = "target_cuts"
    TARGET_SLOW = "target_slow"
    TARGET_REPLACED = "target_replaced"
    TARGET_LEAVES = "target_leaves"
    PEER_RESET = "peer_reset"
    PEER_SILENT = "peer_silent"
    CONFIG = "config"
    REVOKE = "revoke"
    TARGET_LIMITS = "target_limits"
    TARGET_SAYS_LEAVING = "target_says_leaving"
    TARGET_RESTS = "target_rests"
    PATHS_CUT = "paths_cut"
    STORE_COPIED = "store_copied"
    TARGET_ENDLESS_BODY = "target_endless_body"
    TARGET_ENDLESS_CHUNKS = "target_endless_chunks"
    TARGET_ENDLESS_INTERIM = "target_endless_interim"


PLANNED_KINDS = frozenset(
    {
        FaultKind.HOST_TERM,
        FaultKind.HOST_HUP,
        FaultKind.CONFIG,
        FaultKind.REVOKE,
        FaultKind.TARGET_LEAVES,
    }
)
"""Planned operations of operators, which must not interrupt any call."""

STATEMENT_KINDS = frozenset(
    {FaultKind.TARGET_LIMITS, FaultKind.TARGET_SAYS_LEAVING, FaultKind.TARGET_RESTS}
)
"""What targets state about themselves in their answers.

They are drawn apart from the other kinds, so that an old seed still draws the same
faults. They must not interrupt any call either.
"""

CUT_KINDS = frozenset({FaultKind.PATHS_CUT})
"""Cuts of all paths of a host to the targets. They are drawn apart too."""

COPY_KINDS = frozenset({FaultKind.STORE_COPIED})
"""The store comes back from a copy of some seconds ago. They are drawn apart too."""

ENDLESS_KINDS = frozenset(
    {
        FaultKind.TARGET_ENDLESS_BODY,
        FaultKind.TARGET_ENDLESS_CHUNKS,
        FaultKind.TARGET_ENDLESS_INTERIM,
    }
)
"""Targets that answer without end. They are drawn apart too."""

APART_KINDS = STATEMENT_KINDS | CUT_KINDS | COPY_KINDS | ENDLESS_KINDS

STORE_KINDS = frozenset(kind for kind in FaultKind if kind.value.startswith("store"))

PLANNED_ONLY_INTERVAL = 4
"""Seeds that are a multiple of this draw planned operations only.

In these runs no other fault excuses an interrupted call.
"""

MAX_FAULT_DURATION_S = 4.0
STATEMENT_DURATION_S = (5.0, 9.0)
"""Shortest and longest duration of a statement: hosts have three seconds to learn of
a rate limit, and it is checked in windows of four."""
LAST_STATEMENT_FRACTION = 0.4
"""Fraction of a run in which statements start."""
LAST_START_FRACTION = 0.75
"""Fraction of a run in which faults start; the rest leaves time for their effects."""


@dataclass(frozen=True)
class Fault:
    """A fault or planned operation.

    Attributes
    ----------
    start_s : float
        Start in seconds since the start of the run.
    kind : FaultKind
        What happens.
    affected_index : int
        Index of the affected host or target, modulo their number.
    duration_s : float
        Duration in seconds.
    """

    start_s: float
    kind: FaultKind
    affected_index: int
    duration_s: float

    @property
    def end_s(self) -> float:
        """End in seconds since the start of the run."""
        return self.start_s + self.duration_s


def draw_statements(seed: int, seconds: float, count: int) -> list[Fault]:
    """Return what targets state in a run, in order of the start.

    Parameters
    ----------
    seed : int
        Seed of the random generator. The same arguments give the same statements.
    seconds : float
        Duration of the run.
    count : int
        Number of statements.
    """
    rng = random.Random(f"{seed}-statements")
    kinds = sorted(STATEMENT_KINDS, key=lambda kind: kind.value)
    statements = [
        Fault(
            rng.uniform(0.5, seconds * LAST_STATEMENT_FRACTION),
            rng.choice(kinds),
            rng.randrange(100),
            rng.uniform(*STATEMENT_DURATION_S),
        )
        for _ in range(count)
    ]
    return sorted(statements, key=lambda fault: fault.start_s)


def draw_cuts(seed: int, seconds: float, count: int) -> list[Fault]:
    """Return the cuts of hosts' paths to the targets, in order of the start.

    Several hosts may be cut off at once, and a host again and again.

    Parameters
    ----------
    seed : int
        Seed of the random generator. The same arguments give the same cuts.
    seconds : float
        Duration of the run.
    count : int
        Number of cuts.
    """
    return draw_of_kind(f"{seed}-cuts", FaultKind.PATHS_CUT, seconds, count)


def draw_copies(seed: int, seconds: float, count: int) -> list[Fault]:
    """Return when the store comes back from a copy in a run, as `draw_cuts` does."""
    return draw_of_kind(f"{seed}-copies", FaultKind.STORE_COPIED, seconds, count)


def draw_endless(seed: int, seconds: float, count: int) -> list[Fault]:
    """Return the answers without end of a run, as `draw_cuts` does.

    Their kinds come in turn, so that a run of three or more has all of them.
    """
    kinds = sorted(ENDLESS_KINDS, key=lambda kind: kind.value)
    faults = draw_of_kind(f"{seed}-endless", kinds[0], seconds, count)
    return [
        dataclasses.replace(fault, kind=kinds[(seed + number) % len(kinds)])
        for number, fault in enumerate(faults)
    ]


def draw_of_kind(seed: str, kind: FaultKind, seconds: float, count: int) -> list[Fault]:
    """Return faults of one kind in order of their start."""
    rng = random.Random(seed)
    faults = [
        Fault(
            rng.uniform(0.5, seconds * LAST_START_FRACTION),
            kind,
            rng.randrange(100),
            rng.uniform(0.3, MAX_FAULT_DURATION_S),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.start_s)


def draw_faults(seed: int, seconds: float, count: int) -> list[Fault]:
    """Return the faults of a run in order of their start.

    Faults may overlap. Some are repeated shortly after, on a host or target that
    is drawn anew.

    Parameters
    ----------
    seed : int
        Seed of the random generator. The same arguments give the same faults.
    seconds : float
        Duration of the run.
    count : int
        Number of faults.
    """
    rng = random.Random(seed)
    kinds = sorted(
        PLANNED_KINDS
        if seed % PLANNED_ONLY_INTERVAL == 0
        else set(FaultKind) - APART_KINDS,
        key=lambda k: k.value,
    )
    faults = []
    while len(faults) < count:
        kind = rng.choice(kinds)
        start_s = rng.uniform(0.5, seconds * LAST_START_FRACTION)
        fault = Fault(
            start_s, kind, rng.randrange(100), rng.uniform(0.3, MAX_FAULT_DURATION_S)
        )
        faults.append(fault)
        if rng.random() < 0.3:
            repeat_start_s = start_s + rng.uniform(0.1, 1.0)
            faults.append(
                Fault(repeat_start_s, kind, rng.randrange(100), fault.duration_s)
            )
    return sorted(faults[:count], key=lambda fault: fault.start_s)
