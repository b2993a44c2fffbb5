"""Forwarding of calls between hosts, with in-process links."""

import threading
from dataclasses import dataclass, field

import pytest

from godwitladder.clock import Clock
from godwitladder.serving.counting import CountedAnswer
from godwitladder.serving.forwarding import (
    MAX_ANSWER_BYTES,
    MAX_FORWARDED_CALLS,
    Forwarder,
)

ENVIRON = {"PATH_INFO": "/v1/services/charge", "HTTP_IDEMPOTENCY_KEY": "order-7"}


@dataclass(frozen=True)
class FakeLink:
    """Link that has only a peer name."""

    peer: str


@dataclass
class FakeMesh:
    """Links of one host, which deliver messages immediately."""

    host: str
    forwarders: dict[str, Forwarder]
    peers: list[str]
    lose: bool = False

    def current(self) -> list[FakeLink]:
        return [FakeLink(peer) for peer in self.peers]

    def send(self, host: str, message) -> bool:
        if host not in self.peers:
            return False
        if self.lose:
            self.peers.clear()
        else:
            self.forwarders[host].handle_message(FakeLink(self.host), message)
        return True


@dataclass
class FakeApp:
    """Answers every call and records it."""

    body: bytes = b"charged"
    calls: list[dict] = field(default_factory=list)

    def __call__(self, environ, start_response):
        self.calls.append(environ)
        start_response("200 OK", [("Content-Type", "text/plain")])
        return CountedAnswer([self.body], lambda: None)


def make_hosts(**peers: list[str]) -> dict[str, Forwarder]:
    hosts: dict[str, Forwarder] = {}
    for host, linked in peers.items():
        mesh = FakeMesh(host, hosts, linked)
        hosts[host] = Forwarder(host, 1, mesh, FakeApp(), Clock())
    return hosts


def forward_call(host: Forwarder, to: str, incarnation: int = 1):
    deadline = host.clock.monotonic() + 20
    return host.forward(to, incarnation, ENVIRON, b"one euro", deadline)


@pytest.mark.parametrize(
    "links",
    [
        {"a": ["c"], "c": ["a"]},
        {"a": ["b"], "b": ["a", "c"], "c": ["b"]},
        {"a": ["b", "d"], "b": ["a", "c"], "c": ["b"], "d": ["a"]},
    ],
)
def test_call_reaches_its_host_and_its_answer_comes_back(links):
    """The caller gets the answer of the holder, even without a direct link to it.

    The call is relayed by a host with links to both. Hosts without a link to
    the holder reply so, and the answer is expected from the others.
    """
    hosts = make_hosts(**links)
    answer = forward_call(hosts["a"], "c")
    assert (answer.status, answer.body) == ("200 OK", b"charged")
    [environ] = hosts["c"].app.calls
    assert environ["HTTP_IDEMPOTENCY_KEY"] == "order-7"
    assert environ["wsgi.input"].read() == b"one euro"
    assert not hosts["a"].pending_replies


def test_call_for_a_process_that_is_gone_has_no_answer():
    """A restarted host does not know the keys of its previous incarnation."""
    hosts = make_hosts(a=["c"], c=["a"])
    assert forward_call(hosts["a"], "c", incarnation=9) is None
    assert not hosts["c"].app.calls


def test_call_whose_links_are_lost_has_no_answer():
    """The caller does not keep waiting for a host that died during its call."""
    hosts = make_hosts(a=["c"], c=["a"])
    hosts["a"].mesh.lose = True
    assert forward_call(hosts["a"], "c") is None


def test_call_is_relayed_at_most_once():
    """A call is relayed at most once, so it does not circulate between hosts."""
    hosts = make_hosts(a=["b"], b=["a", "d"], d=["b", "c"], c=["d"])
    assert forward_call(hosts["a"], "c") is None
    assert not hosts["c"].app.calls


def test_answer_over_the_message_limit_is_not_sent():
    """An answer over the message limit is not sent, so it does not break the link."""
    hosts = make_hosts(a=["c"], c=["a"])
    hosts["c"].app.body = bytes(MAX_ANSWER_BYTES + 1)
    assert forward_call(hosts["a"], "c") is None


def test_a_call_whose_thread_is_denied_is_not_served(monkeypatch):
    """Guards against a denied thread that ends the links, or holds a place for ever."""
    hosts = make_hosts(a=["c"], c=["a"])
    with monkeypatch.context() as denied:
        denied.setattr(threading.Thread, "start", deny_thread)
        for _ in range(MAX_FORWARDED_CALLS + 1):
            assert forward_call(hosts["a"], "c") is None
    assert not hosts["c"].app.calls
    assert forward_call(hosts["a"], "c").body == b"charged"


def deny_thread(thread):
    raise RuntimeError("can't start new thread")
