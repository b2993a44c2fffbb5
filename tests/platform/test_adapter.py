"""Formats and calls of the adapter to the users' platform."""

import json
import logging
import re
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from godwitladder.decisions.placing.stated_load import StatedLoad
from godwitladder.discovery.source import NO_ERA, StoreTrimmed, StoreUnavailable
from godwitladder.platform.documents import InvalidDocument, decode_document
from godwitladder.platform.entries import decode_entry
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.platform.store import StoreAnswer, StoreClient, parse_records
from godwitladder.routing.calls import DispatchMetadata
from godwitladder.routing.model import RouteKind
from godwitladder.serving.auth import key_digest
from godwitladder.standins.routed import start_store

ENTRY = {
    "service": "letters",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Shop.example",
            "pathPrefix": "/letters/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 800,
            "priority": 0,
            "trafficSplit": [
                {"service": "letters", "weight": 90},
                {"service": "drafts", "weight": 10},
            ],
            "maxAttempts": 2,
            "resumable": True,
            "gapTargetMs": 400,
        },
        {
            "name": "r2",
            "host": "shop.example",
            "pathPrefix": "/charge/",
            "kind": "non_idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "core",
            "maxAttempts": 1,
            "public": False,
        },
    ],
    "services": [
        {"name": "letters", "engine": {"slots": 9, "kvCapacity": 600, "stride": 6}},
        {"name": "drafts"},
        {"name": "core"},
    ],
    "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
    "tenants": [
        {
            "name": "w1",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "ratePerS": 100,
            "burst": 50,
            "plainTokens": 200,
        }
    ],
}
# Names in the protocols of the platform, and the folders that may use them.
PLATFORM_NAMES = re.compile(
    r"Godwitladder-|/api/|log-(append|read|newest|join)|keyed\.(op|servers|hosts)"
    r"|GODWITLADDER_NODE_FILE|Kv-From|Server-(Limit|Leaving)"
)
ADAPTER_FOLDERS = ("godwitladder/platform/", "godwitladder/standins/")


@pytest.fixture
def store():
    server = start_store()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def client(store):
    client = StoreClient(store.address)
    yield client
    client.close()


def test_names_of_the_platform_stay_in_the_adapter():
    root = Path(__file__).parents[2]
    found = [
        f"{path.relative_to(root)}: {match.group()}"
        for path in (root / "godwitladder").rglob("*.py")
        if not str(path.relative_to(root)).startswith(ADAPTER_FOLDERS)
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_a_document_holds_routes_services_and_workspaces():
    document = decode_document(json.dumps(CONFIG).encode())
    letters, charge = document.routes
    assert (letters.host, letters.kind) == ("shop.example", RouteKind.STREAM)
    assert (letters.ttft_budget_s, letters.gap_s, letters.timeout_s) == (0.8, 0.4, 15.0)
    assert [split.weight for split in letters.splits] == [90, 10]
    assert letters.resumable and not charge.resumable
    assert charge.splits[0].service == "core"
    assert document.services["letters"].event_tokens == 6
    workspace = document.workspace_of[key_digest("k2")]
    assert (workspace.name, workspace.rank) == ("w1", 1)
    assert workspace.quota.default_tokens == 200
    assert "k2" not in repr(document)


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff", b'{"version": "x"}'])
def test_an_invalid_document_is_refused(data):
    with pytest.raises(InvalidDocument):
        decode_document(data)


def test_an_entry_names_a_target():
    entry = decode_entry("e1", json.dumps(ENTRY).encode()).unwrap()
    assert (entry.name, entry.service, entry.leaving) == ("e1", "letters", False)
    leaving = decode_entry("e1", json.dumps(ENTRY | {"state": "draining"}).encode())
    assert leaving.unwrap().leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "9"},
        {"slots": 0},
        {"slots": True},
        {"address": "nowhere"},
        {"service": 5},
        {"zone": None},
        {"born": 1.5},
    ],
)
def test_an_invalid_entry_is_refused(change):
    """Guards against using an invalid entry of another program, or failing on it."""
    assert isinstance(decode_entry("e1", json.dumps(ENTRY | change).encode()), Failure)


@given(st.binary(max_size=60))
def test_any_bytes_of_an_entry_are_borne(data):
    assert isinstance(decode_entry("e1", data), Failure)


@given(st.binary(max_size=60))
def test_any_bytes_of_a_read_are_borne(data):
    try:
        parse_records(data, 0)
    except StoreUnavailable:
        pass


