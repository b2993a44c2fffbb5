"""Messages between hosts, as bytes."""

from dataclasses import dataclass

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.decisions.types import PoolName
from godwitladder.membership.codec import BadMessage, decode, encode, peer_message
from godwitladder.membership.messages import Heartbeat
from godwitladder.scheduler.exchange import PoolReport, TierCount

HEARTBEAT = Heartbeat("host-a1", "a", "127.0.0.1:1", 7, False, 3, 9)
POOL = PoolName("a", "x")
REPORT = PoolReport("host-a1", 7, POOL, 1, 2.5, 2, 3, rest=(TierCount(1, 4),))
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
    """A message with a field that may be missing."""

    name: str
    age: float | None = None


@pytest.mark.parametrize(
    "message", [HEARTBEAT, REPORT, Sample("a"), Sample("a", 2.5), Sample("a", None)]
)
def test_messages_come_back_as_they_went(message):
    assert decode(encode(message)) == message


@given(BYTES)
def test_bytes_of_any_kind_are_a_message_or_refused(data):
    """A peer in error sends garbage; only its own link may suffer.

    Any other error than BadMessage would end the reading thread without
    closing the link, which then looks up and carries nothing.
    """
    try:
        decode(data)
    except BadMessage:
        pass


def test_a_later_version_is_understood_and_an_older_one_too():
    """Hosts of two versions stand side by side while they are replaced.

    The later one sends a field more, the older one a field less.
    """
    assert decode(cbor2.dumps(["Sample", ["a", 1, "new"]])) == Sample("a", 1.0)
    assert decode(cbor2.dumps(["Sample", ["a"]])) == Sample("a")
    assert decode(cbor2.dumps(["Unknown", ["a"]])) is None


@pytest.mark.parametrize("fields", [[], [1], ["a", "b"], {"name": "a"}, "a"])
def test_fields_of_a_wrong_type_are_refused(fields):
    with pytest.raises(BadMessage):
        decode(cbor2.dumps(["Sample", fields]))
