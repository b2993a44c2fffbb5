"""Which hosts count as live."""

from godwitladder.membership.members import Member, Members

TIMEOUT_S = 3.0


def member(host: str, incarnation: int = 1, count: int = 0, last_heard: float = 0.0):
    return Member(host, "a", "127.0.0.1:1", incarnation, last_heard, count=count)


def live(members: Members, now: float) -> list[str]:
    return [row.host for row in members.live(now)]


def test_news_of_a_host_that_is_gone_does_not_keep_it_live():
    """A host dies; its grants and its share of the targets must come free.

    Two peers go on telling each other the last count they know of it. Only a
    count that advances is a sign of life, so it ends at the timeout.
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
    """A host restarts at its address; a late heartbeat of the old process comes.

    Taking it in would hide the new process, and requests bound to the old
    one would be looked for where nobody can answer.
    """
    members = Members(TIMEOUT_S)
    assert members.record_heartbeat(member("host-a1", incarnation=2))
    assert not members.record_heartbeat(
        member("host-a1", incarnation=1, last_heard=2.0)
    )
    members.record_gossip("host-a1", 1, 50, 2.0)
    assert members.rows["host-a1"].incarnation == 2
    assert live(members, 3.0) == []
