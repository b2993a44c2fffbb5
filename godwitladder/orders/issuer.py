"""Brings targets to the state that tickets order.

Each host looks after the targets of its zone for which it has the highest
rendezvous weight. Two hosts may think so at once; the lease decides.

A target that checks fencing numbers refuses an order that comes late. For one
that ignores them the guard is: no write begins after the lease, by the
holder's own clock read right before it; a write is given up after `SEND_S`;
and a successor is granted the lease only `GUARD_S` after its end. What
remains is a process that is paused between that look at the clock and the
write. Its order may arrive after the successor's. It is healed, not
prevented: orders carry the whole state, and the issuer reads the target again
every `RECHECK_S` and orders anew where it differs.
"""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from godwitladder.clients.weights import (
    WeightClient,
    WeightsBusy,
    WeightsUnavailable,
)
from godwitladder.clock import Clock
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.rendezvous import choose_host
from godwitladder.engines.wire import MayHaveRun, NotSent, connect
from godwitladder.ids import HostId, TargetName, Zone
from godwitladder.logs import component_logger
from godwitladder.orders.stream import NotGranted, OrderStream
from godwitladder.orders.wire import (
    OldFence,
    OrderFailed,
    TargetOrder,
    desired_order,
    read_order,
    write_order,
)

log = component_logger("orders")

SEND_S = 2.0
PERIOD_S = 1.0
RECHECK_S = 30.0
RETRY_S = 5.0
# Targets whose orders are under way at once; a slow one holds up no other.
WORKERS = 8
WEIGHT_TRIES = 3
FAILURES = (NotGranted, NotSent, MayHaveRun, OrderFailed, OldFence, WeightsUnavailable)


class OrderIssuer:
    """Looks over this zone's targets from time to time.

    Parameters
    ----------
    host, zone : HostId, Zone
        This host.
    stream : OrderStream
        Grants leases and slots.
    weights : WeightClient or None
        The weight store, if the settings name one.
    clock : Clock
        The host's clock.
    config : callable
        Returns the configuration in force.

    Attributes
    ----------
    hosts : tuple of HostId
        The live hosts of this zone, set by whoever knows them.
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
        self.busy: set[TargetName] = set()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.workers = ThreadPoolExecutor(WORKERS, thread_name_prefix="order")

    def start(self) -> None:
        """Start to look after targets."""
        threading.Thread(target=self.run, name="orders", daemon=True).start()

    def stop(self) -> None:
        """Begin no further order."""
        self.stopping.set()
        self.workers.shutdown(wait=False, cancel_futures=True)

    def run(self) -> None:
        """Look after targets until told to stop."""
        while not self.clock.wait(self.stopping, PERIOD_S):
            for name in self.mine():
                with self.lock:
                    if name in self.busy:
                        continue
                    self.busy.add(name)
                self.workers.submit(self.look_after, name)

    def mine(self) -> list[TargetName]:
        """Return the targets that are due for a look by this host."""
        now = self.clock.monotonic()
        return [
            TargetName(name)
            for name, target in self.config().targets.items()
            if target.zone == self.zone
            and self._is_due(TargetName(name), desired_order(target), now)
            and choose_host(self.hosts, name) == self.host
        ]

    def look_after(self, name: TargetName) -> None:
        """Order one target if it is not what it should be."""
        wait_s = RETRY_S
        order = None
        try:
            order = self.order(name)
            wait_s = RECHECK_S
        except FAILURES as error:
            log.warning("No order", extra={"target": name, "error": str(error)})
        finally:
            with self.lock:
                self.busy.discard(name)
                due = self.clock.monotonic() + wait_s
                wanted = order or self._wanted(name)
                if wanted:
                    self.due[name] = (wanted, due)

    def order(self, name: TargetName) -> TargetOrder | None:
        """Bring one target to the state in force; return that state."""
        state = self.config()
        target = state.targets.get(name)
        order = target and desired_order(target)
        if not order or read_order(target.address, SEND_S) == order:
            return order
        self._await_weights(order)
        # The connection is open before the lease is asked for, so that
        # between the look at the clock and the write there is nothing to
        # wait for.
        connection = connect(target.address, SEND_S)
        try:
            lease = self.stream.lease(name, state.target_ticket_numbers.get(name, 0))
            if self.clock.monotonic() >= lease.until:
                raise NotGranted(f"the lease of {name} has passed")
            write_order(connection, order, lease.fence)
        finally:
            connection.close()
        log.info("A target was ordered", extra={"target": name, "fence": lease.fence})
        return order

    def _await_weights(self, order: TargetOrder) -> None:
        """Make sure that the store has all weights, a slot for each read."""
        if self.weights is None:
            return
        for name in filter(None, (order.model, *order.adapters)):
            self._await_weight(name)
            # The order makes the target read the store once more.
            self.stream.await_weight_slot()

    def _await_weight(self, name: str) -> None:
        for _ in range(WEIGHT_TRIES):
            self.stream.await_weight_slot()
            try:
                self.weights.check(name)
                return
            except WeightsBusy:
                # Someone outside reads too; each try takes its turn anew.
                continue
        raise WeightsUnavailable(f"the weight store was busy for {name}")

    def _is_due(self, name: TargetName, order: TargetOrder | None, now: float) -> bool:
        if order is None:
            return False
        last, due = self.due.get(name, (None, now))
        return order != last or now >= due

    def _wanted(self, name: TargetName) -> TargetOrder | None:
        target = self.config().targets.get(name)
        return desired_order(target) if target else None
