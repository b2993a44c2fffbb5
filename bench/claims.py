"""Benchmarks claims: log appends per second and latency by batch window.

``python -m bench.claims`` starts the platform stand-in and the claim components of
several hosts, each as a process of its own, submits claims at a fixed mean rate, and
prints a row for each batch window, followed by the memory that a claim takes.
"""

import contextlib
import gc
import json
import queue
import random
import secrets
import statistics
import subprocess
import sys
import threading
import time
import tracemalloc

import urllib3

from bench.processes import print_table
from godwitladder.claims.actor import ClaimLogThreads, Claims, HasCaughtUp, SubmitClaim
from godwitladder.claims.records import Claim, Release
from godwitladder.claims.table import ClaimTable
from godwitladder.claims.tracker import ClaimRequest, ClaimResult
from godwitladder.clients.log import LogClient
from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation, Zone
from godwitladder.metrics import Metrics
from godwitladder.settings import ClaimSettings

HOSTS = 4
CLAIMS_PER_S = 200
RUN_S = 5.0
BATCH_WINDOWS_MS = (0.1, 2, 5, 10, 20, 50)
APPEND_DELAY_MS = 5.0
MEMORY_CLAIMS = 100_000


def submit_claims(actor, rate: float, reply: "queue.SimpleQueue[ClaimResult]") -> dict:
    """Submit claims at random times; return the submission time of each nonce."""
    submitted_at = {}
    end = time.monotonic() + RUN_S
    while (now := time.monotonic()) < end:
        nonce = secrets.token_bytes(12)
        submitted_at[nonce] = now
        request = ClaimRequest(
            secrets.token_bytes(16), nonce, b"12345678", 0.0, now + 10
        )
        actor.tell(SubmitClaim(request, reply))
        time.sleep(random.expovariate(rate))
    return submitted_at


def run_host(address: str, batch_s: float, name: str) -> list[float]:
    """Run the claims of one host; return the latency of each claim in seconds."""
    clock, work = Clock(), threading.Event()
    settings = ClaimSettings(batch_s=batch_s)
    actor = Claims.start(HostId(name), Incarnation(1), settings, clock, Metrics(), work)
    client = LogClient(f"http://{address}", Zone("a"))
    threads = ClaimLogThreads(actor, client, clock, work, batch_s)
    threads.start()
    while not actor.ask(HasCaughtUp()):
        time.sleep(0.01)
    reply: queue.SimpleQueue[ClaimResult] = queue.SimpleQueue()
    settled_at: dict[bytes, float] = {}

    def receive() -> None:
        while (row := reply.get()) is not None:
            settled_at[row.nonce] = time.monotonic()

    receiver = threading.Thread(target=receive)
    receiver.start()
    submitted_at = submit_claims(actor, CLAIMS_PER_S / HOSTS, reply)
    while len(settled_at) < len(submitted_at):
        time.sleep(0.01)
    reply.put(None)
    receiver.join()
    threads.stop()
    actor.stop()
    return [settled_at[nonce] - start for nonce, start in submitted_at.items()]


def measure(address: str, batch_s: float) -> tuple[float, list[float]]:
    """Return the appends per second and the latencies in seconds of all hosts."""
    before = count_appends(address)
    command = [sys.executable, "-m", "bench.claims", address, str(batch_s)]
    hosts = [
        subprocess.Popen([*command, f"host-{index}"], stdout=subprocess.PIPE)
        for index in range(HOSTS)
    ]
    latencies = [
        latency for host in hosts for latency in json.loads(host.communicate()[0])
    ]
    return (count_appends(address) - before) / RUN_S, sorted(latencies)


def count_appends(address: str) -> int:
    """Return the number of appends to the claims stream of the log."""
    answer = urllib3.request("GET", f"http://{address}/appends")
    return json.loads(answer.data).get("claims", 0)


def measure_memory() -> tuple[float, float]:
    """Return the bytes taken by a held claim and by the nonce of a released one."""
    gc.collect()
    tracemalloc.start()
    table = ClaimTable(86_400.0)
    start = tracemalloc.get_traced_memory()[0]
    keys = [secrets.token_bytes(16) for _ in range(MEMORY_CLAIMS)]
    nonces = [secrets.token_bytes(12) for _ in range(MEMORY_CLAIMS)]
    bodies = [secrets.token_bytes(8) for _ in range(MEMORY_CLAIMS)]
    for offset in range(MEMORY_CLAIMS):
        row = Claim(keys[offset], nonces[offset], "host-a1", 1, bodies[offset], 0.0)
        table.replay(offset, 1.0 + offset * 1e-3, row)
    held = tracemalloc.get_traced_memory()[0]
    for offset in range(MEMORY_CLAIMS):
        table.replay(
            MEMORY_CLAIMS + offset, 200.0, Release(keys[offset], nonces[offset])
        )
    del keys, bodies
    gc.collect()
    released = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (held - start) / MEMORY_CLAIMS, (released - start) / MEMORY_CLAIMS


def start_platform(stack: contextlib.ExitStack) -> str:
    """Start the platform stand-in; return its address."""
    command = [sys.executable, "-m", "godwitladder", "standin", "platform"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    stack.callback(process.wait)
    stack.callback(process.kill)
    return process.stdout.readline().strip()


def main() -> None:
    """Run the benchmark and print its table."""
    rows = []
    with contextlib.ExitStack() as stack:
        address = start_platform(stack)
        knobs = json.dumps({"delay_s": APPEND_DELAY_MS / 1000})
        urllib3.request("POST", f"http://{address}/knobs", body=knobs)
        for window in BATCH_WINDOWS_MS:
            appends, latencies = measure(address, window / 1000)
            median = statistics.median(latencies) * 1000
            p99 = latencies[int(len(latencies) * 0.99)] * 1000
            rows.append(
                (
                    f"{window:g}",
                    len(latencies),
                    f"{appends:.0f}",
                    f"{median:.1f}",
                    f"{p99:.1f}",
                )
            )
    print(
        f"{HOSTS} hosts, {CLAIMS_PER_S} claims a second offered in all, "
        f"the log answers after {APPEND_DELAY_MS:g} ms, {RUN_S:g} s a row."
    )
    print_table(("window ms", "claims", "appends/s", "p50 ms", "p99 ms"), rows)
    held, released = measure_memory()
    print(f"Bytes a held claim: {held:.0f}; a released nonce: {released:.0f}.")


if __name__ == "__main__":
    if len(sys.argv) > 1:
        address, batch_s, name = sys.argv[1:]
        print(json.dumps(run_host(address, float(batch_s), name)))
    else:
        main()
