"""Does to a fleet what a plan says."""

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
    """Runs the faults of a plan, each in a thread of its own.

    Faults of one host or target may overlap: each puts back what it changed,
    and the end of the run heals everything.
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
            Kind.STORE_SILENT: lambda f: self.host(f).store.blackhole(),
            Kind.TARGET_RESET: lambda f: self.target(f).proxy.reset(),
            Kind.TARGET_SILENT: lambda f: self.target(f).proxy.blackhole(),
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
            Kind.PEER_SILENT: lambda f: self.host(f).door.blackhole(),
            Kind.CONFIG: lambda f: self.change_config(),
            Kind.REVOKE: self.revoke,
        }

    def run(self, began: float) -> None:
        """Let every fault begin at its time, and wait for the end of all."""
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
        """Return the host that a fault happens to."""
        return self.fleet.hosts[fault.subject % len(self.fleet.hosts)]

    def target(self, fault: Fault) -> Target:
        """Return the target that a fault happens to."""
        return self.fleet.targets[fault.subject % len(self.fleet.targets)]

    def claim(self, name: str) -> bool:
        """Return whether nothing else stops or starts ``name`` just now."""
        with self.lock:
            free = name not in self.busy
            self.busy.add(name)
        return free

    def release(self, name: str) -> None:
        """Let others stop and start ``name``."""
        with self.lock:
            self.busy.discard(name)

    def kill_host(self, fault: Fault) -> None:
        """Kill a host, and start it again."""
        host = self.host(fault)
        if self.claim(host.name):
            host.kill()
            time.sleep(fault.for_s)
            host.start()
            self.release(host.name)

    def kill_all(self, fault: Fault) -> None:
        """Kill all hosts at once, and start them again."""
        rows = [host for host in self.fleet.hosts if self.claim(host.name)]
        for host in rows:
            host.kill()
        time.sleep(min(fault.for_s, 1.0))
        for host in rows:
            host.start()
            self.release(host.name)

    def pause_host(self, fault: Fault) -> None:
        """Let a host stand still."""
        host = self.host(fault)
        if self.claim(host.name):
            host.signal(signal.SIGSTOP)
            time.sleep(fault.for_s)
            host.signal(signal.SIGCONT)
            self.release(host.name)

    def stop_host(self, fault: Fault) -> None:
        """Stop a host as planned, and start it again."""
        host = self.host(fault)
        if not self.claim(host.name):
            return
        status = host.terminate()
        if status != 0:
            self.history.findings.append(f"{host.name} ended with {status} when told")
        host.start()
        self.release(host.name)

    def turn_store(self, knob: str, value: float, fault: Fault) -> None:
        """Let the store misbehave for a time."""
        knobs = self.fleet.store.standin.knobs
        setattr(knobs, knob, value)
        time.sleep(fault.for_s)
        setattr(knobs, knob, type(value)())

    def forget(self, fault: Fault) -> None:
        """Let the store forget its history."""
        store = self.fleet.store.standin
        for topic in list(store.topics):
            store.compact(topic)

    def hold(self, proxy: Proxy, fault: Fault, *ways: Way) -> None:
        """Pass nothing on in some directions for a time."""
        proxy.held.update(ways)
        time.sleep(fault.for_s)
        proxy.held.difference_update(ways)

    def crash_target(self, fault: Fault) -> None:
        """Let a target be gone for a time."""
        proxy = self.target(fault).proxy
        proxy.refusing = True
        proxy.reset()
        time.sleep(fault.for_s)
        proxy.refusing = False

    def turn(self, fault: Fault, knob: str, value, usual) -> None:
        """Let a target misbehave for a time."""
        knobs = self.target(fault).knobs
        setattr(knobs, knob, value)
        time.sleep(fault.for_s)
        setattr(knobs, knob, usual)

    def take_target_out(self, fault: Fault) -> None:
        """Let a target leave, vanish from the store, and come back."""
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
        """Put a new version in force that changes nothing."""
        with self.lock:
            self.fleet.version += 7
            self.fleet.put_config()

    def revoke(self, fault: Fault) -> None:
        """Take a key away for good."""
        with self.lock:
            if len(self.fleet.keys) < 2:
                return
            key = self.fleet.keys.pop()
            self.fleet.version += 3
            self.fleet.put_config()
            self.history.revoked[key] = self.clock()

    def heal(self) -> None:
        """End whatever may still go on."""
        for host in self.fleet.hosts:
            host.store.heal()
            host.door.heal()
            host.signal(signal.SIGCONT)
        for target in self.fleet.targets:
            target.proxy.heal()
