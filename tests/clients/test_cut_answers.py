"""Answers that are cut anywhere, read by each client of another service."""

import base64
import json
import pathlib
import re
import struct

import pytest

import godwitladder
from godwitladder.client import OperatorClient, OperatorRequestFailed
from godwitladder.clients.hosts import HostListClient, HostListUnavailable
from godwitladder.clients.log import LogClient, LogUnavailable
from godwitladder.clients.weights import WeightClient, WeightsUnavailable
from godwitladder.clock import Clock
from godwitladder.discovery.source import StoreUnavailable
from godwitladder.engines.engine import read_load
from godwitladder.engines.service import call_service
from godwitladder.engines.wire import MayHaveRun, connect
from godwitladder.ids import Offset, Zone
from godwitladder.loadtool import LoadCaller, LoadGenerator
from godwitladder.orders.wire import OrderFailed, TargetOrder, read_order, write_order
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.platform.store import StoreClient
from godwitladder.quarantine.probing import ProbeResult, TargetProbe
from tests.engines.cut_target import (
    Cut,
    CutTarget,
    Framing,
    draw_cuts,
    first_whole_size,
    make_answer,
)

RECORD = b"\x01kvalue"
VALUE = base64.b64encode(b"value").decode()
STATED = [Framing.LENGTH, Framing.CHUNKS]
TIMEOUT_S = 5.0


class CutAnswer(Exception):
    """A client told that its answer is not whole, where it raises nothing else."""


def make_log(address):
    return LogClient(f"http://{address}", Zone("a"), TIMEOUT_S)


def make_load_tool(address):
    return LoadGenerator(
        [address], [LoadCaller("a", "key")], "s", [1], TIMEOUT_S, Clock()
    )


def send_load(tool):
    """Send one call of the load tool; it must not count as completed if it is cut."""
    result = tool.results["a"]
    result.outcomes.clear()
    tool.send(0, tool.callers[0], 1)
    if result.outcomes != {"completed": 1}:
        raise CutAnswer(result.outcomes)


def probe(address):
    result = TargetProbe(PlatformHeaders())("i1", address, "/health")
    if result is not ProbeResult.SAME_PROCESS:
        raise CutAnswer(result)


def call(address):
    deadline = Clock().monotonic() + TIMEOUT_S
    return call_service(address, "s", "c1", b"x", "a/b", Clock(), deadline)


def submit_order(address):
    write_order(connect(address, TIMEOUT_S), TargetOrder("m", (), ""), Offset(1))


def as_json(value):
    return json.dumps(value).encode()


LOG_PAGE = {"first": 0, "next": 1, "records": [{"offset": 0, "time": 1, "data": VALUE}]}
HOSTS = [{"address": "10.0.0.1:80", "zone": "a", "leaving": False}]
NEWEST = {"entries": [{"key": "k", "value": VALUE, "offset": 0}], "endOffset": 1}
ORDERS = [{"model": "m", "adapters": [], "role": "r", "fence": 1}]
LOAD = {"running": 1, "queued": 2, "memory_tokens": 3}
READ = struct.pack(">QQ", 2, 0) + 2 * (struct.pack(">I", len(RECORD)) + RECORD)
# Each with what makes it of an address, its call, the body and the error.
POOLED = {
    "log read": (
        make_log,
        lambda client: client.read("s", Offset(0)),
        as_json(LOG_PAGE),
        LogUnavailable,
    ),
    "log append": (
        make_log,
        lambda client: client.append("s", [b"a"]),
        as_json({"offset": 1}),
        LogUnavailable,
    ),
    "hosts": (
        lambda address: HostListClient(f"http://{address}", Zone("a"), TIMEOUT_S),
        HostListClient.read,
        as_json(HOSTS),
        HostListUnavailable,
    ),
    "weights": (
        lambda address: WeightClient(f"http://{address}", Zone("a"), TIMEOUT_S),
        lambda client: client.check("w"),
        as_json({"name": "w"}),
        WeightsUnavailable,
    ),
    "store read": (
        StoreClient,
        lambda client: client.read("keyed.x", 0),
        READ,
        StoreUnavailable,
    ),
    "store newest": (
        StoreClient,
        lambda client: client.newest("keyed.x"),
        as_json(NEWEST),
        StoreUnavailable,
    ),
    "store append": (
        StoreClient,
        lambda client: client.append("keyed.x", "k", b"value"),
        as_json({"offset": 1, "endOffset": 2}),
        StoreUnavailable,
    ),
    "operators' read": (
        lambda address: OperatorClient(address, "token"),
        lambda client: client.get("/v1/status"),
        as_json({"a": 1}),
        OperatorRequestFailed,
    ),
    "operators' ticket": (
        lambda address: OperatorClient(address, "token"),
        lambda client: client.submit(b"ticket", 0.0),
        as_json({"number": 1}),
        OperatorRequestFailed,
    ),
    "load tool": (make_load_tool, send_load, as_json({"choices": []}), CutAnswer),
}
AT_TARGETS = {
    "load": (read_load, as_json(LOAD), MayHaveRun),
    "orders": (
        lambda address: read_order(address, TIMEOUT_S),
        as_json(ORDERS),
        (OrderFailed, MayHaveRun),
    ),
    "service": (call, b"the answer of a service", MayHaveRun),
}
BY_HEAD = {
    "order": (submit_order, as_json({}), OrderFailed),
    "health": (probe, b"", CutAnswer),
}


