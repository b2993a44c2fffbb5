"""Configurations that no operator can mean, and the shapes that are valid."""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.discovery.source import Record
from godwitladder.platform import names
from godwitladder.platform.documents import (
    MAX_VERSION,
    InvalidDocument,
    decode_document,
)
from godwitladder.platform.source import PlatformSource
from godwitladder.platform.store import StoreClient
from godwitladder.routing.model import RouteKind
from godwitladder.serving.auth import key_digest
from godwitladder.standins.routed import start_store
from tests.platform.test_adapter import CONFIG

MISSING = object()

# One shape of each kind that deployments use, with fields that hosts don't read.
STREAM_ROUTE = {
    "name": "r-1",
    "host": "shop.example",
    "pathPrefix": "/letters/",
    "kind": "streaming",
    "timeoutMs": 15000,
    "targetLatencyMs": 800,
    "priority": 0,
    "trafficSplit": [
        {"service": "letters", "weight": 90},
        {"service": "core", "weight": 10},
    ],
    "maxAttempts": 1,
    "public": False,
    "sticky": True,
    "resumable": False,
    "gapTargetMs": 400,
}
PLAIN_ROUTE = {
    "name": "r-2",
    "host": "shop.example",
    "pathPrefix": "/charge/",
    "kind": "non_idempotent",
    "timeoutMs": 1500,
    "targetLatencyMs": 200,
    "priority": 1,
    "service": "core",
    "maxAttempts": 2,
    "public": False,
    "sticky": False,
}
ENGINE = {
    "slots": 9,
    "kvCapacity": 616741,
    "kvTokenBytes": 163840,
    "linkMbps": 260000.0,
    "moves": True,
    "stride": 6,
    "pinMs": 4000.0,
    "models": [{"name": "m"}],
}
VALID = {
    "version": 7,
    "routes": [STREAM_ROUTE, PLAIN_ROUTE],
    "services": [
        {"name": "letters", "healthPath": "/health", "maxConns": 720, "engine": ENGINE},
        {"name": "core", "healthPath": "/health", "protocol": "h1", "tls": False},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "w1",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "unit": "token_count",
            "plainTokens": 200,
            "ratePerS": 157205,
            "burst": 157205,
        },
        {"name": "w2", "apiKeys": ["k3"]},
    ],
}


def change(*path, to=MISSING, base=VALID):
    """Return a valid document with one value replaced or removed."""
    document = copy.deepcopy(base)
    row = document
    for name in path[:-1]:
        row = row[name]
    if to is MISSING:
        del row[path[-1]]
    else:
        row[path[-1]] = to
    return document


def decode(document):
    return decode_document(json.dumps(document).encode())


def add(table, **row):
    rows = VALID[table]
    return change(table, to=[*rows, rows[-1] | row])


