"""Claims in single steps: retention, gaps, dated keys, outages."""

from godwitladder.claims.records import Claim, Release, encode_record
from godwitladder.claims.table import AHEAD_S, RIVALS_PER_KEY, ClaimTable
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
    log: FakeLog, host: ClaimTracker, nonce: bytes, body=BODY, dated=0.0
) -> list[Verdict]:
    catch_up(log, host)
    settled = host.want(ClaimRequest(KEY, nonce, body, dated, FAR), log.now)
    if settled:
        return [settled.verdict]
    log.append(host.take_batch())
    host.append_done()
    return catch_up(log, host)


def test_release_is_appended_until_the_log_answers():
    """The caller was told "not run" in an outage and sends its key again.

    The claim was applied, the request was shed, and the append of the release
    failed. The release is appended again once the log answers, so that the
    key is free on another host.
    """
    log, host, other = FakeLog(), make_host("a"), make_host("b")
    assert claim(log, host, b"1") == [Verdict.WON]
    host.give_up(KEY, b"1")
    host.take_batch()
    host.append_failed(log.now)
    assert claim(log, other, b"2") == [Verdict.HELD]
    log.append(host.take_batch())
    assert claim(log, other, b"3") == [Verdict.WON]


def test_claim_outlives_the_records_retention():
    """An order sent again the next day does not run a second time.

    The log drops the claim's record before the window of its key is over.
    The host has recorded the claim again before, so that a host which starts
    later still finds the key held, and by the first record's offset.
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


def test_snapshot_holds_against_a_rival_between_it_and_the_first_record():
    """A host that starts late reads a rival's claim before the snapshot.

    The rival lost to the first record, which is dropped by now. The snapshot
    that follows tells the first offset, so the rival doesn't hold the key.
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


def test_records_dropped_unread_fail_the_claims_under_way():
    """A host frozen past the retention refuses what it was claiming.

    It wakes, and the records between were dropped: one of them may have been
    a lower claim for its key. Its own record is still there to be read, yet
    it proves nothing, so the request is refused as not run and released.
    """
    log, host = FakeLog(), make_host("a")
    log.append([Release(b"x" * 16, b"x")])
    catch_up(log, host)
    host.want(ClaimRequest(KEY, b"1", BODY, 0.0, FAR), log.now)
    log.append([Claim(KEY, b"0", "b", 1, BODY, 0.0)])
    log.append(host.take_batch())
    host.append_done()
    del log.records[:2]
    assert catch_up(log, host) == [Verdict.UNAVAILABLE]
    assert host.take_batch() == [Release(KEY, b"1")]


def test_dated_key_is_refused_after_the_window_and_other_keys_are_free():
    """A key that tells its time is refused once its claim may be forgotten."""
    log, host = FakeLog(), make_host("a")
    assert claim(log, host, b"1", dated=log.now) == [Verdict.WON]
    dated = log.now
    log.now += WINDOW_S + 1
    log.append([Release(b"x" * 16, b"x")])
    assert claim(log, host, b"2", dated=dated) == [Verdict.EXPIRED]
    ahead = log.now + AHEAD_S + 1
    assert claim(log, host, b"3", dated=ahead) == [Verdict.EXPIRED]
    assert claim(log, host, b"4") == [Verdict.WON]


def test_key_with_another_body_is_refused():
    """A key that was used for one order must not stand for another."""
    log, host, other = FakeLog(), make_host("a"), make_host("b")
    assert claim(log, host, b"1") == [Verdict.WON]
    assert claim(log, other, b"2", body=b"else-def") == [Verdict.REUSED]


def test_known_outage_refuses_at_once():
    """In an outage the caller is refused at once, not when its patience ends."""
    log, host = FakeLog(), make_host("a")
    catch_up(log, host)
    host.read_failed()
    settled = host.want(ClaimRequest(KEY, b"1", BODY, 0.0, FAR), log.now)
    assert settled.verdict is Verdict.UNAVAILABLE
    assert not host.take_batch()


def test_claim_that_was_never_sent_needs_no_release():
    """A request refused before its claim left the host costs no append."""
    log, host = FakeLog(), make_host("a")
    host.want(ClaimRequest(KEY, b"1", BODY, 0.0, log.now + 1), log.now)
    log.now += 2
    assert [row.verdict for row in host.expire(log.now)] == [Verdict.UNAVAILABLE]
    assert not host.take_batch()


def test_crowded_key_stays_held():
    """Rivals beyond the bound are not kept, so the key is never freed."""
    table = ClaimTable(WINDOW_S)
    nonces = [bytes([index]) for index in range(RIVALS_PER_KEY + 1)]
    for offset, nonce in enumerate(nonces):
        table.replay(offset, 1.0, Claim(KEY, nonce, "a", 1, BODY, 0.0))
    for offset, nonce in enumerate(nonces[:-1]):
        table.replay(100 + offset, 1.0, Release(KEY, nonce))
    assert table.holder(KEY) is not None
    assert len(table.rows[KEY]) == RIVALS_PER_KEY


def test_bad_record_is_passed_over():
    """Bytes that are no record neither stop the reader nor hold a key."""
    host = make_host("a")
    records = (Record(0, 1.0, b"\xff"), Record(1, 1.0, encode_record(_claim())))
    host.read(Page(0, 2, records))
    assert host.caught_up and host.table.holder(KEY)


def _claim() -> Claim:
    return Claim(KEY, b"1", "b", 1, BODY, 0.0)


def test_release_that_comes_before_its_claim_holds():
    """An append that the log applies after its host gave up burns no key."""
    table = ClaimTable(WINDOW_S)
    table.replay(0, 1.0, Release(KEY, b"1"))
    table.replay(1, 1.0, _claim())
    assert table.holder(KEY) is None


def test_claim_above_another_is_lost_and_released():
    """Of two hosts that claim at once, one wins; the other frees its claim."""
    log, host, other = FakeLog(), make_host("a"), make_host("b")
    for index, claimer in enumerate((host, other)):
        claimer.want(ClaimRequest(KEY, b"%d" % index, BODY, 0.0, FAR), log.now)
        log.append(claimer.take_batch())
        claimer.append_done()
    assert catch_up(log, host, other) == [Verdict.WON, Verdict.HELD]
    assert other.take_batch() == [Release(KEY, b"1")]
