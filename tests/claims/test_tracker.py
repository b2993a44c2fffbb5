"""Single steps of claims: retention, gaps, keys with timestamps, outages."""

from godwitladder.claims.records import Claim, Release, encode_record
from godwitladder.claims.table import MAX_CLAIMS_PER_KEY, MAX_KEY_AHEAD_S, ClaimTable
from godwitladder.claims.tracker import ClaimRequest, ClaimTracker, Verdict
from godwitladder.clients.log import Page, Record
from tests.claims.test_machine import BODY, RETENTION_S, WINDOW_S, FakeLog

KEY = b"k" * 16
FAR = 1e9


def make_host(name: str) -> ClaimTracker:
    return ClaimTracker(name, 1, ClaimTable(WINDOW_S))


def catch_up(log: FakeLog, *hosts: ClaimTracker) -> list[Verdict]:
    pages = [host.read(log.page(host.table.next)) for host in hosts]
    return [row.verdict for page in pages for row in page]


def claim(
    log: FakeLog, host: ClaimTracker, nonce: bytes, body=BODY, key_time_s=0.0
) -> list[Verdict]:
    catch_up(log, host)
    settled = host.submit(ClaimRequest(KEY, nonce, body, key_time_s, FAR), log.now)
    if settled:
        return [settled.verdict]
    log.append(host.take_batch())
    host.append_done()
    return catch_up(log, host)


def test_release_is_appended_until_the_log_answers():
    """Guards against a key that stays held after its release was lost.

    The claim was stored and the request shed, but the append of the release
    failed. The caller was told "not run" and retries with the same key. The
    release is appended again once the log responds, so that another host can
    claim the key.
    """
    log, host, other = FakeLog(), make_host("a"), make_host("b")
    assert claim(log, host, b"1") == [Verdict.WON]
    host.release(KEY, b"1")
    host.take_batch()
    host.append_failed(log.now)
    assert claim(log, other, b"2") == [Verdict.HELD]
    log.append(host.take_batch())
    assert claim(log, other, b"3") == [Verdict.WON]


def test_claim_outlives_the_records_retention():
    """Guards against a key that runs twice because its record was dropped.

    The log drops the claim's record before the claim window ends. The host
    has appended a snapshot before that, so a host that starts later still
    finds the key held, at the offset of the first record.
    """
    log, host = FakeLog(), make_host("a")
    assert claim(log, host, b"1") == [Verdict.WON]
    for _ in range(6):
        log.now += RETENTION_S / 4
        claim(log, make_host("c"), b"other")
        catch_up(log, host)
        host.snapshot(RETENTION_S / 2 - 1)
        log.append(host.take_batch())
        host.append_done()
        log.expire()
    assert log.records[0].offset > 0
    late = make_host("b")
    assert claim(log, late, b"2") == [Verdict.HELD]
    assert late.table.holder(KEY).offset == 0


def test_snapshot_precedes_a_competing_claim_stored_before_it():
    """Guards against a competing claim that precedes the snapshot.

    The competing claim lost to the first record, which has been dropped since.
    A host that starts late reads the competing claim before the snapshot. The
    snapshot carries the first offset, so the competing claim doesn't win.
    """
    log, host = FakeLog(), make_host("a")
    assert claim(log, host, b"1") == [Verdict.WON]
    log.append([Claim(KEY, b"2", "b", 1, BODY, 0.0)])
    catch_up(log, host)
    log.now += RETENTION_S / 2 + 1
    log.append([Release(b"x" * 16, b"x")])
    catch_up(log, host)
    host.snapshot(RETENTION_S / 2)
    log.append(host.take_batch())
    del log.records[0]
    late = make_host("c")
    catch_up(log, late)
    assert late.table.holder(KEY).nonce == b"1"


def test_records_dropped_before_reading_fail_pending_claims():
    """Guards against a claim that is won although earlier records are missing.

    A host is frozen for longer than the log's retention, and records that it
    has not read are dropped. One of them may be a lower claim of the same
    key, so the host's own record proves nothing even though it can be read.
    The request is refused as not run, and its claim is released.
    """
    log, host = FakeLog(), make_host("a")
    log.append([Release(b"x" * 16, b"x")])
    catch_up(log, host)
    host.submit(ClaimRequest(KEY, b"1", BODY, 0.0, FAR), log.now)
    log.append([Claim(KEY, b"0", "b", 1, BODY, 0.0)])
    log.append(host.take_batch())
    host.append_done()
    del log.records[:2]
    assert catch_up(log, host) == [Verdict.UNAVAILABLE]
    assert host.take_batch() == [Release(KEY, b"1")]


