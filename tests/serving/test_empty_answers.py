"""Answers without a body, through the listener."""

import pytest

from tests.serving.odd_targets import OddTarget, head
from tests.serving.test_endless_answers import stack  # noqa: F401
from tests.serving.test_slow_readers import Listener


def ask(owned, path, *targets):
    """Return the status line of the answer to one call."""
    caller = Listener(owned, *targets).ask(path)
    received = b""
    while b"\r\n\r\n" not in received:
        block = caller.recv(65_536)
        assert block, received
        received += block
    return received.split(b"\r\n")[0]


@pytest.mark.parametrize("status", [200, 204, 404, 500])
@pytest.mark.parametrize("path", ["/charge/x", "/lookup/x"])
def test_an_answer_without_a_body_is_passed_on(stack, path, status):  # noqa: F811
    """Guards against "not run" for a call that ran and has nothing to say."""
    framing = () if status == 204 else ("Content-Length: 0",)
    answer = head(*framing, status=status)
    target = OddTarget(lambda: iter([answer]))
    assert b" %d" % status in ask(stack, path, target, target)
