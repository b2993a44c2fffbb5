"""What a process uses of its memory, descriptors and threads, and their limits."""

import enum
import os
import resource
from dataclasses import dataclass
from pathlib import Path

STATUS_PATH = Path("/proc/self/status")
DESCRIPTORS_PATH = Path("/proc/self/fd")
KIB = 1024


class LimitedResource(enum.Enum):
    """A resource of which a process may use no more than a limit."""

    RESIDENT_BYTES = "resident_bytes"
    ADDRESS_BYTES = "address_bytes"
    DATA_BYTES = "data_bytes"
    DESCRIPTORS = "descriptors"
    THREADS = "threads"


@dataclass(frozen=True)
class ResourceUse:
    """Use and limits of one process; None where a value is unknown or unlimited.

    Attributes
    ----------
    resident_bytes, address_bytes, data_bytes : int or None
        Memory in use, size of the address space, and size of its writable part.
    max_address_bytes, max_data_bytes : int or None
        Limits on the last two.
    descriptors, max_descriptors : int or None
        Open file descriptors and their limit.
    threads, max_tasks : int or None
        Threads of this process, and the limit on all tasks of its user.
    """

    resident_bytes: int | None
    address_bytes: int | None
    max_address_bytes: int | None
    data_bytes: int | None
    max_data_bytes: int | None
    descriptors: int | None
    max_descriptors: int | None
    threads: int | None
    max_tasks: int | None

    def pair(self, resource: LimitedResource) -> tuple[int | None, int | None]:
        """Return what is used of a resource, and its limit."""
        return {
            LimitedResource.RESIDENT_BYTES: (self.resident_bytes, None),
            LimitedResource.ADDRESS_BYTES: (self.address_bytes, self.max_address_bytes),
            LimitedResource.DATA_BYTES: (self.data_bytes, self.max_data_bytes),
            LimitedResource.DESCRIPTORS: (self.descriptors, self.max_descriptors),
            LimitedResource.THREADS: (self.threads, self.max_tasks),
        }[resource]


def read_resource_use() -> ResourceUse:
    """Return what this process uses now; never raises."""
    status = read_status()
    return ResourceUse(
        resident_bytes=kib_field(status, "VmRSS"),
        address_bytes=kib_field(status, "VmSize"),
        max_address_bytes=soft_limit(resource.RLIMIT_AS),
        data_bytes=kib_field(status, "VmData"),
        max_data_bytes=soft_limit(resource.RLIMIT_DATA),
        descriptors=count_descriptors(),
        max_descriptors=soft_limit(resource.RLIMIT_NOFILE),
        threads=number_field(status, "Threads"),
        max_tasks=soft_limit(resource.RLIMIT_NPROC),
    )


def read_status() -> dict[str, str]:
    """Return the fields of the kernel's status of this process; none if unreadable."""
    try:
        text = STATUS_PATH.read_text(encoding="ascii", errors="replace")
    except OSError:
        # Without descriptors left the file can't be opened; the rest is still known.
        return {}
    rows = (line.partition(":") for line in text.splitlines())
    return {name: value.strip() for name, _, value in rows}


def kib_field(status: dict[str, str], name: str) -> int | None:
    """Return a field that is given in KiB, in bytes."""
    number = number_field(status, name)
    return None if number is None else number * KIB


def number_field(status: dict[str, str], name: str) -> int | None:
    """Return the number that a field begins with."""
    digits = status.get(name, "").partition(" ")[0]
    return int(digits) if digits.isdecimal() else None


def soft_limit(kind: int) -> int | None:
    """Return the limit that is in force; None if there is none."""
    soft, _ = resource.getrlimit(kind)
    return None if soft == resource.RLIM_INFINITY else soft


def count_descriptors() -> int | None:
    """Return the number of open descriptors; None if it can't be counted."""
    try:
        return len(os.listdir(DESCRIPTORS_PATH))
    except OSError:
        return None
