"""Forgets what targets have stated once their processes have ended.

A target's name stays when its process is restarted, and its entry may lapse and return
while the process runs on, as after an outage of the store.

Pure: times are passed in.

Thresholds
----------
KEEP_ABSENT_S : a target without an entry for this long has ended.
"""

from collections.abc import Mapping, MutableMapping
from dataclasses import dataclass

from godwitladder.ids import TargetName

KEEP_ABSENT_S = 60.0


@dataclass
class ProcessRow:
    """A row about one process of a target.

    Attributes
    ----------
    generation : str
        Distinguishes the process from others of the same target.
    present_at : float
        Time at which the target last had an entry.
    """

    generation: str
    present_at: float


def drop_ended(
    rows: MutableMapping[TargetName, ProcessRow],
    generations: Mapping[TargetName, str],
    now: float,
) -> bool:
    """Remove the rows of processes that have ended; return whether there were any.

    Parameters
    ----------
    rows : mutable mapping
        Rows by target.
    generations : mapping
        Generation of each target that has an entry now.
    now : float
        Current time, in seconds.
    """
    ended = []
    for name, row in rows.items():
        generation = generations.get(name)
        if generation is not None:
            row.present_at = now
        restarted = generation is not None and generation != row.generation
        if restarted or now - row.present_at > KEEP_ABSENT_S:
            ended.append(name)
    for name in ended:
        del rows[name]
    return bool(ended)
