"""Limits the memory that the C library keeps for each thread.

By default it keeps up to eight arenas for each core. What one thread has freed there
stays with the process and is not used by other threads, so that a host whose many
threads each hold an answer for a moment grows far beyond what is held at once. Each
arena but the first also reserves 64 MB of addresses, which count towards a limit on the
address space.
"""

import ctypes

from godwitladder.logs import component_logger

log = component_logger("daemon")

M_ARENA_MAX = -8
"""Parameter of ``mallopt`` in the GNU C library."""
MAX_ARENAS = 1
"""Threads of one interpreter run in turn, and hardly wait for each other's arena."""


def limit_arenas() -> None:
    """Limit the arenas of this process; without effect on other C libraries."""
    try:
        is_set = ctypes.CDLL(None).mallopt(M_ARENA_MAX, MAX_ARENAS) == 1
    except (OSError, AttributeError) as error:
        log.info("Arenas of memory are not limited", extra={"error": str(error)})
        return
    if not is_set:
        log.info("Arenas of memory are not limited", extra={"error": "refused"})
