"""Hosts tell each other at which version streams began."""

import math
import threading
import time

import cbor2
import pytest

from godwitladder.clock import Clock
from godwitladder.decisions.placing.past_releases import PastReleases
from godwitladder.decisions.placing.stream_origins import (
    KEEP_S,
    ReleaseHistory,
    StreamName,
    StreamOrigin,
)
from godwitladder.membership.codec import decode, encode
from godwitladder.serving.stream_origins import (
    OriginKnown,
    OriginWanted,
    StreamBegan,
    StreamOriginRegistry,
)

V1, V2 = StreamOrigin("core", "v1"), StreamOrigin("core", "v2")
A1, A2, A9 = (StreamName(f"a{number}", f"b{number}") for number in (1, 2, 9))
UNNAMED = StreamName("", "b1")


class FakeLink:
    """A link to a host, which takes each message at once."""

    def __init__(self, net, sender, receiver):
        self.net = net
        self.sender = sender
        self.peer = receiver

    def send(self, data):
        return self.net.deliver(self.sender, self.peer, decode(data))


class FakePeers:
    """The links of one host of a net."""

    def __init__(self, net, host):
        self.net = net
        self.host = host

    def current(self):
        others = [row for row in self.net.up() if row != self.host]
        return [FakeLink(self.net, self.host, row) for row in others]

    def send(self, host, message):
        return self.net.deliver(self.host, host, decode(encode(message)))

    def multicast(self, links, data):
        for link in links:
            link.send(data)


class Net:
    """Registries of several hosts, some of which may be gone or mute."""

    def __init__(self, *hosts):
        clock = Clock()
        self.gone, self.mute = set(), set()
        self.messages = []
        self.registries = {
            host: StreamOriginRegistry(host, FakePeers(self, host), clock)
            for host in hosts
        }
        for registry in self.registries.values():
            registry.update_targets(frozenset({V1, V2}))
            # As if started long ago.
            registry.started -= KEEP_S

    def up(self):
        return [host for host in self.registries if host not in self.gone]

    def deliver(self, sender, receiver, message):
        if {sender, receiver} & self.gone:
            return False
        self.messages.append(message)
        registry = self.registries[receiver]
        link = FakeLink(self, receiver, sender)
        if isinstance(message, StreamBegan):
            registry.receive_began(link, message)
        elif isinstance(message, OriginWanted) and receiver not in self.mute:
            registry.receive_wanted(link, message)
        elif isinstance(message, OriginKnown):
            registry.receive_known(link, message)
        return True


HOSTS = [f"h{number}" for number in range(6)]


def test_any_host_learns_where_a_stream_began():
    net = Net(*HOSTS)
    net.registries["h0"].record(A1, V1)
    for registry in net.registries.values():
        assert registry.find("core", A1) == V1


def test_the_origin_is_known_after_the_host_that_began_the_stream_is_gone():
    """Guards against streams that can't go on as their host was killed."""
    net = Net(*HOSTS)
    net.registries["h0"].record(A1, V1)
    net.gone = {"h0"}
    for host in net.up():
        assert net.registries[host].find("core", A1) == V1


def test_a_stream_of_unknown_origin_does_not_go_on():
    """Guards against a guess where two versions serve."""
    net = Net(*HOSTS)
    net.registries["h0"].record(A1, V1)
    assert net.registries["h1"].find("core", A2) is None
    assert net.registries["h1"].find("core", StreamName("", "other")) is None


def test_a_stream_that_its_caller_does_not_name_is_known_by_its_request():
    """Guards against refusing all callers that name no attempt."""
    net = Net(*HOSTS)
    net.registries["h0"].record(A1, V1)
    for registry in net.registries.values():
        assert registry.find("core", UNNAMED) == V1


def test_a_newer_equal_request_tells_nothing_after_all_hosts_were_lost():
    """Guards against a stream that goes on at the version of another, newer one."""
    net = Net(*HOSTS)
    for registry in net.registries.values():
        registry.started = registry.clock.monotonic()
    net.registries["h0"].record(StreamName("a2", "b1"), V2)
    for registry in net.registries.values():
        assert registry.find("core", UNNAMED) is None


def test_a_newer_equal_request_tells_nothing_beside_one_young_host():
    net = Net(*HOSTS)
    net.registries["h3"].started = net.registries["h3"].clock.monotonic()
    net.registries["h0"].record(StreamName("a2", "b1"), V2)
    for registry in net.registries.values():
        assert registry.find("core", UNNAMED) is None


def test_an_equal_request_tells_nothing_after_a_host_was_lost():
    """Guards against a stream that the lost host alone knew."""
    net = Net(*HOSTS)
    net.registries["h0"].record(StreamName("a2", "b1"), V2)
    registry = net.registries["h1"]
    registry.update_hosts(HOSTS)
    assert registry.find("core", UNNAMED) == V2
    registry.update_hosts(HOSTS[:-1])
    assert registry.find("core", UNNAMED) is None


def test_a_host_of_an_earlier_version_tells_not_for_how_long_it_knows():
    answer = decode(cbor2.dumps(["OriginKnown", [1, None, False]]))
    assert answer.watched_s == 0.0


