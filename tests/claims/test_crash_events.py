"""Crash events that are read from the log in the same page as claims."""

import queue
from types import SimpleNamespace

from godwitladder.claims.actor import Claims, PageRead
from godwitladder.claims.tracker import ClaimResult, Verdict
from godwitladder.metrics import Metrics


def test_crash_event_is_applied_before_results_of_later_claims():
    """Guards against a request that crashes a third target.

    A trial crashed its target. The log contains that crash event, followed by
    the claim of the next trial, and a busy host reads both in one page. Its
    waiting thread acts on the verdict as soon as it receives it. The event
    must be applied before that, or the request runs once more.
    """
    reply: queue.SimpleQueue[ClaimResult] = queue.SimpleQueue()
    known_before = []
    claims = Claims.__new__(Claims)
    claims.metrics = Metrics()
    claims.replies = {b"n": reply}
    claims.on_event = lambda event, time: known_before.append(reply.empty())
    claims.tracker = SimpleNamespace(
        read=lambda page: [ClaimResult(b"n", Verdict.WON)],
        crash_events=[("a crash", 0.0)],
    )
    claims.handle(PageRead(None))
    assert known_before == [True]
    assert reply.get_nowait().verdict is Verdict.WON
