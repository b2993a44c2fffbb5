"""Stand-in for an LLM inference engine.

It simulates continuous batching: each step divides the prefill speed among the
sequences that are in prefill and advances every decoding sequence at the
decode speed. It has no priorities, accepts every request and records what it
ran, so that tests can compare the record with what callers were told.

Knobs
-----
prefill_tps, decode_tps : float
    Prompt tokens per second of the whole engine, and output tokens per second
    of each sequence.
slots, memory_tokens : int
    Maximum number of running sequences, and of context tokens that they hold.
load_lag_s : float
    Minimum age of the load report that is served, in seconds.
frozen : bool
    Whether all sequences stop and no request but ``GET /ran`` is answered.
checks_fence : bool
    Whether orders with an old fencing number are refused.
crash_text : str
    A prompt that contains this text stops the process; empty for none.
hang_up_before_answer : int
    Number of next requests that run but get no answer: their connections are
    closed.
break_after, silent_after : int
    Number of events after which a connection is closed, or stays open without
    further data; 0 for never.
refuse_status : int
    HTTP status with which every new request is refused, without running it;
    0 for none.
cooldown_s : float
    Seconds of cooldown that such a refusal asks for; 0 for none.
drop_finish : bool
    Whether answers end without a finish reason and token usage.
scramble : bool
    Whether each event is sent twice, after an event of another stream.
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

STEP_INTERVAL_S = 0.005
KEEPALIVE_INTERVAL_S = 1.0
CACHED_PREFIX_TOKENS = 256
MAX_CACHED_PREFIXES = 64
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
    "cooldown_s": 0.0,
    "drop_finish": False,
    "scramble": False,
}


@dataclass
class Sequence:
    """A request of the engine, and the output produced for it.

    Attributes
    ----------
    stream : str
        Stream id given by the caller.
    digest : str
        SHA-256 digest of the prompt, in hexadecimal.
    prefix : str
        Key of the prompt's prefix in the cache.
    prompt_tokens, output_tokens : int
        Tokens to prefill, and tokens to produce.
    prefilled, produced : float
        Tokens prefilled and tokens produced so far.
    runs : int
        Number of requests received for the stream.
    state : str
        ``queued``, ``running``, ``done`` or ``cancelled``.
    events : list of bytes
        Server-sent events produced so far.
    """

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
        """Whether no further events will be produced."""
        return self.state in ("done", "cancelled")

    @property
    def context_tokens(self) -> int:
        """Number of context tokens held in memory."""
        return self.prompt_tokens + int(self.produced)


class Engine(Standin):
    """The sequences of one engine and the loop that advances them.

    Parameters
    ----------
    crash : callable
        Called when a prompt contains the text of the knob ``crash_text``.
    **knobs
        Initial values of knobs that differ from the defaults.

    Attributes
    ----------
    sequences : dict
        Every sequence received, by its stream id.
    cache : OrderedDict
        Keys of the cached prefixes, the least recently used first.
    cache_events : list of dict
        Prefixes added to the cache and evicted from it.
    orders : list of dict
        Orders applied.
    fence : int
        Highest fencing number of the applied orders.
    load_reports : list of tuple of float and dict
        Load reports and when they were made, in monotonic seconds.
    """

    def __init__(self, crash: Callable[[], None], **knobs) -> None:
        super().__init__({**KNOBS, **knobs})
        self.crash = crash
        self.sequences: dict[str, Sequence] = {}
        self.cache: OrderedDict[str, bool] = OrderedDict()
        self.cache_events: list[dict] = []
        self.orders: list[dict] = []
        self.fence = 0
        self.load_reports: list[tuple[float, dict]] = []
        self.routes |= {
            ("POST", "v1"): self.generate,
            ("GET", "v1"): self.resume,
            ("DELETE", "v1"): self.cancel,
            ("GET", "load"): self.report_load,
            ("GET", "cache-events"): self.report_cache,
            ("POST", "orders"): self.apply_order,
            ("GET", "orders"): lambda handler: handler.send_json(self.orders),
            ("GET", "ran"): self.report_runs,
        }
        threading.Thread(target=self.run, daemon=True).start()

    def before_request(self, handler: Handler) -> None:
        """Block while frozen; tests can still read ``GET /ran``."""
        if handler.parts[0] == "ran":
            return
        with self.changed:
            self.changed.wait_for(lambda: not self.knobs["frozen"])

    def run(self) -> None:
        """Advance the sequences until the server is closed."""
        last = time.monotonic()
        while not self.closed:
            time.sleep(STEP_INTERVAL_S)
            now = time.monotonic()
            with self.changed:
                if not self.knobs["frozen"] and self.step(now - last):
                    self.changed.notify_all()
                self.record_load(now)
            last = now

    def step(self, seconds: float) -> bool:
        """Advance by ``seconds``; return whether any event was produced."""
        self.admit()
        running = [seq for seq in self.sequences.values() if seq.state == "running"]
        prefill = [seq for seq in running if seq.prefilled < seq.prompt_tokens]
        for seq in prefill:
            seq.prefilled += self.knobs["prefill_tps"] * seconds / len(prefill)
        any_produced = False
        for seq in running:
            if seq.prefilled >= seq.prompt_tokens:
                any_produced |= self.decode(seq, seconds)
        return any_produced

    def admit(self) -> None:
        """Start queued sequences while there are free slots and memory.

        A sequence that exceeds the memory on its own runs when nothing else does.
        """
        unfinished = [seq for seq in self.sequences.values() if not seq.finished]
        running = [seq for seq in unfinished if seq.state == "running"]
        context_tokens = sum(seq.context_tokens for seq in running)
        for seq in unfinished:
            if seq.state != "queued" or len(running) >= self.knobs["slots"]:
                continue
            if (
                running
                and context_tokens + seq.context_tokens > self.knobs["memory_tokens"]
            ):
                break
            seq.state = "running"
            running.append(seq)
            context_tokens += seq.context_tokens
            if seq.prefix in self.cache:
                seq.prefilled = min(CACHED_PREFIX_TOKENS, seq.prompt_tokens)
            self.cache_prefix(seq.prefix)

    def cache_prefix(self, prefix: str) -> None:
        """Add a prefix to the cache, evicting the least recently used if full."""
        if prefix not in self.cache:
            self.cache_events.append({"prefix": prefix, "kept": True})
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > MAX_CACHED_PREFIXES:
            evicted, _ = self.cache.popitem(last=False)
            self.cache_events.append({"prefix": evicted, "kept": False})

    def decode(self, seq: Sequence, seconds: float) -> bool:
        """Produce events of one sequence; return whether there were any."""
        previous_count = len(seq.events)
        seq.produced += self.knobs["decode_tps"] * seconds
        while len(seq.events) < min(int(seq.produced), seq.output_tokens):
            seq.events.append(self.make_event(seq, len(seq.events)))
        if len(seq.events) >= seq.output_tokens:
            seq.events.append(
                f"id: {seq.stream}:{len(seq.events)}\ndata: [DONE]\n\n".encode()
            )
            seq.state = "done"
        return len(seq.events) > previous_count

    def make_event(self, seq: Sequence, index: int) -> bytes:
        """Return the server-sent event of one output token."""
        is_last = index == seq.output_tokens - 1 and not self.knobs["drop_finish"]
        text = f"{seq.digest[:6]}-{index} "
        event = {
            "id": seq.stream,
            "object": "chat.completion.chunk",
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": text},
                    "finish_reason": "stop" if is_last else None,
                }
            ],
        }
        if is_last:
            event["usage"] = {
                "prompt_tokens": seq.prompt_tokens,
                "completion_tokens": seq.output_tokens,
            }
        data = json.dumps(event)
        return f"id: {seq.stream}:{index}\ndata: {data}\n\n".encode()

    def generate(self, handler: Handler) -> None:
        """Run a chat completion.

        A request whose stream id is known counts as another run of its sequence
        and is answered with the events of that sequence.
        """
        if self.knobs["refuse_status"]:
            if self.knobs["cooldown_s"]:
                handler.extra_headers["Retry-After"] = str(self.knobs["cooldown_s"])
            handler.send_json({"error": "refused"}, self.knobs["refuse_status"])
            return
        body = json.loads(handler.body)
        prompt = json.dumps(body["messages"])
        if self.knobs["crash_text"] and self.knobs["crash_text"] in prompt:
            self.crash()
            raise Hangup
        seq = self.add_sequence(handler.headers.get("X-Stream-Id", ""), body, prompt)
        with self.changed:
            hang_up = self.knobs["hang_up_before_answer"] > 0
            if hang_up:
                self.knobs["hang_up_before_answer"] -= 1
        if hang_up:
            raise Hangup
        self.send_events(handler, seq, 0)

    def add_sequence(self, stream: str, body: dict, prompt: str) -> Sequence:
        """Queue a sequence, or count another run if the stream id is known."""
        output_tokens = body.get("simulate_output") or max(1, body["max_tokens"] // 8)
        with self.changed:
            if stream in self.sequences:
                self.sequences[stream].runs += 1
                return self.sequences[stream]
            seq = Sequence(
                stream=stream,
                digest=hashlib.sha256(prompt.encode()).hexdigest(),
                prefix=hashlib.sha256(prompt.encode()[:1024]).hexdigest()[:16],
                prompt_tokens=max(1, len(prompt) // 4),
                output_tokens=min(int(output_tokens), body["max_tokens"]),
            )
            self.sequences[stream] = seq
            return seq

    def resume(self, handler: Handler) -> None:
        """Send the events of a stream from an index on."""
        seq = self.sequences.get(handler.parts[2]) if len(handler.parts) > 2 else None
        if seq is None:
            handler.send_json({"error": "unknown stream"}, 404)
            return
        self.send_events(handler, seq, int(handler.query.get("from", 0)))

    def send_events(self, handler: Handler, seq: Sequence, start: int) -> None:
        """Send events from ``start`` on as they are produced.

        The faults that the knobs set are applied.
        """
        handler.start_chunks("text/event-stream")
        sent = 0
        while True:
            events, finished = self.await_events(seq, start)
            if self.closed:
                raise Hangup
            if not events and not finished:
                handler.send_chunk(b": waiting\n\n")
                continue
            for event in events:
                self.send_event(handler, seq, event, sent)
                sent += 1
            start += len(events)
            if finished and start >= len(seq.events):
                handler.send_chunk(b"")
                return

    def await_events(self, seq: Sequence, start: int) -> tuple[list[bytes], bool]:
        """Wait for events from ``start`` on.

        Returns
        -------
        events : list of bytes
            The new events; empty if none came within ``KEEPALIVE_INTERVAL_S``.
        finished : bool
            Whether the sequence has finished.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: len(seq.events) > start or seq.finished or self.closed,
                KEEPALIVE_INTERVAL_S,
            )
            return seq.events[start:], seq.finished

    def send_event(
        self, handler: Handler, seq: Sequence, event: bytes, sent: int
    ) -> None:
        """Send one event, or apply the fault that a knob sets."""
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
        """Cancel a stream unless it has finished."""
        with self.changed:
            seq = self.sequences.get(handler.parts[2])
            if seq and not seq.finished:
                seq.state = "cancelled"
                self.changed.notify_all()
        handler.send_json({})

    def record_load(self, now: float) -> None:
        """Add a load report and drop those that will not be served any more."""
        unfinished = [seq for seq in self.sequences.values() if not seq.finished]
        running = [seq for seq in unfinished if seq.state == "running"]
        report = {
            "running": len(running),
            "queued": len(unfinished) - len(running),
            "memory_tokens": sum(seq.context_tokens for seq in running),
        }
        self.load_reports.append((now, report))
        latest = now - self.knobs["load_lag_s"]
        while len(self.load_reports) > 1 and self.load_reports[1][0] <= latest:
            del self.load_reports[0]

    def report_load(self, handler: Handler) -> None:
        """Serve the newest load report that is at least ``load_lag_s`` old."""
        with self.changed:
            report = self.load_reports[0][1] if self.load_reports else {}
        handler.send_json({"running": 0, "queued": 0, "memory_tokens": 0} | report)

    def report_cache(self, handler: Handler) -> None:
        """Serve cache events from an index on, omitting every tenth."""
        start = int(handler.query.get("from", 0))
        rows = [
            {"index": index, **event}
            for index, event in enumerate(self.cache_events)
            if index >= start and index % 10 != 9
        ]
        handler.send_json(rows)

    def apply_order(self, handler: Handler) -> None:
        """Record an order; refuse an old fencing number if ``checks_fence`` is set."""
        order = json.loads(handler.body)
        with self.changed:
            if self.knobs["checks_fence"] and order["fence"] < self.fence:
                handler.send_json({"error": "old fence", "fence": self.fence}, 409)
                return
            self.fence = max(self.fence, order["fence"])
            self.orders.append(order)
        handler.send_json({})

    def report_runs(self, handler: Handler) -> None:
        """Serve what ran: prompt digest, runs, state and progress of each stream."""
        with self.changed:
            rows = [
                {
                    "stream": seq.stream,
                    "digest": seq.digest,
                    "runs": seq.runs,
                    "state": seq.state,
                    "prefilled": min(int(seq.prefilled), seq.prompt_tokens),
                    "produced": len(seq.events),
                }
                for seq in self.sequences.values()
            ]
        handler.send_json(rows)


def start_engine(
    address: str = "127.0.0.1:0",
    crash: Callable[[], None] = lambda: os._exit(70),
    **knobs,
) -> Server:
    """Start a stand-in for an engine and return its server.

    Parameters
    ----------
    address : str
        Address to listen on, as ``address:port``; port 0 for a free one.
    crash : callable
        Called when a prompt contains the text of the knob ``crash_text``.
    **knobs
        Initial values of knobs that differ from the defaults.
    """
    server = Server(address, Engine(crash, **knobs))
    server.start()
    return server
