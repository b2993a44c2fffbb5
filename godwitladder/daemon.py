"""One entry host: wires the parts together and runs until told to stop."""

import os
import signal
import threading

from aioprometheus import Gauge
from waitress.server import TcpWSGIServer

from godwitladder.base_host import BaseHost
from godwitladder.clients.hosts import HostListClient, HostListUnavailable
from godwitladder.clients.log import LogClient
from godwitladder.clients.weights import WeightClient
from godwitladder.clock import Clock
from godwitladder.configuration.exchange import ConfigExchange
from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.ledger import Ledger, make_state
from godwitladder.configuration.messages import ConfigRequest, ConfigSnapshot
from godwitladder.configuration.replica import Phase
from godwitladder.drain import count_unfinished, stop_accepting
from godwitladder.ids import Incarnation
from godwitladder.logs import component_logger
from godwitladder.membership.actor import (
    ConfigChanged,
    HostListRead,
    Leave,
    LinkUp,
    Membership,
)
from godwitladder.membership.members import Members
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat
from godwitladder.membership.router import Router
from godwitladder.metrics import Metrics
from godwitladder.orders.issuer import OrderIssuer
from godwitladder.orders.stream import OrderStream
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.allocator import Allocator, AllocatorTables
from godwitladder.scheduler.load import LoadReader
from godwitladder.scheduler.messages import (
    HostsChanged,
    NewConfig,
    Stop,
    TargetsLeaving,
)
from godwitladder.scheduler.rows import Tables
from godwitladder.scheduler.ticker import Ticker
from godwitladder.serving.callers import CallerApp
from godwitladder.serving.keys import KeyComponents
from godwitladder.serving.operators import HostStatus, OperatorApp
from godwitladder.settings import Settings
from godwitladder.supervision import watch_threads

log = component_logger("daemon")

HOST_LIST_PERIOD_S = 1.0
PEER_DISCOVERY_TIMEOUT_S = 3.0
"""A host that found none of its seeds in this time serves alone."""
LEAVE_S = 1.0
"""Time for balancers and peers to see that this host is leaving."""
OPERATOR_THREADS = 8
CRITICAL_THREADS = frozenset(
    {"config", "hosts", "ticker", "http", "claim-read", "claim-write"}
)
FAILURE_EXIT_CODE = 70


