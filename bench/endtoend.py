"""Benchmarks the path of a request through one entry host, with real processes.

``python -m bench.endtoend [latency|relay|memory ...]`` starts stand-ins and a host of
its own, and prints each result with the load under which it was measured.
"""

import contextlib
import http.client
import json
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

from bench.processes import cpu_seconds, print_table, resident_bytes
from demo.fleet import ADVISER_KEY, Fleet, Host, wait_for
from godwitladder.standins.ports import free_ports

LATENCY_CALLS = 400
RELAY_STREAMS = 200
RELAY_S = 10.0
WORKSPACES = 3200
ENGINE_PROCESSES = 4
READ_BYTES = 65_536


def start_fleet(stack: contextlib.ExitStack, extra: str = "", **knobs) -> Fleet:
    """Start the platform, engines and one entry host."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    fleet = Fleet(folder, stack)
    fleet.platform = fleet.start_standin("platform")
    fleet.service = fleet.start_standin("service")
    for number in range(ENGINE_PROCESSES):
        fleet.engines[f"engine-{number}"] = fleet.start_standin("engine")
    for address in fleet.engines.values():
        fleet.set_knobs(address, slots=1000, prefill_tps=1e9, **knobs)
    ports = [f"127.0.0.1:{port}" for port in free_ports(3)]
    host = Host("host-a1", "a", *ports)
    fleet.hosts.append(host)
    fleet.start_host(host)
    rows = [{"address": host.peers, "zone": "a", "leaving": False}]
    fleet.send_request("POST", f"http://{fleet.platform}/hosts", json.dumps(rows))
    wait_for(lambda: fleet.is_ready(host), "the host to be ready")
    fleet.configure(extra, slots=1000)
    return fleet


def make_body(tokens: int, stream: bool) -> bytes:
    """Return a request body that makes the stand-in produce ``tokens`` tokens."""
    raw = {
        "model": "adviser-letters",
        "messages": [{"role": "user", "content": "measure"}],
        "max_tokens": max(8, tokens),
        "simulate_output": tokens,
        "stream": stream,
    }
    return json.dumps(raw).encode()


def send_call(
    connection: http.client.HTTPConnection, body: bytes, stream: str
) -> float:
    """Send one call on an open connection; return the seconds to its last byte.

    Raises
    ------
    SystemExit
        The status isn't 200.
    """
    headers = {"Authorization": f"Bearer {ADVISER_KEY}", "X-Stream-Id": stream}
    start = time.perf_counter()
    connection.request("POST", "/v1/chat/completions", body, headers)
    answer = connection.getresponse()
    data = answer.read()
    if answer.status != 200:
        raise SystemExit(f"{answer.status}: {data.decode()}")
    return time.perf_counter() - start


def connect(address: str) -> http.client.HTTPConnection:
    """Return a connection to ``address``."""
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=60)


def measure_latency(stack: contextlib.ExitStack) -> None:
    """Compare a call through the host with a direct one, one at a time.

    Each uses a persistent connection of its own. The calls alternate, so that other
    load on the machine affects both alike.
    """
    fleet = start_fleet(stack, decode_tps=1e6)
    direct = connect(next(iter(fleet.engines.values())))
    relayed = connect(fleet.hosts[0].callers)
    body = make_body(1, stream=True)
    times: dict[str, list[float]] = {"direct": [], "through the host": []}
    for number in range(LATENCY_CALLS + 20):
        pair = (
            send_call(direct, body, f"direct-{number}"),
            send_call(relayed, body, "x"),
        )
        if number >= 20:
            for name, seconds in zip(times, pair, strict=True):
                times[name].append(seconds * 1000)
    rows = [(name, *quantiles(values)) for name, values in times.items()]
    added = [a - b for a, b in zip(rows[1][1:], rows[0][1:], strict=True)]
    rows.append(("added", *added))
    shown = [(name, *(f"{value:.2f}" for value in values)) for name, *values in rows]
    print_table((f"{LATENCY_CALLS} calls in turns", "p50 ms", "p99 ms"), shown)


def quantiles(values: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile."""
    cuts = statistics.quantiles(values, n=100)
    return cuts[49], cuts[98]


