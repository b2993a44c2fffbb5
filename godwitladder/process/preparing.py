"""What a host's process does before it imports the host."""

from godwitladder.process.arenas import limit_arenas
from godwitladder.process.standard_streams import reserve_standard_streams
from godwitladder.process.threads import limit_stacks


def prepare_process() -> None:
    """Reserve the standard streams, and limit the memory that threads reserve.

    The limits hold for threads that are started later.
    """
    reserve_standard_streams()
    limit_arenas()
    limit_stacks()
