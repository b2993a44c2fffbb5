"""Where streams began: what is kept, and what a service's history tells."""

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.placing import stream_origins
from godwitladder.decisions.placing.stream_origins import (
    KEEP_S,
    ReleaseHistory,
    StreamName,
    StreamOrigin,
    StreamOrigins,
    choose_replica_hosts,
)
from tests.decisions.pools import add, make_pool, make_target

V1, V2 = StreamOrigin("chat", "v1"), StreamOrigin("chat", "v2")


def test_the_table_of_origins_is_bounded(monkeypatch):
    """Guards against a table that grows with each stream that ever began."""
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 3)
    table = StreamOrigins()
    for number in range(5):
        table.record(StreamName(f"a{number}", f"b{number}"), V1, float(number))
    assert list(table.by_attempt) == ["a2", "a3", "a4"]
    assert list(table.by_body) == ["b2", "b3", "b4"]
    table.record(StreamName("a9", "b9"), V2, KEEP_S + 4.5)
    assert list(table.by_attempt) == ["a9"]
    assert list(table.by_body) == ["b9"]
    assert table.find(StreamName("a4", "b4")) is None


def test_a_service_that_had_one_version_tells_where_streams_began():
    history = ReleaseHistory()
    history.observe({V1}, 0.0)
    assert history.only_release("chat", {V1}, KEEP_S - 1) is None
    assert history.only_release("chat", {V1}, KEEP_S) == "v1"


def test_a_version_that_has_just_gone_may_have_begun_streams():
    """Guards against streams of a replaced version that go on at the next one."""
    history = ReleaseHistory()
    history.observe({V1}, 0.0)
    history.observe({V1, V2}, 100.0)
    history.observe({V2}, 101.0)
    assert history.only_release("chat", {V2}, 110.0) is None
    assert history.only_release("chat", {V2}, 100.0 + KEEP_S) == "v2"


def test_a_host_that_has_just_started_does_not_know_what_was_before():
    """Guards against a host that takes the versions of its start for all there were."""
    history = ReleaseHistory()
    assert history.only_release("chat", {V1}, 1000.0) is None
    history.observe({V1}, 1000.0)
    assert history.only_release("chat", {V1}, 1001.0) is None


def test_other_services_have_versions_of_their_own():
    history = ReleaseHistory()
    other = StreamOrigin("draft", "v7")
    history.observe({V1, other}, 0.0)
    assert history.only_release("chat", {V1, other}, KEEP_S) == "v1"


def test_the_host_that_began_a_stream_is_not_its_own_keeper():
    hosts = ["h1", "h2", "h3", "h4"]
    replicas = choose_replica_hosts(hosts, "h1", "a1")
    assert len(replicas) == 2
    assert "h1" not in replicas
    assert choose_replica_hosts(["h1"], "h1", "a1") == []


def make_versions(**limits):
    targets = [
        make_target(name, limit=limit, release=name[:2])
        for name, limit in limits.items()
    ]
    return make_pool(*targets)


def placed(pool):
    return {row.request: row.target for row in allocate(pool, 0.0).placements}


def test_a_stream_is_placed_at_its_own_version_only():
    """Guards against grants that let a stream go on at another version."""
    pool = make_versions(v1_a=1, v2_a=4)
    for number in range(3):
        add(pool, f"r{number}", release="v1")
    assert list(placed(pool).values()) == ["v1_a"]


def test_new_streams_leave_the_last_targets_of_a_version_to_those_that_go_on():
    """Guards against new streams that take the only targets which others can use."""
    pool = make_versions(v1_a=1, v2_a=4)
    for number in range(3):
        add(pool, f"new{number}")
    add(pool, "goes_on", rank=1, release="v1")
    where = placed(pool)
    assert where.pop("goes_on") == "v1_a"
    assert set(where.values()) == {"v2_a"}


def test_new_streams_use_all_versions_while_none_has_to_go_on():
    """Guards against targets that idle for streams which nobody takes up."""
    pool = make_versions(v1_a=1, v2_a=1)
    add(pool, "new0")
    add(pool, "new1")
    assert set(placed(pool).values()) == {"v1_a", "v2_a"}
