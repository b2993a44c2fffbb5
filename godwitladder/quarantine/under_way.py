"""Calls under way, some of them at targets that went dark.

The connections of a machine that goes dark stay open without a word, and its calls
end at their deadlines alone, many seconds later. Its target's entry goes sooner.
"""

import threading
from collections.abc import Mapping
from typing import Protocol

from godwitladder.ids import TargetName
from godwitladder.quarantine.evidence import LostCall, TargetPresence

MIN_SILENCE_S = 0.5
"""Silence of a target without an entry, in seconds, from which it may have ended."""


class WaitingCall(Protocol):
    """A call that waits for its target."""

    def lost_call(self) -> LostCall:
        """Return what to record if the call is lost."""

    def silence_s(self) -> float:
        """Return the seconds since the last sign of the target."""


class CallsUnderWay:
    """The calls of this host that wait for targets, which any thread may change.

    Attributes
    ----------
    calls : dict
        Their targets may yet be found to have gone without a word.
    """

    def __init__(self) -> None:
        self.calls: dict[WaitingCall, None] = {}
        self.lock = threading.Lock()

    def begin(self, call: WaitingCall) -> None:
        """Add a call that is about to be sent."""
        with self.lock:
            self.calls[call] = None

    def end(self, call: WaitingCall) -> None:
        """Remove a call that has ended, if it is there."""
        with self.lock:
            self.calls.pop(call, None)

    def take_silent(
        self, present: Mapping[TargetName, TargetPresence]
    ) -> list[LostCall]:
        """Return the calls whose silent target has no entry any more, each once.

        A target that leaves serves on for some time after its entry has gone.

        Parameters
        ----------
        present : mapping
            The targets that have an entry.
        """
        silent = []
        with self.lock:
            for call in tuple(self.calls):
                lost = call.lost_call()
                entry = present.get(lost.target)
                if entry is not None and entry.generation == lost.generation:
                    if entry.leaving:
                        del self.calls[call]
                elif call.silence_s() >= MIN_SILENCE_S:
                    del self.calls[call]
                    silent.append(lost)
        return silent
