"""Tests of the reports of a hub."""

from godwitladder.membership.codec import decode
from godwitladder.membership.directory import DirectoryPublisher
from godwitladder.membership.members import Member


class RecordingLink:
    """A link that keeps what is sent."""

    def __init__(self):
        self.messages = []

    def send(self, data):
        self.messages.append(decode(data))


def member(host, count=0):
    return Member(host, "r", f"{host}:1", 1, 0.0, count=count)


def test_change_that_moves_a_peer_to_another_hub_still_reaches_it():
    """Guards against a peer that hears of a change late, as its hub has changed too."""
    publisher, link = DirectoryPublisher("hub"), RecordingLink()
    publisher.publish([member("a"), member("b")], [link])
    publisher.publish([member("a")], [])
    assert link.messages[-1].removed == ("b",)


def test_heartbeat_alone_is_not_reported():
    """Guards against a report to every host for every heartbeat."""
    publisher, link = DirectoryPublisher("hub"), RecordingLink()
    publisher.publish([member("a")], [link])
    publisher.publish([member("a", count=5)], [link])
    assert len(link.messages) == 1


def test_changed_entry_is_reported():
    """Guards against a kept report of a host that has restarted."""
    publisher, link = DirectoryPublisher("hub"), RecordingLink()
    publisher.publish([member("a")], [link])
    restarted = Member("a", "r", "a:1", 2, 0.0)
    publisher.publish([restarted], [link])
    assert link.messages[-1].members[0].incarnation == 2
