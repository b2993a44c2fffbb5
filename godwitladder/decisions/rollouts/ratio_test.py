"""Tests whether a new version answers worse than the old one."""

import enum


class Verdict(enum.Enum):
    """What the answers so far tell of a version.

    Attributes
    ----------
    UNDECIDED
        Too few answers for a decision.
    PROVED
        It answers like the old version.
    CONDEMNED
        It answers worse; final.
    """

    UNDECIDED = "undecided"
    PROVED = "proved"
    CONDEMNED = "condemned"
