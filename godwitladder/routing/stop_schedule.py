"""By when the steps of a planned stop are due.

The platform kills the process a fixed time after SIGTERM, so each step is due at a
time counted from the signal, whatever the steps before it took.
"""

from dataclasses import dataclass

INTAKE_S = 2.5
"""Seconds for the load balancer to notice that this host is leaving: it probes
once a second and removes a host after two failed probes."""
MAX_INTAKE_FRACTION = 1 / 3
"""Limit on the part of the grace period in which calls are taken in."""
EXIT_RESERVE_S = 0.5
"""Seconds of the grace period that are reserved for the exit of the process."""


@dataclass(frozen=True)
class StopSchedule:
    """Steps of a planned stop, in monotonic seconds.

    Attributes
    ----------
    intake_ends : float
        From then on, calls that arrive are refused.
    exit_at : float
        When the process exits at the latest.
    """

    intake_ends: float
    exit_at: float


def make_stop_schedule(signalled: float, grace_s: float) -> StopSchedule:
    """Return the schedule of a stop.

    Parameters
    ----------
    signalled : float
        When the stop was requested, in monotonic seconds.
    grace_s : float
        Seconds after which the platform kills the process.
    """
    return StopSchedule(
        intake_ends=signalled + min(INTAKE_S, grace_s * MAX_INTAKE_FRACTION),
        exit_at=signalled + max(0.0, grace_s - EXIT_RESERVE_S),
    )
