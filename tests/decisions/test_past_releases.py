"""Which versions targets had, as the records of their entries tell."""

import math

from godwitladder.decisions.placing.past_releases import covered_time, records_needed
from godwitladder.decisions.placing.stream_origins import (
    KEEP_S,
    ReleaseHistory,
    StreamOrigin,
)

V1, V2 = StreamOrigin("chat", "v1"), StreamOrigin("chat", "v2")


def test_a_target_that_writes_more_often_does_not_lengthen_what_is_covered():
    """Guards against a version that is missed as records reach back less than thought.

    Two targets wrote ten times in nine seconds, a third one thirty times.
    """
    writers = ["a"] * 10 + ["b"] * 10 + ["c"] * 30
    assert covered_time(writers, 1.0, is_whole=False) == 6.0


def test_targets_that_have_just_started_shorten_what_is_covered():
    """Guards against a stream that is joined to one of a version that had gone."""
    writers = ["old"] * 100 + ["new-1"] * 2 + ["new-2"] * 2
    assert covered_time(writers, 1.0, is_whole=False) == 0.0


def test_records_cover_nothing_if_the_interval_is_not_known():
    """Guards against a guess where the settings do not tell the interval."""
    assert covered_time(["a"] * 100, math.inf, is_whole=False) == 0.0
    assert covered_time([], 1.0, is_whole=False) == 0.0


def test_the_first_record_ever_written_covers_all():
    """Guards against streams that are refused in a system that has just begun."""
    assert covered_time(["a"], math.inf, is_whole=True) == math.inf


def test_the_records_that_are_read_cover_the_time_asked_for():
    """Guards against a read that is too short to be of use."""
    for targets in (1, 12, 126):
        count = records_needed(targets, 1.2, 15.0)
        writers = [str(number % targets) for number in range(count)]
        assert covered_time(writers, 1.2, is_whole=False) >= 15.0


def test_a_version_of_before_the_start_is_known_to_a_host_that_has_just_started():
    """Guards against streams of one version that are refused after all hosts are lost.

    Nobody that knew the version is left; its targets' records are.
    """
    history = ReleaseHistory()
    history.observe({V1}, 100.0)
    assert history.only_release("chat", {V1}, 101.0, 15.0) is None
    history.extend({V1}, 16.0, 101.0)
    assert history.only_release("chat", {V1}, 101.0, 15.0) == "v1"
    assert history.only_release("chat", {V1}, 101.0) is None


def test_a_version_that_has_gone_before_the_start_is_another_one():
    """Guards against a stream that goes on at another version than its own."""
    history = ReleaseHistory()
    history.observe({V2}, 100.0)
    history.extend({V1, V2}, math.inf, 101.0)
    assert history.only_release("chat", {V2}, 102.0, 15.0) is None
    assert history.only_release("chat", {V2}, 100.0 + KEEP_S, 15.0) == "v2"


def test_a_version_that_is_watched_is_not_aged_by_older_records():
    """Guards against a version that is forgotten while it serves."""
    history = ReleaseHistory()
    history.observe({V1}, 100.0)
    history.observe({V1}, 150.0)
    history.extend({V1}, 20.0, 150.0)
    assert history.present_at[V1] == 150.0
