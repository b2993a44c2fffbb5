"""When a host asks a peer for news that it lacks, and when it reads the store itself.

A change must be in force on every host within a bound. A state's age is counted from
the start of the read that confirmed it, so a host has any change at the latest at the
age at which its state is renewed. That age is a sum: the reader's interval, its read,
and what follows where its news don't arrive. No wait is a multiple of a read, or it
would grow with what it waits for.
"""

READ_INTERVAL_S = 0.6
"""Interval between reads of the reader."""
STEP_INTERVAL_S = 0.1
"""Interval at which a host checks whether it should read."""
NEWS_SLACK_S = 0.4
"""Time beyond an interval and a read after which news are late; they may be delayed by
a step of the reader, and by a busy processor."""
NEWS_TIMEOUT_S = READ_INTERVAL_S + NEWS_SLACK_S
"""Age of the state at which news are late, where a read takes no time."""
ASK_AHEAD_S = 0.1
"""Time before that at which a peer is asked. A question costs less than a read."""
ASK_INTERVAL_S = 0.2
"""Interval between questions. Each goes to any peer: the last may lack news too."""
TAKEOVER_DELAY_S = 0.1
"""Added for each host that precedes this one in the reading order, so that the hosts
don't all start to read at once when the reader fails."""
MAX_TAKEOVER_RANK = 10
"""Maximum number of preceding hosts for which that delay is added."""
RESERVE_S = 0.3
"""Part of the bound that is left for a step, the check whose store it is, and the view
of the new state."""
MAX_READ_S = 1.0
"""Upper bound on the duration of a read that hosts allow for."""


def news_due_s(read_s: float) -> float:
    """Return the age of the state at which news are late, in seconds.

    Parameters
    ----------
    read_s : float
        Time that a read of the store takes.
    """
    return max(READ_INTERVAL_S, read_s) + read_s + NEWS_SLACK_S


def ask_age_s(read_s: float) -> float:
    """Return the age of the state at which a host asks a peer, in seconds."""
    return news_due_s(read_s) - ASK_AHEAD_S


def read_age_s(read_s: float, rank: int, bound_s: float) -> float:
    """Return the age of the state at which a host reads the store, in seconds.

    Parameters
    ----------
    read_s : float
        Time that a read of the store takes.
    rank : int
        Number of hosts before this one in the reading order.
    bound_s : float
        Time within which a change must be in force.
    """
    due_s = news_due_s(read_s)
    latest_s = max(due_s + TAKEOVER_DELAY_S, bound_s - read_s - RESERVE_S)
    rank = min(rank, MAX_TAKEOVER_RANK)
    return min(due_s + TAKEOVER_DELAY_S * rank, latest_s)
