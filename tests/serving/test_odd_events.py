"""Events of targets with odd values, of which one answer is joined."""

import json

from godwitladder.engines.engine import Chunk
from godwitladder.serving.joining import JoinedAnswer
from godwitladder.serving.relay import AnswerTruncated
from tests.odd_values import odd_rows

DELTA = {"role": "assistant", "content": "x"}
CHOICE = {"index": 0, "delta": DELTA, "finish_reason": "stop"}
EVENT = {"choices": [CHOICE], "usage": {"total_tokens": 1}}
GOOD = json.dumps(EVENT).encode()


def odd_events():
    yield from odd_rows(EVENT)
    for choice in odd_rows(CHOICE):
        yield b'{"choices": [%s]}' % choice
    for delta in odd_rows(DELTA):
        yield b'{"choices": [{"index": 0, "delta": %s}]}' % delta


def test_odd_events_are_joined_or_refused():
    """Guards against a call that fails as if its host were at fault."""
    refused = 0
    for data in odd_events():
        answer = JoinedAnswer("id", "model")
        try:
            for number, part in enumerate((GOOD, data, GOOD)):
                answer.add(Chunk("s", number, part))
        except AnswerTruncated:
            refused += 1
            continue
        assert json.loads(answer.to_json())["model"] == "model"
    assert refused > 100
