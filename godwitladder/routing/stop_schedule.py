"""By when the steps of a planned stop are due.

The platform kills the process a fixed time after SIGTERM, so each step is due at a
time counted from the signal, whatever the steps before it took.
"""

from dataclasses import dataclass

from godwitladder.serving.call_watcher import StopTimes

INTAKE_S = 2.5
"""Seconds for the load balancer to notice that this host is leaving: it probes
once a second and removes a host after two failed probes."""
MAX_INTAKE_FRACTION = 1 / 3
"""Limit on the part of the grace period in which calls are taken in."""
SENDS_FRACTION = 5 / 8
"""Part of the grace period in which calls are sent to targets. In the rest most of
them can be answered."""
ANSWER_RESERVE_S = 0.2
"""Seconds before the exit in which refusals are written."""
EXIT_RESERVE_S = 0.5
"""Seconds of the grace period that are reserved for the exit of the process."""


@dataclass(frozen=True)
class StopSchedule:
    """Steps of a planned stop, in monotonic seconds.

    Attributes
    ----------
    intake_ends : float
        From then on, calls that arrive are refused.
    calls : StopTimes
        Until when calls may be sent, and until when targets are waited for.
    exit_at : float
        When the process exits at the latest.
    """

    intake_ends: float
    calls: StopTimes
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
    exit_s = max(0.0, grace_s - EXIT_RESERVE_S)
    calls_s = max(0.0, exit_s - ANSWER_RESERVE_S)
    return StopSchedule(
        intake_ends=signalled + min(INTAKE_S, grace_s * MAX_INTAKE_FRACTION),
        calls=StopTimes(
            sends_end=signalled + min(calls_s, grace_s * SENDS_FRACTION),
            calls_end=signalled + calls_s,
        ),
        exit_at=signalled + exit_s,
    )
