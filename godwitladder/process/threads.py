"""The stacks of a host's threads."""

import threading

KIB = 1_024
STACK_BYTES = 384 * KIB
"""Size of a thread's stack. Of what is decoded from outside, nested values need most:
up to 224 KiB at the interpreter's limit on recursion. The system's default of 8 MiB for
each thread would be more than the memory of a host."""


def limit_stacks() -> None:
    """Limit the stacks of all threads that are started from now on."""
    threading.stack_size(STACK_BYTES)
