"""Notes on crashes that come with claims in one read of the log."""

import queue
from types import SimpleNamespace

from godwitladder.claims.actor import Claims, PageRead
from godwitladder.claims.tracker import ClaimResult, Verdict
from godwitladder.metrics import Metrics


def test_a_note_is_known_before_the_claim_behind_it_is_won():
    """A trial crashed its target; the log holds that note, then the next claim.

    A busy host reads both at once. Its waiting thread acts on the verdict as
    soon as it has it: the note must be known by then, or the request that
    crashes targets is tried once more and takes a third one.
    """
    reply: queue.SimpleQueue[ClaimResult] = queue.SimpleQueue()
    known_before = []
    claims = Claims.__new__(Claims)
    claims.metrics = Metrics()
    claims.replies = {b"n": reply}
    claims.take_note = lambda note, time: known_before.append(reply.empty())
    claims.collector = SimpleNamespace(
        read=lambda page: [ClaimResult(b"n", Verdict.WON)], notes=[("a crash", 0.0)]
    )
    claims.take(PageRead(None))
    assert known_before == [True]
    assert reply.get_nowait().verdict is Verdict.WON
