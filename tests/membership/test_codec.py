"""Tests of the encoding of peer messages."""

import zlib
from dataclasses import dataclass, replace

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.decisions.types import PoolName
from godwitladder.discovery.messages import FeedNews, RawBatch, RawRecord
from godwitladder.membership.codec import (
    COMPRESSED,
    MAX_DECOMPRESSED_BYTES,
    MIN_COMPRESS_BYTES,
    InvalidMessage,
    decode,
    encode,
    peer_message,
)
from godwitladder.membership.messages import Heartbeat
from godwitladder.scheduler.exchange import PoolReport, TierCount

HEARTBEAT = Heartbeat("host-a1", "a", "127.0.0.1:1", 7, False, 3, 9)
POOL = PoolName("a", "x")
REPORT = PoolReport("host-a1", 7, POOL, 1, 2.5, 2, 3, unlisted=(TierCount(1, 4),))
BYTES = st.one_of(
    st.binary(max_size=60),
    st.builds(cbor2.dumps, st.lists(st.one_of(st.none(), st.integers(), st.text()))),
    st.builds(
        lambda fields: cbor2.dumps(["PoolReport", fields]),
        st.lists(st.one_of(st.integers(), st.text(), st.lists(st.integers()))),
    ),
)


@peer_message
@dataclass(frozen=True)
class Sample:
    """A message with an optional field."""

    name: str
    age: float | None = None


@pytest.mark.parametrize(
    "message", [HEARTBEAT, REPORT, Sample("a"), Sample("a", 2.5), Sample("a", None)]
)
def test_messages_survive_encoding_and_decoding(message):
    assert decode(encode(message)) == message


@given(BYTES)
def test_bytes_of_any_kind_are_a_message_or_refused(data):
    """A faulty peer sends garbage, which may affect only its own link.

    Any exception other than InvalidMessage would end the reader without closing the
    link, which would then seem to be up but carry nothing.
    """
    try:
        decode(data)
    except InvalidMessage:
        pass


def test_messages_of_later_and_older_versions_are_decoded():
    """Hosts of two versions communicate during an upgrade.

    The later version sends one field more, the older one a field less.
    """
    assert decode(cbor2.dumps(["Sample", ["a", 1, "new"]])) == Sample("a", 1.0)
    assert decode(cbor2.dumps(["Sample", ["a"]])) == Sample("a")
    assert decode(cbor2.dumps(["Unknown", ["a"]])) is None


@pytest.mark.parametrize("fields", [[], [1], ["a", "b"], {"name": "a"}, "a"])
def test_fields_of_the_wrong_type_are_rejected(fields):
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps(["Sample", fields]))


@pytest.mark.parametrize(
    "data",
    [
        cbor2.dumps(["Sample", ["a", float("nan")]]),
        cbor2.dumps(["Sample", ["a", 10**400]]),
        encode(replace(HEARTBEAT, incarnation=2**63)),
        encode(replace(REPORT, sent_s=float("nan"))),
        encode(replace(REPORT, unlisted=(TierCount(1, 10**400),))),
    ],
)
def test_numbers_out_of_range_are_rejected(data):
    """Guards against a peer whose numbers end the actor that computes with them."""
    with pytest.raises(InvalidMessage):
        decode(data)


ROUTE = b'{"name": "r-%d", "pathPrefix": "/huno/le%d/", "kind": "streaming"}'


def test_documents_are_compressed_to_a_tenth_of_their_size():
    """Guards against a new document that blocks the links of all hosts for seconds."""
    value = b",".join(ROUTE % (number, number) for number in range(900))
    batch = RawBatch(-1, 7, (RawRecord(6, "config", value),))
    news = FeedNews("h1", 0.0, batch, RawBatch(3, 3))
    data = encode(news)
    assert len(data) * 10 <= len(value)
    assert decode(data) == news


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"not compressed",
        zlib.compress(b"\x82" + bytes(MIN_COMPRESS_BYTES))[:-4],
        zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1)),
        "text",
        7,
    ],
)
def test_an_invalid_compressed_message_is_rejected(data):
    """Guards against a faulty peer that exhausts a host's memory or ends its thread."""
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps([COMPRESSED, data]))


@pytest.mark.parametrize(
    "lists",
    [([], [], []), (["h1"], [], []), (["h1"], [1, 2], [1]), ([], [1], [1])],
    ids=["empty", "short", "long", "nameless"],
)
def test_news_of_live_hosts_without_its_sender_is_refused(lists):
    """Guards against one message of a peer that ends the process of each receiver."""
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps(["LiveNews", [*lists, 0]]))


@pytest.mark.parametrize(
    "address", ["h1", "127.0.0.1:", "127.0.0.1:65536", "h1:\u0661", "h1:-1"]
)
def test_a_heartbeat_without_an_address_is_refused(address):
    """Guards against a host that dials again and again what is no address."""
    fields = ["host-a1", "a", address, 7, False, 3, 9]
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps(["Heartbeat", fields]))
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps(["Roster", [[fields]]]))
