"""Findings about input: collected with their place and reported together."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Finding:
    """One thing wrong with an input.

    Attributes
    ----------
    place : str
        Where it stands, as ``file: table.key``.
    text : str
        What is wrong, with the offending value.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


@dataclass
class Findings:
    """A list of findings that grows while an input is read."""

    items: list[Finding] = field(default_factory=list)

    def add(self, place: str, text: str) -> None:
        """Note ``text`` about ``place``."""
        self.items.append(Finding(place, text))

    def add_unknown(self, place: str, name: str, known: Iterable[str]) -> None:
        """Note an unknown ``name`` together with the nearest known one."""
        near = difflib.get_close_matches(name, list(known), n=1)
        hint = f", did you mean {near[0]!r}?" if near else ""
        self.add(place, f"unknown name {name!r}{hint}")

    def raise_if_any(self) -> None:
        """Raise `InvalidInput` with every finding, if there is one."""
        if self.items:
            raise InvalidInput(tuple(self.items))


class GodwitladderError(Exception):
    """Base of every error that this package raises on purpose."""


class InvalidInput(GodwitladderError):
    """An input that was read whole and found wrong.

    Parameters
    ----------
    findings : tuple of Finding
        Everything found, in the order of the input.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