ROUTE = ("routes", 1)
INVALID = {
    "only a version": {"version": 7},
    **{f"routes {to!r}": change("routes", to=to) for to in (None, {}, 0, "", "x")},
    "no routes": change("routes"),
    "no services": change("services"),
    **{f"services {to!r}": change("services", to=to) for to in (None, {}, 0, "")},
    **{f"tenants {to!r}": change("tenants", to=to) for to in ({}, 0, "", False, "x")},
    "limits as a list": change("limits", to=[]),
    **{
        f"version {to!r}": change("version", to=to)
        for to in (None, "7", 9.5, -1, True, 2**63 - 1, MAX_VERSION + 1, 1e300)
    },
    "no version": change("version"),
    **{f"public {to!r}": change(*ROUTE, "public", to=to) for to in ("false", 0, 1, [])},
    "resumable in a text": change("routes", 0, "resumable", to="false"),
    "an unlisted service": change(*ROUTE, "service", to="gone"),
    "a split to an unlisted service": change(
        "routes", 0, "trafficSplit", 1, "service", to="gone"
    ),
    "a service that a route needs": change(
        "services", to=[{"name": "core"}, {"name": "other"}]
    ),
    "a weight below 0": change("routes", 0, "trafficSplit", 0, "weight", to=-1),
    "no weight above 0": change(
        "routes", 0, "trafficSplit", to=[{"service": "core", "weight": 0}]
    ),
    "no weight": change("routes", 0, "trafficSplit", to=[{"service": "core"}]),
    "splits in a table": change("routes", 0, "trafficSplit", to={"core": 1}),
    "no service": change(*ROUTE, "service"),
    **{
        f"prefix {to!r}": change(*ROUTE, "pathPrefix", to=to)
        for to in ("", "charge", "/charge", "charge/", None, 5)
    },
    **{f"kind {to!r}": change(*ROUTE, "kind", to=to) for to in (None, "", 5, [])},
    "no kind": change(*ROUTE, "kind"),
    **{f"host {to!r}": change(*ROUTE, "host", to=to) for to in (None, "", [], 5)},
    **{f"name {to!r}": change(*ROUTE, "name", to=to) for to in (None, "", 5)},
    "two routes of one host and prefix": add("routes", name="r-3"),
    "that in other letters": add("routes", name="r-3", host="SHOP.example"),
    "two routes of one name": add("routes", pathPrefix="/other/"),
    "two services of one name": add("services"),
    "two tenants of one name": add("tenants", apiKeys=["k9"]),
    "a key of two tenants": add("tenants", name="w3", apiKeys=["k9", "k1"]),
    **{
        f"{name} {to!r}": change(*ROUTE, name, to=to)
        for name in ("timeoutMs", "targetLatencyMs", "maxAttempts", "priority")
        for to in (-5, "5", True, [], 10**30)
    },
    "half an attempt": change(*ROUTE, "maxAttempts", to=1.5),
    **{
        f"limit {name}": change("limits", name, to=-1)
        for name in ("maxHeaderBytes", "maxBodyBytes", "idleTimeoutMs")
    },
    **{
        f"keys {to!r}": change("tenants", 0, "apiKeys", to=to)
        for to in ("k1", [1], [""], [None], {"k1": 1}, ["k1", 5])
    },
    **{
        f"tenant's {name}": change("tenants", 0, name, to=-1)
        for name in ("ratePerS", "burst", "plainTokens", "priority")
    },
    "slots below 0": change("services", 0, "engine", "slots", to=-1),
    "an engine as a list": change("services", 0, "engine", to=[]),
    "a route that is a text": change("routes", 1, to="r-2"),
}
TEXT = json.dumps(VALID).encode()
RAW_INVALID = [
    b"",
    b"null",
    b"[]",
    b'"x"',
    b"[" * 50_000,
    TEXT[:-1],
    TEXT.replace(b'"version": 7', b'"version": 7, "version": 8'),
    TEXT.replace(b'"public": false', b'"public": true, "public": 0'),
    TEXT.replace(b"157205", b"NaN"),
]
ALLOWED = {
    "all as deployments write it": VALID,
    "the other example": CONFIG,
    "no tenants": change("tenants"),
    "no tenant": change("tenants", to=None),
    "no limits": change("limits"),
    "no routes yet": change("routes", to=[]),
    "unknown fields": change("routes", 0, "later", to={"a": [1, None]}),
    "an unknown table": change("later", to=[{"name": 5}]),
    "a kind of a later version": change(*ROUTE, "kind", to="keyed"),
    "a weight of 0 beside others": change(
        "routes", 0, "trafficSplit", 1, "weight", to=0
    ),
    "fractions of a weight": change("routes", 0, "trafficSplit", 1, "weight", to=0.5),
    "a whole number as a float": change("version", to=7.0),
    "a fraction of a token": change("services", 0, "engine", "kvCapacity", to=6.5),
    "a fraction of a byte": change("limits", "maxBodyBytes", to=1048576.5),
    "a version of nanoseconds": change("version", to=1_796_565_468_995_000_000),
    **{
        f"no {name}": change("routes", 0, name)
        for name in STREAM_ROUTE
        if name not in ("name", "host", "pathPrefix", "kind", "trafficSplit")
    },
    **{
        f"{name} null": change("routes", 0, name, to=None)
        for name in STREAM_ROUTE
        if name not in ("name", "host", "pathPrefix", "kind", "trafficSplit")
    },
    **{f"no {name} of a tenant": change("tenants", 0, name) for name in
       ("apiKeys", "priority", "unit", "plainTokens", "ratePerS", "burst")},
    "no health path": change("services", 0, "healthPath"),
    "no engine": change("services", 0, "engine"),
    "one prefix at two hosts": add("routes", name="r-3", host="other.example"),
    "a service that no route needs": add("services", name="spare"),
    "a key twice at one tenant": change("tenants", 0, "apiKeys", to=["k1", "k1"]),
}  # fmt: skip


@pytest.mark.parametrize("document", INVALID.values(), ids=INVALID)
def test_a_document_that_no_operator_can_mean_is_refused(document):
    """Guards against open routes, lost routes and keys that nobody gave."""
    with pytest.raises(InvalidDocument) as raised:
        decode(document)
    assert raised.value.findings
    assert len(str(raised.value)) <= 300


@pytest.mark.parametrize("data", RAW_INVALID, ids=range(len(RAW_INVALID)))
def test_bytes_that_are_no_document_are_refused(data):
    with pytest.raises(InvalidDocument):
        decode_document(data)


@pytest.mark.parametrize("document", ALLOWED.values(), ids=ALLOWED)
def test_a_document_that_the_pages_allow_is_taken(document):
    """Guards against a check that keeps an operator's change out of force."""
    assert decode(document).version == int(document["version"])


def test_what_is_left_out_has_the_documented_meaning():
    document = decode(change("tenants"))
    assert not document.requires_keys
    later = decode(change(*ROUTE, "kind", to="keyed")).routes[1]
    assert later.kind is RouteKind.NON_IDEMPOTENT
    plain = decode(change(*ROUTE, "public")).routes[1]
    assert not plain.public


@pytest.mark.parametrize(
    ("stated", "taken"), [(6, 6), (6.0, 6), (6.5, 6), (0.5, 1), (0, 0), (0.0, 0)]
)
def test_an_amount_is_rounded_down_and_never_to_none(stated, taken):
    """Guards against a fraction that keeps a change out of force, or lifts a limit."""
    document = decode(change("services", 0, "engine", "kvCapacity", to=stated))
    assert document.services["letters"].memory_tokens == taken


