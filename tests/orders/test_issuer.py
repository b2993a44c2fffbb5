"""Orders to simulated engines, with an in-memory log and a manual clock."""

import pytest

from godwitladder.clients.weights import WeightsBusy
from godwitladder.clock import ManualClock
from godwitladder.configuration.model import Target
from godwitladder.configuration.state import ConfigState
from godwitladder.engines.wire import connect
from godwitladder.orders import issuer as issuer_module
from godwitladder.orders.issuer import RECHECK_INTERVAL_S, OrderIssuer
from godwitladder.orders.stream import LEASE_S, NotGranted, OrderStream
from godwitladder.orders.wire import StaleFence, TargetOrder, write_order
from godwitladder.process.threads import ThreadDenied
from godwitladder.standins.engine import start_engine
from tests.configuration.fakes import FakeClient, FakeLog
from tests.fleet import wait_until

OLD, NEW = TargetOrder("letters-1", (), "prefill"), TargetOrder("letters-2", (), "both")


class Weights:
    """Weight store that is busy for the first ``busy`` reads."""

    def __init__(self, clock, busy=0):
        self.clock = clock
        self.busy = busy
        self.reads = []

    def check(self, name):
        self.reads.append((self.clock.monotonic(), name))
        if self.busy:
            self.busy -= 1
            raise WeightsBusy("limit")


class Clock(ManualClock):
    """Manual clock on which a sleep advances the time."""

    def sleep(self, seconds):
        self.advance(seconds)


class Harness:
    """One engine, and issuers on two hosts that are both responsible for it."""

    def __init__(self, checks_fence):
        self.clock = Clock()
        self.log = FakeLog(self.clock)
        self.engine = start_engine(crash=lambda: None, checks_fence=checks_fence)
        self.states = {}
        self.issuers = {name: self.make_issuer(name) for name in ("one", "two")}

    def make_issuer(self, name):
        client = FakeClient(self.log)
        stream = OrderStream(client, self.clock, name, 4.0)
        issuer = OrderIssuer(
            name, "a", stream, None, self.clock, lambda: self.states[name]
        )
        issuer.hosts = (name,)
        self.set_desired(name, NEW, 2)
        return issuer

    def set_desired(self, name, order, number):
        target = Target(self.engine.address, "a", ("letters",), **vars(order))
        self.states[name] = ConfigState(
            targets={"t": target}, target_ticket_numbers={"t": number}
        )

    def accepted_models(self):
        return [row["model"] for row in self.engine.standin.orders]


@pytest.fixture(params=[True, False])
def harness(request):
    harness = Harness(request.param)
    yield harness
    harness.engine.shutdown()
    harness.engine.server_close()


def test_target_gets_one_order_from_two_responsible_hosts(harness):
    """Guards against two hosts that both send an order for the same ticket.

    Each host is alone in its own list of live hosts and sees a new ticket.
    Both request the lease before either has sent an order. One obtains it, and
    the other finds the target in its desired state at its next check.
    """
    one, two = harness.issuers.values()
    client = two.stream.client
    client.after_append = lambda: one.reconcile("t")
    one.stream.lease("t", 2)
    two.reconcile("t")
    assert harness.accepted_models() == ["letters-2"]
    harness.clock.advance(RECHECK_INTERVAL_S)
    two.reconcile("t")
    assert harness.accepted_models() == ["letters-2"]


def test_holder_paused_past_its_lease_does_not_write(harness):
    """Guards against an order that is sent after its lease has expired.

    A process is paused for a minute after its lease was recorded. It does not
    notice the pause itself, but reads its clock before the write.
    """
    issuer = harness.issuers["one"]
    issuer.stream.client.after_append = lambda: harness.clock.advance(60)
    with pytest.raises(NotGranted):
        issuer.order("t")
    assert harness.accepted_models() == []


def test_successor_waits_for_the_lease_and_a_write_in_progress(harness):
    """Guards against a successor that overlaps with a dead holder's order.

    The holder dies while its order is still being sent to the target.
    """
    one, two = harness.issuers.values()
    first = one.stream.lease("t", 1)
    harness.clock.advance(LEASE_S + 1)
    with pytest.raises(NotGranted):
        two.order("t")
    harness.clock.advance(2)
    two.order("t")
    assert harness.engine.standin.fence > first.fence
    assert harness.accepted_models() == ["letters-2"]


