"""Which hosts are considered live."""

from godwitladder.membership.members import SUSPICION_FACTOR, Member, Members

TIMEOUT_S = 3.0


def member(host: str, incarnation: int = 1, count: int = 0, last_heard: float = 0.0):
    return Member(host, "a", "127.0.0.1:1", incarnation, last_heard, count=count)


def live(members: Members, now: float) -> list[str]:
    return [row.host for row in members.live(now)]


def test_news_of_a_host_that_is_gone_does_not_keep_it_live():
    """Guards against a dead host that keeps its grants and its share of targets.

    Peers keep relaying the last heartbeat count of a dead host to each other. Only
    a count that increases proves that a host is alive, so the host must time out.
    """
    members = Members(TIMEOUT_S)
    members.record_heartbeat(member("host-a1", count=7))
    for now in (1.0, 2.0, 3.0):
        members.record_gossip("host-a1", 1, 7, now)
    assert live(members, 3.0) == []


def test_a_count_that_advances_keeps_a_host_live():
    members = Members(TIMEOUT_S)
    members.record_heartbeat(member("host-a1", count=7))
    members.record_gossip("host-a1", 1, 8, 2.0)
    assert live(members, 4.0) == ["host-a1"]


def test_an_older_incarnation_changes_nothing():
    """Guards against a late heartbeat of the process before a host's restart.

    Accepting it would replace the new process in the list, and lookups of requests
    would go to a process that no longer exists.
    """
    members = Members(TIMEOUT_S)
    assert members.record_heartbeat(member("host-a1", incarnation=2))
    assert not members.record_heartbeat(
        member("host-a1", incarnation=1, last_heard=2.0)
    )
    members.record_gossip("host-a1", 1, 50, 2.0)
    assert members.rows["host-a1"].incarnation == 2
    assert live(members, 3.0) == []


def test_report_of_a_host_is_no_sign_of_life():
    """Guards against a dead host that two hosts keep live by reporting it."""
    members = Members(TIMEOUT_S)
    members.record_report(member("host-a1", last_heard=10.0))
    assert live(members, 10.0) == []
    members.reported.add("host-a1")
    assert live(members, 10.0) == ["host-a1"]


def test_suspicion_of_a_reported_host_ends():
    """Guards against a live host that is missing for good after its link closed."""
    members = Members(TIMEOUT_S)
    members.record_heartbeat(member("host-a1"))
    members.reported.add("host-a1")
    members.suspect("host-a1", 1.0)
    assert live(members, 1.0) == []
    assert live(members, 1.0 + SUSPICION_FACTOR * TIMEOUT_S) == ["host-a1"]
    members.remove_report("host-a1", 20.0)
    assert live(members, 20.0) == []


def test_reported_host_that_is_no_hub_is_not_heard_by_its_longer_timeout():
    """Guards against a report that counts as heard once its host is no hub."""
    members = Members(TIMEOUT_S)
    members.record_report(member("host-a1", last_heard=10.0))
    members.non_hubs = frozenset({"host-a1"})
    assert live(members, 10.0) == []
