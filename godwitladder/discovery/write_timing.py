"""How often each host may write to a topic of the store that all hosts write to."""

MIN_INTERVAL_S = 0.25
"""Shortest interval between two writes of one host to such a topic."""
MAX_WRITES_PER_S = 100
"""Writes of all hosts together to one topic; a quarter of what the smallest store
takes."""


def write_interval_s(hosts: int) -> float:
    """Return the seconds between two writes of one of ``hosts`` hosts."""
    return max(MIN_INTERVAL_S, hosts / MAX_WRITES_PER_S)