def test_key_with_timestamp_is_refused_outside_the_window():
    """A key with a timestamp is refused once its claim may have been evicted."""
    log, host = FakeLog(), make_host("a")
    assert claim(log, host, b"1", key_time_s=log.now) == [Verdict.WON]
    key_time_s = log.now
    log.now += WINDOW_S + 1
    log.append([Release(b"x" * 16, b"x")])
    assert claim(log, host, b"2", key_time_s=key_time_s) == [Verdict.EXPIRED]
    ahead = log.now + MAX_KEY_AHEAD_S + 1
    assert claim(log, host, b"3", key_time_s=ahead) == [Verdict.EXPIRED]
    assert claim(log, host, b"4") == [Verdict.WON]


def test_key_with_another_body_is_refused():
    """A key used with one body is refused with a different body."""
    log, host, other = FakeLog(), make_host("a"), make_host("b")
    assert claim(log, host, b"1") == [Verdict.WON]
    assert claim(log, other, b"2", body=b"else-def") == [Verdict.REUSED]


def test_known_outage_refuses_immediately():
    """A known outage refuses a claim immediately, without waiting for its timeout."""
    log, host = FakeLog(), make_host("a")
    catch_up(log, host)
    host.read_failed()
    settled = host.submit(ClaimRequest(KEY, b"1", BODY, 0.0, FAR), log.now)
    assert settled.verdict is Verdict.UNAVAILABLE
    assert not host.take_batch()


def test_claim_that_was_never_sent_needs_no_release():
    """A claim that was never appended is dropped without appending a release."""
    log, host = FakeLog(), make_host("a")
    host.submit(ClaimRequest(KEY, b"1", BODY, 0.0, log.now + 1), log.now)
    log.now += 2
    assert [row.verdict for row in host.expire(log.now)] == [Verdict.UNAVAILABLE]
    assert not host.take_batch()


def test_key_with_too_many_claims_stays_held():
    """Claims beyond the limit are not stored, so their key is never freed."""
    table = ClaimTable(WINDOW_S)
    nonces = [bytes([index]) for index in range(MAX_CLAIMS_PER_KEY + 1)]
    for offset, nonce in enumerate(nonces):
        table.replay(offset, 1.0, Claim(KEY, nonce, "a", 1, BODY, 0.0))
    for offset, nonce in enumerate(nonces[:-1]):
        table.replay(100 + offset, 1.0, Release(KEY, nonce))
    assert table.holder(KEY) is not None
    assert len(table.claims[KEY]) == MAX_CLAIMS_PER_KEY


def test_invalid_record_is_skipped():
    """An invalid record neither stops the reader nor holds a key."""
    host = make_host("a")
    records = (Record(0, 1.0, b"\xff"), Record(1, 1.0, encode_record(_claim())))
    host.read(Page(0, 2, records))
    assert host.caught_up and host.table.holder(KEY)


def _claim() -> Claim:
    return Claim(KEY, b"1", "b", 1, BODY, 0.0)


def test_release_that_comes_before_its_claim_holds():
    """A claim that the log stores after its release does not hold the key."""
    table = ClaimTable(WINDOW_S)
    table.replay(0, 1.0, Release(KEY, b"1"))
    table.replay(1, 1.0, _claim())
    assert table.holder(KEY) is None


def test_claim_above_another_is_lost_and_released():
    """Of two concurrent claims one wins, and the other is released by its host."""
    log, host, other = FakeLog(), make_host("a"), make_host("b")
    for index, claimer in enumerate((host, other)):
        claimer.submit(ClaimRequest(KEY, b"%d" % index, BODY, 0.0, FAR), log.now)
        log.append(claimer.take_batch())
        claimer.append_done()
    assert catch_up(log, host, other) == [Verdict.WON, Verdict.HELD]
    assert other.take_batch() == [Release(KEY, b"1")]
