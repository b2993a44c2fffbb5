"""Injects planned faults into a fleet."""

import signal
import threading
import time
from collections.abc import Callable

from soak.fleet import Fleet, Host, Target
from soak.plan import Fault, Kind
from soak.proxy import Proxy, Way
from soak.records import History

SLOW_S = 0.4


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
        self.busy: set[str] = set()
        self.actions: dict[Kind, Callable[[Fault], None]] = {
            Kind.HOST_KILL: self.kill_host,
            Kind.HOST_PAUSE: self.pause_host,
            Kind.HOST_TERM: self.stop_host,
            Kind.HOST_HUP: lambda f: self.host(f).reload(),
            Kind.ALL_KILL: self.kill_all,
            Kind.STORE_DOWN: lambda f: self.turn_store("status", 503, f),
            Kind.STORE_SLOW: lambda f: self.turn_store("mute_s", SLOW_S, f),
            Kind.STORE_LOSES: lambda f: self.turn_store("lose", True, f),
            Kind.STORE_FORGET: self.forget,
            Kind.STORE_CUT: lambda f: self.hold(self.host(f).store, f, *Way),
            Kind.STORE_SILENT: lambda f: self.host(f).store.silence(),
            Kind.TARGET_RESET: lambda f: self.target(f).proxy.reset(),
            Kind.TARGET_SILENT: lambda f: self.target(f).proxy.silence(),
            Kind.TARGET_HELD: lambda f: self.hold(self.target(f).proxy, f, Way.FROM),
            Kind.TARGET_GONE: self.crash_target,
            Kind.TARGET_REFUSES: lambda f: self.turn(f, "refuse", True, False),
            Kind.TARGET_FAILS: lambda f: self.turn(f, "status", 500, 200),
            Kind.TARGET_FOREIGN: lambda f: self.turn(f, "foreign", True, False),
            Kind.TARGET_CUTS: lambda f: self.turn(f, "cut_after", 2, -1),
            Kind.TARGET_SLOW: lambda f: self.turn(f, "pause_s", SLOW_S, 0.02),
            Kind.TARGET_REPLACED: lambda f: self.turn(
                f, "name", "a stranger", self.target(f).name
            ),
            Kind.TARGET_LEAVES: self.take_target_out,
            Kind.PEER_RESET: lambda f: self.host(f).door.reset(),
            Kind.PEER_SILENT: lambda f: self.host(f).door.silence(),
            Kind.CONFIG: lambda f: self.change_config(),
            Kind.REVOKE: self.revoke,
        }

    def run(self, began: float) -> None:
        """Start every fault at its time, and wait until all have ended."""
        threads = []
        for fault in self.history.faults:
            time.sleep(max(0.0, began + fault.at - time.monotonic()))
            thread = threading.Thread(
                target=self.actions[fault.kind], args=(fault,), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def host(self, fault: Fault) -> Host:
        """Return the host that a fault affects."""
        return self.fleet.hosts[fault.subject % len(self.fleet.hosts)]

    def target(self, fault: Fault) -> Target:
        """Return the target that a fault affects."""
        return self.fleet.targets[fault.subject % len(self.fleet.targets)]

    def claim(self, name: str) -> bool:
        """Reserve a host or target by name for stopping and starting it.

        Returns False if another fault has reserved it already.
        """
        with self.lock:
            free = name not in self.busy
            self.busy.add(name)
        return free

    def release(self, name: str) -> None:
        """End the reservation of ``name``."""
        with self.lock:
            self.busy.discard(name)

    def kill_host(self, fault: Fault) -> None:
        """Kill a host, and restart it when the fault ends."""
        host = self.host(fault)
        if self.claim(host.name):
            host.kill()
            time.sleep(fault.for_s)
            host.start()
            self.release(host.name)

    def kill_all(self, fault: Fault) -> None:
        """Kill all hosts that aren't reserved, and restart them after at most 1 s."""
        rows = [host for host in self.fleet.hosts if self.claim(host.name)]
        for host in rows:
            host.kill()
        time.sleep(min(fault.for_s, 1.0))
        for host in rows:
            host.start()
            self.release(host.name)

    def pause_host(self, fault: Fault) -> None:
        """Suspend the process of a host for the duration of the fault."""
        host = self.host(fault)
        if self.claim(host.name):
            host.signal(signal.SIGSTOP)
            time.sleep(fault.for_s)
            host.signal(signal.SIGCONT)
            self.release(host.name)

    def stop_host(self, fault: Fault) -> None:
        """Stop a host gracefully, and restart it."""
        host = self.host(fault)
        if not self.claim(host.name):
            return
        status = host.terminate()
        if status != 0:
            self.history.findings.append(f"{host.name} ended with {status} when told")
        host.start()
        self.release(host.name)

    def turn_store(self, knob: str, value: float, fault: Fault) -> None:
        """Set a fault of the store for the duration, then clear it."""
        knobs = self.fleet.store.standin.knobs
        setattr(knobs, knob, value)
        time.sleep(fault.for_s)
        setattr(knobs, knob, type(value)())

    def forget(self, fault: Fault) -> None:
        """Compact the history of every topic in the store."""
        store = self.fleet.store.standin
        for topic in list(store.topics):
            store.compact(topic)

    def hold(self, proxy: Proxy, fault: Fault, *ways: Way) -> None:
        """Hold back the bytes of some directions for the duration of the fault."""
        proxy.held.update(ways)
        time.sleep(fault.for_s)
        proxy.held.difference_update(ways)

    def crash_target(self, fault: Fault) -> None:
        """Reset the connections of a target, and refuse new ones for the duration."""
        proxy = self.target(fault).proxy
        proxy.refusing = True
        proxy.reset()
        time.sleep(fault.for_s)
        proxy.refusing = False

    def turn(self, fault: Fault, knob: str, value, usual) -> None:
        """Set a fault of a target for the duration, then restore its usual value."""
        knobs = self.target(fault).knobs
        setattr(knobs, knob, value)
        time.sleep(fault.for_s)
        setattr(knobs, knob, usual)

    def take_target_out(self, fault: Fault) -> None:
        """Mark a target as draining, delete its entry halfway, then restore it."""
        target = self.target(fault)
        if not self.claim(target.name):
            return
        self.fleet.enter(target, "draining")
        since = self.clock()
        time.sleep(fault.for_s / 2)
        self.fleet.enter(target, "")
        time.sleep(fault.for_s / 2)
        self.history.left.append((target.name, since, self.clock()))
        self.fleet.enter(target, "ready")
        self.release(target.name)

    def change_config(self) -> None:
        """Publish a new version of the configuration without other changes."""
        with self.lock:
            self.fleet.version += 7
            self.fleet.put_config()

    def revoke(self, fault: Fault) -> None:
        """Revoke the last API key for good, unless it is the only one."""
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
            host.store.heal()
            host.door.heal()
            host.signal(signal.SIGCONT)
        for target in self.fleet.targets:
            target.proxy.heal()
