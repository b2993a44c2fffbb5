"""Model of an engine with continuous batching and chunked prefill.

In each step, every running request whose prefill is complete decodes one token, and
one chunk of the oldest pending prompts is prefilled, which makes the step longer for
all. Requests are admitted in order of arrival, without any priority. Prefix caching,
preemption and transfers of memory are left out.
"""

from collections import deque
from dataclasses import dataclass, field

STEP_S = 0.00309
SLOT_S = 0.0000165
CONTEXT_S = 0.00677e-6
CHUNK_TOKENS = 2048
PREFILL_TPS = 61_800.0
FIRST_S = 0.0037
"""Defaults after the documents and site files of the users.

A step takes ``STEP_S``; each running request adds ``SLOT_S``, each token of context
``CONTEXT_S``, and the first token of a prompt ``FIRST_S``. Prompts are prefilled in
chunks of ``CHUNK_TOKENS`` at ``PREFILL_TPS`` tokens per second.
"""


@dataclass(frozen=True)
class EngineMake:
    """Timings of an engine.

    Attributes
    ----------
    step_s : float
        Seconds of a step without requests.
    slot_s, context_s : float
        Seconds that each running request and each token of context add.
    read_tps : float
        Prompt tokens prefilled per second.
    first_s : float
        Seconds that are added to a step in which a request has its first token.
    """

    step_s: float = STEP_S
    slot_s: float = SLOT_S
    context_s: float = CONTEXT_S
    read_tps: float = PREFILL_TPS
    first_s: float = FIRST_S


@dataclass
class Job:
    """One request at an engine.

    Attributes
    ----------
    unread : int
        Prompt tokens still to be prefilled.
    made : int
        Output tokens so far.
    """

    name: str
    prompt: int
    output: int
    unread: int = 0
    made: int = 0

    def __post_init__(self) -> None:
        self.unread = self.prompt


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
    make : EngineMake
        Timings of the usual engine.
    wrote : list of Job
        Requests that decoded a token in the last step.
    queue : deque of Job
        Requests that wait, in order of arrival.
    running : list of Job
        Requests that hold a slot, in order of admission.
    """

    slots: int
    memory: int
    slowness: float = 1.0
    make: EngineMake = EngineMake()
    wrote: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    running: list[Job] = field(default_factory=list)

    def admit(self) -> None:
        """Start queued requests in order, while slots and memory last."""
        while self.queue and len(self.running) < self.slots:
            job = self.queue[0]
            if self.running and self.held() + job.prompt + job.output > self.memory:
                return
            self.running.append(self.queue.popleft())

    def held(self) -> int:
        """Return the tokens that running requests hold."""
        return sum(job.prompt + job.made for job in self.running)

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
        writing = self.wrote = [job for job in self.running if not job.unread]
        reads = self.read()
        make = self.make
        seconds = make.step_s + make.slot_s * len(self.running)
        seconds += make.context_s * self.held() + reads / make.read_tps
        for job in writing:
            job.made += 1
        first = [job for job in writing if job.made == 1]
        done = [job for job in writing if job.made >= job.output]
        self.running = [job for job in self.running if job not in done]
        seconds += make.first_s if first else 0.0
        return seconds * self.slowness, first, done

    def read(self) -> int:
        """Prefill one chunk of the oldest prompts; return its tokens."""
        left = CHUNK_TOKENS
        for job in self.running:
            tokens = min(left, job.unread)
            job.unread -= tokens
            left -= tokens
        return CHUNK_TOKENS - left

    def cancel(self, name: str) -> None:
        """Remove a request from the queue or the running batch."""
        self.queue = deque(job for job in self.queue if job.name != name)
        self.running = [job for job in self.running if job.name != name]

    def is_idle(self) -> bool:
        """Return whether no request runs or waits."""
        return not self.queue and not self.running
