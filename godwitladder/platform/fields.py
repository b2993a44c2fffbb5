"""Reads the fields of a JSON object of another program, and collects what is wrong.

A field that may be left out may also be null, as some encoders write it. A value of
another type is never converted: the text "false" would be true, and the letters of a
text would be the items of a list.
"""

import json
from typing import Any

from godwitladder.findings import Findings
from godwitladder.untrusted import MAX_INTEGER, is_encodable, is_finite, is_integer

MAX_QUOTED_CHARS = 60
"""Part of a value that a finding quotes."""


def load_json(data: bytes) -> Any:
    """Return the value in ``data``, in which no object names a field twice.

    Raises
    ------
    ValueError, RecursionError
        It is no such JSON.
    """
    return json.loads(data, object_pairs_hook=_make_object)


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    row = dict(pairs)
    if len(row) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the field {_quote(twice)} is named twice")
    return row


class FieldReader:
    """The fields of one object; unknown ones are passed over.

    Parameters
    ----------
    raw : Any
        The decoded value; a finding is added if it is no object.
    place : str
        Where it stands, for findings.
    findings : Findings
        Collects what is wrong.
    """

    def __init__(self, raw: Any, place: str, findings: Findings) -> None:
        self.place = place
        self.findings = findings
        self.raw: dict[str, Any] = {}
        if isinstance(raw, dict):
            self.raw = raw
        else:
            findings.add(place, f"is no object: {_quote(raw)}")

    def name_place(self, name: str) -> str:
        """Return the place of a field."""
        return f"{self.place}.{name}" if self.place else name

    def report(self, name: str, text: str) -> None:
        """Add a finding on a field, which quotes its value."""
        value = _quote(self.raw.get(name))
        self.findings.add(self.name_place(name), f"{text}: {value}")

    def text(self, name: str) -> str:
        """Return a text that must be there and not empty."""
        if self.optional_text(name):
            return self.raw[name]
        if not isinstance(self.raw.get(name), str) or not self.raw[name]:
            self.report(name, "is no text")
        return ""

    def optional_text(self, name: str) -> str:
        """Return a text; empty if it is left out."""
        value = self.raw.get(name)
        if value is None:
            return ""
        if isinstance(value, str) and is_encodable(value):
            return value
        self.report(name, "is no text that can be encoded")
        return ""

    def texts(self, name: str) -> list[str]:
        """Return a list of texts that are not empty."""
        rows = self.items(name)
        found = [row for row in rows if isinstance(row, str) and row]
        if len(found) < len(rows) or not all(map(is_encodable, found)):
            self.findings.add(self.name_place(name), "has an item that is no text")
            return []
        return found

    def flag(self, name: str) -> bool:
        """Return a boolean; False if it is left out."""
        value = self.raw.get(name)
        if value is not None and not isinstance(value, bool):
            self.report(name, "is no boolean")
            return False
        return bool(value)

    def number(self, name: str) -> float:
        """Return a number that is not negative; 0 if it is left out."""
        value = self.raw.get(name)
        if value is None:
            return 0.0
        if not is_finite(value) or value < 0:
            self.report(name, "is no number from 0 on")
            return 0.0
        return float(value)

    def count(self, name: str) -> int:
        """Return an integer that is not negative; 0 if it is left out."""
        value = self.raw.get(name)
        return 0 if value is None else self.required_count(name)

    def amount(self, name: str) -> int:
        """Return a number that is not negative, rounded down; 0 if it is left out.

        A fraction above 0 counts as 1, as 0 may stand for no limit.
        """
        value = self.raw.get(name)
        if not isinstance(value, float):
            return self.count(name)
        if not 0 <= value <= MAX_INTEGER:
            self.report(name, f"is no number from 0 to {MAX_INTEGER}")
            return 0
        return max(int(value), 1) if value else 0

    def required_count(self, name: str, maximum: int = MAX_INTEGER) -> int:
        """Return an integer from 0 to ``maximum`` that must be there."""
        value = self.raw.get(name)
        if type(value) is float and value.is_integer():
            value = int(value)
        if is_integer(value, 0, maximum):
            return value
        self.report(name, f"is no integer from 0 to {maximum}")
        return 0

    def items(self, name: str, required: bool = False) -> list[Any]:
        """Return a list; an empty one if it is left out."""
        value = self.raw.get(name)
        if value is None and not required:
            return []
        if isinstance(value, list):
            return value
        self.report(name, "is no list")
        return []

    def objects(self, name: str, required: bool = False) -> list["FieldReader"]:
        """Return the objects of a list; an empty one if it is left out."""
        place = self.name_place(name)
        return [
            FieldReader(row, f"{place}[{number}]", self.findings)
            for number, row in enumerate(self.items(name, required))
        ]

    def object(self, name: str) -> "FieldReader":
        """Return an object; one without fields if it is left out."""
        raw = self.raw.get(name)
        place = self.name_place(name)
        return FieldReader({} if raw is None else raw, place, self.findings)


def _quote(value: Any) -> str:
    if isinstance(value, dict | list):
        return type(value).__name__
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return "a number of more than 64 bits"
    return repr(value)[:MAX_QUOTED_CHARS]
