"""Fills in the template of the settings as the users' pages describe it."""

import json
import re
from typing import Any

TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")
MISSING = object()


def render(template: str, fields: dict) -> str:
    """Return ``template`` with values and sections of ``fields``.

    Parameters
    ----------
    template : str
        Text with placeholders and sections, which may be nested.
    fields : dict
        All fields of a process.
    """
    tokens = list(TAG.split(template))
    text, rest = render_block(tokens, 0, [fields], {})
    assert rest == len(tokens), "a section ends that has not begun"
    return text


def render_block(
    tokens: list[str], start: int, scopes: list[Any], marks: dict[str, str]
) -> tuple[str, int]:
    """Render from ``start`` to the end of the block, and return where that is."""
    parts = [tokens[start]]
    place = start + 1
    while place < len(tokens):
        kind, name = tokens[place], tokens[place + 1].strip()
        if kind == "/":
            break
        if kind:
            text, place = render_section(tokens, place, scopes, marks)
            parts += text
            # The text that follows the end of the section.
            parts.append(tokens[place + 2])
        else:
            parts.append(render_value(name, scopes, marks))
            parts.append(tokens[place + 2])
        place += 3
    return "".join(parts), place


def render_section(
    tokens: list[str], place: int, scopes: list[Any], marks: dict[str, str]
) -> tuple[list[str], int]:
    """Render a section for each of its entries, and return where its end tag is."""
    kind, name = tokens[place], tokens[place + 1].strip()
    value = look_up(name, scopes)
    entries = section_entries(value)
    if kind == "^":
        has_value = value is not MISSING and value is not None and value is not False
        entries = [] if has_value else [(scopes[-1], marks)]
    parts = []
    _, end = render_block(tokens, place + 2, scopes, marks)
    for entry, own_marks in entries:
        text, _ = render_block(tokens, place + 2, [*scopes, entry], own_marks)
        parts.append(text)
    assert tokens[end + 1].strip() == name, f"section {name} does not end"
    return parts, end


def section_entries(value: Any) -> list[tuple[Any, dict[str, str]]]:
    """Return the entries for which a section is rendered, with their marks."""
    if value is MISSING or value is None or value is False:
        return []
    if isinstance(value, dict):
        rows = list(value.items())
    elif isinstance(value, list):
        rows = list(enumerate(value))
    else:
        return [(value, {})]
    last = len(rows) - 1
    return [
        (entry, {"@": str(key), ",": "" if index == last else ","})
        for index, (key, entry) in enumerate(rows)
    ]


def render_value(name: str, scopes: list[Any], marks: dict[str, str]) -> str:
    """Return one value as text, or as JSON where the placeholder says so."""
    if name in marks:
        return marks[name]
    name, _, form = name.partition("|")
    value = look_up(name, scopes)
    if value is MISSING or value is None:
        return ""
    if form == "json" or isinstance(value, dict | bool):
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def look_up(name: str, scopes: list[Any]) -> Any:
    """Return the value with a dotted name, from the innermost scope that has it."""
    if name == ".":
        return scopes[-1]
    values = (find(scope, name.split(".")) for scope in reversed(scopes))
    return next((value for value in values if value is not MISSING), MISSING)


def find(scope: Any, parts: list[str]) -> Any:
    """Return the value in nested tables and lists; ``MISSING`` if there is none."""
    for part in parts:
        if isinstance(scope, dict) and part in scope:
            scope = scope[part]
        elif isinstance(scope, list) and part.isdigit() and int(part) < len(scope):
            scope = scope[int(part)]
        else:
            return MISSING
    return scope
