"""Bounds on values that other programs send: callers, targets, peers, and the store.

Values are checked where they are decoded. A text that can't be encoded, or a number
that can't be converted to a float, would else raise an exception far from its source,
in code that can't tell which value is at fault.
"""

import math
from typing import Any

MAX_NAME_CHARS = 256
"""Names are part of reports between hosts, which are sent several times a second."""
MAX_COUNT = 1_000_000_000
"""Limit on counts of requests, slots and tokens: exact as a float, also when many are
added up."""
MAX_COUNT_DIGITS = len(str(MAX_COUNT))
MAX_INTEGER = 2**63 - 1
"""Limit on all other integers, which is that of the encodings between hosts."""


def is_encodable(text: str) -> bool:
    """Return whether ``text`` can be encoded; a lone surrogate can't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_name(value: Any) -> bool:
    """Return whether ``value`` is a short, printable text."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isprintable()
    )


def is_header_name(value: Any) -> bool:
    """Return whether ``value`` is a name that may be sent in a header."""
    return is_name(value) and value.isascii()


def is_integer(value: Any, minimum: int, maximum: int = MAX_INTEGER) -> bool:
    """Return whether ``value`` is an integer, and no boolean, within the limits."""
    return type(value) is int and minimum <= value <= maximum


def is_finite(value: Any) -> bool:
    """Return whether ``value`` is a number, and no boolean, that a float can hold."""
    if type(value) is int:
        return abs(value) <= MAX_INTEGER
    return type(value) is float and math.isfinite(value)


def parse_count(text: str) -> int | None:
    """Return a decimal count, at most `MAX_COUNT`; None if ``text`` is none.

    A larger count is returned as `MAX_COUNT`: were it taken for no count, its sender
    would be charged less than for a smaller one.
    """
    if not (text.isascii() and text.isdecimal()):
        return None
    digits = text.lstrip("0")
    if len(digits) > MAX_COUNT_DIGITS:
        return MAX_COUNT
    return min(int(digits or "0"), MAX_COUNT)
