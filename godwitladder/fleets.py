"""Identities of fleets.

A fleet is the hosts that follow one store or log. Everything that the settings say of
a fleet may also be said of another one, or of an earlier one at the same addresses; so
what identifies it comes from the store or log.
"""

import hashlib

from godwitladder.ids import FleetId

UNKNOWN_FLEET = FleetId("")
"""Fleet of a host that has not learned it yet."""
ID_CHARS = 32
MAX_ID_CHARS = 64
"""Limit on an identity that a peer names, which each greeting repeats."""


def make_fleet_id(value: bytes) -> FleetId:
    """Return the identity that a value of the store or log determines."""
    return FleetId(hashlib.sha256(value).hexdigest()[:ID_CHARS])


def check_fleet_id(value: FleetId | None) -> None:
    """Check an identity that a peer names.

    Raises
    ------
    ValueError
        It is too long to be one.
    """
    if value is not None and len(value) > MAX_ID_CHARS:
        raise ValueError(f"an identity has {len(value)} characters")


def are_apart(one: FleetId | None, other: FleetId | None) -> bool:
    """Return whether two identities are known, and are not the same."""
    return bool(one) and bool(other) and one != other