def test_late_order_is_rejected_or_corrected(harness):
    """Guards against a target that keeps the state of a late order.

    A process is paused between reading its clock and the write, so its order
    arrives after that of the successor. A target that checks fencing numbers
    rejects it. One that ignores them accepts it, and receives a new order at
    the issuer's next check.
    """
    one, two = harness.issuers.values()
    late = one.stream.lease("t", 1)
    connection = connect(harness.engine.address, 2.0)
    harness.clock.advance(60)
    two.reconcile("t")
    if harness.engine.standin.knobs["checks_fence"]:
        with pytest.raises(StaleFence):
            write_order(connection, OLD, late.fence)
    else:
        write_order(connection, OLD, late.fence)
        assert harness.accepted_models()[-1] == "letters-1"
    harness.clock.advance(RECHECK_INTERVAL_S)
    assert two.due_targets() == ["t"]
    two.reconcile("t")
    assert harness.accepted_models()[-1] == "letters-2"


def test_host_with_outdated_tickets_reverts_nothing(harness):
    """Guards against an issuer that reverts a ticket it has not seen yet.

    A host that has not yet seen ticket 2 becomes the issuer.
    """
    one, two = harness.issuers.values()
    one.order("t")
    harness.set_desired("two", OLD, 1)
    harness.clock.advance(60)
    with pytest.raises(NotGranted):
        two.order("t")
    assert harness.accepted_models() == ["letters-2"]


def test_lost_append_response_is_resolved_by_reading(harness):
    harness.issuers["one"].stream.client.lost_answers = 1
    harness.issuers["one"].order("t")
    assert harness.accepted_models() == ["letters-2"]


def test_nothing_is_ordered_while_the_log_is_unavailable(harness):
    issuer = harness.issuers["one"]
    issuer.stream.client.disconnected = True
    issuer.reconcile("t")
    assert harness.accepted_models() == []
    assert issuer.due_targets() == []
    harness.clock.advance(issuer_module.RETRY_INTERVAL_S)
    assert issuer.due_targets() == ["t"]


def test_each_read_of_a_busy_weight_store_takes_a_slot(harness):
    """Each attempt to read takes a slot while the store is busy.

    The store answers 429 because clients outside this system read it too.
    """
    issuer = harness.issuers["one"]
    issuer.weights = Weights(harness.clock, busy=2)
    issuer.order("t")
    times = [time for time, _ in issuer.weights.reads]
    assert len(times) == 3
    assert min(b - a for a, b in zip(times, times[1:], strict=False)) >= 0.25
    issuer.weights = Weights(harness.clock, busy=9)
    harness.set_desired("one", OLD, 3)
    issuer.reconcile("t")
    assert harness.accepted_models() == ["letters-2"]


def test_a_ticket_loads_a_model_once_in_a_fleet(fleet):
    """Three hosts see a ticket with a model for an engine; it gets one order."""
    engine = fleet.add_engine("engine-a1")
    platform = f'weights = "http://{fleet.platform.address}"'
    for name in ("host-a1", "host-a2", "host-a3"):
        fleet.add_host(name, "a", platform_extra=platform)
    fleet.wait_ready()
    text = fleet.ticket().replace(
        "memory_tokens = 100000", 'memory_tokens = 100000\nmodel = "m-1"\nrole = "both"'
    )
    fleet.configure(text)
    wait_until(lambda: engine.standin.orders, "the order")
    orders = [(row["model"], row["role"]) for row in engine.standin.orders]
    assert orders == [("m-1", "both")]
    appends = fleet.http.request("GET", f"http://{fleet.platform.address}/appends")
    assert appends.json()["orders"] >= 2


def test_orders_are_sent_though_no_thread_can_be_started(harness, monkeypatch):
    """Guards against a denied thread that ends the checks of all targets."""

    def deny(target, name, args=()):
        raise ThreadDenied(name)

    monkeypatch.setattr(issuer_module, "start_call_thread", deny)
    issuer = harness.issuers["one"]
    issuer.start_reconciling("t")
    assert harness.accepted_models() == ["letters-2"]
    assert not issuer.in_progress