class Reader(threading.Thread):
    """Reads one stream and counts its events until stopped."""

    def __init__(self, address: str, tokens: int) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.body = make_body(tokens, stream=True)
        self.events = 0
        self.first_event = threading.Event()
        self.stopping = False

    def run(self) -> None:
        """Read the stream; the host may stop before the reader does."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.read()

    def read(self) -> None:
        """Read until the end of the stream or until stopped."""
        connection = connect(self.address)
        headers = {"Authorization": f"Bearer {ADVISER_KEY}", "Request-Timeout": "600"}
        connection.request("POST", "/v1/chat/completions", self.body, headers)
        answer = connection.getresponse()
        if answer.status != 200:
            raise SystemExit(f"{answer.status}: {answer.read().decode()}")
        while not self.stopping:
            data = answer.read1(READ_BYTES)
            if not data:
                return
            self.events += data.count(b"id: ")
            if self.events:
                self.first_event.set()


def open_streams(fleet: Fleet, count: int) -> list[Reader]:
    """Open ``count`` streams through the host and wait for their first events."""
    readers = [Reader(fleet.hosts[0].callers, 4096) for _ in range(count)]
    for reader in readers:
        reader.start()
    for reader in readers:
        if not reader.first_event.wait(60):
            raise SystemExit("a stream had no first event within 60 s")
    return readers


def measure_relay(stack: contextlib.ExitStack) -> None:
    """Relay events at two paces and divide by the host's processor time.

    One rate is 20 tokens per second for each stream, as of a real engine; the other
    is high enough to keep the host busy all the time.
    """
    rows = []
    for token_rate in (20.0, 100.0):
        with contextlib.ExitStack() as rate_stack:
            fleet = start_fleet(rate_stack, decode_tps=token_rate)
            readers = open_streams(fleet, RELAY_STREAMS)
            pid = fleet.hosts[0].process.pid
            events, used = sum(r.events for r in readers), cpu_seconds(pid)
            start = time.monotonic()
            time.sleep(RELAY_S)
            seconds = time.monotonic() - start
            events = sum(r.events for r in readers) - events
            used = cpu_seconds(pid) - used
            for reader in readers:
                reader.stopping = True
        rate, share = events / seconds, used / seconds
        rows.append((token_rate, f"{rate:.0f}", f"{share:.2f}", f"{rate / share:.0f}"))
    head = ("tokens/s a stream", "events/s", "cores used", "events a core-second")
    print_table(head, rows)


def measure_memory(stack: contextlib.ExitStack) -> None:
    """Read the host's resident memory with many workspaces and streams."""
    lines = [
        f'[workspaces.w{number}]\ntier = "normal"\nkey_digests = ["{number:064x}"]'
        for number in range(WORKSPACES)
    ]
    fleet = start_fleet(stack, "\n".join(lines), decode_tps=20.0)
    pid = fleet.hosts[0].process.pid
    time.sleep(2.0)
    rows = [(0, f"{resident_bytes(pid) / 2**20:.0f}")]
    readers = open_streams(fleet, RELAY_STREAMS)
    time.sleep(3.0)
    rows.append((len(readers), f"{resident_bytes(pid) / 2**20:.0f}"))
    for reader in readers:
        reader.stopping = True
    print_table((f"streams open, {WORKSPACES} workspaces", "resident MiB"), rows)


MEASUREMENTS = {
    "latency": measure_latency,
    "relay": measure_relay,
    "memory": measure_memory,
}


def main(names: list[str]) -> None:
    """Run the named measurements, or all."""
    for name in names or MEASUREMENTS:
        with contextlib.ExitStack() as stack:
            print(
                f"\n{name}: {MEASUREMENTS[name].__doc__.splitlines()[0]}\n", flush=True
            )
            MEASUREMENTS[name](stack)


if __name__ == "__main__":
    main(sys.argv[1:])
