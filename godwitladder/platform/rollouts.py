"""Decodes rollout orders, and encodes their status."""

import json

from returns.result import Failure, Result, Success

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import Record, RolloutStatus
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger
from godwitladder.platform import names
from godwitladder.untrusted import MAX_INTEGER, is_finite, is_integer, is_name

log = component_logger("platform")

MAX_ERROR_CHARS = 300


def is_rollout(record: Record) -> bool:
    """Return whether ``record`` holds a rollout order."""
    return record.key.startswith(names.ROLLOUT_PREFIX)


def decode_rollout(record: Record) -> Result[RolloutOrder, str]:
    """Return the rollout order in ``record``, or why it is invalid."""
    try:
        raw = json.loads(record.value)
    except (ValueError, RecursionError) as error:
        return Failure(f"is no JSON: {error!r}")
    if not isinstance(raw, dict):
        return Failure("is no JSON object")
    service, release = raw.get("service"), raw.get("target")
    duration_s = raw.get("durationS")
    if not is_name(service):
        return Failure("names no service")
    if not (is_name(release) or is_integer(release, -MAX_INTEGER)):
        return Failure("names no version")
    if not is_finite(duration_s) or duration_s <= 0:
        return Failure("has no duration")
    return Success(
        RolloutOrder(
            ServiceName(service),
            str(release),
            float(duration_s),
            record.offset,
            record.value,
        )
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


def encode_order_status(order: RolloutOrder, state: RolloutState) -> bytes:
    """Return the value of a status record that names the order it answers."""
    row = json.loads(encode_status(order, state, order.raw))
    return json.dumps(row | {names.STATUS_ORDER: order.offset}).encode()


def decode_status(record: Record) -> tuple[ServiceName, RolloutStatus] | None:
    """Return the service and the status in ``record``; None if it is invalid."""
    try:
        row = json.loads(record.value)
        offset = row.get(names.STATUS_ORDER, -1)
        status = RolloutStatus(str(row["target"]), RolloutState(row["state"]), offset)
        if not isinstance(row["service"], str):
            raise TypeError("the service is no text")
        return ServiceName(row["service"]), status
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        extra = {"key": record.key[:64], "error": repr(error)[:MAX_ERROR_CHARS]}
        log.warning("A status of a rollout is invalid", extra=extra)
        return None
