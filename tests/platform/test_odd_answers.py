"""Answers of the store with odd values."""

import base64
import json

import pytest

from godwitladder.discovery.source import StoreMoved, StoreTrimmed, StoreUnavailable
from godwitladder.platform import names
from godwitladder.platform.source import PlatformSource
from godwitladder.platform.store import HEADER, RECORD_LENGTH, StoreClient
from tests.odd_values import BYTES, KEYS, NUMBERS, TEXTS, odd_json, odd_rows

VALUE = base64.b64encode(b'{"version": 1}').decode()
ENTRY = {"offset": 1, "key": names.CONFIG_KEY, "value": VALUE}
PAGE = {"endOffset": 3, "entries": [ENTRY], "hasMore": False}
MAX_OFFSET = 2**64 - 1
FAILURES = (StoreUnavailable, StoreTrimmed, StoreMoved)
MAX_REQUESTS = 100
BODIES = [
    b"",
    b"\0" * 15,
    HEADER.pack(MAX_OFFSET, MAX_OFFSET),
    HEADER.pack(0, 0) + b"\0" * 3,
    HEADER.pack(5, 0) + RECORD_LENGTH.pack(0),
    HEADER.pack(5, 0) + RECORD_LENGTH.pack(1) + b"\xff",
    HEADER.pack(5, 0) + RECORD_LENGTH.pack(2**32 - 1) + b"x",
    HEADER.pack(5, 0) + RECORD_LENGTH.pack(0) * 100_000,
]


class Answer:
    """An answer of the store."""

    def __init__(self, data, status=200, headers=()):
        self.data, self.status, self.headers = data, status, dict(headers)


class Pool:
    """Gives the same answer to all requests, and counts them."""

    def __init__(self, answer):
        self.answer = answer
        self.requests = 0

    def request(self, *_, **__):
        self.requests += 1
        return self.answer


def make_source(data, status=200, headers=()):
    client = StoreClient("127.0.0.1:9")
    client.pool = Pool(Answer(data, status, headers))
    return PlatformSource(client)


def read_all(source):
    """Read what a host reads; return the reads that brought something."""
    reads = (
        lambda: source.read_documents(-1),
        lambda: source.read_entries(0),
        lambda: source.read_streams(0),
        source.read_hosts,
        source.read_rollout_statuses,
        lambda: source.append_streams(b"x"),
    )
    return [read for read in reads if is_read(read)]


def is_read(read):
    try:
        read()
    except FAILURES:
        return False
    return True


def pages():
    yield from odd_rows(PAGE)
    for entry in (*odd_rows(ENTRY), *odd_json()):
        yield b'{"endOffset": 3, "hasMore": false, "entries": [%s]}' % entry
    for key in KEYS:
        yield json.dumps(PAGE | {"entries": [ENTRY | {"key": key}]}).encode()


@pytest.mark.parametrize("status", [200, 204, 302, 400, 404, 410, 412, 429, 500, 999])
def test_odd_pages_are_read_or_fail(status):
    """Guards against an answer of the store that ends all hosts."""
    for data in (*pages(), *BODIES, *BYTES):
        read_all(make_source(data, status))


def test_odd_eras_are_left_out():
    """Guards against an era that no later one follows."""
    for text in (*TEXTS, *NUMBERS):
        source = make_source(HEADER.pack(0, 0), headers={names.STORE_ERA: text})
        read_all(source)
        assert source.store.era < 10**18


@pytest.mark.parametrize("has_more", [True, 1, "false", [0]], ids=repr)
def test_pages_that_repeat_are_not_read_on(has_more):
    """Guards against thousands of reads in a row, by each host, again and again."""
    source = make_source(json.dumps(PAGE | {"hasMore": has_more}).encode())
    with pytest.raises(StoreUnavailable):
        source.read_documents(-1)
    assert source.store.pool.requests <= MAX_REQUESTS
