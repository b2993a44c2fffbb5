"""What operators are told of their tickets."""

import hashlib
import io
import json

import pytest

from godwitladder.configuration.replica import Phase
from godwitladder.ids import HostId, Zone
from godwitladder.metrics import Metrics
from godwitladder.serving.operators import OperatorApp
from godwitladder.settings import (
    ListenSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from tests.configuration.fakes import FakeHosts, ticket, tier


def make_settings():
    names = ("hanna", "mart")
    address = "127.0.0.1:0"
    return Settings(
        HostId("host-0"),
        Zone("a"),
        ListenSettings(address, address, address),
        PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:1"),
        PeerSettings("a secret of tests"),
        operators=tuple(
            OperatorSettings(name, hashlib.sha256(name.encode()).hexdigest())
            for name in names
        ),
    )


class Desk:
    """One host's application on a fake log that is read after each append."""

    def __init__(self):
        self.hosts = FakeHosts()
        self.follower = self.hosts.follow("host-0")
        self.client = self.hosts.clients["host-0"]
        self.client.after_append = self.follower.follow_once
        settings = make_settings()
        self.app = OperatorApp(
            settings, self.client, self.follower, Metrics(), lambda: None
        )

    def ask(self, method, path, body="", token="hanna"):
        """Return status, headers and JSON of an answer."""
        path, _, query = path.partition("?")
        data = body.encode()
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(data)),
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            "wsgi.input": io.BytesIO(data),
        }
        started = []
        answer = self.app(environ, lambda *args: started.append(args))
        status, headers = started[0]
        return int(status[:3]), dict(headers), json.loads(b"".join(answer))

    def submit(self, text, token="hanna", wait=0):
        return self.ask("POST", f"/v1/tickets?wait={wait}", text, token)


@pytest.fixture
def desk():
    return Desk()


def test_operators_in_a_race_both_read_the_true_verdict(desk):
    """Two operators submit tickets 6 and 5 for one tier; 6 comes first.

    The second one reads at once that it lost, to whom and on which object,
    and both find the same in the trail later.
    """
    assert desk.submit(ticket(6, tier("urgent"), "mart"), "mart")[2]["offset"] == 0
    status, _, answer = desk.submit(ticket(5, tier("urgent", 2)))
    assert (status, answer["verdict"], answer["cause"]) == (409, "rejected", "outdated")
    assert answer["findings"] == [
        {
            "place": "tiers.urgent",
            "text": "ticket 5 lost to ticket 6 of mart at offset 0",
        }
    ]
    assert desk.submit(ticket(6, tier("urgent"), "mart"), "mart")[::2] == (
        202,
        desk.ask("GET", "/v1/audit?from=2")[2]["audit"][0] | {"findings": []},
    )
    trail = desk.ask("GET", "/v1/audit")[2]["audit"]
    assert [row["verdict"] for row in trail] == ["accepted", "rejected", "repeated"]
    shown = desk.ask("GET", "/v1/tickets/6")[2]
    assert shown["in_force"] == ["tiers.urgent"]
    assert len(shown["verdicts"]) == 2
    listed = desk.ask("GET", "/v1/tickets")[2]["tickets"]
    assert [(row["number"], row["operator"]) for row in listed] == [(6, "mart")]


def test_ticket_under_another_operators_name_is_refused(desk):
    """A token of hanna comes with a ticket that names mart.

    Accepted, it would stand in the trail as mart's.
    """
    status, _, answer = desk.submit(ticket(1, tier("urgent"), "mart"), "hanna")
    assert (status, answer["outcome"]) == (403, "not_run")
    assert desk.ask("GET", "/v1/audit", token="nobody")[0] == 401
    assert desk.hosts.log.records.get("config", []) == []


def test_bad_ticket_never_reaches_the_log(desk):
    status, _, answer = desk.submit(ticket(0, "[tiers.urgent]\nrnk = 1"))
    assert status == 422
    assert [row["place"] for row in answer["findings"]] == [
        "ticket: number",
        "ticket: tiers.urgent.rnk",
        "ticket: tiers.urgent.rank",
    ]
    assert desk.hosts.log.records.get("config", []) == []


def test_outage_before_anything_is_sent_is_not_run(desk):
    """The log takes no connections: the ticket is not in it, and never will be."""
    desk.client.disconnected = True
    status, headers, answer = desk.submit(ticket(1, tier("urgent")))
    assert (status, answer["outcome"]) == (503, "not_run")
    assert int(headers["Retry-After"]) > 0


def test_lost_append_answer_is_settled_or_told_as_open(desk):
    """The log takes tickets 1 and 2, and both answers are lost.

    Ticket 1 shows up in the stream, and its operator reads the verdict.
    Ticket 2 doesn't in time, and its operator reads that it may have been
    taken and that the same ticket can be sent again.
    """
    desk.client.lost_answers = 2
    status, _, answer = desk.submit(ticket(1, tier("urgent")))
    assert (status, answer["verdict"]) == (202, "accepted")
    desk.client.after_append = lambda: None
    status, headers, answer = desk.submit(ticket(2, tier("urgent", 2)))
    assert (status, answer["outcome"]) == (503, "may_have_run")
    assert int(headers["Retry-After"]) > 0
    desk.client.after_append = desk.follower.follow_once
    assert desk.submit(ticket(2, tier("urgent", 2)))[2]["verdict"] == "repeated"
    trail = desk.ask("GET", "/v1/audit?from=1")[2]["audit"]
    assert [row["verdict"] for row in trail] == ["accepted", "repeated"]


def test_ticket_waits_until_the_log_agrees_with_the_state(desk):
    """The log was restored from an old copy, and hosts hold a later state.

    A ticket would be judged by some hosts against that state and by new
    ones against the copy's.
    """
    desk.submit(ticket(5, tier("urgent")))
    desk.hosts.log.records["config"].clear()
    desk.hosts.follow("host-0")
    assert desk.follower.replica.phase is Phase.FORKED
    status, _, answer = desk.submit(ticket(6, tier("urgent", 6)))
    assert (status, answer["outcome"]) == (503, "not_run")
    assert desk.hosts.log.records["config"] == []


@pytest.mark.parametrize("path", ["/v1/audit?from=x", "/v1/tickets/x", "/v1/none"])
def test_bad_questions_get_a_clear_answer(desk, path):
    assert desk.ask("GET", path)[0] in (400, 404)
