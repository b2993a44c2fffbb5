"""Answers of outside services that are malformed, without end, or trickle in."""

import contextlib
import gzip
import json
import sys
import time

import pytest

from godwitladder.clients.hosts import HostListClient, HostListUnavailable
from godwitladder.clients.log import LogClient, LogNotReached, LogUnavailable
from godwitladder.clients.weights import WeightClient, WeightsUnavailable
from godwitladder.discovery.source import StoreUnavailable
from godwitladder.engines import engine
from godwitladder.engines.engine import cancel_stream, read_load
from godwitladder.engines.wire import MayHaveRun, connect_for_answer
from godwitladder.ids import Offset, Zone
from godwitladder.orders.wire import OrderFailed, TargetOrder, read_order, write_order
from godwitladder.platform import store as store_module
from godwitladder.platform.store import StoreClient
from godwitladder.quarantine import probing
from tests.engines.raw_target import RawTarget

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.2
MAX_ANSWER_S = 6.0
"""Far above the time that an answer may take in these tests."""
ENDLESS = {
    "unframed body": (OK + b"\r\n", b"a" * 100),
    "chunks": (CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\na\r\n"),
    "chunk extension": (CHUNKED + b"5;", b"a"),
    "100 Continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "103 Early Hints": (b"", b"HTTP/1.1 103 Early Hints\r\na: a\r\n\r\n"),
    "header line": (OK + b"a: ", b"a"),
    "header lines": (OK, b"a: a\r\n"),
    "garbage": (b"", b"\x00"),
}
PAUSES_S = [0.0, 0.05]


def read_log(address):
    LogClient(f"http://{address}", Zone("a"), TIMEOUT_S).read("s", Offset(0))


def append_to_log(address):
    LogClient(f"http://{address}", Zone("a"), TIMEOUT_S).append("s", [b"a"])


def read_hosts(address):
    HostListClient(f"http://{address}", Zone("a"), TIMEOUT_S).read()


def check_weights(address):
    WeightClient(f"http://{address}", Zone("a"), TIMEOUT_S).check("w")


def read_store(address):
    StoreClient(address).read("keyed.x", 0)


def read_newest(address):
    StoreClient(address).newest("keyed.x")


def append_to_store(address):
    StoreClient(address).append("keyed.x", "k", b"value")


CLIENTS = {
    read_log: LogUnavailable,
    append_to_log: LogUnavailable,
    read_hosts: HostListUnavailable,
    check_weights: WeightsUnavailable,
    read_store: StoreUnavailable,
    read_newest: StoreUnavailable,
    append_to_store: StoreUnavailable,
}


def set_timeout(monkeypatch, timeout_s):
    """Set the timeout of requests, which answers may take three times."""
    monkeypatch.setattr(store_module, "TIMEOUT_S", timeout_s)
    monkeypatch.setattr(sys.modules[__name__], "TIMEOUT_S", timeout_s)


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    set_timeout(monkeypatch, TIMEOUT_S)


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("read", CLIENTS)
def test_an_answer_without_end_is_an_error(monkeypatch, read, name, pause_s):
    """Guards against a thread that reads for ever, and against used up memory."""
    set_timeout(monkeypatch, SHORT_TIMEOUT_S)
    first, repeated = ENDLESS[name]
    started = time.monotonic()
    with RawTarget(first, repeated, pause_s) as target:
        with pytest.raises(CLIENTS[read]) as caught:
            read(target.address)
    assert time.monotonic() - started < MAX_ANSWER_S
    # An append that was sent may have been applied.
    assert not isinstance(caught.value, LogNotReached)


class NoProbeHeaders:
    """Headers of health checks that state nothing."""

    def for_probe(self, target):
        return ()

    def read_instance(self, headers):
        return ""


HEADS = {name for name, row in ENDLESS.items() if not row[0].endswith(b"\r\n\r\n")}


def check_health(address):
    probe = probing.TargetProbe(NoProbeHeaders())
    if probe("t1", address, "/health") is probing.ProbeResult.NO_ANSWER:
        raise MayHaveRun("no answer")


def send_order(address):
    connection = connect_for_answer(address, SHORT_TIMEOUT_S)
    write_order(connection, TargetOrder("m", (), "both"), Offset(1))


SMALL_REQUESTS = {
    check_health: MayHaveRun,
    read_load: MayHaveRun,
    lambda address: read_order(address, SHORT_TIMEOUT_S): (OrderFailed, MayHaveRun),
    send_order: OrderFailed,
    lambda address: cancel_stream(address, "s1"): MayHaveRun,
}
"""Requests to targets that are no calls of callers."""


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("name", sorted(HEADS - {"chunk extension"}))
@pytest.mark.parametrize("request_", SMALL_REQUESTS, ids=range(len(SMALL_REQUESTS)))
def test_a_small_request_ends_with_a_head_without_end(
    monkeypatch, request_, name, pause_s
):
    """Guards against a thread that reads the head of a target in trouble for ever."""
    monkeypatch.setattr(probing, "PROBE_TIMEOUT_S", SHORT_TIMEOUT_S)
    monkeypatch.setattr(engine, "LOAD_TIMEOUT_S", SHORT_TIMEOUT_S)
    monkeypatch.setattr(engine, "CANCEL_TIMEOUT_S", SHORT_TIMEOUT_S)
    first, repeated = ENDLESS[name]
    started = time.monotonic()
    with RawTarget(first, repeated, pause_s) as target:
        with pytest.raises(SMALL_REQUESTS[request_]):
            request_(target.address)
    assert time.monotonic() - started < MAX_ANSWER_S


@pytest.mark.parametrize("name", ["tiny chunks", "chunks", "unframed body"])
def test_a_load_report_ends_with_a_body_without_end(monkeypatch, name):
    """Guards against a reader of loads that a trickling report holds for ever."""
    monkeypatch.setattr(engine, "LOAD_TIMEOUT_S", SHORT_TIMEOUT_S)
    first, repeated = ENDLESS[name]
    started = time.monotonic()
    with RawTarget(first, repeated, 0.05) as target:
        with pytest.raises((MayHaveRun, ValueError)):
            read_load(target.address)
    assert time.monotonic() - started < MAX_ANSWER_S


@pytest.mark.parametrize("read", CLIENTS)
def test_trailers_without_end_are_not_waited_for(monkeypatch, read):
    """Guards against a thread that reads trailers for ever."""
    set_timeout(monkeypatch, SHORT_TIMEOUT_S)
    started = time.monotonic()
    with RawTarget(CHUNKED + b"0\r\n", b"a: a\r\n") as target:
        with contextlib.suppress(CLIENTS[read]):
            read(target.address)
    assert time.monotonic() - started < MAX_ANSWER_S


@pytest.mark.parametrize("read", CLIENTS)
def test_a_compressed_answer_is_not_decompressed(read):
    """Guards against a small answer that becomes a large one."""
    body = gzip.compress(
        json.dumps({"offset": 1, "entries": [], "endOffset": 1}).encode()
    )
    head = b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
    with RawTarget(OK + head + body) as target:
        if CLIENTS[read] is WeightsUnavailable or read is append_to_store:
            read(target.address)
            return
        with pytest.raises(CLIENTS[read]):
            read(target.address)


@pytest.mark.parametrize("read", [read_store, read_newest])
def test_an_answer_larger_than_the_store_sends_is_an_error(read):
    """Guards against answers that take a large part of the memory of a host."""
    head = b"Content-Length: %d\r\n\r\n" % (store_module.MAX_ANSWER_BYTES + 1)
    with RawTarget(OK + head, b"a") as target:
        with pytest.raises(StoreUnavailable, match="more than"):
            read(target.address)


def page(key, more):
    """Return a page of the newest records as an answer."""
    rows = [{"key": key, "value": "", "offset": 0}]
    body = json.dumps({"entries": rows, "hasMore": more, "endOffset": 1}).encode()
    return OK + b"Content-Length: %d\r\n\r\n" % len(body) + body


def test_pages_without_end_are_an_error(monkeypatch):
    """Guards against a store whose pages always have more."""
    monkeypatch.setattr(store_module, "MAX_PAGES", 50)
    with RawTarget(page("k", True)) as target:
        with pytest.raises(StoreUnavailable, match="50 pages"):
            read_newest(target.address)


def test_a_topic_that_is_too_large_is_an_error(monkeypatch):
    """Guards against pages that use up the memory of the host."""
    monkeypatch.setattr(store_module, "MAX_TOPIC_BYTES", 2_000)
    with RawTarget(page("k", True)) as target:
        with pytest.raises(StoreUnavailable, match="2000 bytes"):
            read_newest(target.address)


def test_a_read_of_two_megabytes_is_taken():
    """Guards against limits below what the store may answer."""
    record = bytes([1]) + b"k" + b"v" * 99_998
    body = store_module.HEADER.pack(20, 0)
    body += (store_module.RECORD_LENGTH.pack(len(record)) + record) * 20
    head = b"Content-Length: %d\r\n\r\n" % len(body)
    with RawTarget(OK + head + body) as target:
        assert len(StoreClient(target.address).read("keyed.x", 0).records) == 20


def test_a_connection_to_the_store_is_used_again():
    """Guards against a connection for each request, which the bounds don't need."""
    with RawTarget(page("k", False)) as target:
        client = StoreClient(target.address)
        for _ in range(3):
            client.newest("keyed.x")
        assert target.connections == 1


def test_a_chunked_answer_leaves_nothing_to_the_next_one():
    """Guards against trailers that are read as the head of the next answer."""
    body = json.dumps({"entries": [], "endOffset": 1}).encode()
    answer = CHUNKED + b"%x\r\n%b\r\n0\r\n" % (len(body), body)
    with RawTarget(answer) as target:
        client = StoreClient(target.address)
        for _ in range(3):
            assert client.newest("keyed.x").next == 1
        assert target.connections == 3