class EntryHost(BaseHost):
    """All parts of one host, owned by one exit stack.

    Parameters
    ----------
    settings : Settings
        What the host was told.
    clock : Clock
        Handed to every part that needs the time.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        super().__init__(settings.host, clock, settings.limits)
        self.settings = settings
        self.metrics = Metrics()
        self.started = clock.monotonic()
        self.incarnation = Incarnation(int(clock.wall() * 1000))
        self.router = Router(settings.host)
        self.ticker = Ticker(clock, settings.scheduler.idle_tick_s)
        self.scheduler = self.start_actor(
            Scheduler,
            self.make_tables(),
            clock,
            self.metrics,
            self.ticker,
            self.router.send,
        )
        self.allocator = self.start_actor(
            Allocator,
            AllocatorTables(settings.host, settings.zone),
            clock,
            self.router.send,
        )
        self.log = LogClient(settings.platform.log, settings.zone)
        self.stack.callback(self.log.close)
        self.follower = ConfigFollower(
            self.log,
            clock,
            self.publish_config,
            settings.host,
            settings.platform.config_stream,
            settings.platform.log_retention_s,
        )
        self.callers = CallerApp(settings, self.scheduler, clock, self.metrics)
        self.operators = OperatorApp(
            settings, self.log, self.follower, self.metrics, self.status
        )
        self.mesh = Mesh(
            settings.host,
            settings.listen.peers,
            settings.peers.secret,
            clock,
            self.router.deliver,
            settings.peers.seeds,
            lambda link: self.membership.tell(LinkUp(link)),
            settings.listen.peers_tls,
        )
        self.follower.send = self.mesh.send
        self.exchange = self.start_actor(ConfigExchange, self.follower)
        self.orders = self.make_orders()
        self.membership = self.start_actor(
            Membership,
            self.make_heartbeat(),
            Members(settings.peers.timeout_s),
            self.mesh,
            clock,
            self.publish_members,
        )
        self.router.connect(self.mesh, self.membership, self.scheduler, self.allocator)
        self.router.add(self.exchange, Heartbeat, ConfigRequest, ConfigSnapshot)
        self.keys = self.make_keys()
        self.caller_server: TcpWSGIServer | None = None

    def make_orders(self) -> OrderIssuer:
        """Return the part that brings targets to the state in force."""
        settings = self.settings
        platform = settings.platform
        holder = f"{settings.host}/{self.incarnation}"
        weights = None
        if platform.weights:
            weights = WeightClient(platform.weights, settings.zone)
            self.stack.callback(weights.close)
        return OrderIssuer(
            settings.host,
            settings.zone,
            OrderStream(self.log, self.clock, holder, platform.weight_reads_per_s),
            weights,
            self.clock,
            lambda: self.callers.config,
        )

    def make_tables(self) -> Tables:
        """Return the scheduler's tables, as they are at the start."""
        host, zone = self.settings.host, self.settings.zone
        return Tables(host, zone, self.incarnation, hosts=(host,))

    def make_keys(self) -> KeyComponents:
        """Return what serves calls with idempotency keys."""
        keys = KeyComponents(
            self.settings,
            self.incarnation,
            self.callers,
            self.mesh,
            self.log,
            self.clock,
            self.metrics,
            self.fail,
        )
        self.stack.callback(keys.stop)
        self.router.message_handlers |= keys.message_handlers()
        self.operators.watch = keys.watch
        return keys

    def start(self) -> None:
        """Start every part."""
        self.mesh.start()
        self.stack.callback(self.mesh.close)
        idle_tick_s = self.settings.scheduler.idle_tick_s
        self.start_component(self.ticker, self.scheduler)
        self.start_component(Ticker(self.clock, idle_tick_s), self.allocator)
        heartbeat_s = self.settings.peers.heartbeat_s
        self.start_component(Ticker(self.clock, heartbeat_s), self.membership)
        self.start_component(self.orders)
        self.start_component(LoadReader(self.allocator, self.clock))
        self.keys.start(idle_tick_s)
        self.follower.start()
        self.stack.callback(self.follower.stop)
        threading.Thread(target=self.poll_host_list, name="hosts", daemon=True).start()
        listen, threads = self.settings.listen, self.settings.limits.threads
        self.caller_server = self.serve(
            self.callers, listen.callers, threads, listen.callers_tls
        )
        self.serve(
            self.operators, listen.operators, OPERATOR_THREADS, listen.operators_tls
        )
        log.info("The host serves", extra={"host": self.settings.host})

    def drain(self) -> None:
        """Take nothing new and wait for everything in flight.

        Requests that still arrive are answered that this host is stopping.
        The listener closes only when the balancer has had time to look at
        ``/readyz``: a connection that it would send into a closed listener,
        or into its queue, would be dropped without an answer.
        """
        self.membership.ask(Leave())
        self.scheduler.ask(Stop())
        self.keys.keyed.stopping = True
        log.info("The host is leaving", extra={"host": self.settings.host})
        self.clock.sleep(LEAVE_S)
        self.wait_until_idle(self.has_open_calls)
        stop_accepting(self.caller_server)
        self.wait_until_idle(self.has_open_calls)
        self.keys.flush()

    def has_open_calls(self) -> bool:
        """Return whether any request is waiting, running or being answered."""
        return self.callers.open_calls > 0 or count_unfinished(self.caller_server) > 0

    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        caught_up = self.follower.caught_up.is_set()
        return caught_up and self.peer_discovery_done() and not self.stopping.is_set()

    def peer_discovery_done(self) -> bool:
        """Return whether a peer was found, or none can be.

        A host that knows no peer takes itself for the allocator of its zone;
        with callers sent to it, targets would get twice their slots.
        """
        waited_s = self.clock.monotonic() - self.started
        return (
            bool(self.mesh.current())
            or not self.mesh.seeds
            or waited_s > PEER_DISCOVERY_TIMEOUT_S
        )

    def status(self) -> HostStatus:
        """Return what operators are told of this host."""
        targets = self.callers.config.targets
        return HostStatus(
            host=self.settings.host,
            zone=self.settings.zone,
            ready=self.ready(),
            stopping=self.stopping.is_set(),
            config_offset=self.follower.ledger.next,
            config_phase=self.follower.replica.phase.value,
            log_reachable=self.follower.reachable,
            peers=tuple(sorted(link.peer for link in self.mesh.current())),
            targets={name: row.state.value for name, row in targets.items()},
            waiting=self.scheduler_count(self.metrics.waiting),
            running=self.scheduler_count(self.metrics.running),
        )

    def scheduler_count(self, gauge: Gauge) -> int:
        """Return a gauge that the scheduler sets at each tick."""
        try:
            return int(gauge.get({}))
        except KeyError:
            return 0

    def make_heartbeat(self) -> Heartbeat:
        """Return this host's first heartbeat."""
        settings = self.settings
        return Heartbeat(
            settings.host,
            settings.zone,
            settings.listen.peers,
            self.incarnation,
            False,
            0,
        )

    def publish_config(self, ledger: Ledger) -> None:
        """Put a new configuration in force on this host."""
        state = make_state(ledger)
        self.callers.config = state
        self.scheduler.tell(NewConfig(state))
        self.allocator.tell(NewConfig(state))
        targets = frozenset(target.address for target in state.targets.values())
        self.membership.tell(ConfigChanged(state.offset, targets))
        self.metrics.config_offset.set({}, state.offset)

    def publish_members(self, message: HostsChanged | TargetsLeaving) -> None:
        """Tell those that hand out and use targets about hosts that changed."""
        self.scheduler.tell(message)
        self.allocator.tell(message)
        if isinstance(message, HostsChanged):
            self.orders.hosts = message.hosts

    def poll_host_list(self) -> None:
        """Read the platform's host list from time to time, as a hint."""
        client = HostListClient(self.settings.platform.hosts, self.settings.zone)
        while not self.stopping.is_set():
            try:
                self.membership.tell(HostListRead(client.read()))
            except HostListUnavailable as error:
                log.info("No host list", extra={"error": str(error)})
            self.count_traffic()
            self.clock.wait(self.stopping, HOST_LIST_PERIOD_S)
        client.close()

    def count_traffic(self) -> None:
        """Show the traffic between hosts, and the way to the log, in the metrics."""
        sent, received = self.mesh.traffic()
        self.metrics.control_bytes.set({"direction": "sent"}, sent)
        self.metrics.control_bytes.set({"direction": "received"}, received)
        self.metrics.links.set({}, len(self.mesh.current()))
        following = self.follower.replica.phase is Phase.FOLLOWING
        self.metrics.config_following.set({}, int(following))
        self.metrics.log_reachable.set({}, int(self.follower.reachable))


def run_entry_host(settings: Settings) -> None:
    """Run one entry host until SIGTERM or SIGINT, then stop as planned."""
    host = EntryHost(settings, Clock())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: host.stop())
    watch_threads(CRITICAL_THREADS, host.fail)
    host.run()
    if host.failed:
        # Threads of callers may still run; a planned stop waits for them, but
        # what they wait for will never come.
        os._exit(FAILURE_EXIT_CODE)
