"""Ends calls whose caller has left or whose time is up, from outside.

A thread that waits for a target's next byte can't look after its caller. One
watcher looks at all open calls some times a second and breaks the connection
to the target under the waiting thread, which then finds the cause here.
"""

import enum
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.clock import Clock

STEP_S = 0.05
"""Callers that left are to be noticed within half a second; ten looks."""


class Cause(enum.Enum):
    """Why a call was ended from outside."""

    CALLER_GONE = "caller_gone"
    TIMEOUT = "timeout"


@dataclass
class OpenCall:
    """One call in progress.

    Attributes
    ----------
    gone : callable
        Returns whether the caller has closed its connection.
    until : float
        Monotonic time at which the call's time is up.
    withdraw : callable
        Called when the call is to end while it waits for a target.
    sock : socket or None
        Connection to the target, once there is one.
    cause : Cause or None
        Why the call is to end.
    """

    gone: Callable[[], bool]
    until: float
    withdraw: Callable[[], None]
    sock: socket.socket | None = None
    cause: Cause | None = None

    def attach(self, sock: socket.socket) -> None:
        """Let the watcher break ``sock``; at once if it is too late already."""
        self.sock = sock
        if self.cause is not None:
            self.cut()

    def detach(self) -> None:
        """Forget the connection: it is closed or the answer is whole."""
        self.sock = None

    def cut(self) -> None:
        """Break the connection under whoever reads from it."""
        sock = self.sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It is closed already, which is all that was wanted.
            return

    def look(self, now: float) -> None:
        """End the call if its caller left or its time is up."""
        if self.cause is None:
            if self.gone():
                self.cause = Cause.CALLER_GONE
            elif now >= self.until:
                self.cause = Cause.TIMEOUT
        if self.cause is None:
            return
        self.cut()
        if self.sock is None and self.cause is Cause.CALLER_GONE:
            self.withdraw()


class CallWatcher:
    """The table of open calls and the thread that looks at them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.calls: dict[int, OpenCall] = {}
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.busy = threading.Event()

    def start(self) -> None:
        """Start to look."""
        threading.Thread(target=self.run, name="watch", daemon=True).start()

    def stop(self) -> None:
        """Stop looking."""
        self.stopping.set()
        self.busy.set()

    def add(self, call: OpenCall) -> None:
        """Look after ``call`` from now on."""
        with self.lock:
            self.calls[id(call)] = call
            self.busy.set()

    def remove(self, call: OpenCall) -> None:
        """Stop looking after ``call``."""
        with self.lock:
            self.calls.pop(id(call), None)
            if not self.calls and not self.stopping.is_set():
                self.busy.clear()

    def run(self) -> None:
        """Look until stopped; a host without calls doesn't wake for it."""
        while not self.stopping.is_set():
            self.busy.wait()
            self.clock.wait(self.stopping, STEP_S)
            self.look()

    def look(self) -> None:
        """Look at each open call once."""
        now = self.clock.monotonic()
        with self.lock:
            calls = list(self.calls.values())
        for call in calls:
            call.look(now)
