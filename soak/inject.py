"""Injects planned faults into a fleet."""

import signal
import threading
import time
from collections.abc import Callable

from godwitladder.standins.routed import Endless, EngineKnobs
from soak.fleet import Fleet, Host, Target
from soak.plan import Fault, FaultKind
from soak.proxy import CutMode, Direction, Proxy
from soak.records import History

SLOW_DELAY_S = 0.4
RATE_LIMIT = 1.5
COOLDOWN_S = 2.5
COPY_AGE_S = 3.0
MAX_AWAY_S = 1.0
READ_S = 0.8
"""Time in which hosts read what is written."""
REWRITE_DELAY_S = 0.3
"""Time after which what the store's copy lacks is written again."""


class Injector:
    """Injects the faults of a run, each in its own thread.

    Faults of the same host or target may overlap. Each fault reverts what it
    changed; `heal` ends what may remain of overlapping faults after the run.
    """

    def __init__(
        self, fleet: Fleet, history: History, clock: Callable[[], float]
    ) -> None:
        self.fleet = fleet
        self.history = history
        self.clock = clock
        self.lock = threading.Lock()
        self.reserved: set[str] = set()
        self.actions: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.HOST_KILL: self.kill_host,
            FaultKind.HOST_PAUSE: self.pause_host,
            FaultKind.HOST_TERM: self.stop_host,
            FaultKind.HOST_HUP: lambda f: self.host(f).reload(),
            FaultKind.ALL_KILL: self.kill_all,
            FaultKind.STORE_DOWN: lambda f: self.set_store_fault("status", 503, f),
            FaultKind.STORE_SLOW: lambda f: self.set_store_fault(
                "mute_s", SLOW_DELAY_S, f
            ),
            FaultKind.STORE_LOSES: lambda f: self.set_store_fault("lose", True, f),
            FaultKind.STORE_FORGET: self.compact_store,
            FaultKind.STORE_CUT: lambda f: self.hold_directions(
                self.host(f).store_proxy, f, *Direction
            ),
            FaultKind.STORE_SILENT: lambda f: self.host(f).store_proxy.blackhole(),
            FaultKind.TARGET_RESET: lambda f: self.target(f).proxy.reset(),
            FaultKind.TARGET_SILENT: lambda f: self.target(f).proxy.blackhole(),
            FaultKind.TARGET_HELD: lambda f: self.hold_directions(
                self.target(f).proxy, f, Direction.FROM_UPSTREAM
            ),
            FaultKind.TARGET_GONE: self.crash_target,
            FaultKind.TARGET_REFUSES: lambda f: self.set_target_fault(
                f, "refuse", True, False
            ),
            FaultKind.TARGET_FAILS: lambda f: self.set_target_fault(
                f, "status", 500, 200
            ),
            FaultKind.TARGET_FOREIGN: lambda f: self.set_target_fault(
                f, "foreign", True, False
            ),
            FaultKind.TARGET_CUTS: lambda f: self.set_target_fault(
                f, "cut_after", 2, -1
            ),
            FaultKind.TARGET_SLOW: lambda f: self.set_target_fault(
                f, "pause_s", SLOW_DELAY_S, 0.02
            ),
            FaultKind.TARGET_REPLACED: lambda f: self.set_target_fault(
                f, "name", "a stranger", self.target(f).name
            ),
            FaultKind.TARGET_LEAVES: self.deregister_target,
            FaultKind.TARGET_LIMITS: lambda f: self.state(f, rate_limit=RATE_LIMIT),
            FaultKind.TARGET_SAYS_LEAVING: lambda f: self.state(f, leaving=True),
            FaultKind.TARGET_RESTS: lambda f: self.state(
                f, refuse=True, cooldown_s=COOLDOWN_S
            ),
            FaultKind.PEER_RESET: lambda f: self.host(f).peer_proxy.reset(),
            FaultKind.PEER_SILENT: lambda f: self.host(f).peer_proxy.blackhole(),
            FaultKind.PATHS_CUT: self.cut_paths,
            FaultKind.STORE_COPIED: self.copy_store,
            FaultKind.TARGET_ENDLESS_BODY: lambda f: self.send_endless(f, Endless.BODY),
            FaultKind.TARGET_ENDLESS_CHUNKS: lambda f: self.send_endless(
                f, Endless.CHUNKS
            ),
            FaultKind.TARGET_ENDLESS_INTERIM: lambda f: self.send_endless(
                f, Endless.INTERIM
            ),
            FaultKind.CONFIG: lambda f: self.change_config(),
            FaultKind.REVOKE: self.revoke,
        }

    def run(self, started_at: float) -> None:
        """Start every fault at its time, and wait until all have ended."""
        threads = []
        for fault in self.history.faults:
            time.sleep(max(0.0, started_at + fault.start_s - time.monotonic()))
            thread = threading.Thread(
                target=self.actions[fault.kind], args=(fault,), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def host(self, fault: Fault) -> Host:
        """Return the host that a fault affects."""
        return self.fleet.hosts[fault.affected_index % len(self.fleet.hosts)]

    def target(self, fault: Fault) -> Target:
        """Return the target that a fault affects."""
        return self.fleet.targets[fault.affected_index % len(self.fleet.targets)]

    def reserve(self, name: str) -> bool:
        """Reserve a host or target by name for stopping and starting it.

        Returns False if another fault has reserved it already.
        """
        with self.lock:
            free = name not in self.reserved
            self.reserved.add(name)
        return free

    def release(self, name: str) -> None:
        """End the reservation of ``name``."""
        with self.lock:
            self.reserved.discard(name)

    def kill_host(self, fault: Fault) -> None:
        """Kill a host, and restart it when the fault ends."""
        host = self.host(fault)
        if self.reserve(host.name):
            host.kill()
            time.sleep(fault.duration_s)
            host.start()
            self.release(host.name)

    def kill_all(self, fault: Fault) -> None:
        """Kill all hosts that aren't reserved, and restart them after at most 1 s."""
        rows = [host for host in self.fleet.hosts if self.reserve(host.name)]
        for host in rows:
            host.kill()
        time.sleep(min(fault.duration_s, 1.0))
        for host in rows:
            host.start()
            self.release(host.name)

    def pause_host(self, fault: Fault) -> None:
        """Suspend the process of a host for the duration of the fault."""
        host = self.host(fault)
        if self.reserve(host.name):
            host.send_signal(signal.SIGSTOP)
            time.sleep(fault.duration_s)
            host.send_signal(signal.SIGCONT)
            self.release(host.name)

    def stop_host(self, fault: Fault) -> None:
        """Stop a host gracefully, and restart it."""
        host = self.host(fault)
        if not self.reserve(host.name):
            return
        status = host.terminate()
        if status != 0:
            self.history.findings.append(f"{host.name} ended with {status} when told")
        host.start()
        self.release(host.name)

    def set_store_fault(self, knob: str, value: float, fault: Fault) -> None:
        """Set a fault of the store for the duration, then clear it."""
        knobs = self.fleet.store.standin.knobs
        setattr(knobs, knob, value)
        time.sleep(fault.duration_s)
        setattr(knobs, knob, type(value)())

    def compact_store(self, fault: Fault) -> None:
        """Compact the history of every topic in the store."""
        store = self.fleet.store.standin
        for topic in list(store.topics):
            store.compact(topic)

    def copy_store(self, fault: Fault) -> None:
        """Let the store be away for a moment, and come back from a copy.

        Two configurations that hosts have read are lost; the newer one is written
        again, and a third one after it.
        """
        store = self.fleet.store.standin
        for _ in range(2):
            self.change_config()
            time.sleep(READ_S)
        store.knobs.status = 503
        time.sleep(min(fault.duration_s, MAX_AWAY_S))
        store.come_back_from_copy(COPY_AGE_S)
        store.knobs.status = 0
        time.sleep(REWRITE_DELAY_S)
        with self.lock:
            self.fleet.write_again()
        self.change_config()

    def hold_directions(
        self, proxy: Proxy, fault: Fault, *directions: Direction
    ) -> None:
        """Hold back the bytes of some directions for the duration of the fault."""
        proxy.held.update(directions)
        time.sleep(fault.duration_s)
        proxy.held.difference_update(directions)

    def crash_target(self, fault: Fault) -> None:
        """Reset the connections of a target, and refuse new ones for the duration."""
        proxy = self.target(fault).proxy
        proxy.refusing = True
        proxy.reset()
        time.sleep(fault.duration_s)
        proxy.refusing = False

    def cut_paths(self, fault: Fault) -> None:
        """Cut all paths of a host to the targets, in one of three ways."""
        host = self.host(fault)
        modes = list(CutMode)
        if not self.reserve(f"paths of {host.name}"):
            return
        host.cut_paths(modes[fault.affected_index % len(modes)])
        time.sleep(fault.duration_s)
        host.restore_paths()
        self.release(f"paths of {host.name}")

    def set_target_fault(self, fault: Fault, knob: str, value, normal_value) -> None:
        """Set a fault of a target for the duration, then restore its usual value."""
        knobs = self.target(fault).knobs
        setattr(knobs, knob, value)
        time.sleep(fault.duration_s)
        setattr(knobs, knob, normal_value)

    def send_endless(self, fault: Fault, endless: Endless) -> None:
        """Let a target answer without end for the duration of the fault."""
        self.set_target_fault(fault, "endless", endless, Endless.NOTHING)

    def state(self, fault: Fault, **statement) -> None:
        """Let a target state something for the duration of the fault.

        A target that has left doesn't come back, but another process of it does.
        """
        target = self.target(fault)
        if not self.reserve(target.name):
            return
        normal = EngineKnobs()
        for name, value in statement.items():
            setattr(target.knobs, name, value)
        time.sleep(fault.duration_s)
        # The value before may be that of another fault which has ended since.
        for name in statement:
            setattr(target.knobs, name, getattr(normal, name))
        if fault.kind is FaultKind.TARGET_SAYS_LEAVING:
            target.started_ms += 1
            self.fleet.write_entry(target, "ready")
        self.release(target.name)

    def deregister_target(self, fault: Fault) -> None:
        """Mark a target as draining, delete its entry halfway, then restore it."""
        target = self.target(fault)
        if not self.reserve(target.name):
            return
        self.fleet.write_entry(target, "draining")
        since = self.clock()
        time.sleep(fault.duration_s / 2)
        self.fleet.write_entry(target, "")
        time.sleep(fault.duration_s / 2)
        self.history.departures.append((target.name, since, self.clock()))
        self.fleet.write_entry(target, "ready")
        self.release(target.name)

    def change_config(self) -> None:
        """Publish a new version of the configuration without other changes."""
        with self.lock:
            self.fleet.version += 7
            self.fleet.put_config()

    def revoke(self, fault: Fault) -> None:
        """Revoke one API key for good, unless only one is left."""
        with self.lock:
            if len(self.fleet.keys) < 2:
                return
            key = self.fleet.keys.pop()
            self.fleet.version += 3
            self.fleet.put_config()
            self.history.revoked[key] = self.clock()

    def heal(self) -> None:
        """Heal all proxies and resume all suspended hosts."""
        for host in self.fleet.hosts:
            host.store_proxy.heal()
            host.peer_proxy.heal()
            host.send_signal(signal.SIGCONT)
        for target in self.fleet.targets:
            target.proxy.heal()
