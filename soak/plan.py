"""Draws the faults of one run from its seed. Pure."""

import enum
import random
from dataclasses import dataclass


class Kind(enum.Enum):
    """What may happen, by whom it happens to."""

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


PLANNED = frozenset(
    {Kind.HOST_TERM, Kind.HOST_HUP, Kind.CONFIG, Kind.REVOKE, Kind.TARGET_LEAVES}
)
"""Work of operators, around which no call may be cut off."""

STORE_KINDS = frozenset(kind for kind in Kind if kind.value.startswith("store"))

CALM_SEEDS = 4
"""Each so many-th seed has planned work only, so that cuts around it show."""

LONGEST_S = 4.0
LAST_SHARE = 0.75
"""Faults begin in the first part of a run, so that their effects are seen."""


@dataclass(frozen=True)
class Fault:
    """One fault; times are seconds from the start of the run.

    Attributes
    ----------
    subject : int
        Which host or target it happens to, counted around.
    """

    at: float
    kind: Kind
    subject: int
    for_s: float

    @property
    def until(self) -> float:
        """When it is over."""
        return self.at + self.for_s


def draw(seed: int, seconds: float, count: int) -> list[Fault]:
    """Return ``count`` faults in order of time; some overlap, some come twice.

    Parameters
    ----------
    seconds : float
        Length of the run.
    """
    dice = random.Random(seed)
    kinds = sorted(PLANNED if seed % CALM_SEEDS == 0 else Kind, key=lambda k: k.value)
    faults = []
    while len(faults) < count:
        kind = dice.choice(kinds)
        at = dice.uniform(0.5, seconds * LAST_SHARE)
        fault = Fault(at, kind, dice.randrange(100), dice.uniform(0.3, LONGEST_S))
        faults.append(fault)
        if dice.random() < 0.3:
            again = at + dice.uniform(0.1, 1.0)
            faults.append(Fault(again, kind, dice.randrange(100), fault.for_s))
    return sorted(faults[:count], key=lambda fault: fault.at)
