"""Callers that read slowly or not at all, and many endless answers at once."""

import contextlib
import json
import logging
import resource
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.outcomes import RequestState
from godwitladder.platform import names
from godwitladder.process.arenas import limit_arenas
from godwitladder.process.drain import count_unfinished
from godwitladder.serving.listener import OUTPUT_WATERMARK_BYTES, make_listener
from godwitladder.settings import LimitSettings
from tests.fleet import WAIT_S, wait_until
from tests.serving.odd_targets import (
    COMMENT,
    ENDLESS,
    EVENT,
    STREAM,
    STREAMS,
    OddTarget,
    head,
    repeat,
)
from tests.serving.test_endless_answers import DEADLINE_S, GRACE_S, OddBench

# As a host does before it starts threads; arenas that exist stay.
limit_arenas()
HOST_MB = 152.0
"""Memory of the smallest host, in megabytes."""
HOST_LIMITS = AnswerLimits(memory_mb=HOST_MB)
CALLERS = 200
THREADS = 240
CROWD_S = 4.0
"""Time in which the requests of a crowd come and reach their deadline, in seconds."""
RECEIVE_BYTES = 4096
PAGE_BYTES = resource.getpagesize()
CROWDS = [(shape, 0.001 if shape == "comments" else 0.0) for shape in ENDLESS] + [
    ("no_length", 0.1),
    ("chunks", 0.1),
    ("comments", 0.1),
    ("long_event", 0.05),
]
"""Shapes of endless answers, with the pause before each piece in seconds."""


class Listener:
    """A host's listener before targets that answer by scripts."""

    def __init__(self, stack, *targets, limits=HOST_LIMITS):
        self.bench = OddBench(stack, *targets, limits=limits)
        self.stack = stack
        settings = LimitSettings(threads=THREADS)
        self.server = make_listener(self.bench.app, "127.0.0.1:0", settings, THREADS)
        self.server.memory = self.bench.memory
        stack.callback(self.server.close)
        threading.Thread(target=self.server.run, daemon=True).start()

    def connect(self):
        """Return a connection that takes in little by itself."""
        caller = self.stack.enter_context(socket.socket())
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        caller.settimeout(WAIT_S)
        caller.connect(self.server.socket.getsockname())
        return caller

    def ask(self, path, version="1.1", deadline_s=DEADLINE_S):
        """Return a connection on which one request was sent."""
        caller = self.connect()
        caller.sendall(make_request(path, version, deadline_s))
        return caller

    def wait_until_done(self, count):
        """Wait until the ends of so many calls were reported."""
        finished = self.bench.scheduler.finished
        wait_until(lambda: len(finished) >= count, f"{count} calls to end")


def make_request(path, version="1.1", deadline_s=DEADLINE_S):
    fields = [
        f"POST {path} HTTP/{version}",
        "Host: shop.example",
        "Authorization: Bearer k1",
        f"{names.ATTEMPT}: a1",
        f"{names.DEADLINE_MS}: {int(deadline_s * 1000)}",
        "Content-Length: 0",
    ]
    return "\r\n".join([*fields, "", ""]).encode()


def read_all(caller):
    """Return all bytes of a connection; raise `ConnectionResetError` at a reset."""
    return b"".join(iter(lambda: caller.recv(65_536), b""))


def resident_bytes():
    """Return the memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def path_to(shape):
    return "/stream/stream/x" if shape in STREAMS else "/charge/x"


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.mark.parametrize("shape", ["no_length", "length", "chunks", "stream"])
def test_a_caller_that_reads_nothing_holds_nothing_after_its_deadline(stack, shape):
    """Guards against slots and threads that are held for as long as a caller likes."""
    target = OddTarget(ENDLESS[shape])
    listener = Listener(stack, target)
    began = time.monotonic()
    listener.ask(path_to(shape))
    listener.wait_until_done(1)
    assert time.monotonic() - began < DEADLINE_S + GRACE_S
    app = listener.bench.app
    wait_until(lambda: app.open_calls == 0, "the call's thread to be free")
    wait_until(lambda: target.open_connections == 0, "the target to be free")
    wait_until(lambda: listener.bench.memory.used == 0, "the memory to be free")
    assert listener.bench.scheduler.finished == [RequestState.FAILED]


def test_a_caller_that_reads_nothing_holds_little_memory(stack):
    """Guards against output that is buffered for callers without a bound."""
    listener = Listener(stack, OddTarget(ENDLESS["no_length"]))
    listener.ask("/charge/x")
    listener.wait_until_done(1)
    held = HOST_LIMITS.held_bytes + OUTPUT_WATERMARK_BYTES
    assert listener.bench.memory.peak < 4 * held


def test_output_that_waits_for_a_caller_is_accounted_for(stack):
    """Guards against memory that callers take by not reading, unseen by the host."""
    listener = Listener(stack, OddTarget(ENDLESS["no_length"]))
    listener.ask("/charge/x", deadline_s=4.0)
    wait_until(
        lambda: count_pending(listener.server) > OUTPUT_WATERMARK_BYTES,
        "output to wait for its caller",
    )
    assert listener.bench.memory.used > OUTPUT_WATERMARK_BYTES


def test_less_output_waits_for_a_caller_where_memory_is_short(stack):
    """Guards against callers that don't read and use up the memory of all others."""
    listener = Listener(stack, OddTarget(ENDLESS["no_length"]))
    memory = listener.bench.memory
    assert memory.take(memory.max_growth_bytes + 1)
    listener.ask("/charge/x")
    listener.wait_until_done(1)
    assert memory.peak < memory.max_growth_bytes + OUTPUT_WATERMARK_BYTES + 1


