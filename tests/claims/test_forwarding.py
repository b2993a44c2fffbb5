"""Passing calls between hosts, with links in this process."""

from dataclasses import dataclass, field

import pytest

from godwitladder.clock import Clock
from godwitladder.serving.counting import CountedAnswer
from godwitladder.serving.forwarding import MAX_ANSWER_BYTES, Forwarder

ENVIRON = {"PATH_INFO": "/v1/services/charge", "HTTP_IDEMPOTENCY_KEY": "order-7"}


@dataclass(frozen=True)
class FakeLink:
    """One end of a link."""

    peer: str


@dataclass
class FakeMesh:
    """Links of one host; what is sent arrives at once."""

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
    """Answers every call and counts them."""

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


def ask(host: Forwarder, to: str, incarnation: int = 1):
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
    """The caller gets the holder's answer, also without a direct link to it.

    The call goes by way of a host that has links to both; hosts that have
    none say so, and the answer is awaited from the others.
    """
    hosts = make_hosts(**links)
    answer = ask(hosts["a"], "c")
    assert (answer.status, answer.body) == ("200 OK", b"charged")
    [environ] = hosts["c"].app.calls
    assert environ["HTTP_IDEMPOTENCY_KEY"] == "order-7"
    assert environ["wsgi.input"].read() == b"one euro"
    assert not hosts["a"].pending_replies


def test_call_for_a_process_that_is_gone_has_no_answer():
    """A host that has restarted knows nothing of its former keys."""
    hosts = make_hosts(a=["c"], c=["a"])
    assert ask(hosts["a"], "c", incarnation=9) is None
    assert not hosts["c"].app.calls


def test_call_whose_links_are_lost_has_no_answer():
    """The caller is not left waiting for a host that died with its call."""
    hosts = make_hosts(a=["c"], c=["a"])
    hosts["a"].mesh.lose = True
    assert ask(hosts["a"], "c") is None


def test_call_is_passed_on_once():
    """Hosts that have no link to the holder don't pass a call round."""
    hosts = make_hosts(a=["b"], b=["a", "d"], d=["b", "c"], c=["d"])
    assert ask(hosts["a"], "c") is None
    assert not hosts["c"].app.calls


def test_answer_too_long_for_a_message_is_none():
    """A long answer does not break the link that it would go over."""
    hosts = make_hosts(a=["c"], c=["a"])
    hosts["c"].app.body = bytes(MAX_ANSWER_BYTES + 1)
    assert ask(hosts["a"], "c") is None
