"""Waits until peers have acknowledged a crash event.

Each host forwards an event once, over all its links. The host that published
the event therefore receives it back from every peer that has read it, and
counts that as an acknowledgement.
"""

import threading
from collections.abc import Collection

from godwitladder.clock import Clock
from godwitladder.ids import HostId


class NoteEchoes:
    """Events of this host that peers have not yet sent back.

    Parameters
    ----------
    clock : Clock
        The host's clock.

    Attributes
    ----------
    missing : dict
        Peers that have not yet sent back each event, by the event's id.
    complete : dict
        For each event id, set once no peer is missing.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.missing: dict[str, set[HostId]] = {}
        self.complete: dict[str, threading.Event] = {}

    def expect(self, report: str, peers: Collection[HostId]) -> None:
        """Expect ``report`` back from each of ``peers``; call before it is sent."""
        with self.lock:
            self.missing[report] = set(peers)
            self.complete[report] = threading.Event()
            if not peers:
                self.complete[report].set()

    def note(self, report: str, peer: HostId) -> None:
        """Record that ``peer`` has sent ``report``."""
        with self.lock:
            missing = self.missing.get(report)
            if missing is None:
                return
            missing.discard(peer)
            if not missing:
                self.complete[report].set()

    def wait(self, report: str, seconds: float) -> bool:
        """Wait until all peers have sent ``report`` back, at most ``seconds``.

        Returns whether all have. The event is no longer tracked afterwards.
        """
        heard = self.clock.wait(self.complete[report], seconds)
        with self.lock:
            del self.missing[report], self.complete[report]
        return heard
