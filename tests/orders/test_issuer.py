"""Orders to stand-ins of engines, with a log in memory and a paused clock."""

import pytest

from godwitladder.clients.weights import WeightsBusy
from godwitladder.clock import ManualClock
from godwitladder.configuration.model import Target
from godwitladder.configuration.state import ConfigState
from godwitladder.engines.wire import connect
from godwitladder.orders import issuer as issuer_module
from godwitladder.orders.issuer import RECHECK_S, OrderIssuer
from godwitladder.orders.stream import LEASE_S, NotGranted, OrderStream
from godwitladder.orders.wire import OldFence, TargetOrder, write_order
from godwitladder.standins.engine import start_engine
from tests.configuration.fakes import FakeClient, FakeLog
from tests.fleet import wait_until

OLD, NEW = TargetOrder("letters-1", (), "prefill"), TargetOrder("letters-2", (), "both")


class Weights:
    """A store that is busy for the first ``busy`` reads."""

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
    """A paused clock on which a sleep advances the time."""

    def sleep(self, seconds):
        self.advance(seconds)


class World:
    """One engine, and issuers on two hosts that both look after it."""

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
        self.want(name, NEW, 2)
        return issuer

    def want(self, name, order, number):
        target = Target(self.engine.address, "a", ("letters",), **vars(order))
        self.states[name] = ConfigState(
            targets={"t": target}, target_ticket_numbers={"t": number}
        )

    def taken(self):
        return [row["model"] for row in self.engine.standin.orders]


@pytest.fixture(params=[True, False])
def world(request):
    world = World(request.param)
    yield world
    world.engine.shutdown()
    world.engine.server_close()


def test_target_gets_one_order_from_two_hosts_that_both_feel_responsible(world):
    """Two hosts, each alone in its own list of live hosts, see a new ticket.

    Both ask for the lease before either has written. One gets it, and the
    other finds the target as it should be when it looks again.
    """
    one, two = world.issuers.values()
    client = two.stream.client
    client.after_append = lambda: one.look_after("t")
    one.stream.lease("t", 2)
    two.look_after("t")
    assert world.taken() == ["letters-2"]
    world.clock.advance(RECHECK_S)
    two.look_after("t")
    assert world.taken() == ["letters-2"]


def test_holder_that_was_paused_past_its_lease_does_not_write(world):
    """A process stands still for a minute after its lease was recorded.

    It wakes up unaware of the pause; its own clock tells it before the write.
    """
    issuer = world.issuers["one"]
    issuer.stream.client.after_append = lambda: world.clock.advance(60)
    with pytest.raises(NotGranted):
        issuer.order("t")
    assert world.taken() == []


def test_successor_waits_out_the_lease_and_a_write_under_way(world):
    """A holder dies with its order on the way to the target."""
    one, two = world.issuers.values()
    first = one.stream.lease("t", 1)
    world.clock.advance(LEASE_S + 1)
    with pytest.raises(NotGranted):
        two.order("t")
    world.clock.advance(2)
    two.order("t")
    assert world.engine.standin.fence > first.fence
    assert world.taken() == ["letters-2"]


def test_order_that_comes_late_is_refused_or_healed(world):
    """A process is paused between its look at the clock and the write.

    Its order arrives after that of the successor. A target that checks
    fencing numbers refuses it. One that ignores them takes it, and is
    ordered anew when its issuer looks again.
    """
    one, two = world.issuers.values()
    late = one.stream.lease("t", 1)
    connection = connect(world.engine.address, 2.0)
    world.clock.advance(60)
    two.look_after("t")
    if world.engine.standin.knobs["checks_fence"]:
        with pytest.raises(OldFence):
            write_order(connection, OLD, late.fence)
    else:
        write_order(connection, OLD, late.fence)
        assert world.taken()[-1] == "letters-1"
    world.clock.advance(RECHECK_S)
    assert two.mine() == ["t"]
    two.look_after("t")
    assert world.taken()[-1] == "letters-2"


def test_host_that_is_behind_with_tickets_takes_nothing_back(world):
    """A host that has not yet seen ticket 2 becomes the issuer."""
    one, two = world.issuers.values()
    one.order("t")
    world.want("two", OLD, 1)
    world.clock.advance(60)
    with pytest.raises(NotGranted):
        two.order("t")
    assert world.taken() == ["letters-2"]


def test_lost_answer_to_a_lease_is_settled_by_reading(world):
    world.issuers["one"].stream.client.lost_answers = 1
    world.issuers["one"].order("t")
    assert world.taken() == ["letters-2"]


def test_nothing_is_ordered_while_the_log_is_away(world):
    issuer = world.issuers["one"]
    issuer.stream.client.disconnected = True
    issuer.look_after("t")
    assert world.taken() == []
    assert issuer.mine() == []
    world.clock.advance(issuer_module.RETRY_S)
    assert issuer.mine() == ["t"]


def test_weight_store_that_turns_a_read_away_is_asked_in_turn(world):
    """The store answers 429, since someone outside the system reads too."""
    issuer = world.issuers["one"]
    issuer.weights = Weights(world.clock, busy=2)
    issuer.order("t")
    times = [time for time, _ in issuer.weights.reads]
    assert len(times) == 3
    assert min(b - a for a, b in zip(times, times[1:], strict=False)) >= 0.25
    issuer.weights = Weights(world.clock, busy=9)
    world.want("one", OLD, 3)
    issuer.look_after("t")
    assert world.taken() == ["letters-2"]


def test_a_ticket_loads_a_model_once_in_a_fleet(fleet):
    """Three hosts see a ticket that orders a model to an engine."""
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
