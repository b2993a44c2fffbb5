"""What hosts and allocators tell each other of versions on trial.

All of it is cumulative or final, so that a message may be lost, repeated or late.
"""

from dataclasses import dataclass

from godwitladder.ids import Release, RouteName, ServiceName


@dataclass(frozen=True)
class TimeCount:
    """Number of first outputs in one bucket of `evidence.time_bucket`."""

    bucket: int
    count: int


@dataclass(frozen=True)
class VersionCounts:
    """Answers of one version on one route to one host, cumulatively since an order.

    Attributes
    ----------
    sent, good, failed : int
        As in `evidence.AnswerCounts`.
    times : tuple of TimeCount
        First outputs by their time.
    offset : int
        Offset of the order.
    """

    service: ServiceName
    release: Release
    route: RouteName
    sent: int
    good: int
    failed: int
    times: tuple[TimeCount, ...] = ()
    offset: int = -1


@dataclass(frozen=True)
class CondemnedVersion:
    """A version that gets nothing more, by the offset of its order."""

    service: ServiceName
    release: Release
    offset: int


@dataclass(frozen=True)
class ProvedVersion:
    """A version whose rollout the store holds as completed."""

    service: ServiceName
    release: Release
    offset: int


@dataclass(frozen=True)
class OrderAge:
    """Longest time for which an order may have been in force.

    Each host knows between which of its reads an order was given. The shortest of the
    ages that all hosts report is the best bound.

    Attributes
    ----------
    age_s : float
        Seconds up to the sending of the report.
    """

    service: ServiceName
    offset: int
    age_s: float


Notice = CondemnedVersion | ProvedVersion
