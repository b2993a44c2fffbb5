"""Validation errors of an input, collected with their location.

All errors of an input are reported together instead of only the first one.
"""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Finding:
    """One error in an input.

    Attributes
    ----------
    place : str
        Location of the error, as ``file: table.key``.
    text : str
        Description of the error, including the invalid value.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


@dataclass
class Findings:
    """Collects findings while an input is read.

    Attributes
    ----------
    items : list of Finding
        The findings so far, in the order of the input.
    """

    items: list[Finding] = field(default_factory=list)

    def add(self, place: str, text: str) -> None:
        """Add a finding at ``place`` with the description ``text``."""
        self.items.append(Finding(place, text))

    def add_unknown(self, place: str, name: str, known: Iterable[str]) -> None:
        """Add a finding for an unknown ``name`` and suggest the closest known one."""
        near = difflib.get_close_matches(name, list(known), n=1)
        hint = f", did you mean {near[0]!r}?" if near else ""
        self.add(place, f"unknown name {name!r}{hint}")

    def raise_if_any(self) -> None:
        """Raise `InvalidInput` with all findings, if there are any."""
        if self.items:
            raise InvalidInput(tuple(self.items))


class GodwitladderError(Exception):
    """Base class of the errors that this package defines."""


class InvalidInput(GodwitladderError):
    """Raised after a whole input was read and at least one error was found.

    Parameters
    ----------
    findings : tuple of Finding
        All errors, in the order of the input.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
