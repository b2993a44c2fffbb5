"""Checks for memory before a long value is encoded or decoded.

The CBOR library ends the process where it gets no memory, instead of raising an error.
"""

from godwitladder.process.threads import KIB, has_room

MIN_CHECKED_BYTES = 64 * KIB
"""Shorter values take what the process holds already, or little more."""
CODING_FACTOR = 5
"""Memory that coding takes for each byte: a buffer, twice as long as it grows, and the
result, once plain and once compressed."""


def require_room(size: int) -> None:
    """Check that a value of ``size`` bytes can be encoded or decoded.

    Raises
    ------
    MemoryError
        The limits of this process leave too little.
    """
    if size >= MIN_CHECKED_BYTES and not has_room(CODING_FACTOR * size):
        raise MemoryError(f"no room to encode or decode {size} bytes")
