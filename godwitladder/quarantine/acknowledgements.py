"""Waits until peers have acknowledged a crash event.

Each host forwards an event once, over all its links. The host that published
the event therefore receives it back from every peer that has read it, and
counts that as an acknowledgement.
"""

import threading
from collections.abc import Collection

from godwitladder.clock import Clock
from godwitladder.ids import HostId


class EventAcknowledgements:
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

    def expect(self, event_id: str, peers: Collection[HostId]) -> None:
        """Expect ``event_id`` back from each of ``peers``; call before it is sent."""
        with self.lock:
            self.missing[event_id] = set(peers)
            self.complete[event_id] = threading.Event()
            if not peers:
                self.complete[event_id].set()

    def acknowledge(self, event_id: str, peer: HostId) -> None:
        """Record that ``peer`` has sent ``event_id``."""
        with self.lock:
            missing = self.missing.get(event_id)
            if missing is None:
                return
            missing.discard(peer)
            if not missing:
                self.complete[event_id].set()

    def wait(self, event_id: str, seconds: float) -> bool:
        """Wait until all peers have sent ``event_id`` back, at most ``seconds``.

        Returns whether all have. The event is no longer tracked afterwards.
        """
        acknowledged = self.clock.wait(self.complete[event_id], seconds)
        with self.lock:
            del self.missing[event_id], self.complete[event_id]
        return acknowledged