def test_a_truncated_read_is_refused(store, client):
    """Guards against skipping the records behind a truncation.

    A target whose leaving is among the skipped records would stay in use.
    """
    store.standin.put("keyed.t", "a", b"1")
    query = {"topic": "keyed.t", "from": 0}
    data = client._request("GET", "/api/log-read", query).data
    assert len(parse_records(data, 0)) == 1
    with pytest.raises(StoreUnavailable):
        parse_records(data[:-1], 0)


def test_newest_reads_all_pages(store, client):
    for number in range(5):
        store.standin.put("keyed.t", f"k{number}", b"v%d" % number)
    store.standin.put("keyed.t", "k1", b"")
    newest = client.newest("keyed.t")
    assert [row.key for row in newest.records] == ["k0", "k2", "k3", "k4"]
    assert newest.next == 6


def test_records_are_read_from_an_offset(store, client):
    client.append("keyed.t", "a", b"1")
    client.append("keyed.t", "b", b"2")
    (record,) = client.read("keyed.t", 1).records
    assert (record.offset, record.key, record.value) == (1, "b", b"2")
    assert client.read("keyed.t", 2).records == ()


def test_a_read_of_trimmed_records_raises(store, client):
    client.append("keyed.t", "a", b"1")
    store.standin.compact("keyed.t")
    with pytest.raises(StoreTrimmed):
        client.read("keyed.t", 0)


def test_each_read_tells_the_era_of_its_offsets(store, client):
    """Guards against offsets that are taken for those of another history."""
    store.standin.put("keyed.t", "a", b"1")
    before = client.read("keyed.t", 0).era, client.newest("keyed.t").era
    store.standin.lose_newest("keyed.t", 1)
    after = client.read("keyed.t", 0).era, client.newest("keyed.t").era
    assert (before, after) == ((1, 1), (2, 2))


def test_an_answer_without_an_era_is_of_the_one_before(store, client):
    """Guards against a history that is taken for a new one as a header is missing."""
    store.standin.era = 3
    client.read("keyed.t", 0)
    store.standin.knobs.tells_era = False
    assert client.read("keyed.t", 0).era == 3


def test_a_read_beyond_the_end_of_a_copy_raises(store, client):
    store.standin.put("keyed.t", "a", b"1")
    store.standin.lose_newest("keyed.t", 1)
    with pytest.raises(StoreTrimmed):
        client.read("keyed.t", 1)


def test_pages_of_two_eras_are_refused(store, client, monkeypatch):
    """Guards against a mixture of the records before and after a copy."""
    for key in "abcd":
        store.standin.put("keyed.t", key, b"1")
    request = client._request

    def request_and_lose(*args):
        answer = request(*args)
        store.standin.era += 1
        return answer

    monkeypatch.setattr(client, "_request", request_and_lose)
    with pytest.raises(StoreUnavailable):
        client.newest("keyed.t")


@pytest.mark.parametrize(
    "page",
    [
        {"entries": ["a"], "endOffset": 1},
        {"entries": 5, "endOffset": 1},
        {"entries": {}, "endOffset": float("inf")},
        {"entries": [{"key": "a", "offset": 2**70}], "endOffset": 1},
        {"entries": []},
    ],
)
def test_a_page_with_values_of_other_types_is_refused(client, monkeypatch, page):
    """Guards against a page that ends the thread which reads the store."""
    answer = StoreAnswer(json.dumps(page).encode(), NO_ERA)
    monkeypatch.setattr(client, "_request", lambda *args: answer)
    with pytest.raises(StoreUnavailable):
        client.newest("keyed.op")


def test_a_key_that_can_not_be_encoded_is_the_one_of_a_read(client, monkeypatch):
    """Guards against a key that ends the thread which passes records to peers."""
    page = {"entries": [{"key": "a\ud800", "offset": 0}], "endOffset": 1}
    answer = StoreAnswer(json.dumps(page).encode(), NO_ERA)
    monkeypatch.setattr(client, "_request", lambda *args: answer)
    (record,) = client.newest("keyed.op").records
    content = b"\x04a\xed\xa0\x80"
    body = bytes(16) + len(content).to_bytes(4, "big") + content
    assert record.key == parse_records(body, 0)[0].key


@pytest.mark.parametrize("status", [429, 500, 503])
def test_a_store_that_refuses_is_unavailable(store, client, status):
    store.standin.knobs.status = status
    with pytest.raises(StoreUnavailable):
        client.read("keyed.t", 0)


