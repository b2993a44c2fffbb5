"""Crashes of targets, and what each trait of requests was part of.

Pure: times are passed in, in seconds.
"""

from dataclasses import dataclass, field

from godwitladder.ids import TargetName, TraitId


@dataclass(frozen=True)
class TargetProcess:
    """A process of a target; the generation is empty if it is not known."""

    target: TargetName
    generation: str = ""


@dataclass(eq=False)
class CrashRecord:
    """One crash of one target, as reported by any number of hosts.

    Attributes
    ----------
    at : float
        Time of the first report.
    traits : set
        Those of the requests that ran on the target.
    cause : TraitId or None
        The trait that explains it.
    is_confirmed : bool
        Whether it is known that the process has ended. Otherwise answers were lost,
        and nothing shows yet that it runs on.
    """

    process: TargetProcess
    at: float
    traits: set[TraitId] = field(default_factory=set)
    cause: TraitId | None = None
    is_confirmed: bool = True


@dataclass
class CrashHistory:
    """The crashes of one trait since it was last cleared.

    Attributes
    ----------
    last_at : float
        Time of the last crash.
    crashes : list of CrashRecord
        Those that no other trait explains.
    quarantined_until : float
        End of its quarantine; 0 if it is not quarantined.
    retrials : int
        Number of trials since it was quarantined.
    blamed : frozenset
        Traits that were quarantined in the same trial, itself among them. At least one
        of them was the cause.
    """

    last_at: float
    crashes: list[CrashRecord] = field(default_factory=list)
    quarantined_until: float = 0.0
    retrials: int = 0
    blamed: frozenset[TraitId] = frozenset()

    def confirmed_crashes(self) -> list[CrashRecord]:
        """Return the crashes that are known to be such."""
        return [crash for crash in self.crashes if crash.is_confirmed]

    def possible_crashes(self, now: float, unconfirmed_s: float) -> list[CrashRecord]:
        """Return those that nothing has confirmed, for ``unconfirmed_s`` each."""
        return [
            crash
            for crash in self.crashes
            if not crash.is_confirmed and now - crash.at < unconfirmed_s
        ]
