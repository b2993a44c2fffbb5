"""Heads and chunks of answers are held to the grammar of HTTP, byte by byte."""

import pytest
import urllib3

from godwitladder.engines.wire import MayHaveRun
from tests.engines.odd_heads import BODY, BROKEN, VALID
from tests.engines.raw_target import RawTarget
from tests.engines.test_bounded_http import READERS, ask

FAILURES = (MayHaveRun, urllib3.exceptions.HTTPError)


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_head_or_chunk_is_no_answer(name, reader):
    """Guards against bytes that a lenient parser makes an answer of."""
    with RawTarget(BROKEN[name], closes=True) as target:
        with pytest.raises(FAILURES):
            ask(target, READERS[reader])


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("name", VALID)
def test_a_rare_head_or_chunk_is_an_answer(name, reader):
    """Guards against a grammar that is stricter than HTTP."""
    with RawTarget(VALID[name], closes=True) as target:
        assert ask(target, READERS[reader]) == (200, BODY)
