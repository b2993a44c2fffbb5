"""Measures how resource use grows on this machine, for ``docs/CAPACITY.md``.

``python -m bench.capacity [PART ...]`` runs all measurements, or those named: hosts,
load, workspaces, claims. Each prints its values at several sizes and the slope of
the line fitted through them; hosts also prints the extrapolation to a zone of the
designed size.
"""

import contextlib
import json
import secrets
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bench.processes import cpu_seconds, fit_line, print_table, resident_bytes
from godwitladder.claims.records import Claim
from godwitladder.claims.table import ClaimTable
from godwitladder.configuration.ledger import Ledger, make_state
from tests.fleet import Fleet, digest, make_fleet

HOST_SIZES = (4, 16, 32)
WORKSPACE_SIZES = (100, 400, 1600, 3200)
CLAIM_SIZES = (1000, 10_000, 100_000)
LOAD_HOSTS = 8
LOAD_RATES = (0, 2, 4, 8)
WINDOW_S = 86_400.0
SETTLE_S = 4.0
MEASURE_S = 10.0
ZONE_HOSTS = 48
UNITS = (
    ("cores", "% of a core", 100.0),
    ("resident", "MB", 1e-6),
    ("control", "KB/s", 1e-3),
)
CONTROL_METRIC = "godwitladder_control_bytes"


@dataclass(frozen=True)
class ResourceUse:
    """Resource use of one host, as totals or as averages of an interval.

    Attributes
    ----------
    cores : float
        Processor time in seconds, or the average number of cores in use.
    resident : float
        Resident memory in bytes.
    control : float
        Bytes of control traffic, or bytes per second.
    """

    cores: float
    resident: float
    control: float


@dataclass(frozen=True)
class FleetUse:
    """Mean use over all hosts, and the maximum of each resource over the hosts."""

    mean: ResourceUse
    most: ResourceUse


def measure_hosts() -> None:
    """Measure the resource use of idle hosts of one availability zone."""
    points = [(size, measure_fleet(size)) for size in HOST_SIZES]
    print("\nIdle hosts of one zone; the most is that of the allocator's host:\n")
    head = ("hosts", "% of a core", "most", "MB resident", "most", "KB/s", "most")
    print_table(head, [(size, *use_cells(use)) for size, use in points])
    for name, unit, scale in UNITS:
        for which in ("mean", "most"):
            line = fit_line(
                [
                    (size, getattr(getattr(use, which), name) * scale)
                    for size, use in points
                ]
            )
            print(
                f"{name}, {which}: {line.base:.3f} + {line.slope:.4f} for each host, "
                f"{line.at(ZONE_HOSTS):.2f} {unit} at {ZONE_HOSTS} hosts"
            )


def use_cells(use: FleetUse) -> list[str]:
    """Return the table cells for the use of one fleet."""
    return [
        f"{getattr(row, name) * scale:.2f}"
        for name, _, scale in UNITS
        for row in (use.mean, use.most)
    ]


