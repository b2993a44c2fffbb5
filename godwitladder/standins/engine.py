"""Stand-in of a language engine.

It batches continuously: each step gives every running sequence a share of
the prefill and decode speeds. It knows no priorities, runs whatever comes,
and keeps a record of it, which tests compare with what callers were told.

Knobs
-----
prefill_tps, decode_tps : float
    Prompt tokens a second for the whole engine, output tokens a second for
    each sequence.
slots, memory_tokens : int
    Sequences that run at once, and tokens of context that fit.
load_lag_s : float
    Age of the load report that is served.
frozen : bool
    Nothing advances and nothing is answered.
checks_fence : bool
    Refuse orders that carry an old fencing number.
crash_text : str
    A prompt with this text stops the process.
hang_up_before_answer : int
    This many next requests are run, and their connections closed.
break_after, silent_after : int
    Close a connection, or send nothing more on it, after this many chunks.
refuse_status : int
    Answer every new request with this HTTP status and run nothing.
drop_finish : bool
    End the answers early, with no reason to finish.
scramble : bool
    Send chunks twice, late, and with chunks of another stream between.
"""

import hashlib
import json
import os
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitladder.standins.base import Handler, Hangup, Server, Standin

STEP_S = 0.005
HEARTBEAT_S = 1.0
PREFIX_TOKENS = 256
CACHE_ENTRIES = 64
KNOBS = {
    "prefill_tps": 8000.0,
    "decode_tps": 100.0,
    "slots": 8,
    "memory_tokens": 100_000,
    "load_lag_s": 0.5,
    "frozen": False,
    "checks_fence": True,
    "crash_text": "",
    "hang_up_before_answer": 0,
    "break_after": 0,
    "silent_after": 0,
    "refuse_status": 0,
    "drop_finish": False,
    "scramble": False,
}


@dataclass
class Sequence:
    """One stream that the engine runs or has run."""

    stream: str
    digest: str
    prefix: str
    prompt_tokens: int
    output_tokens: int
    prefilled: float = 0.0
    produced: float = 0.0
    runs: int = 1
    state: str = "queued"
    events: list[bytes] = field(default_factory=list)

    @property
    def finished(self) -> bool:
        """Whether nothing more will come."""
        return self.state in ("done", "cancelled")

    @property
    def memory(self) -> int:
        """Tokens of context that it holds."""
        return self.prompt_tokens + int(self.produced)


