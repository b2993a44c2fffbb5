"""Heads and chunks that are no HTTP, or rare ones, read by each client."""

import pytest

from tests.clients.test_cut_answers import AT_TARGETS, BY_HEAD, POOLED
from tests.engines.cut_target import Cut, CutTarget
from tests.engines.odd_heads import OddAnswers

MIN_BODY_BYTES = 16
READERS = {
    name: (lambda address, make=make, read=read: read(make(address)), body, error)
    for name, (make, read, body, error) in POOLED.items()
} | AT_TARGETS
"""Each with its call at an address, the body and the error."""


def make_answers(body):
    """Return odd answers with this body; blanks after it mean nothing to clients."""
    return OddAnswers(body.ljust(MIN_BODY_BYTES))


def whole(answer):
    """Return a target that sends all of ``answer`` and closes."""
    return CutTarget(answer, Cut(len(answer), resets=False, in_parts=False))


def check_broken(read, answers, error):
    """Check that ``read`` fails on all answers."""
    for name, answer in answers.items():
        with whole(answer) as target, pytest.raises(error):
            pytest.fail(f"{name} was read as {read(target.address)}")


def check_rare(read, answers):
    """Check that ``read`` makes the same of all answers."""
    values = []
    for answer in answers.values():
        with whole(answer) as target:
            values.append(read(target.address))
    assert all(value == values[0] for value in values)


@pytest.mark.parametrize("name", READERS)
def test_a_broken_answer_is_an_error(name):
    """Guards against bytes that a client takes for an answer of its service."""
    read, body, error = READERS[name]
    check_broken(read, make_answers(body).broken(), error)


@pytest.mark.parametrize("name", BY_HEAD)
def test_a_broken_head_tells_nothing(name):
    """Guards against an order taken for accepted, and a health check for passed."""
    read, body, error = BY_HEAD[name]
    check_broken(read, make_answers(body).broken_heads(), error)


@pytest.mark.parametrize("name", READERS)
def test_a_rare_answer_is_read(name):
    """Guards against a client that refuses what HTTP allows."""
    read, body, _ = READERS[name]
    check_rare(read, make_answers(body).rare())


@pytest.mark.parametrize("name", BY_HEAD)
def test_a_rare_head_is_read(name):
    read, body, _ = BY_HEAD[name]
    check_rare(read, make_answers(body).rare())
