"""Waits until peers are known to have read a note.

Each host passes a note on once, over all its links, so the one that wrote it
has it back from every peer that read it.
"""

import threading
from collections.abc import Collection

from godwitladder.clock import Clock
from godwitladder.ids import HostId


class NoteEchoes:
    """Notes of this host that peers have yet to send back.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.missing: dict[str, set[HostId]] = {}
        self.complete: dict[str, threading.Event] = {}

    def expect(self, report: str, peers: Collection[HostId]) -> None:
        """Await the note ``report`` from each of ``peers``; call before it is sent."""
        with self.lock:
            self.missing[report] = set(peers)
            self.complete[report] = threading.Event()
            if not peers:
                self.complete[report].set()

    def note(self, report: str, peer: HostId) -> None:
        """Take in that ``peer`` has sent the note ``report``."""
        with self.lock:
            missing = self.missing.get(report)
            if missing is None:
                return
            missing.discard(peer)
            if not missing:
                self.complete[report].set()

    def wait(self, report: str, seconds: float) -> bool:
        """Wait for the rest, ``seconds`` at most; return whether all have it."""
        heard = self.clock.wait(self.complete[report], seconds)
        with self.lock:
            del self.missing[report], self.complete[report]
        return heard