def measure_fleet(size: int) -> FleetUse:
    """Return the use of a fleet of ``size`` idle hosts."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = make_fleet(Path(folder), stack)
        for index in range(4):
            fleet.add_engine(f"engine-a{index}")
        for index in range(size):
            fleet.add_host(f"host-a{index}", "a")
        fleet.wait_ready()
        fleet.configure()
        time.sleep(SETTLE_S)
        return measure_use(fleet)


def measure_use(fleet: Fleet) -> FleetUse:
    """Measure the use of the hosts of ``fleet`` for ``MEASURE_S`` from now on."""
    before = [read_totals(fleet, host) for host in fleet.hosts]
    start = time.monotonic()
    time.sleep(MEASURE_S)
    seconds = time.monotonic() - start
    after = [read_totals(fleet, host) for host in fleet.hosts]
    uses = [
        ResourceUse(
            (b.cores - a.cores) / seconds, b.resident, (b.control - a.control) / seconds
        )
        for a, b in zip(before, after, strict=True)
    ]
    names = [name for name, _, _ in UNITS]
    columns = {name: [getattr(use, name) for use in uses] for name in names}
    return FleetUse(
        ResourceUse(*(mean(columns[name]) for name in names)),
        ResourceUse(*(max(columns[name]) for name in names)),
    )


def read_totals(fleet: Fleet, host) -> ResourceUse:
    """Return the totals of one host so far."""
    text = fleet.http.request("GET", f"http://{host.operators}/metrics").data.decode()
    control = sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(CONTROL_METRIC)
    )
    pid = host.process.pid
    return ResourceUse(cpu_seconds(pid), resident_bytes(pid), control)


def mean(values: list[float]) -> float:
    """Return the arithmetic mean."""
    return sum(values) / len(values)


def measure_workspaces() -> None:
    """Measure memory and replay time of a configuration by number of workspaces."""
    rows, memory, seconds = [], [], []
    for size in WORKSPACE_SIZES:
        ticket = make_workspace_ticket(size)
        tracemalloc.start()
        ledger = Ledger()
        ledger.replay(0, 0.0, ticket)
        state = make_state(ledger)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        start = time.perf_counter()
        again = Ledger()
        again.replay(0, 0.0, ticket)
        make_state(again)
        replay_s = time.perf_counter() - start
        rows.append((size, len(ticket), f"{held / 1e6:.2f}", f"{replay_s * 1e3:.0f}"))
        memory.append((size, held))
        seconds.append((size, replay_s))
        assert len(state.workspaces) == size
    print("\nConfiguration, one ticket that creates all workspaces:\n")
    print_table(("workspaces", "ticket bytes", "MB held", "ms to replay"), rows)
    line = fit_line(memory)
    print(f"memory: {line.slope:.0f} B for each workspace")
    line = fit_line(seconds)
    print(f"replay: {line.slope * 1e6:.1f} us for each workspace")


def make_workspace_ticket(size: int) -> bytes:
    """Return a ticket that creates ``size`` workspaces, two keys each."""
    lines = [
        'number = 1\noperator = "hanna"\nreason = "capacity"\n[tiers.normal]\nrank = 1'
    ]
    for index in range(size):
        keys = json.dumps([digest(f"{index}-a"), digest(f"{index}-b")])
        lines.append(
            f'[workspaces.workspace-{index}]\ntier = "normal"\nkey_digests = {keys}'
        )
    return "\n".join(lines).encode()


def measure_load() -> None:
    """Measure the control traffic of one availability zone by request rate."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = make_fleet(Path(folder), stack)
        for index in range(4):
            fleet.add_engine(f"engine-a{index}", decode_tps=400, slots=64)
        for index in range(LOAD_HOSTS):
            fleet.add_host(f"host-a{index}", "a")
        fleet.wait_ready()
        fleet.configure()
        time.sleep(SETTLE_S)
        points = []
        for rate in LOAD_RATES:
            with ChatLoad(fleet, rate):
                time.sleep(SETTLE_S)
                points.append((rate, measure_use(fleet)))
    print(f"\n{LOAD_HOSTS} hosts of one zone, by requests a second at each:\n")
    head = ("requests/s", "% of a core", "most", "MB resident", "most", "KB/s", "most")
    print_table(head, [(rate, *use_cells(use)) for rate, use in points])
    for which in ("mean", "most"):
        line = fit_line([(rate, getattr(use, which).control) for rate, use in points])
        print(f"control, {which}: {line.slope:.0f} B for each request at each host")


class ChatLoad:
    """Context manager that sends short chat requests to each host at a fixed rate."""

    def __init__(self, fleet: Fleet, rate: float) -> None:
        self.fleet = fleet
        self.rate = rate
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.call, args=(host,)) for host in fleet.hosts
        ]

    def __enter__(self) -> "ChatLoad":
        for thread in self.threads if self.rate else ():
            thread.start()
        return self

    def __exit__(self, *error) -> None:
        self.stopping.set()
        for thread in self.threads if self.rate else ():
            thread.join()

    def call(self, host) -> None:
        """Send requests to one host until stopped."""
        due = time.monotonic()
        while not self.stopping.is_set():
            self.fleet.chat(host, "Is 40 right?", max_tokens=16)
            due += 1.0 / self.rate
            self.stopping.wait(max(0.0, due - time.monotonic()))


def measure_claims() -> None:
    """Measure memory and replay time of the claims of one retention window."""
    rows, memory, seconds = [], [], []
    for size in CLAIM_SIZES:
        records = [
            Claim(
                secrets.token_bytes(16), secrets.token_bytes(12), "h", 1, b"b" * 8, 0.0
            )
            for _ in range(size)
        ]
        tracemalloc.start()
        table = ClaimTable(WINDOW_S)
        for offset, record in enumerate(records):
            table.replay(offset, 1.0, record)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        start = time.perf_counter()
        again = ClaimTable(WINDOW_S)
        for offset, record in enumerate(records):
            again.replay(offset, 1.0, record)
        replay_s = time.perf_counter() - start
        rows.append((size, f"{held / 1e6:.2f}", f"{replay_s * 1e3:.0f}"))
        memory.append((size, held))
        seconds.append((size, replay_s))
    print("\nClaims of one window, beside the bytes of their records:\n")
    print_table(("claims", "MB held", "ms to replay"), rows)
    print(f"memory: {fit_line(memory).slope:.0f} B for each claim")
    print(f"replay: {fit_line(seconds).slope * 1e6:.1f} us for each claim")


def make_claim() -> Claim:
    """Return a claim of a random key."""
    key, nonce = secrets.token_bytes(16), secrets.token_bytes(12)
    return Claim(key, nonce, "host-a1", 1, b"the body", 0.0)


MEASUREMENTS: dict[str, Callable[[], None]] = {
    "hosts": measure_hosts,
    "load": measure_load,
    "workspaces": measure_workspaces,
    "claims": measure_claims,
}


def main(names: list[str]) -> None:
    """Run the named measurements, or all."""
    for name in names or MEASUREMENTS:
        MEASUREMENTS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])