class Engine(Standin):
    """The sequences of one engine and the loop that advances them."""

    def __init__(self, crash: Callable[[], None], **knobs) -> None:
        super().__init__({**KNOBS, **knobs})
        self.crash = crash
        self.sequences: dict[str, Sequence] = {}
        self.cache: OrderedDict[str, bool] = OrderedDict()
        self.cache_events: list[dict] = []
        self.orders: list[dict] = []
        self.fence = 0
        self.reports: list[tuple[float, dict]] = []
        self.routes |= {
            ("POST", "v1"): self.generate,
            ("GET", "v1"): self.resume,
            ("DELETE", "v1"): self.cancel,
            ("GET", "load"): self.report_load,
            ("GET", "cache-events"): self.report_cache,
            ("POST", "orders"): self.take_order,
            ("GET", "orders"): lambda handler: handler.send_json(self.orders),
            ("GET", "ran"): self.report_runs,
        }
        threading.Thread(target=self.run, daemon=True).start()

    def before(self, handler: Handler) -> None:
        """Hold every answer while frozen; the test's own look goes through."""
        if handler.parts[0] == "ran":
            return
        with self.changed:
            self.changed.wait_for(lambda: not self.knobs["frozen"])

    def run(self) -> None:
        """Advance the sequences step by step."""
        last = time.monotonic()
        while not self.closed:
            time.sleep(STEP_S)
            now = time.monotonic()
            with self.changed:
                if not self.knobs["frozen"] and self.step(now - last):
                    self.changed.notify_all()
                self.note_load(now)
            last = now

    def step(self, seconds: float) -> bool:
        """Advance by ``seconds``; return whether any event was made."""
        self.admit()
        running = [row for row in self.sequences.values() if row.state == "running"]
        prefill = [row for row in running if row.prefilled < row.prompt_tokens]
        for row in prefill:
            row.prefilled += self.knobs["prefill_tps"] * seconds / len(prefill)
        made = False
        for row in running:
            if row.prefilled >= row.prompt_tokens:
                made |= self.decode(row, seconds)
        return made

    def admit(self) -> None:
        """Start queued sequences while slots and memory last."""
        rows = [row for row in self.sequences.values() if not row.finished]
        running = [row for row in rows if row.state == "running"]
        memory = sum(row.memory for row in running)
        for row in rows:
            if row.state != "queued" or len(running) >= self.knobs["slots"]:
                continue
            if running and memory + row.memory > self.knobs["memory_tokens"]:
                break
            row.state = "running"
            running.append(row)
            memory += row.memory
            if row.prefix in self.cache:
                row.prefilled = min(PREFIX_TOKENS, row.prompt_tokens)
            self.remember(row.prefix)

    def remember(self, prefix: str) -> None:
        """Keep a prefix in the cache and drop the least recently used."""
        if prefix not in self.cache:
            self.cache_events.append({"prefix": prefix, "kept": True})
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHE_ENTRIES:
            dropped, _ = self.cache.popitem(last=False)
            self.cache_events.append({"prefix": dropped, "kept": False})

    def decode(self, row: Sequence, seconds: float) -> bool:
        """Produce tokens of one sequence; return whether there were any."""
        before = len(row.events)
        row.produced += self.knobs["decode_tps"] * seconds
        while len(row.events) < min(int(row.produced), row.output_tokens):
            row.events.append(self.make_event(row, len(row.events)))
        if len(row.events) >= row.output_tokens:
            row.events.append(
                f"id: {row.stream}:{len(row.events)}\ndata: [DONE]\n\n".encode()
            )
            row.state = "done"
        return len(row.events) > before

    def make_event(self, row: Sequence, index: int) -> bytes:
        """Return the event of one output token."""
        last = index == row.output_tokens - 1 and not self.knobs["drop_finish"]
        text = f"{row.digest[:6]}-{index} "
        event = {
            "id": row.stream,
            "object": "chat.completion.chunk",
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": text},
                    "finish_reason": "stop" if last else None,
                }
            ],
        }
        if last:
            event["usage"] = {
                "prompt_tokens": row.prompt_tokens,
                "completion_tokens": row.output_tokens,
            }
        data = json.dumps(event)
        return f"id: {row.stream}:{index}\ndata: {data}\n\n".encode()

    def generate(self, handler: Handler) -> None:
        """Run a chat completion; a stream id that ran before runs again."""
        if self.knobs["refuse_status"]:
            handler.send_json({"error": "refused"}, self.knobs["refuse_status"])
            return
        body = json.loads(handler.body)
        prompt = json.dumps(body["messages"])
        if self.knobs["crash_text"] and self.knobs["crash_text"] in prompt:
            self.crash()
            raise Hangup
        row = self.add_sequence(handler.headers.get("X-Stream-Id", ""), body, prompt)
        with self.changed:
            hang_up = self.knobs["hang_up_before_answer"] > 0
            if hang_up:
                self.knobs["hang_up_before_answer"] -= 1
        if hang_up:
            raise Hangup
        self.send_events(handler, row, 0)

    def add_sequence(self, stream: str, body: dict, prompt: str) -> Sequence:
        """Add a sequence to the queue, or count that it ran again."""
        wanted = body.get("simulate_output") or max(1, body["max_tokens"] // 8)
        with self.changed:
            if stream in self.sequences:
                self.sequences[stream].runs += 1
                return self.sequences[stream]
            row = Sequence(
                stream=stream,
                digest=hashlib.sha256(prompt.encode()).hexdigest(),
                prefix=hashlib.sha256(prompt.encode()[:1024]).hexdigest()[:16],
                prompt_tokens=max(1, len(prompt) // 4),
                output_tokens=min(int(wanted), body["max_tokens"]),
            )
            self.sequences[stream] = row
            return row

    def resume(self, handler: Handler) -> None:
        """Send a stream's events from a sequence number on."""
        row = self.sequences.get(handler.parts[2]) if len(handler.parts) > 2 else None
        if row is None:
            handler.send_json({"error": "unknown stream"}, 404)
            return
        self.send_events(handler, row, int(handler.query.get("from", 0)))

    def send_events(self, handler: Handler, row: Sequence, start: int) -> None:
        """Send events as they are made, with the faults that are set."""
        handler.start_chunks("text/event-stream")
        sent = 0
        while True:
            events, finished = self.await_events(row, start)
            if self.closed:
                raise Hangup
            if not events and not finished:
                handler.send_chunk(b": waiting\n\n")
                continue
            for event in events:
                self.send_event(handler, row, event, sent)
                sent += 1
            start += len(events)
            if finished and start >= len(row.events):
                handler.send_chunk(b"")
                return

    def await_events(self, row: Sequence, start: int) -> tuple[list[bytes], bool]:
        """Wait for events from ``start`` on; return them and whether it ended."""
        with self.changed:
            self.changed.wait_for(
                lambda: len(row.events) > start or row.finished or self.closed,
                HEARTBEAT_S,
            )
            return row.events[start:], row.finished

    def send_event(
        self, handler: Handler, row: Sequence, event: bytes, sent: int
    ) -> None:
        """Send one event, or misbehave instead."""
        if self.knobs["break_after"] and sent >= self.knobs["break_after"]:
            raise Hangup
        if self.knobs["silent_after"] and sent >= self.knobs["silent_after"]:
            time.sleep(3600)
        if self.knobs["scramble"]:
            foreign = f"id: other:{sent}\ndata: {{}}\n\n".encode()
            handler.send_chunk(foreign + event + event)
            return
        handler.send_chunk(event)

    def cancel(self, handler: Handler) -> None:
        """Drop a stream."""
        with self.changed:
            row = self.sequences.get(handler.parts[2])
            if row and not row.finished:
                row.state = "cancelled"
                self.changed.notify_all()
        handler.send_json({})

    def note_load(self, now: float) -> None:
        """Keep load reports for as long as they lag."""
        rows = [row for row in self.sequences.values() if not row.finished]
        running = [row for row in rows if row.state == "running"]
        report = {
            "running": len(running),
            "queued": len(rows) - len(running),
            "memory_tokens": sum(row.memory for row in running),
        }
        self.reports.append((now, report))
        due = now - self.knobs["load_lag_s"]
        while len(self.reports) > 1 and self.reports[1][0] <= due:
            del self.reports[0]

    def report_load(self, handler: Handler) -> None:
        """Serve a load report that lags."""
        with self.changed:
            report = self.reports[0][1] if self.reports else {}
        handler.send_json({"running": 0, "queued": 0, "memory_tokens": 0} | report)

    def report_cache(self, handler: Handler) -> None:
        """Serve cache events from an index on; every tenth is missing."""
        start = int(handler.query.get("from", 0))
        rows = [
            {"index": index, **row}
            for index, row in enumerate(self.cache_events)
            if index >= start and index % 10 != 9
        ]
        handler.send_json(rows)

    def take_order(self, handler: Handler) -> None:
        """Carry out an order, unless its fencing number is old and checked."""
        order = json.loads(handler.body)
        with self.changed:
            if self.knobs["checks_fence"] and order["fence"] < self.fence:
                handler.send_json({"error": "old fence", "fence": self.fence}, 409)
                return
            self.fence = max(self.fence, order["fence"])
            self.orders.append(order)
        handler.send_json({})

    def report_runs(self, handler: Handler) -> None:
        """Tell what ran: for each stream its body, runs, prefill and state."""
        with self.changed:
            rows = [
                {
                    "stream": row.stream,
                    "digest": row.digest,
                    "runs": row.runs,
                    "state": row.state,
                    "prefilled": min(int(row.prefilled), row.prompt_tokens),
                    "produced": len(row.events),
                }
                for row in self.sequences.values()
            ]
        handler.send_json(rows)


def start_engine(
    address: str = "127.0.0.1:0",
    crash: Callable[[], None] = lambda: os._exit(70),
    **knobs,
) -> Server:
    """Start an engine's stand-in and return its server."""
    server = Server(address, Engine(crash, **knobs))
    server.start()
    return server
