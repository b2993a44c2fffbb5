"""The actor that owns a host's tables and runs the systems over them."""

import functools
import threading

import pykka

from godwitladder.clock import Clock
from godwitladder.logs import part_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, RequestState, refuse
from godwitladder.scheduler.messages import (
    Finished,
    LiveHosts,
    NewConfig,
    NothingSent,
    Progress,
    Stop,
    Submit,
    Tick,
    Withdrawn,
)
from godwitladder.scheduler.rows import Tables, TargetRow
from godwitladder.scheduler.systems import (
    finish_request,
    refuse_request,
    return_request,
    run_systems,
)

log = part_logger("scheduler")


class Scheduler(pykka.ThreadingActor):
    """Owns the tables; every message is followed by a run of the systems.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    metrics : Metrics
        Where to count.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        super().__init__()
        self.clock = clock
        self.metrics = metrics
        self.tables = Tables()

    def on_receive(self, message) -> None:
        """Take ``message`` in, then run the systems."""
        self.take(message)
        run_systems(self.tables, self.clock.monotonic())
        self.metrics.waiting.set({}, len(self.tables.waiting))
        self.metrics.running.set({}, len(self.tables.running))

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Take one message into the tables."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        pass

    @take.register
    def _(self, message: Submit) -> None:
        row = message.row
        self.tables.waiting[row.request] = row
        if self.tables.stopping:
            text = "This host is stopping; another one will take the request."
            refuse_request(self.tables, row, refuse(Reason.STOPPING, text, 0.0))

    @take.register
    def _(self, message: NothingSent) -> None:
        row = self.tables.running[message.request]
        return_request(self.tables, row, self.clock.monotonic())

    @take.register
    def _(self, message: Progress) -> None:
        row = self.tables.running.get(message.request)
        if row:
            row.produced_tokens = message.tokens

    @take.register
    def _(self, message: Finished) -> None:
        row = self.tables.running[message.request]
        row.produced_tokens = message.output_tokens
        finish_request(self.tables, row, message.state)

    @take.register
    def _(self, message: Withdrawn) -> None:
        row = self.tables.waiting.get(message.request)
        if row and row.state is RequestState.WAITING:
            text = "The caller is gone."
            refuse_request(self.tables, row, refuse(Reason.CALLER_GONE, text))

    @take.register
    def _(self, message: NewConfig) -> None:
        if message.config.offset < self.tables.config.offset:
            return
        self.tables.config = message.config
        self._update_targets()

    @take.register
    def _(self, message: LiveHosts) -> None:
        self.tables.live_hosts = max(1, message.count)

    @take.register
    def _(self, message: Stop) -> None:
        self.tables.stopping = True

    def _update_targets(self) -> None:
        rows = self.tables.targets
        for name, target in self.tables.config.targets.items():
            row = rows.setdefault(name, TargetRow(name, target))
            row.target = target
        for name in set(rows) - set(self.tables.config.targets):
            del rows[name]


class Ticker:
    """Sends a tick to an actor every ``period_s`` seconds, in a thread."""

    def __init__(self, actor: pykka.ActorRef, clock: Clock, period_s: float) -> None:
        self.actor = actor
        self.clock = clock
        self.period_s = period_s
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start to tick."""
        self.thread.start()

    def stop(self) -> None:
        """Stop ticking."""
        self.stopping.set()

    def run(self) -> None:
        """Tick until stopped."""
        while not self.clock.wait(self.stopping, self.period_s):
            self.actor.tell(Tick())
