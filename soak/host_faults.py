"""Disturbs the hosts of a run, one after the other, and records when."""

import contextlib
import enum
import random
import signal
import tempfile
import threading
import time
from pathlib import Path

from soak.fleet import Fleet, Host, HostLimits
from soak.proxy import CutMode

START_TIMEOUT_S = 40.0
FAULT_INTERVAL_S = 2.0
CUT_DURATION_S = 1.5
FREEZE_DURATION_S = 3.0
LOSS_INTERVAL_S = 6.0
LOSS_DURATION_S = 1.0
"""Time for which no host runs after all were killed together."""
CONTACT_S = 3.0
"""Seconds within which hosts in touch have learned of something, and after which a
disturbed host is in touch again."""


class HostFault(enum.Enum):
    """What disturbs the hosts of a run, again and again."""

    NONE = "none"
    KILL = "kill"
    CUT = "cut"
    CUT_STORE = "cut_store"
    FREEZE = "freeze"
    LOSE_ALL = "lose_all"


class HostFaults:
    """Injects one kind of fault into one host after the other.

    Attributes
    ----------
    disturbed : dict
        Begin and end of the faults of each host, in monotonic seconds.
    losses : list
        Begin and end of the times without any host, in monotonic seconds.
    is_losing_all : bool
        Whether there is no host now.
    """

    def __init__(
        self,
        fleet: Fleet,
        kind: HostFault,
        rng: random.Random,
        stop_event: threading.Event,
    ) -> None:
        self.fleet = fleet
        self.kind = kind
        self.rng = rng
        self.stop_event = stop_event
        self.disturbed: dict[str, list[tuple[float, float]]] = {}
        self.losses: list[tuple[float, float]] = []
        self.is_losing_all = False

    def run(self) -> None:
        """Disturb hosts until the run ends."""
        if self.kind is HostFault.NONE:
            return
        if self.kind is HostFault.LOSE_ALL:
            self.lose_all_again_and_again()
            return
        while not self.stop_event.wait(FAULT_INTERVAL_S):
            host = self.rng.choice(self.fleet.hosts)
            begin = time.monotonic()
            self.disturb(host)
            rows = self.disturbed.setdefault(host.name, [])
            rows.append((begin, time.monotonic()))

    def disturb(self, host: Host) -> None:
        """Disturb a host for a while."""
        if self.kind is HostFault.KILL:
            self.restart(host)
        elif self.kind is HostFault.FREEZE:
            self.freeze(host)
        else:
            self.cut_off(host)

    def freeze(self, host: Host) -> None:
        """Let a host stand still, and go on."""
        host.send_signal(signal.SIGSTOP)
        self.stop_event.wait(FREEZE_DURATION_S)
        host.send_signal(signal.SIGCONT)

    def lose_all_again_and_again(self) -> None:
        """Kill all hosts together and start them again, until the run ends."""
        while not self.stop_event.wait(LOSS_INTERVAL_S):
            begin = time.monotonic()
            self.is_losing_all = True
            for host in self.fleet.hosts:
                host.kill()
            self.stop_event.wait(LOSS_DURATION_S)
            for host in self.fleet.hosts:
                host.start()
            for host in self.fleet.hosts:
                self.await_ready(host)
            end = time.monotonic()
            self.losses.append((begin, end))
            self.is_losing_all = False
            for host in self.fleet.hosts:
                self.disturbed.setdefault(host.name, []).append((begin, end))

    def restart(self, host: Host) -> None:
        """Kill a host, start it, and wait until it serves or the run ends."""
        host.kill()
        host.start()
        self.await_ready(host)

    def await_ready(self, host: Host) -> None:
        """Wait until a host serves or the run ends."""
        while not host.is_ready() and not self.stop_event.wait(0.05):
            pass

    def cut_off(self, host: Host) -> None:
        """Cut a host off from its peers, and from the store if the kind says so.

        Callers reach it, and it reaches targets.
        """
        paths = list(self.fleet.paths_between_peers(host))
        if self.kind is HostFault.CUT_STORE:
            paths.append(host.store_proxy)
        for path in paths:
            path.cut(self.rng.choice((CutMode.HANG, CutMode.RESET)))
        self.stop_event.wait(CUT_DURATION_S)
        for path in paths:
            path.restore()

    def was_in_touch(self, host: str, at: float) -> bool:
        """Return whether ``host`` was undisturbed for `CONTACT_S` before ``at``."""
        return not any(
            begin <= at and end + CONTACT_S > at
            for begin, end in self.disturbed.get(host, ())
        )


def make_fleet(
    stack: contextlib.ExitStack,
    folder: Path | None,
    hosts: int,
    targets: int,
    fault: HostFault,
    limits: HostLimits | None = None,
    kind: type[Fleet] = Fleet,
) -> Fleet:
    """Return a fleet in three availability zones whose hosts can be disturbed.

    Settings and logs go to ``folder``, or else to a temporary one.
    """
    if folder is None:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    folder.mkdir(parents=True, exist_ok=True)
    has_peer_paths = fault in (HostFault.CUT, HostFault.CUT_STORE)
    return kind(
        stack,
        folder,
        hosts,
        targets,
        zones="abc",
        has_peer_paths=has_peer_paths,
        limits=limits,
    )


def await_fleet(fleet: Fleet) -> Fleet:
    """Return ``fleet`` once all hosts have found each other and know all targets.

    Raises
    ------
    TimeoutError
        They did not in time.
    """
    if not fleet.wait_until_converged(START_TIMEOUT_S):
        raise TimeoutError("the hosts did not find each other")
    return fleet