def check_cut(read, target, whole, error, may_be_whole):
    """Check that what ``read`` makes of a cut answer is an error, not a part of it."""
    try:
        value = read(target)
    except error:
        return
    assert may_be_whole, f"{target.cut} was read as {value}"
    assert value == whole


@pytest.mark.parametrize("sound", [0, 1])
@pytest.mark.parametrize("framing", STATED)
@pytest.mark.parametrize("name", POOLED)
def test_a_cut_answer_of_a_service_is_an_error(name, framing, sound):
    """Guards against a part of an answer that is taken for all there is."""
    make, read, body, error = POOLED[name]
    answer = make_answer(framing, body)
    whole_size = first_whole_size(framing, answer)
    for cut in draw_cuts(answer, seed=f"{name}{framing}{sound}"):
        with CutTarget(answer, cut, 1 + sound) as target:
            whole = read(make(target.address))
            client = make(target.address)
            for _ in range(sound):
                assert read(client) == whole
            check_cut(
                lambda _: read(client),  # noqa: B023
                target,
                whole,
                error,
                cut.size >= whole_size,
            )


@pytest.mark.parametrize("name", POOLED)
def test_an_answer_of_a_service_that_states_no_end_is_an_error(name):
    """Guards against a cut answer that looks like one that ends with its connection."""
    make, read, body, error = POOLED[name]
    answer = make_answer(Framing.CLOSE, body)
    head_size = answer.index(b"\r\n\r\n") + 4
    for size in (head_size, len(answer) - 1, len(answer)):
        with CutTarget(answer, Cut(size, False, False)) as target:
            with pytest.raises(error):
                read(make(target.address))


def test_an_answer_of_a_target_that_states_no_end_is_no_answer_of_a_service():
    """Guards against a cut answer that is told whole to the caller of a service."""
    read, body, error = AT_TARGETS["service"]
    answer = make_answer(Framing.CLOSE, body)
    for cut in draw_cuts(answer, seed="service"):
        with CutTarget(answer, cut) as target:
            with pytest.raises(error):
                read(target.address)


@pytest.mark.parametrize("framing", STATED)
@pytest.mark.parametrize("name", AT_TARGETS)
def test_a_cut_answer_of_a_target_is_an_error(name, framing):
    """Guards against a part of a report, a list or an answer that looks whole."""
    read, body, error = AT_TARGETS[name]
    answer = make_answer(framing, body)
    whole_size = first_whole_size(framing, answer)
    for cut in draw_cuts(answer, seed=f"{name}{framing}"):
        with CutTarget(answer, cut, sound=1) as target:
            whole = read(target.address)
            check_cut(
                lambda target: read(target.address),
                target,
                whole,
                error,
                cut.size >= whole_size,
            )


@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("name", BY_HEAD)
def test_a_cut_head_tells_nothing(name, framing):
    """Guards against an order taken for accepted, and a health check for passed."""
    read, body, error = BY_HEAD[name]
    answer = make_answer(framing, body)
    head_size = answer.index(b"\r\n\r\n") + 4
    for cut in draw_cuts(answer, seed=f"{name}{framing}"):
        with CutTarget(answer, cut) as target:
            check_cut(
                lambda target: read(target.address),
                target,
                None,
                error,
                cut.size >= head_size,
            )


OWN_CLIENT = re.compile(
    r"\bHTTPS?Connection(Pool)?\(|urllib3\.(PoolManager|request)\(|urllib\.request"
)
"""A client whose answers the standard library reads by itself."""
STANDINS = "standins"


def test_no_client_leaves_the_end_of_a_head_to_the_standard_library():
    """Guards against a client to which a cut head is a head without what is missing."""
    root = pathlib.Path(godwitladder.__file__).parent
    files = [path for path in root.rglob("*.py") if STANDINS not in path.parts]
    assert [path for path in files if OWN_CLIENT.search(path.read_text())] == []
