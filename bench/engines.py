"""Model of an engine with continuous batching and chunked prefill.

In each step, every running request whose prefill is complete decodes one token, and
one chunk of the oldest pending prompts is prefilled, which makes the step longer for
all. Requests are admitted in order of arrival, without any priority. Prefix caching,
preemption and transfers of memory are left out.
"""

from collections import deque
from dataclasses import dataclass, field

STEP_S = 0.00309
STEP_PER_REQUEST_S = 0.0000165
STEP_PER_TOKEN_S = 0.00677e-6
CHUNK_TOKENS = 2048
PREFILL_TPS = 61_800.0
FIRST_TOKEN_S = 0.0037
"""Defaults after the documents and site files of the users.

A step takes ``STEP_S``. Each running request adds ``STEP_PER_REQUEST_S`` to it, each
token of context ``STEP_PER_TOKEN_S``, and first tokens of requests add
``FIRST_TOKEN_S``. Prompts are prefilled in chunks of ``CHUNK_TOKENS`` at
``PREFILL_TPS`` tokens per second.
"""


@dataclass(frozen=True)
class EngineTimings:
    """Timings of an engine.

    Attributes
    ----------
    step_s : float
        Seconds of a step without requests.
    per_request_s, per_token_s : float
        Seconds that each running request and each token of context add.
    prefill_tps : float
        Prompt tokens prefilled per second.
    first_s : float
        Seconds that are added to a step in which a request has its first token.
    """

    step_s: float = STEP_S
    per_request_s: float = STEP_PER_REQUEST_S
    per_token_s: float = STEP_PER_TOKEN_S
    prefill_tps: float = PREFILL_TPS
    first_s: float = FIRST_TOKEN_S


@dataclass
class Job:
    """One request at an engine.

    Attributes
    ----------
    pending_prefill_tokens : int
        Prompt tokens still to be prefilled.
    produced : int
        Output tokens so far.
    """

    name: str
    prompt: int
    output: int
    pending_prefill_tokens: int = 0
    produced: int = 0

    def __post_init__(self) -> None:
        self.pending_prefill_tokens = self.prompt


@dataclass
class BatchEngine:
    """One engine.

    Parameters
    ----------
    slots : int
        Maximum number of running requests.
    memory : int
        Maximum number of tokens that running requests hold together.
    slowness : float
        Step time as a multiple of the usual engine's.
    timings : EngineTimings
        Timings of the usual engine.
    decoded : list of Job
        Requests that decoded a token in the last step.
    queue : deque of Job
        Requests that wait, in order of arrival.
    running : list of Job
        Requests that hold a slot, in order of admission.
    """

    slots: int
    memory: int
    slowness: float = 1.0
    timings: EngineTimings = EngineTimings()
    decoded: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    running: list[Job] = field(default_factory=list)

    def admit(self) -> None:
        """Start queued requests in order, while slots and memory last."""
        while self.queue and len(self.running) < self.slots:
            job = self.queue[0]
            if (
                self.running
                and self.held_tokens() + job.prompt + job.output > self.memory
            ):
                return
            self.running.append(self.queue.popleft())

    def held_tokens(self) -> int:
        """Return the tokens that running requests hold."""
        return sum(job.prompt + job.produced for job in self.running)

    def step(self) -> tuple[float, list[Job], list[Job]]:
        """Run one step.

        Returns
        -------
        seconds : float
            Duration of the step.
        first, done : list of Job
            Requests that had their first token, and requests that ended.
        """
        self.admit()
        decoding = self.decoded = [
            job for job in self.running if not job.pending_prefill_tokens
        ]
        prefilled = self.prefill()
        timings = self.timings
        seconds = timings.step_s + timings.per_request_s * len(self.running)
        seconds += (
            timings.per_token_s * self.held_tokens() + prefilled / timings.prefill_tps
        )
        for job in decoding:
            job.produced += 1
        first = [job for job in decoding if job.produced == 1]
        done = [job for job in decoding if job.produced >= job.output]
        self.running = [job for job in self.running if job not in done]
        seconds += timings.first_s if first else 0.0
        return seconds * self.slowness, first, done

    def prefill(self) -> int:
        """Prefill one chunk of the oldest prompts; return its tokens."""
        budget = CHUNK_TOKENS
        for job in self.running:
            tokens = min(budget, job.pending_prefill_tokens)
            job.pending_prefill_tokens -= tokens
            budget -= tokens
        return CHUNK_TOKENS - budget

    def cancel(self, name: str) -> None:
        """Remove a request from the queue or the running batch."""
        self.queue = deque(job for job in self.queue if job.name != name)
        self.running = [job for job in self.running if job.name != name]

    def is_idle(self) -> bool:
        """Return whether no request runs or waits."""
        return not self.queue and not self.running
