"""Client of a target's HTTP interface for orders.

``POST /orders`` submits an order. ``GET /orders`` lists the accepted orders, the
last of which describes the target's state. To support targets with a different
interface, only this module has to change.
"""

import json
from dataclasses import asdict, dataclass

import urllib3
from urllib3.connection import HTTPConnection

from godwitladder.configuration.model import Target
from godwitladder.engines.wire import MayHaveRun, connect_for_answer, send
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Offset

INVALID_ANSWER = (
    ValueError,
    KeyError,
    TypeError,
    RecursionError,
    urllib3.exceptions.HTTPError,
)


@dataclass(frozen=True)
class TargetOrder:
    """The complete state that an order specifies for a target."""

    model: str
    adapters: tuple[str, ...]
    role: str


class StaleFence(GodwitladderError):
    """The target has already accepted an order with a higher fencing number."""


class OrderFailed(GodwitladderError):
    """Reading or sending an order failed.

    An order that was sent may have been accepted nevertheless.
    """


def desired_order(target: Target) -> TargetOrder | None:
    """Return the state that tickets specify for ``target``, or None if they don't."""
    order = TargetOrder(target.model, target.adapters, target.role)
    return None if order == TargetOrder("", (), "") else order


def read_order(address: str, timeout_s: float) -> TargetOrder | None:
    """Return the order that the target accepted last; None if it has none.

    Raises
    ------
    OrderFailed, NotSent, MayHaveRun
        If the target could not be reached or sent no valid response.
    """
    connection = connect_for_answer(address, timeout_s)
    try:
        response = send(connection, "GET", "/orders", None, {})
        rows = json.loads(response.read(decode_content=False))
        if not rows:
            return None
        last = rows[-1]
        return TargetOrder(last["model"], tuple(last["adapters"]), last["role"])
    except INVALID_ANSWER as error:
        raise OrderFailed(
            f"invalid list of orders from {address}: {error!r}"
        ) from error
    finally:
        connection.close()


def write_order(connection: HTTPConnection, order: TargetOrder, fence: Offset) -> None:
    """Send ``order`` over an open connection, then close the connection.

    Raises
    ------
    StaleFence
        If the target has accepted an order of a later issuer.
    OrderFailed
        If it is unknown whether the target accepted the order.
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
        raise StaleFence(f"fencing number {fence} is outdated")
    if status != 200:
        raise OrderFailed(f"target responded to an order with status {status}")
