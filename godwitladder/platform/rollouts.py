"""Decodes rollout orders, and encodes their status."""

import json

from returns.result import Failure, Result, Success

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import Record
from godwitladder.ids import ServiceName
from godwitladder.platform import names


def is_rollout(record: Record) -> bool:
    """Return whether ``record`` holds a rollout order."""
    return record.key.startswith(names.ROLLOUT_PREFIX)


def decode_rollout(record: Record) -> Result[RolloutOrder, str]:
    """Return the rollout order in ``record``, or why it is invalid."""
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
    """Return the value of the status record of ``order``.

    Parameters
    ----------
    raw : bytes
        The order as stored. Its version is returned with its original type.
    """
    target = json.loads(raw)["target"]
    row = {"service": order.service, "target": target, "state": state.value}
    return json.dumps(row).encode()
