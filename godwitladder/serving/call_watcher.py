"""Aborts calls whose caller has disconnected, whose time is over, or as the host stops.

A thread that blocks on a target's next byte can't check its caller. One watcher
thread checks all open calls several times a second and shuts down the
connection to the target. The blocked thread wakes and finds the cause in
`OpenCall.cause`. To that thread, the connection seems to have been closed by the
target; where that is the end of an answer, it must look for a cause first.
"""

import enum
import math
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.engines.wire import AbortedByHost
from godwitladder.process.loops import Turns

CHECK_INTERVAL_S = 0.05
"""Interval between checks in seconds. A disconnected caller must be noticed within
half a second, which leaves ten checks."""


class AbortCause(enum.Enum):
    """Why a call was aborted."""

    CALLER_GONE = "caller_gone"
    TIMEOUT = "timeout"
    STOPPING = "stopping"


@dataclass(frozen=True)
class StopTimes:
    """Until when calls may go on, in monotonic seconds, as the host stops.

    Attributes
    ----------
    sends_end : float
        From then on nothing is sent to targets, and what waits is refused.
    calls_end : float
        From then on no target is waited for.
    """

    sends_end: float = math.inf
    calls_end: float = math.inf


NO_STOP = StopTimes()


@dataclass
class OpenCall:
    """One call in progress.

    Attributes
    ----------
    gone : callable
        Returns whether the caller has closed its connection.
    deadline : float
        Deadline in seconds of the monotonic clock.
    withdraw : callable
        Called with each check while the call waits without a connection to a target
        and its caller has disconnected, or the host sends nothing any more.
    sock : socket or None
        The connection to the target, if there is one.
    cause : AbortCause or None
        Why the call is aborted; None while it is not.
    """

    gone: Callable[[], bool]
    deadline: float
    withdraw: Callable[[], None]
    sock: socket.socket | None = None
    cause: AbortCause | None = None

    def attach(self, sock: socket.socket) -> None:
        """Set the connection to the target; shut it down if the call was aborted."""
        self.sock = sock
        if self.cause is not None:
            self.shut_down()

    def detach(self) -> None:
        """Clear the connection, so that the watcher no longer shuts it down."""
        self.sock = None

    def raise_if_aborted(self) -> None:
        """Check that what has ended was not ended by this host.

        Raises
        ------
        AbortedByHost
            The call was aborted.
        """
        if self.cause is not None:
            raise AbortedByHost(f"this host ended the call: {self.cause.value}")

    def shut_down(self) -> None:
        """Shut down the connection, which wakes a thread that reads from it."""
        sock = self.sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection is closed already.
            return

    def check(self, now: float, stop: StopTimes = NO_STOP) -> None:
        """Abort the call if there is a cause."""
        if self.cause is None:
            self.cause = self.find_cause(now, stop)
        if self.cause is None:
            return
        self.shut_down()
        if self.sock is None and self.cause is not AbortCause.TIMEOUT:
            self.withdraw()

    def find_cause(self, now: float, stop: StopTimes) -> AbortCause | None:
        """Return why the call has to be aborted; None if it may go on."""
        if self.gone():
            return AbortCause.CALLER_GONE
        if now >= self.deadline:
            return AbortCause.TIMEOUT
        ends_at = stop.sends_end if self.sock is None else stop.calls_end
        return AbortCause.STOPPING if now >= ends_at else None


class CallWatcher:
    """The table of open calls and the thread that checks them.

    Attributes
    ----------
    stop_times : StopTimes
        Until when calls may go on; without end unless the host stops.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.stop_times = NO_STOP
        self.calls: dict[int, OpenCall] = {}
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.has_calls = threading.Event()
        self.turns = Turns("watch", clock)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self.run, name="watch", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread."""
        self.stopping.set()
        self.has_calls.set()

    def may_send(self) -> bool:
        """Return whether calls may still be sent to targets."""
        return self.clock.monotonic() < self.stop_times.sends_end

    def add(self, call: OpenCall) -> None:
        """Start to watch ``call``."""
        with self.lock:
            self.calls[id(call)] = call
            self.has_calls.set()

    def remove(self, call: OpenCall) -> None:
        """Stop watching ``call``."""
        with self.lock:
            self.calls.pop(id(call), None)
            if not self.calls and not self.stopping.is_set():
                self.has_calls.clear()

    def run(self) -> None:
        """Check the calls until stopped; sleep while there are none."""
        while not self.stopping.is_set():
            self.has_calls.wait()
            self.clock.wait(self.stopping, CHECK_INTERVAL_S)
            self.check_calls()

    def check_calls(self) -> None:
        """Check each open call once."""
        now = self.clock.monotonic()
        with self.lock:
            calls = list(self.calls.values())
        for call in calls:
            self.turns.run(call.check, now, self.stop_times)