def test_a_second_request_of_a_caller_that_reads_nothing_waits_no_longer(stack):
    """Guards against a thread that waits for a caller between two of its requests."""
    body = b"x" * 200_000
    script = [head(f"Content-Length: {len(body)}"), body]
    listener = Listener(stack, OddTarget(lambda: iter(script)))
    sndbuf = (socket.SOL_SOCKET, socket.SO_SNDBUF, RECEIVE_BYTES)
    listener.server.adj.socket_options = [sndbuf]
    caller = listener.connect()
    caller.sendall(make_request("/charge/x") * 2)
    listener.wait_until_done(1)
    dispatcher = listener.server.task_dispatcher
    wait_until(lambda: dispatcher.active_count == 0, "no thread to be busy")
    wait_until(lambda: count_unfinished(listener.server) == 0, "no output to be left")


def test_a_slow_caller_gets_its_whole_answer_after_the_target_is_free(stack):
    """Guards against callers that are cut off although their target was in time."""
    body = b"".join(b"%06d\n" % number for number in range(25_000))
    script = [head(f"Content-Length: {len(body)}"), body]
    target = OddTarget(lambda: iter(script))
    listener = Listener(stack, target)
    caller = listener.ask("/charge/x")
    listener.wait_until_done(1)
    wait_until(lambda: listener.bench.app.open_calls == 0, "the thread to be free")
    time.sleep(DEADLINE_S)
    received = b""
    while len(received) < len(body):
        block = caller.recv(65_536)
        assert block, len(received)
        received += block
    assert received.endswith(body)
    assert listener.bench.scheduler.finished == [RequestState.COMPLETED]


def test_a_broken_answer_without_a_length_is_reset_for_an_old_caller(stack):
    """Guards against a part of an answer that looks whole to a caller of HTTP/1.0."""
    target = OddTarget(lambda: repeat(head(STREAM) + EVENT, COMMENT), 0.1)
    listener = Listener(stack, target)
    caller = listener.ask("/stream/stream/x", version="1.0")
    with pytest.raises(ConnectionResetError):
        read_all(caller)


def test_a_broken_answer_in_chunks_has_no_last_chunk(stack):
    """Guards against a part of an answer that looks whole to its caller."""
    target = OddTarget(lambda: repeat(head(STREAM) + EVENT, COMMENT), 0.1)
    listener = Listener(stack, target)
    received = read_all(listener.ask("/stream/stream/x"))
    assert EVENT in received
    assert not received.endswith(b"0\r\n\r\n")


def test_callers_that_read_nothing_delay_no_others(stack):
    """Guards against a host that serves nobody while some callers don't read."""
    slow = OddTarget(ENDLESS["no_length"])
    good = OddTarget(lambda: iter([head("Content-Length: 2") + b"ok"]))
    listener = Listener(stack, slow, good)
    scheduler = listener.bench.scheduler
    scheduler.addresses = [slow.address] * 20 + [good.address]
    for number in range(20):
        listener.ask("/charge/x", deadline_s=4.0)
        wait_until(lambda n=number: slow.requests > n, "the slow callers' requests")
    began = time.monotonic()
    caller = listener.ask("/charge/x", deadline_s=4.0)
    received = b""
    while b"ok" not in received:
        received += caller.recv(65_536)
    assert time.monotonic() - began < 2.0
    assert not scheduler.finished[1:]


@contextlib.contextmanager
def run_others(order):
    """Run a target or callers in a process of their own; yield it."""
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.serving.odd_targets"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with process:
        process.stdin.write(json.dumps(order) + "\n")
        process.stdin.flush()
        try:
            yield process
        finally:
            process.kill()


@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("shape, pause_s", CROWDS)
def test_many_endless_answers_at_once_stay_within_the_memory(
    stack, monkeypatch, shape, pause_s, reads
):
    """Guards against a host that ends with all its calls for lack of memory."""
    # The capture of log lines would keep the frames of each error.
    monkeypatch.setattr(logging.root.manager, "disable", logging.CRITICAL)
    order = {"shape": shape, "pause_s": pause_s}
    process = stack.enter_context(run_others(order))
    address = process.stdout.readline().strip()
    listener = Listener(stack)
    # A target that is not listed counts as ended, and its requests are held back.
    listener.bench.addresses.append(address)
    scheduler, app = listener.bench.scheduler, listener.bench.app
    scheduler.addresses = [address] * CALLERS
    host = "{}:{}".format(*listener.server.socket.getsockname())
    request = make_request(path_to(shape), deadline_s=2.0).decode()
    order = {"host": host, "request": request, "count": CALLERS, "reads": reads}
    most = before = resident_bytes()
    cpu_before, began = time.process_time(), time.monotonic()
    stack.enter_context(run_others(order))
    while time.monotonic() < began + CROWD_S or app.open_calls:
        assert time.monotonic() < began + 2 * WAIT_S, app.open_calls
        most = max(most, resident_bytes())
        time.sleep(0.02)
    memory = listener.bench.memory
    took_s = time.monotonic() - began
    cores = (time.process_time() - cpu_before) / took_s
    figures = {
        "peak_mb": memory.peak / 1e6,
        "grown_mb": (most - before) / 1e6,
        "took_s": took_s,
        "cores": cores,
        "sent": len(scheduler.finished),
    }
    print(shape, pause_s, reads, figures)  # Shown if the test fails.
    assert memory.peak <= memory.max_bytes
    assert most - before < HOST_MB * 1e6 / 4
    assert RequestState.COMPLETED not in scheduler.finished
    # Some may have found no connection on a busy machine.
    assert len(scheduler.finished) > CALLERS / 2
    # What callers have not read is kept until their connections are idle for too long.
    wait_until(
        lambda: memory.used == count_pending(listener.server),
        "only output that waits for callers to be left",
    )


def count_pending(server):
    return sum(row.pending_bytes for row in list(server.active_channels.values()))
