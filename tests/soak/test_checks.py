"""The checks of crashing requests and of two versions find each fault."""

from soak.crashes import CrashHistory, Group
from soak.versions import Stream, VersionHistory


def crash_history(arrivals, **more):
    """Return a history with three endings by 2 s, and arrivals from host h0."""
    history = CrashHistory(endings=[1.0, 1.5, 2.0], **more)
    history.arrivals = [(at, f"g{number}") for number, at in enumerate(arrivals)]
    history.sent_by = {attempt: "h0" for _, attempt in history.arrivals}
    for group in Group:
        history.asked[group] = history.served[group] = 10
    return history


def test_sends_later_than_three_seconds_after_the_third_ending_count():
    assert crash_history([1.0, 2.0, 4.9, 6.0, 7.0, 8.0]).check() == []
    assert len(crash_history([5.1, 6.0, 7.0, 8.0]).check()) == 1


def test_sends_of_hosts_out_of_touch_do_not_count():
    history = crash_history([5.1, 6.0, 7.0, 8.0], was_in_touch=lambda host, at: at > 6)
    assert history.check() == []


def test_other_requests_have_to_be_served():
    history = crash_history([])
    history.served[Group.SHARED] = 8
    assert history.check() == ["0.80 of the shared requests were served"]


def stream(*events):
    return Stream("a1", list(events))


WHOLE = stream((1, "v1"), (2, "v1"))
MIXED = stream((1, "v1"), (2, "v2"))


def test_more_than_two_streams_of_two_versions_are_found():
    assert VersionHistory([WHOLE, MIXED, MIXED]).check() == []
    assert VersionHistory([MIXED] * 3).check() == [
        "3 streams of two versions, 0 in one answer"
    ]


def test_a_missing_event_and_one_that_comes_twice_are_found():
    for events in ([(1, "v1"), (3, "v1")], [(1, "v1"), (1, "v1")], [(2, "v1")]):
        assert len(VersionHistory([stream(*events)]).check()) == 1


def test_refusing_all_streams_that_are_taken_up_is_found():
    history = VersionHistory(asked=100, begun=90, taken_up=12, went_on=5)
    assert history.check() == ["0.42 went on, 0.90 began"]
    assert VersionHistory(asked=100, begun=90, taken_up=11).check() == []
