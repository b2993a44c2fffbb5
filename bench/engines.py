"""A model of an engine that batches: steps, chunks of prompts, arrival order.

At each step every running request that has been read makes one token, and
one chunk of the oldest unread prompts is read beside them, which makes the
step longer for all. Requests are admitted in order of arrival, without any
priority. Kept prompt parts, preemption and transfers of memory are left out.
"""

from collections import deque
from dataclasses import dataclass, field

STEP_S = 0.00309
SLOT_S = 0.0000165
CONTEXT_S = 0.00677e-6
CHUNK_TOKENS = 2048
PREFILL_TPS = 61_800.0
FIRST_S = 0.0037
"""What the users' pages and site files say of their engines: a step, what each
request and each token of context add to it, the chunk in which prompts are read, and
the speed of reading."""


@dataclass(frozen=True)
class EngineMake:
    """How fast an engine is.

    Attributes
    ----------
    step_s, slot_s, context_s : float
        Seconds of a step, and what each request and token of context add.
    read_tps : float
        Prompt tokens read in a second.
    first_s : float
        What a step takes longer in which a prompt has its first token.
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
        Tokens of its prompt still to be read.
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
        Requests that it runs at once.
    memory : int
        Tokens that these may hold together.
    slowness : float
        Time that it takes, as a multiple of the usual engine's.
    make : EngineMake
        How fast the usual engine is.
    wrote : list of Job
        Those that made a token in the last step.
    """

    slots: int
    memory: int
    slowness: float = 1.0
    make: EngineMake = EngineMake()
    wrote: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    running: list[Job] = field(default_factory=list)

    def admit(self) -> None:
        """Let in what waits, in order, while slots and memory last."""
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
            How long it took.
        first, done : list of Job
            Requests that made their first token, and those that ended.
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
        """Read one chunk of the oldest prompts; return its tokens."""
        left = CHUNK_TOKENS
        for job in self.running:
            tokens = min(left, job.unread)
            job.unread -= tokens
            left -= tokens
        return CHUNK_TOKENS - left

    def cancel(self, name: str) -> None:
        """Drop a request whose caller has left."""
        self.queue = deque(job for job in self.queue if job.name != name)
        self.running = [job for job in self.running if job.name != name]

    def is_idle(self) -> bool:
        """Return whether nothing runs or waits."""
        return not self.queue and not self.running
