"""Encodes and decodes the records in which hosts register themselves.

The key is the address at which the host listens for peers, and the value a JSON array
of its availability zone and whether it is leaving.
"""

import json

from returns.result import Failure, Result, Success

from godwitladder.discovery.source import Record
from godwitladder.ids import Zone
from godwitladder.membership.contacts import ListedHost
from godwitladder.tables import ip_port
from godwitladder.untrusted import is_name


def encode_host(host: ListedHost) -> bytes:
    """Return the value of the record of ``host``."""
    return json.dumps([host.zone, host.leaving]).encode()


def decode_host(record: Record) -> Result[ListedHost, str]:
    """Return the host in ``record``, or why the record is invalid."""
    try:
        zone, leaving = json.loads(record.value)
    except (ValueError, TypeError, RecursionError) as error:
        return Failure(f"is no JSON array of two values: {error}")
    if not is_name(zone):
        return Failure("names no zone")
    problem = ip_port(record.key)
    if problem:
        return Failure(problem)
    return Success(ListedHost(record.key, Zone(zone), bool(leaving)))
