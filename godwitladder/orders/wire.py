"""Client of a target's interface for orders.

The only module to change when a target's own form differs: ``POST /orders``
takes an order, ``GET /orders`` lists those that were taken, the last of which
says what the target is.
"""

import json
from dataclasses import asdict, dataclass

import urllib3
from urllib3.connection import HTTPConnection

from godwitladder.configuration.model import Target
from godwitladder.engines.wire import MayHaveRun, connect, send
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Offset


@dataclass(frozen=True)
class TargetOrder:
    """The whole state that a target is ordered to have."""

    model: str
    adapters: tuple[str, ...]
    role: str


class OldFence(GodwitladderError):
    """The target has taken an order with a higher fencing number."""


class OrderFailed(GodwitladderError):
    """The target did not say that it took the order; it may have."""


def desired_order(target: Target) -> TargetOrder | None:
    """Return what tickets order ``target`` to be; None if they don't."""
    order = TargetOrder(target.model, target.adapters, target.role)
    return None if order == TargetOrder("", (), "") else order


def read_order(address: str, timeout_s: float) -> TargetOrder | None:
    """Return the order that the target took last.

    Raises
    ------
    OrderFailed, NotSent, MayHaveRun
        The target did not tell.
    """
    connection = connect(address, timeout_s)
    try:
        rows = json.loads(send(connection, "GET", "/orders", None, {}).data)
        if not rows:
            return None
        last = rows[-1]
        return TargetOrder(last["model"], tuple(last["adapters"]), last["role"])
    except (ValueError, KeyError, TypeError, urllib3.exceptions.HTTPError) as error:
        raise OrderFailed(f"{address} told no orders: {error!r}") from error
    finally:
        connection.close()


def write_order(connection: HTTPConnection, order: TargetOrder, fence: Offset) -> None:
    """Send ``order`` on an open connection and close it.

    Raises
    ------
    OldFence
        Another issuer has come after this one.
    OrderFailed
        The order may have been taken or not.
    """
    body = json.dumps(asdict(order) | {"fence": fence}).encode()
    headers = {"Content-Type": "application/json"}
    try:
        answer = send(connection, "POST", "/orders", body, headers)
        status = answer.status
    except MayHaveRun as error:
        raise OrderFailed(str(error)) from error
    finally:
        connection.close()
    if status == 409:
        raise OldFence(f"fence {fence} is old")
    if status != 200:
        raise OrderFailed(f"target answered {status} to an order")
