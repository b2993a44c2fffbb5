"""Answers of the log with odd values."""

import base64
import json

import pytest

from godwitladder.clients.log import LogClient, LogUnavailable
from tests.odd_values import odd_json, odd_rows

RECORD = {"offset": 1, "time": 1.5, "data": base64.b64encode(b"x").decode()}
PAGE = {"first": 0, "next": 2, "records": [RECORD]}


class Answer:
    """An answer of the log."""

    status = 200

    def __init__(self, data):
        self.data = data


@pytest.fixture
def client():
    return LogClient("http://127.0.0.1:9", "z1")


def answer(client, data):
    client.pool.ask = lambda *_, **__: Answer(data)


def rows():
    yield from odd_rows(PAGE)
    for record in odd_rows(RECORD):
        yield b'{"first": 0, "next": 2, "records": [%s]}' % record


def test_a_page_has_offsets_and_times_that_are_numbers(client):
    """Guards against an odd page that ends all hosts which read it, again and again."""
    for data in rows():
        answer(client, data)
        try:
            page = client.read("config", 0)
        except LogUnavailable:
            continue
        assert type(page.first) is int and type(page.next) is int
        assert all(type(row.offset) is int for row in page.records)
        assert all(row.time + 0.0 < float("inf") for row in page.records)


@pytest.mark.parametrize("name", ["first", "next"])
@pytest.mark.parametrize("value", ["1", None, 1.5, True, [], -1, 2**64], ids=repr)
def test_a_page_without_an_offset_is_no_answer(client, name, value):
    """Guards against a comparison of offsets that ends the thread of the follower."""
    answer(client, json.dumps(PAGE | {name: value}).encode())
    with pytest.raises(LogUnavailable):
        client.read("config", 0)


def test_an_append_that_is_answered_oddly_may_have_been_applied(client):
    """Guards against a writer that ends by the answer to its append."""
    for value in odd_json():
        answer(client, b'{"offset": %s}' % value)
        try:
            assert type(client.append("config", [b"x"])) is int
        except LogUnavailable:
            continue