def test_a_callers_headers_are_read():
    facts = PlatformHeaders().read_call(
        (
            ("Godwitladder-Attempt-Id", "a1"),
            ("Godwitladder-Deadline-Ms", "1500"),
            ("Godwitladder-Token-Usage", "1460,80"),
            ("Godwitladder-Prompt-Prefix", "5c:800,91:660"),
            ("Authorization", "Bearer k1"),
            ("Godwitladder-Length-Hint", "33"),
            ("Last-Event-Id", "7"),
            ("Resumes", "a0"),
        )
    )
    assert (facts.last_event, facts.resumes) == ("7", "a0")
    assert (facts.attempt, facts.wait_s, facts.key) == ("a1", 1.5, "k1")
    assert (facts.prompt_tokens, facts.output_tokens) == (1460, 80)
    assert (facts.output_hint, facts.parts[-1].tokens) == (33, 660)


@pytest.mark.parametrize("value", ["", "x", "-5", "nan", "inf", "1e400"])
def test_an_invalid_deadline_counts_as_not_sent(value):
    facts = PlatformHeaders().read_call((("Godwitladder-Deadline-Ms", value),))
    assert facts.wait_s is None


def test_system_headers_of_a_caller_are_not_passed_on():
    """Guards against forged system headers of a caller, which a target would trust."""
    forged = (
        ("Godwitladder-Hold", "h"),
        ("godwitladder-pin-ms", "9"),
        ("Kv-From", "10.0.0.1:1/h"),
        ("Godwitladder-Kv-Backup", "10.0.0.1:1"),
        ("Godwitladder-Tenant", "other"),
        ("Authorization", "Bearer k1"),
        ("Connection", "keep-alive"),
        ("Transfer-Encoding", "chunked"),
        ("X-Own", "kept"),
    )
    sent = PlatformHeaders().for_target(forged, DispatchMetadata(1.5, "e1", "w1"))
    assert dict(sent) == {
        "X-Own": "kept",
        "Godwitladder-Deadline-Ms": "1500",
        "Godwitladder-Expect-Instance": "e1",
        "Godwitladder-Tenant": "w1",
    }


@pytest.mark.parametrize(
    ("value", "rate"),
    [("3", 3.0), ("2.7", 2.7), ("0", 0.0), ("0.25", 0.25)],
)
def test_the_rate_limit_of_a_target_is_read(value, rate):
    assert PlatformHeaders().read_answer({"Server-Limit": value}).rate_limit == rate


@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e999", "three", "3/s"])
def test_an_invalid_rate_limit_counts_as_not_stated(value):
    assert PlatformHeaders().read_answer({"Server-Limit": value}).rate_limit is None


def test_an_answer_without_a_rate_limit_states_none():
    assert PlatformHeaders().read_answer({}).rate_limit is None


@pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False), ("", False)])
def test_a_leaving_target_is_told_by_its_answers(value, leaving):
    assert PlatformHeaders().read_answer({"Server-Leaving": value}).leaving is leaving


@pytest.mark.parametrize(
    ("value", "seconds"),
    [("3", 3.0), ("0.5", 0.5), ("-1", None), ("nan", None), ("Thu, 3 Dec 2026", None)],
)
def test_the_rest_that_a_target_asks_for_is_read(value, seconds):
    answer = PlatformHeaders().read_answer({"Retry-After": value})
    assert answer.retry_after_s == seconds


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,1,8", StatedLoad(3, 1, 8)),
        ("3, 1, 8, 250", StatedLoad(3, 1, 8, 2.5)),
        ("0,0,1,62.5", StatedLoad(0, 0, 1, 0.625)),
    ],
)
def test_the_load_of_a_target_is_read(value, load):
    headers = {"Godwitladder-Engine-Load": value}
    assert PlatformHeaders().read_answer(headers).load == load


@pytest.mark.parametrize(
    "value",
    [
        "",
        "3",
        "3,1",
        "3,1,8,",
        "3,1,8,100,1",
        "3,1,0,100",
        "-1,1,8,100",
        "3,1.5,8,100",
        "3,1,8,0",
        "3,1,8,-100",
        "3,1,8,nan",
        "3,1,8,inf",
        "3,1,8,10001",
        "1000001,1,8",
        "9" * 5000 + ",1,8",
    ],
)
def test_an_invalid_load_counts_as_not_stated(value):
    """Guards against decisions by the nonsense that a faulty target reports."""
    headers = {"Godwitladder-Engine-Load": value}
    assert PlatformHeaders().read_answer(headers).load is None


def test_invalid_loads_in_every_answer_are_logged_a_few_times(caplog):
    """Guards against a log line in each answer of a faulty target."""
    caplog.set_level(logging.INFO, "godwitladder")
    codec = PlatformHeaders()
    for _ in range(1000):
        codec.read_answer({"Godwitladder-Engine-Load": "busy"})
    lines = [row for row in caplog.records if "load report" in row.getMessage()]
    assert [row.invalid_reports for row in lines] == [2**n for n in range(10)]