@pytest.mark.parametrize("stated", [-0.5, 1e300, -1, "6", True, [6.5]])
def test_an_amount_that_is_none_is_refused(stated):
    with pytest.raises(InvalidDocument):
        decode(change("services", 0, "engine", "kvCapacity", to=stated))


def test_the_findings_name_field_and_version():
    """Guards against a refusal that an operator can't find in the document."""
    with pytest.raises(InvalidDocument) as raised:
        decode(change("routes", 1, "timeoutMs", to=-5))
    assert raised.value.version == 7
    assert [row.place for row in raised.value.findings] == ["routes[1].timeoutMs"]


PATHS = st.sampled_from(
    [
        *((name,) for name in VALID),
        *(("routes", 0, name) for name in STREAM_ROUTE),
        *(("routes", 1, name) for name in PLAIN_ROUTE),
        *(("routes", 0, "trafficSplit", 0, name) for name in ("service", "weight")),
        *(("services", 0, name) for name in VALID["services"][0]),
        *(("services", 0, "engine", name) for name in ENGINE),
        *(("limits", name) for name in VALID["limits"]),
        *(("tenants", 0, name) for name in VALID["tenants"][0]),
    ]
)
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=8),
    st.lists(st.one_of(st.integers(), st.text(max_size=4)), max_size=3),
    st.dictionaries(st.text(max_size=4), st.integers(), max_size=2),
    st.just(MISSING),
)


@given(PATHS, VALUES)
def test_one_random_damage_is_refused_or_means_what_it_says(path, value):
    """Guards against a damaged document whose meaning a reader could not tell."""
    try:
        document = decode(change(*path, to=value))
    except InvalidDocument:
        return
    assert_means(document, change(*path, to=value))


def assert_means(document, raw):
    """Assert that a document says what a reader of the raw one would say."""
    services = {row["name"] for row in raw["services"]}
    assert document.version == raw["version"] >= 0
    assert len(document.routes) == len(raw["routes"])
    for route, row in zip(document.routes, raw["routes"], strict=True):
        assert (route.name, route.host) == (row["name"], row["host"].lower())
        assert route.prefix == row["pathPrefix"]
        assert route.prefix[0] == route.prefix[-1] == "/"
        assert route.public is (row.get("public") is True)
        assert route.resumable is (row.get("resumable") is True)
        assert route.timeout_s * 1000 == (row.get("timeoutMs") or 3_600_000)
        assert route.max_attempts == (row.get("maxAttempts") or 1)
        assert route.rank == (row.get("priority") or 0)
        assert {split.service for split in route.splits} <= services
        assert all(split.weight >= 0 for split in route.splits)
    keys = {}
    for row in raw.get("tenants") or ():
        for key in row.get("apiKeys") or ():
            assert keys.setdefault(key, row["name"]) == row["name"]
    assert {key: row.name for key, row in document.workspace_of.items()} == {
        key_digest(key): name for key, name in keys.items()
    }


@pytest.fixture
def source():
    server = start_store()
    client = StoreClient(server.address)
    yield PlatformSource(client), server.standin
    client.close()
    server.shutdown()
    server.server_close()


def put(store, document):
    store.put(names.CONFIG_TOPIC, names.CONFIG_KEY, json.dumps(document).encode())


@pytest.mark.parametrize("trimmed", [0, 1])
def test_a_snapshot_has_the_newest_valid_document(source, trimmed):
    """Guards against a fleet that starts and knows no configuration.

    The newest record of the key is all that a snapshot has, and it is refused.
    """
    platform, store = source
    for version in (5, 6):
        put(store, change("version", to=version))
    put(store, change("routes", to=None))
    put(store, {"version": 9})
    store.topics[names.CONFIG_TOPIC].first_offset = trimmed
    batch = platform.read_documents(-1)
    versions = [platform.decode_document(row).version for row in batch.records]
    assert (versions, batch.next) == ([6], 4)
    store.compact(names.CONFIG_TOPIC)
    assert platform.read_documents(-1).records == ()


def test_a_refused_document_is_counted_once_and_shown_until_a_later_one(source, caplog):
    """Guards against a log that repeats one refusal, and a status that keeps it."""
    platform, _ = source
    counted = []
    platform.refused.on_refusal = lambda: counted.append(1)
    bad = Record(4, names.CONFIG_KEY, json.dumps({"version": 9}).encode())
    with caplog.at_level("WARNING"):
        for _ in range(5):
            assert platform.decode_document(bad) is None
    assert (len(counted), len(caplog.records)) == (1, 1)
    assert platform.refused.newest.version == 9
    good = json.dumps(VALID).encode()
    platform.decode_document(Record(3, names.CONFIG_KEY, good))
    platform.decode_document(Record(2, names.CONFIG_KEY, b"{}"))
    assert platform.refused.newest.offset == 4
    platform.decode_document(Record(5, names.CONFIG_KEY, good))
    assert platform.refused.newest is None
