"""Keeps the descriptors of the standard streams from being used for anything else.

A process may be started without them. The next files and sockets that it opens would
get their numbers, and what is written to standard error would reach a caller.
"""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def reserve_standard_streams() -> None:
    """Open the null device for each standard stream that is closed; never raises."""
    for descriptor in STANDARD_DESCRIPTORS:
        if is_open(descriptor):
            continue
        try:
            # The lowest free number is taken, and all below are open.
            os.open(os.devnull, os.O_RDWR)
        except OSError:
            # There is no stream to report it on, and calls can be served all the same.
            return


def is_open(descriptor: int) -> bool:
    """Return whether a descriptor is in use."""
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
