"""Tells whether a target has ended, or only the answer to a call was lost.

A process that has ended refuses connections at once. A target that accepts one may
have lost the answer alone, or be a new process at the same address; one that doesn't
react may be cut off. In these cases the store tells: the entry of a process that has
ended goes, or that of another process takes its place.
"""

import enum
import random
import threading
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.decisions.health.quarantine import TargetProcess
from godwitladder.engines.wire import NoConnection, connect
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.quarantine.traits import RequestTraits

log = component_logger("quarantine")

PROBE_TIMEOUT_S = 0.1
MAX_OTHERS_TRIED = 4
MEMORY_S = 1.0
"""Time for which the result of a probe holds, as many calls are lost at once."""
MAX_WAIT_S = 10.0
"""Time within which the entry of a process that has ended is gone."""
MAX_WAITING = 1_000


class ConnectResult(enum.Enum):
    """What became of an attempt to connect to a target.

    Attributes
    ----------
    ACCEPTED
        The connection was established.
    REFUSED
        It was refused at once.
    NO_ANSWER
        Neither happened in time.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True)
class LostCall:
    """A call whose answer was lost.

    Attributes
    ----------
    generation : str
        Generation of the target's process.
    trial : bool
        Whether the call ran on trial.
    """

    traits: RequestTraits
    target: TargetName
    address: str
    generation: str
    trial: bool


@dataclass(frozen=True)
class TargetPresence:
    """What the store tells of a target that has an entry."""

    generation: str
    leaving: bool


class CrashEvidence:
    """Finds out under which lost calls the target's process has ended.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    addresses : callable
        Returns the addresses of all known targets.

    Attributes
    ----------
    waiting : list of tuple
        Lost calls for which nothing is shown yet, with the time of the loss.
    ended_at : dict
        When each process was found to have ended, of late.
    """

    def __init__(self, clock: Clock, addresses: Callable[[], Collection[str]]) -> None:
        self.clock = clock
        self.addresses = addresses
        self.waiting: list[tuple[float, LostCall]] = []
        self.ended_at: dict[TargetProcess, float] = {}
        self.lock = threading.Lock()

    def has_ended(self, call: LostCall) -> bool:
        """Return whether the target's process has just ended under a call.

        A host that has lost its paths is refused everywhere. A refusal therefore
        counts only if another target accepts a connection.
        """
        now = self.clock.monotonic()
        process = TargetProcess(call.target, call.generation)
        if now - self.ended_at.get(process, float("-inf")) < MEMORY_S:
            return True
        address = call.address
        result = try_to_connect(address)
        if result is not ConnectResult.REFUSED or not self.reaches_another(address):
            self.log_unknown(call, result)
            return False
        self.ended_at = {
            row: at for row, at in self.ended_at.items() if now - at < MEMORY_S
        }
        self.ended_at[process] = now
        return True

    def log_unknown(self, call: LostCall, result: ConnectResult) -> None:
        """Log why a connection does not show whether a target has ended.

        A refusal shows it unless all other targets refuse connections too.
        """
        extra = {
            "target": call.target,
            "address": call.address,
            "connection": result.value,
        }
        log.info("A connection does not show that the target has ended", extra=extra)

    def reaches_another(self, address: str) -> bool:
        """Return whether this host can connect to any target but ``address``."""
        others = [row for row in self.addresses() if row != address]
        random.shuffle(others)
        for other in others[:MAX_OTHERS_TRIED]:
            try:
                connect(other, PROBE_TIMEOUT_S, PROBE_TIMEOUT_S).close()
            except NoConnection:
                continue
            return True
        return False

    def wait_for_entry(self, call: LostCall) -> None:
        """Wait until the target's entry shows whether its process has ended."""
        with self.lock:
            self.waiting.append((self.clock.monotonic(), call))
            del self.waiting[:-MAX_WAITING]

    def take_ended(
        self, present: Mapping[TargetName, TargetPresence]
    ) -> list[LostCall]:
        """Return the lost calls whose target's process is shown to have ended.

        A target that leaves is no sign: its entry goes as well.

        Parameters
        ----------
        present : mapping
            The targets that have an entry.
        """
        ended, waiting = [], []
        now = self.clock.monotonic()
        with self.lock:
            for at, call in self.waiting:
                entry = present.get(call.target)
                if entry is None or entry.generation != call.generation:
                    ended.append(call)
                elif not entry.leaving and now - at < MAX_WAIT_S:
                    waiting.append((at, call))
            self.waiting = waiting
        return ended


def try_to_connect(address: str) -> ConnectResult:
    """Connect to ``address`` and close the connection; return what became of it."""
    try:
        connect(address, PROBE_TIMEOUT_S, PROBE_TIMEOUT_S).close()
    except NoConnection as error:
        is_refused = is_connection_refused(error)
        return ConnectResult.REFUSED if is_refused else ConnectResult.NO_ANSWER
    return ConnectResult.ACCEPTED


def is_connection_refused(error: BaseException | None) -> bool:
    """Return whether ``error`` was caused by a refused connection.

    If a whole machine or rack is down, connections time out instead.
    """
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False
