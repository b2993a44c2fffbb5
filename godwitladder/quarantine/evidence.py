"""Tells whether a target has ended, or only the answer to a call was lost.

A process that has ended refuses connections at once, or another one answers at its
address. A target that answers itself has lost the answer alone. In all other cases
the store tells, some seconds later: the entry of a process that has ended goes, or
that of another process takes its place.
"""

import enum
import random
import threading
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.decisions.health.crashes import TargetProcess
from godwitladder.engines.wire import NoConnection, connect
from godwitladder.ids import TargetName, TraitId
from godwitladder.logs import component_logger
from godwitladder.quarantine.probing import PROBE_TIMEOUT_S, Probe, ProbeResult
from godwitladder.quarantine.traits import RequestTraits

log = component_logger("quarantine")

MAX_OTHERS_TRIED = 4
MEMORY_S = 1.0
"""Time for which the result of a probe holds, as many calls are lost at once."""
HEARD_MARGIN_S = 0.5
"""Time after a loss in which bytes may be read that a target sent before its end."""
MAX_WAIT_S = 10.0
"""Time within which the entry of a process that has ended is gone."""
MAX_WAITING = 1_000


class LossVerdict(enum.Enum):
    """What a lost answer shows of its target's process.

    Attributes
    ----------
    ENDED
        It has ended.
    ALIVE
        It runs.
    UNKNOWN
        Either may be.
    UNREACHED
        Nothing, as this host reaches no other target either.
    """

    ENDED = "ended"
    ALIVE = "alive"
    UNKNOWN = "unknown"
    UNREACHED = "unreached"


@dataclass(frozen=True)
class LostCall:
    """A call whose answer was lost.

    Attributes
    ----------
    generation : str
        Generation of the target's process.
    trial : bool
        Whether the call ran on trial.
    blamed : tuple of TraitId
        Traits that were to blame for it at the loss, if it ran on trial.
    """

    traits: RequestTraits
    target: TargetName
    address: str
    generation: str
    trial: bool
    blamed: tuple[TraitId, ...] = ()


@dataclass(frozen=True)
class TargetPresence:
    """What the store tells of a target that has an entry.

    Attributes
    ----------
    generation : str
        Generation of its process.
    leaving : bool
        Whether it leaves.
    health_path : str
        Path of its health check; empty if there is none.
    """

    generation: str
    leaving: bool
    health_path: str = ""


NOT_PRESENT = TargetPresence("", leaving=False)


