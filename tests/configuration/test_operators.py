"""Tests of the answers to operators about their tickets."""

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


class OperatorHarness:
    """One host's operator application on a fake log, read after each append."""

    def __init__(self):
        self.hosts = FakeHosts()
        self.follower = self.hosts.follow("host-0")
        self.client = self.hosts.clients["host-0"]
        self.client.after_append = self.follower.follow_once
        settings = make_settings()
        self.app = OperatorApp(
            settings, self.client, self.follower, Metrics(), lambda: None
        )

    def request(self, method, path, body="", token="hanna"):
        """Send a request; return status, headers and JSON of the answer."""
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
        return self.request("POST", f"/v1/tickets?wait={wait}", text, token)


@pytest.fixture
def harness():
    return OperatorHarness()


def test_racing_operators_both_get_the_correct_verdict(harness):
    """Two operators submit tickets 6 and 5 for one tier; 6 is appended first.

    The second operator must be told at once which object lost to which ticket
    and whose it was, and the audit trail must show both the same verdicts.
    """
    assert harness.submit(ticket(6, tier("urgent"), "mart"), "mart")[2]["offset"] == 0
    status, _, answer = harness.submit(ticket(5, tier("urgent", 2)))
    assert (status, answer["verdict"], answer["cause"]) == (409, "rejected", "outdated")
    assert answer["findings"] == [
        {
            "place": "tiers.urgent",
            "text": "ticket 5 lost to ticket 6 of mart at offset 0",
        }
    ]
    assert harness.submit(ticket(6, tier("urgent"), "mart"), "mart")[::2] == (
        202,
        harness.request("GET", "/v1/audit?from=2")[2]["audit"][0] | {"findings": []},
    )
    audit = harness.request("GET", "/v1/audit")[2]["audit"]
    assert [row["verdict"] for row in audit] == ["accepted", "rejected", "repeated"]
    shown = harness.request("GET", "/v1/tickets/6")[2]
    assert shown["in_force"] == ["tiers.urgent"]
    assert len(shown["verdicts"]) == 2
    listed = harness.request("GET", "/v1/tickets")[2]["tickets"]
    assert [(row["number"], row["operator"]) for row in listed] == [(6, "mart")]


def test_ticket_under_another_operators_name_is_refused(harness):
    """A request with hanna's token carries a ticket that names mart.

    If it were accepted, the audit trail would attribute it to mart.
    """
    status, _, answer = harness.submit(ticket(1, tier("urgent"), "mart"), "hanna")
    assert (status, answer["outcome"]) == (403, "not_run")
    assert harness.request("GET", "/v1/audit", token="nobody")[0] == 401
    assert harness.hosts.log.records.get("config", []) == []


def test_bad_ticket_never_reaches_the_log(harness):
    status, _, answer = harness.submit(ticket(0, "[tiers.urgent]\nrnk = 1"))
    assert status == 422
    assert [row["place"] for row in answer["findings"]] == [
        "ticket: number",
        "ticket: tiers.urgent.rnk",
        "ticket: tiers.urgent.rank",
    ]
    assert harness.hosts.log.records.get("config", []) == []


def test_outage_before_anything_is_sent_is_not_run(harness):
    """The log refuses connections, so the ticket certainly was not appended."""
    harness.client.disconnected = True
    status, headers, answer = harness.submit(ticket(1, tier("urgent")))
    assert (status, answer["outcome"]) == (503, "not_run")
    assert int(headers["Retry-After"]) > 0


def test_lost_append_answer_is_resolved_or_reported_as_open(harness):
    """The log appends tickets 1 and 2, but both answers are lost.

    Ticket 1 appears in the stream in time, and its operator gets the verdict.
    Ticket 2 does not, and its operator is told that it may have been appended
    and that the same ticket can be sent again.
    """
    harness.client.lost_answers = 2
    status, _, answer = harness.submit(ticket(1, tier("urgent")))
    assert (status, answer["verdict"]) == (202, "accepted")
    harness.client.after_append = lambda: None
    status, headers, answer = harness.submit(ticket(2, tier("urgent", 2)))
    assert (status, answer["outcome"]) == (503, "may_have_run")
    assert int(headers["Retry-After"]) > 0
    harness.client.after_append = harness.follower.follow_once
    assert harness.submit(ticket(2, tier("urgent", 2)))[2]["verdict"] == "repeated"
    audit = harness.request("GET", "/v1/audit?from=1")[2]["audit"]
    assert [row["verdict"] for row in audit] == ["accepted", "repeated"]


def test_ticket_waits_until_the_log_agrees_with_the_state(harness):
    """The log was restored from an old copy, and hosts hold a later state.

    Existing hosts would evaluate a ticket against that state and new hosts
    against the restored one, so it must not be appended.
    """
    harness.submit(ticket(5, tier("urgent")))
    harness.hosts.log.records["config"].clear()
    harness.hosts.follow("host-0")
    assert harness.follower.replica.phase is Phase.FORKED
    status, _, answer = harness.submit(ticket(6, tier("urgent", 6)))
    assert (status, answer["outcome"]) == (503, "not_run")
    assert harness.hosts.log.records["config"] == []


@pytest.mark.parametrize("path", ["/v1/audit?from=x", "/v1/tickets/x", "/v1/none"])
def test_invalid_requests_get_a_client_error(harness, path):
    assert harness.request("GET", path)[0] in (400, 404)
