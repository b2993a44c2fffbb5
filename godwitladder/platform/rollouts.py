"""Decodes orders of roll-outs, and writes what became of them."""

import json

from returns.result import Failure, Result, Success

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import Record
from godwitladder.ids import ServiceName
from godwitladder.platform import names


def is_rollout(record: Record) -> bool:
    """Return whether ``record`` is about a roll-out."""
    return record.key.startswith(names.ROLLOUT_PREFIX)


def decode_rollout(record: Record) -> Result[RolloutOrder, str]:
    """Return the order in ``record``, or why it holds none."""
    try:
        raw = json.loads(record.value)
        service, release = raw["service"], raw["target"]
        duration_s = float(raw["durationS"])
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return Failure(f"is no order: {error!r}")
    if not isinstance(service, str) or not service:
        return Failure("names no service")
    if not isinstance(release, str | int) or isinstance(release, bool):
        return Failure("names no version")
    if not 0 < duration_s < float("inf"):
        return Failure("has no duration")
    return Success(
        RolloutOrder(ServiceName(service), str(release), duration_s, record.offset)
    )


def encode_status(order: RolloutOrder, state: RolloutState, raw: bytes) -> bytes:
    """Return the record that tells how ``order`` stands.

    Parameters
    ----------
    raw : bytes
        The order as it was written: its version is given back in the same type.
    """
    target = json.loads(raw)["target"]
    row = {"service": order.service, "target": target, "state": state.value}
    return json.dumps(row).encode()
