"""Tests of the way from a link to the actors."""

from types import SimpleNamespace

from godwitladder.membership.messages import Directory
from godwitladder.membership.router import Router


def test_report_of_a_hub_reaches_the_membership():
    """Guards against a message type that every host drops without a sign."""
    received = []
    router = Router("h1")
    membership = SimpleNamespace(tell=received.append)
    router.connect(None, membership, SimpleNamespace(), SimpleNamespace())
    report = Directory("hub", True, ())
    router.deliver(None, report)
    assert received == [report]
