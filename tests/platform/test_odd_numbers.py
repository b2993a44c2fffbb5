"""Values that are no numbers, in the fields of configurations and orders."""

import json

import pytest

from godwitladder.discovery.source import Record
from godwitladder.platform import names
from godwitladder.platform.documents import InvalidDocument, decode_document
from godwitladder.platform.rollouts import decode_rollout, decode_status
from tests.odd_values import BYTES, odd_json, odd_rows
from tests.platform.test_adapter import CONFIG

NO_NUMBERS = ["12", "\u0661\u0662", "\u00b2", True, "1e5", " 7 ", "1_000", [], {}]
ORDER = {"service": "core", "target": 3, "durationS": 12}
STATUS = ORDER | {"state": "running", "order": 7}
MAX_ERROR_CHARS = 400
KEY = f"{names.ROLLOUT_PREFIX}core"


def put(document, path, value):
    """Return ``document`` with the value at ``path`` replaced."""
    first, *rest = path
    copy = document.copy()
    copy[first] = put(document[first], rest, value) if rest else value
    return copy


@pytest.mark.parametrize("value", NO_NUMBERS, ids=repr)
@pytest.mark.parametrize(
    "path",
    [("version",), ("tenants", 0, "burst"), ("limits", "maxBodyBytes")],
    ids=["version", "number", "limit"],
)
def test_a_configuration_has_numbers_where_they_belong(path, value):
    """Guards against a version in a text, after which no host follows any other."""
    config = CONFIG | {"limits": {"maxBodyBytes": 1}}
    if not value and path != ("version",):
        return
    with pytest.raises(InvalidDocument):
        decode_document(json.dumps(put(config, path, value)).encode())


@pytest.mark.parametrize("value", NO_NUMBERS, ids=repr)
def test_an_order_has_a_duration_that_is_a_number(value):
    """Guards against an order that is in force for a time that nobody gave."""
    record = Record(7, KEY, json.dumps(ORDER | {"durationS": value}).encode())
    assert decode_rollout(record).failure() == "has no duration"


def test_errors_of_configurations_are_short():
    """Guards against a log that is filled by one long value in the store."""
    for value in (*BYTES, *odd_json(), *odd_rows(CONFIG)):
        try:
            decode_document(value)
        except InvalidDocument as error:
            assert len(str(error)) < MAX_ERROR_CHARS


def test_errors_of_statuses_are_short(caplog):
    """Guards against a log that is filled by one long status in the store."""
    for value in odd_rows(STATUS | {"state": "x" * 100_000}):
        decode_status(Record(7, KEY, value))
    assert len(caplog.records) > 100
    assert max(len(record.error) for record in caplog.records) < MAX_ERROR_CHARS
