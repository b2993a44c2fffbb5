"""Targets after the store has come back from a copy of some seconds ago."""

import pytest

from godwitladder.discovery.targets import REMOVAL_DELAY_S
from tests.discovery.copied_store import STEP_S, make_region


@pytest.fixture
def region():
    """Three hosts that know two targets."""
    region = make_region(1)
    region.source.put(b"one", "e1")
    region.source.put(b"two", "e2")
    region.run(2)
    assert region.targets() == [{"e1": False, "e2": False}] * 3
    return region


def test_live_targets_that_the_copy_lacks_are_kept_until_they_write_again(region):
    """Guards against refusals though all targets work."""
    region.source.come_back(entries=1)
    region.run(1)
    assert region.targets() == [{"e1": False, "e2": False}] * 3
    region.source.put(b"two", "e2")
    region.run(REMOVAL_DELAY_S + 1)
    assert region.targets() == [{"e1": False, "e2": False}] * 3


def test_a_target_that_does_not_write_again_is_gone_soon(region):
    region.source.come_back(entries=1)
    region.run(REMOVAL_DELAY_S + 1)
    assert region.targets() == [{"e1": False}] * 3


def test_a_target_that_was_removed_does_not_come_back_in_the_copy(region):
    """Guards against calls to a target that is gone."""
    region.source.put(b"", "e2")
    region.run(1)
    region.source.come_back(entries=1)
    region.run(1)
    assert region.targets() == [{"e1": False}] * 3


@pytest.mark.parametrize("value", [b"two", b"one again"])
def test_a_target_that_was_removed_and_writes_again_is_used(region, value):
    """Guards against a live target that is taken for gone for ever."""
    key = "e2" if value == b"two" else "e1"
    region.source.put(b"", key)
    region.run(1)
    region.source.come_back(entries=1)
    region.run(1)
    region.source.put(value, key)
    region.run(1)
    assert region.targets() == [{"e1": False, "e2": False}] * 3


def test_a_removed_target_that_the_reader_never_missed_is_used_by_all_again(region):
    """Guards against a heartbeat that the reader takes for one that changes nothing.

    The reader starts anew after the copy, in which a target stands that all others have
    seen go; it does not know that they wait for the target to write again.
    """
    region.source.put(b"", "e2")
    region.run(1)
    region.source.come_back(entries=1)
    region.restart(0)
    region.run(2)
    region.source.put(b"two", "e2")
    region.run(1)
    assert region.targets() == [{"e1": False, "e2": False}] * 3


def test_a_leaving_target_goes_on_to_leave(region):
    """Guards against calls to a target that has said that it leaves."""
    region.source.put(b"one leaves", "e1")
    region.run(1)
    region.source.come_back(entries=1)
    region.run(1)
    assert region.targets() == [{"e1": True, "e2": False}] * 3
    region.source.put(b"one", "e1")
    region.run(1)
    assert region.targets() == [{"e1": False, "e2": False}] * 3


def test_a_departure_that_only_the_copy_tells_is_heeded(region):
    """Guards against the same, where the hosts had not read it."""
    region.source.put(b"one leaves", "e1")
    region.source.put(b"two", "e2")
    region.source.come_back(entries=1)
    region.run(1)
    assert region.targets() == [{"e1": True, "e2": False}] * 3


def test_a_new_process_of_a_target_that_only_the_copy_tells_is_taken(region):
    """Guards against calls to a target that are meant for the process before."""
    region.source.put(b"one again", "e1")
    region.source.come_back()
    region.run(1)
    assert {row.entries["e1"].started_ms for row in tables(region)} == {1}


def test_a_host_that_starts_is_told_of_targets_as_they_are(region):
    """Guards against calls to a target that is gone, from a new host alone."""
    region.source.put(b"", "e2")
    region.source.put(b"one leaves", "e1")
    region.run(1)
    region.source.come_back(entries=2)
    region.run(STEP_S)
    region.feeds[0].read()
    new = region.add_new()
    new.reads_at_start = False
    new.step()
    assert region.targets()[-1] == {"e1": True}


def tables(region):
    return [feed.table for feed in region.feeds]
