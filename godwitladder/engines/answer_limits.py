"""Limits on what a host reads and holds of the answers of targets.

A target in trouble may send a head or a body that never ends. Without a limit, one
such answer grows until the host runs out of memory and ends with all its calls.
"""

from dataclasses import dataclass

from godwitladder.tables import checked, positive

MEGABYTE = 1_000_000


@dataclass(frozen=True)
class AnswerLimits:
    """Limits on one answer, and on all answers under way in a host.

    Attributes
    ----------
    line_bytes : int
        Longest status line, header line or chunk-size line.
    header_count, header_bytes : int
        Header lines in a head, and the size of the head. Of the size no more than
        65,536 takes effect. Chunk-size lines may exceed their body by as much.
    interim_answers : int
        Interim answers (1xx) before the final one.
    event_bytes : int
        Longest event of a stream, and most bytes between two events.
    held_bytes : int
        Largest body that is held until it is complete; a larger one is passed on
        as it arrives.
    body_bytes : int
        Largest body in all.
    memory_mb : float
        Memory of the host, in megabytes.
    memory_share : float
        Share of it that all answers under way may hold.
    """

    line_bytes: int = checked(positive, default=16_384)
    header_count: int = checked(positive, default=100)
    header_bytes: int = checked(positive, default=65_536)
    interim_answers: int = checked(positive, default=8)
    event_bytes: int = checked(positive, default=1_048_576)
    held_bytes: int = checked(positive, default=262_144)
    body_bytes: int = checked(positive, default=67_108_864)
    memory_mb: float = checked(positive, default=256.0)
    memory_share: float = checked(positive, default=0.15)

    @property
    def memory_bytes(self) -> int:
        """Bytes that all answers under way may hold."""
        return int(self.memory_mb * self.memory_share * MEGABYTE)
