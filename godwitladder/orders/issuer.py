"""Brings targets to the state that the tickets specify.

Each host is responsible for the targets of its availability zone for which it
has the highest rendezvous weight. Two hosts may consider themselves responsible
at the same time; the lease decides between them.

A target that checks fencing numbers rejects a late order. Targets that ignore
fencing numbers are protected as follows: no write starts after the lease has
expired, according to the holder's own clock, read immediately before the write;
a write is aborted after `SEND_TIMEOUT_S`; and a successor is granted the lease only
`LEASE_GUARD_S` after it has expired. One case remains: a process may be paused
between reading the clock and writing, and its order may arrive after that of
the successor. This is not prevented but repaired: each order carries the whole
state, and the issuer reads the target's state every `RECHECK_INTERVAL_S` and sends the
order again if it differs.
"""

import threading
from collections.abc import Callable, Iterable

from godwitladder.clients.weights import (
    WeightClient,
    WeightsBusy,
    WeightsUnavailable,
)
from godwitladder.clock import Clock
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.rendezvous import choose_host
from godwitladder.engines.wire import MayHaveRun, NotSent, connect_for_answer
from godwitladder.ids import HostId, TargetName, Zone
from godwitladder.logs import component_logger
from godwitladder.orders.stream import NotGranted, OrderStream
from godwitladder.orders.wire import (
    OrderFailed,
    StaleFence,
    TargetOrder,
    desired_order,
    read_order,
    write_order,
)
from godwitladder.process.loops import Turns
from godwitladder.process.threads import ThreadDenied, start_call_thread, start_thread

log = component_logger("orders")

SEND_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 1.0
RECHECK_INTERVAL_S = 30.0
RETRY_INTERVAL_S = 5.0
# Number of targets that receive orders concurrently, so that a slow target does
# not delay the others.
MAX_CONCURRENT_ORDERS = 8
MAX_WEIGHT_ATTEMPTS = 3
FAILURES = (
    NotGranted,
    NotSent,
    MayHaveRun,
    OrderFailed,
    StaleFence,
    WeightsUnavailable,
)


class OrderIssuer:
    """Periodically checks the targets of this availability zone and sends orders.

    Parameters
    ----------
    host, zone : HostId, Zone
        Name and availability zone of this host.
    stream : OrderStream
        Grants leases and slots.
    weights : WeightClient or None
        Client of the weight store, if the settings name one.
    clock : Clock
        The host's clock.
    config : callable
        Returns the configuration in force.

    Attributes
    ----------
    hosts : tuple of HostId
        The live hosts of this availability zone. Must be kept up to date from
        outside this class.
    due : dict
        For each target, the order that was last checked and the monotonic
        time in seconds of its next check.
    in_progress : set
        Targets that are being checked or receiving an order.
    """

    def __init__(
        self,
        host: HostId,
        zone: Zone,
        stream: OrderStream,
        weights: WeightClient | None,
        clock: Clock,
        config: Callable[[], ConfigState],
    ) -> None:
        self.host = host
        self.zone = zone
        self.stream = stream
        self.weights = weights
        self.clock = clock
        self.config = config
        self.hosts: Iterable[HostId] = ()
        self.due: dict[TargetName, tuple[TargetOrder, float]] = {}
        self.in_progress: set[TargetName] = set()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.turns = Turns("orders", clock)
        self.slots = threading.BoundedSemaphore(MAX_CONCURRENT_ORDERS)

    def start(self) -> None:
        """Start the thread that checks targets."""
        start_thread(self.run, "orders")

    def stop(self) -> None:
        """Start no further orders."""
        self.stopping.set()

    def run(self) -> None:
        """Check targets periodically until stopped."""
        self.turns.loop(self.stopping, self.check_targets)

    def check_targets(self) -> float:
        """Check the targets that are due; return the seconds until the next turn."""
        for name in self.due_targets():
            with self.lock:
                if name in self.in_progress:
                    continue
                self.in_progress.add(name)
            self.start_reconciling(name)
        return POLL_INTERVAL_S

    def start_reconciling(self, name: TargetName) -> None:
        """Check one target in a thread, or in this one if the system starts none."""
        self.slots.acquire()
        if self.stopping.is_set():
            return
        try:
            start_call_thread(self.reconcile_in_slot, "order", (name,))
        except ThreadDenied as error:
            extra = {"target": name, "error": str(error)}
            log.warning("A check of a target has no thread of its own", extra=extra)
            self.reconcile_in_slot(name)

    def reconcile_in_slot(self, name: TargetName) -> None:
        """Check one target, and let another check begin."""
        try:
            self.turns.run(self.reconcile, name)
        finally:
            self.slots.release()

    def due_targets(self) -> list[TargetName]:
        """Return the targets that this host is responsible for and must check now."""
        now = self.clock.monotonic()
        return [
            TargetName(name)
            for name, target in self.config().targets.items()
            if target.zone == self.zone
            and self._is_due(TargetName(name), desired_order(target), now)
            and choose_host(self.hosts, name) == self.host
        ]

    def reconcile(self, name: TargetName) -> None:
        """Check one target, and send it an order if its state is not as specified."""
        wait_s = RETRY_INTERVAL_S
        order = None
        try:
            order = self.order(name)
            wait_s = RECHECK_INTERVAL_S
        except FAILURES as error:
            log.warning(
                "Could not bring a target to its desired state",
                extra={"target": name, "error": str(error)},
            )
        finally:
            with self.lock:
                self.in_progress.discard(name)
                due = self.clock.monotonic() + wait_s
                desired = order or self._desired_order(name)
                if desired:
                    self.due[name] = (desired, due)

    def order(self, name: TargetName) -> TargetOrder | None:
        """Bring one target to its desired state; return that state."""
        state = self.config()
        target = state.targets.get(name)
        order = target and desired_order(target)
        if not order or read_order(target.address, SEND_TIMEOUT_S) == order:
            return order
        self._ensure_weights(order)
        # Connect before requesting the lease, so that nothing blocks between
        # reading the clock and writing.
        connection = connect_for_answer(target.address, SEND_TIMEOUT_S)
        try:
            lease = self.stream.lease(name, state.target_ticket_numbers.get(name, 0))
            if self.clock.monotonic() >= lease.expires_s:
                raise NotGranted(f"the lease of {name} has expired")
            write_order(connection, order, lease.fence)
        finally:
            connection.close()
        log.info(
            "Sent an order to a target", extra={"target": name, "fence": lease.fence}
        )
        return order

    def _ensure_weights(self, order: TargetOrder) -> None:
        """Ensure that the store has all weights; each read takes a slot."""
        if self.weights is None:
            return
        for name in filter(None, (order.model, *order.adapters)):
            self._ensure_weight(name)
            # The target itself reads the store again when it gets the order.
            self.stream.await_weight_slot()

    def _ensure_weight(self, name: str) -> None:
        for _ in range(MAX_WEIGHT_ATTEMPTS):
            self.stream.await_weight_slot()
            try:
                self.weights.check(name)
                return
            except WeightsBusy:
                # Clients outside this system also read the store. Take a new
                # slot for each attempt.
                continue
        raise WeightsUnavailable(f"the weight store was busy for {name}")

    def _is_due(self, name: TargetName, order: TargetOrder | None, now: float) -> bool:
        if order is None:
            return False
        last, due = self.due.get(name, (None, now))
        return order != last or now >= due

    def _desired_order(self, name: TargetName) -> TargetOrder | None:
        target = self.config().targets.get(name)
        return desired_order(target) if target else None