def test_equal_requests_at_two_versions_tell_nothing():
    """Guards against a stream that goes on where another caller's equal one began."""
    net = Net("h0")
    net.registries["h0"].record(A1, V1)
    net.registries["h0"].record(StreamName("a2", "b1"), V2)
    assert net.registries["h0"].find("core", UNNAMED) is None
    assert net.registries["h0"].find("core", A1) == V1


def test_equal_requests_that_other_hosts_began_tell_nothing():
    """Guards against a stream that goes on where the equal one of a peer began."""
    net = Net(*HOSTS)
    for registry in net.registries.values():
        registry.hubs = frozenset({"h4"})
    net.registries["h4"].origins.record(A1, V1, 0.0)
    net.registries["h0"].origins.record(StreamName("a2", "b1"), V2, 0.0)
    assert net.registries["h0"].find("core", UNNAMED) is None
    assert net.registries["h0"].find("core", A1) == V1


def test_a_stream_without_a_name_needs_the_answers_of_all_peers():
    """Guards against a silent peer that knows of an equal request."""
    net = Net("h0", "h1", "h2")
    net.registries["h0"].origins.record(A1, V1, 0.0)
    net.mute = {"h2"}
    assert net.registries["h0"].find("core", UNNAMED) is None
    assert net.registries["h1"].find("core", A1) == V1


def test_a_peer_that_does_not_answer_delays_no_caller_for_long():
    """Guards against a frozen peer that keeps the answers of others waiting."""
    net = Net(*HOSTS)
    net.registries["h0"].record(A1, V1)
    net.mute = {"h0"}
    assert net.registries["h1"].find("core", A1) == V1
    net.mute = set(HOSTS)
    found = []
    asker = threading.Thread(
        target=lambda: found.append(net.registries["h1"].find("core", A9))
    )
    asker.start()
    asker.join(10.0)
    assert found == [None]
    assert net.registries["h1"].questions == {}


def test_nobody_is_told_while_a_service_has_one_version(monkeypatch):
    """Guards against messages for each stream when nothing could go wrong."""
    net = Net(*HOSTS)
    registry = net.registries["h0"]
    monkeypatch.setattr(
        registry.history, "only_release", lambda service, present, now, for_s: "v1"
    )
    registry.record(A1, V1)
    assert net.messages == []
    assert registry.find("core", A9) == V1


def test_a_host_that_has_lost_the_store_does_not_tell_the_only_version(monkeypatch):
    """Guards against a host that has not heard of the version that began a stream."""
    net = Net(*HOSTS)
    registry = net.registries["h0"]
    monkeypatch.setattr(
        registry.history, "only_release", lambda service, present, now, for_s: "v1"
    )
    registry.is_current = lambda: False
    assert registry.find("core", A9) is None
    net.registries["h1"].record(A9, V2)
    assert registry.find("core", A9) == V2


def test_only_hubs_keep_origins_where_not_all_hosts_are_linked():
    """Guards against replicas that the next host can't ask."""
    net = Net(*HOSTS)
    for registry in net.registries.values():
        registry.hubs = frozenset({"h4", "h5"})
    net.registries["h0"].record(A1, V1)
    replicas = [host for host in HOSTS if net.registries[host].origins.find(A1)]
    assert replicas == ["h0", "h4", "h5"]


@pytest.mark.parametrize(
    "message",
    [StreamBegan(A1, V1), OriginWanted(3, A1), OriginKnown(3, V1)]
    + [OriginKnown(3, None, True)],
)
def test_messages_pass_between_hosts_unchanged(message):
    assert decode(encode(message)) == message


class FakeEntryHistory:
    """What records of entries tell, once."""

    def __init__(self, *origins, covered_s=math.inf):
        self.past = PastReleases(frozenset(origins), covered_s, time.monotonic())
        self.reads = 0

    def read_once(self, targets, for_s):
        self.reads += 1
        return self.past if self.reads == 1 else None


def make_started(history):
    """Return the registry of a host that has just started, alone, at one version."""
    registry = Net("h0").registries["h0"]
    registry.started = registry.clock.monotonic()
    registry.history, registry.present = ReleaseHistory(), frozenset()
    registry.update_targets([V1, V1])
    registry.entry_history = history
    return registry


def test_a_stream_of_the_only_version_goes_on_after_all_hosts_are_lost():
    """Guards against streams that are refused for a minute where one version serves."""
    registry = make_started(FakeEntryHistory(V1))
    assert registry.find("core", A9, lasts_s=15.0) == V1
    assert registry.find("core", UNNAMED, lasts_s=15.0) == V1


def test_a_stream_is_refused_if_another_version_has_served_before_the_loss():
    """Guards against a stream of two versions."""
    registry = make_started(FakeEntryHistory(V1, V2))
    assert registry.find("core", A9, lasts_s=15.0) is None


def test_a_stream_is_refused_if_the_records_do_not_reach_back_to_its_begin():
    """Guards against a stream of two versions, one of which has no record left."""
    registry = make_started(FakeEntryHistory(V1, covered_s=14.0))
    assert registry.find("core", A9, lasts_s=15.0) is None


def test_a_host_that_was_there_for_long_reads_no_history():
    """Guards against reads of the store that tell nothing new."""
    history = FakeEntryHistory(V1)
    registry = make_started(history)
    registry.started -= KEEP_S
    registry.find("core", A9, lasts_s=15.0)
    assert history.reads == 0