class CrashEvidence:
    """Finds out under which lost calls the target's process has ended.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    addresses : callable
        Returns the addresses of all known targets.
    probe : callable
        Asks a target whether its process runs; see `TargetProbe`.

    Attributes
    ----------
    present : mapping
        The targets that have an entry.
    waiting : list of tuple
        Lost calls for which nothing is shown yet, with the time of the loss.
    ended_at : dict
        When each process was found to have ended, of late.
    heard_at : dict
        When this host last heard of each process, in any call.
    silences : dict
        When each silent process was last examined, and the verdict.
    """

    def __init__(
        self, clock: Clock, addresses: Callable[[], Collection[str]], probe: Probe
    ) -> None:
        self.clock = clock
        self.addresses = addresses
        self.probe = probe
        self.present: Mapping[TargetName, TargetPresence] = {}
        self.waiting: list[tuple[float, LostCall]] = []
        self.ended_at: dict[TargetProcess, float] = {}
        self.heard_at: dict[TargetProcess, float] = {}
        self.silences: dict[TargetProcess, tuple[float, LossVerdict]] = {}
        self.lock = threading.Lock()

    def examine(self, call: LostCall) -> LossVerdict:
        """Return what shows by now of the target's process after a loss."""
        now = self.clock.monotonic()
        process = TargetProcess(call.target, call.generation)
        if now - self.ended_at.get(process, float("-inf")) < MEMORY_S:
            return LossVerdict.ENDED
        entry = self.present.get(call.target, NOT_PRESENT)
        result = self.probe(call.target, call.address, entry.health_path)
        verdict = self.judge(result, call.address, entry)
        log_probe("A target was probed after a loss", call, result, verdict)
        if verdict is LossVerdict.ENDED:
            self.ended_at = {
                row: at for row, at in self.ended_at.items() if now - at < MEMORY_S
            }
            self.ended_at[process] = now
        return verdict

    def hear(self, process: TargetProcess) -> None:
        """Record that something of a process has arrived."""
        self.heard_at[process] = self.clock.monotonic()

    def last_heard(self, process: TargetProcess) -> float:
        """Return when this host last heard of a process; minus infinity if never."""
        return self.heard_at.get(process, float("-inf"))

    def examine_silence(self, call: LostCall) -> LossVerdict:
        """Return what shows of a silent target after this host has ended a call.

        Calls are given up often while targets are busy. A busy target accepts
        connections, so that no more is asked of it, and that seldom. A trial has to
        show whether its target runs.
        """
        now = self.clock.monotonic()
        process = TargetProcess(call.target, call.generation)
        examined_at, verdict = self.silences.get(process, (float("-inf"), None))
        if not call.trial and now - examined_at < MEMORY_S:
            return verdict
        entry = self.present.get(call.target, NOT_PRESENT)
        path = entry.health_path if call.trial else ""
        result = self.probe(call.target, call.address, path)
        if result is ProbeResult.NO_ANSWER and not call.trial:
            verdict = LossVerdict.ALIVE
        else:
            verdict = self.judge(result, call.address, entry)
        self.silences[process] = now, verdict
        log_probe("A silent target was probed", call, result, verdict)
        return verdict

    def judge(
        self, result: ProbeResult, address: str, entry: TargetPresence
    ) -> LossVerdict:
        """Return what the result of a probe shows.

        A host that has lost its paths is refused everywhere. A refusal, or silence,
        therefore counts only if another target accepts a connection. The address of
        a target that leaves is taken by others in time.
        """
        if result is ProbeResult.SAME_PROCESS:
            return LossVerdict.ALIVE
        if result is ProbeResult.OTHER_PROCESS:
            return LossVerdict.UNKNOWN if entry.leaving else LossVerdict.ENDED
        if result is ProbeResult.NO_ANSWER:
            return LossVerdict.UNKNOWN
        if not self.reaches_another(address):
            return LossVerdict.UNREACHED
        is_refused = result is ProbeResult.REFUSED
        return LossVerdict.ENDED if is_refused else LossVerdict.UNKNOWN

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

    def has_entry(self, call: LostCall) -> bool:
        """Return whether the process that got a call has an entry."""
        entry = self.present.get(call.target)
        return entry is not None and entry.generation == call.generation

    def wait_for_entry(self, call: LostCall) -> None:
        """Wait until the target's entry shows whether its process has ended."""
        with self.lock:
            self.waiting.append((self.clock.monotonic(), call))
            del self.waiting[:-MAX_WAITING]

    def take_ended(
        self, present: Mapping[TargetName, TargetPresence]
    ) -> list[LostCall]:
        """Return the lost calls whose target's process is shown to have ended.

        A target that leaves is no sign: its entry goes as well. Nor is one that was
        heard of after the loss.

        Parameters
        ----------
        present : mapping
            The targets that have an entry.
        """
        ended, waiting = [], []
        now = self.clock.monotonic()
        self.present = present
        self.forget_ended(now)
        with self.lock:
            for at, call in self.waiting:
                entry = present.get(call.target)
                process = TargetProcess(call.target, call.generation)
                if self.last_heard(process) > at + HEARD_MARGIN_S:
                    continue
                if entry is None or entry.generation != call.generation:
                    ended.append(call)
                elif not entry.leaving and now - at < MAX_WAIT_S:
                    waiting.append((at, call))
            self.waiting = waiting
        return ended

    def forget_ended(self, now: float) -> None:
        """Forget what was heard of processes for which no call waits any more."""
        self.heard_at = {
            row: at for row, at in list(self.heard_at.items()) if now - at < MAX_WAIT_S
        }
        self.silences = {
            row: found
            for row, found in list(self.silences.items())
            if now - found[0] < MEMORY_S
        }


def log_probe(
    text: str, call: LostCall, result: ProbeResult, verdict: LossVerdict
) -> None:
    """Log what a probe of a target has found."""
    extra = {
        "target": call.target,
        "address": call.address,
        "probe": result.value,
        "verdict": verdict.value,
    }
    log.info(text, extra=extra)
