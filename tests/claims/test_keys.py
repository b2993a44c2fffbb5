"""Issued keys, keys with timestamps, retries on one host, dispatch checks."""

import dataclasses
import uuid

import pytest

from godwitladder.claims.issued import (
    PREFIX,
    ForgedKey,
    IssuedKeys,
    KeyUseResult,
    read_key,
    sign_key,
)
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.rows import ClaimState, IllegalTransition, RequestRow
from godwitladder.serving.keyed import uuid7_time_s
from godwitladder.serving.retries import (
    MAX_RETAINED_BYTES,
    RETENTION_S,
    JoinableRequests,
)

SECRET = "a secret"
WINDOW_S = 100.0


def test_issued_key_is_used_once_and_again_if_its_request_did_not_run():
    """A key runs one request, and is usable again if that request did not run."""
    keys = IssuedKeys("a", 1, WINDOW_S)
    key = keys.issue("advisers", 10.0)
    assert read_key(SECRET, sign_key(SECRET, key)) == key
    assert keys.use(key, "d", "body", 11.0) is KeyUseResult.GRANTED
    assert keys.use(key, "d", "body", 12.0) is KeyUseResult.SPENT
    assert keys.use(key, "d", "else", 12.0) is KeyUseResult.REUSED
    keys.restore("d")
    assert keys.use(key, "d", "body", 13.0) is KeyUseResult.GRANTED


def test_issued_key_is_refused_by_another_process_and_after_its_window():
    """A key is refused if its use may be evicted or is known to another process."""
    keys = IssuedKeys("a", 1, WINDOW_S)
    key = keys.issue("advisers", 10.0)
    keys.use(key, "d", "body", 11.0)
    for index in range(30):
        late = keys.issue("advisers", 10.0 + 10 * index)
        keys.use(late, f"other-{index}", "body", 10.0 + 10 * index)
    assert len(keys.used) < 15
    assert keys.use(key, "d", "body", 320.0) is KeyUseResult.EXPIRED
    with pytest.raises(ForgedKey):
        IssuedKeys("a", 2, WINDOW_S).use(key, "d", "body", 12.0)


def test_key_without_a_valid_signature_is_not_an_issued_key():
    """A caller can't forge a key that names a host of its choice."""
    key = IssuedKeys("a", 1, WINDOW_S).issue("advisers", 10.0)
    with pytest.raises(ForgedKey):
        read_key("another secret", sign_key(SECRET, key))
    with pytest.raises(ForgedKey):
        read_key(SECRET, PREFIX + "not base64")
    assert read_key(SECRET, "order-7") is None


def test_timestamp_is_read_only_from_a_uuid_of_version_7():
    """Only a UUID of version 7 yields a timestamp; other keys yield 0."""
    dated = uuid.UUID(int=(1_700_000_000_123 << 80) | (7 << 76) | (2 << 62))
    assert uuid7_time_s(str(dated)) == 1_700_000_000.123
    assert uuid7_time_s(str(uuid.UUID(int=dated.int ^ (3 << 76)))) == 0.0
    assert uuid7_time_s("order-7") == 0.0


def test_unclaimed_request_is_never_dispatched():
    """A request whose claim was not won is never dispatched, on any path."""
    row = RequestRow("r", "s", "w", "charge", 0, 0, 0, 0.0, 9.0, False)
    row.claim = ClaimState.NEEDED
    with pytest.raises(IllegalTransition):
        row.change(RequestState.DISPATCHED)
    won = dataclasses.replace(row, claim=ClaimState.WON)
    won.change(RequestState.DISPATCHED)


def test_answers_retained_for_retries_are_bounded():
    """Answers retained for retries are bounded in memory and time."""
    now = [1.0]
    joinable = JoinableRequests(lambda: now[0])
    part = b"x" * (MAX_RETAINED_BYTES // 4)
    for index in range(8):
        original, is_new = joinable.find_or_add(f"key-{index}", "body")
        assert is_new
        original.record_answer([part])
        joinable.retain(f"key-{index}", original)
    assert joinable.retained_bytes <= MAX_RETAINED_BYTES
    assert not joinable.find_or_add("key-7", "body")[1]
    now[0] += RETENTION_S + 1
    last, _ = joinable.find_or_add("last", "body")
    joinable.retain("last", last)
    assert list(joinable.originals) == ["last"]
