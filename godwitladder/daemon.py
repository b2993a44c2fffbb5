"""The entry host: creates its components, connects them and runs until stopped."""

import threading

from aioprometheus import Gauge

from godwitladder.clients.hosts import HostListClient, HostListUnavailable
from godwitladder.clients.log import LogClient
from godwitladder.clients.weights import WeightClient
from godwitladder.clock import Clock
from godwitladder.configuration.exchange import ConfigExchange
from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.ledger import Ledger, make_state
from godwitladder.configuration.messages import ConfigRequest, ConfigSnapshot
from godwitladder.configuration.replica import Phase
from godwitladder.ids import Incarnation, Zone
from godwitladder.logs import component_logger
from godwitladder.membership.actor import (
    ConfigChanged,
    HostListRead,
    Leave,
    LinkUp,
    Membership,
)
from godwitladder.membership.fleet import FleetNamed
from godwitladder.membership.members import Members
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat
from godwitladder.membership.router import Router
from godwitladder.orders.issuer import OrderIssuer
from godwitladder.orders.stream import OrderStream
from godwitladder.paths.connector import Connector, ConnectTimeouts
from godwitladder.paths.gateway import Gateway
from godwitladder.paths.tunnels import Tunnels
from godwitladder.process.base_host import BaseHost
from godwitladder.process.loops import Turns
from godwitladder.process.supervision import watch_threads
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
from godwitladder.serving.listener import BoundedServer
from godwitladder.serving.operators import HostStatus, OperatorApp
from godwitladder.settings import Settings

log = component_logger("daemon")

HOST_LIST_PERIOD_S = 1.0
PEER_DISCOVERY_TIMEOUT_S = 3.0
"""Time after which a host that has reached none of its seeds serves alone."""
LEAVE_DELAY_S = 1.0
"""Time for load balancers and peers to notice that this host is leaving."""
OPERATOR_THREADS = 8
CRITICAL_THREADS = frozenset(
    {
        "config",
        "hosts",
        "ticker",
        "http",
        "peers",
        "load",
        "orders",
        "claim-read",
        "claim-write",
    }
)
CONNECT_TIMEOUTS = ConnectTimeouts(
    only_way_s=2.0, before_tunnel_s=0.5, tunnel_s=1.25, round_s=2.5
)
"""Targets may be in another region, and a connection there takes some round trips."""


class EntryHost(BaseHost):
    """An entry host with all its components.

    Parameters
    ----------
    settings : Settings
        Settings of the host.
    clock : Clock
        Clock of all components.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        super().__init__(settings.host, clock, settings.limits)
        self.settings = settings
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
            lambda: self.metrics.allocator_restarts.inc({}),
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
        self.connector = Connector(
            clock, self.metrics, settings.zone, timeouts=CONNECT_TIMEOUTS
        )
        self.callers = CallerApp(
            settings, self.scheduler, clock, self.metrics, self.connector.dial
        )
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
        self.mesh.admission.on_refusal = lambda refusal: self.metrics.refused_peers.inc(
            {"reason": refusal.value}
        )
        self.router.message_handlers[FleetNamed] = self.mesh.receive_fleet
        self.connector.tunnels = Tunnels(self.mesh)
        self.gateway = Gateway(
            self.connector,
            lambda count: self.metrics.gateway_tunnels.set({}, count),
        )
        self.mesh.serve_tunnel = self.gateway.serve
        self.follower.send = self.mesh.send
        self.exchange = self.start_actor(ConfigExchange, self.follower)
        self.orders = self.make_order_issuer()
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

    def make_order_issuer(self) -> OrderIssuer:
        """Return the component that brings targets to their configured state."""
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
        """Return the initial tables of the scheduler."""
        host, zone = self.settings.host, self.settings.zone
        return Tables(host, zone, self.incarnation, hosts=(host,))

    def make_keys(self) -> KeyComponents:
        """Return the components that serve calls with idempotency keys."""
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
        """Start all components."""
        listen, threads = self.settings.listen, self.settings.limits.threads
        self.supervise(self.mesh.turns)
        self.mesh.start_dialling()
        self.stack.callback(self.mesh.close)
        self.binder.bind(self.vital_listener("peers", listen.peers), self.mesh.listen)
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
        callers = self.vital_listener("callers", listen.callers)
        self.serve(
            self.callers,
            callers,
            threads,
            listen.callers_tls,
            self.prepare_caller_server,
        )
        # Load balancers ask there whether the host is ready.
        operators = self.vital_listener("operators", listen.operators)
        self.serve(self.operators, operators, OPERATOR_THREADS, listen.operators_tls)
        log.info("The host serves", extra={"host": self.settings.host})

    def prepare_caller_server(self, server: BoundedServer) -> None:
        """Keep the server of callers before it runs."""
        self.caller_server = server

    def drain(self) -> None:
        """Accept no more requests and wait for those in flight.

        Requests that still arrive are refused because this host is stopping.
        The listener closes only after load balancers have had time to poll
        ``/readyz``. A connection that they sent to a closed listener, or into its
        backlog, would be dropped without a response.
        """
        self.membership.tell(Leave())
        self.scheduler.tell(Stop())
        self.keys.keyed.stopping = True
        if self.caller_server is not None:
            self.caller_server.closing = True
        self.gateway.is_stopping = True
        log.info("The host is leaving", extra={"host": self.settings.host})
        self.clock.sleep(LEAVE_DELAY_S)
        self.wait_until_idle(self.has_open_calls)
        if self.caller_server is not None:
            self.close_connections(self.caller_server, self.has_open_calls)
        self.keys.flush()

    def has_open_calls(self) -> bool:
        """Return whether a request is queued or running or its response is unsent.

        Calls of other hosts that lead through this one count too.
        """
        return (
            self.callers.open_calls > 0
            or self.gateway.open_tunnels > 0
            or self.count_unfinished_calls() > 0
        )

    def ready(self) -> bool:
        """Return whether load balancers should send callers to this host."""
        caught_up = self.follower.caught_up.is_set()
        return (
            caught_up
            and self.peer_discovery_done()
            and self.caller_server is not None
            and not self.stopping.is_set()
        )

    def peer_discovery_done(self) -> bool:
        """Return whether a peer was found or the search for one has ended.

        The search ends after `PEER_DISCOVERY_TIMEOUT_S`, or at once without
        seeds. A host that knows no peer acts as the allocator of its zone. If it
        served callers while its peers do too, the slots of targets would be
        allocated twice.
        """
        waited_s = self.clock.monotonic() - self.started
        return (
            bool(self.mesh.current())
            or not self.mesh.seeds
            or waited_s > PEER_DISCOVERY_TIMEOUT_S
        )

    def status(self) -> HostStatus:
        """Return the status of this host for operators."""
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
            waiting=self.gauge_value(self.metrics.waiting),
            running=self.gauge_value(self.metrics.running),
        )

    def gauge_value(self, gauge: Gauge) -> int:
        """Return the value of a gauge that the scheduler sets at each tick.

        Return 0 before the first tick.
        """
        try:
            return int(gauge.get({}))
        except KeyError:
            return 0

    def make_heartbeat(self) -> Heartbeat:
        """Return the first heartbeat of this host."""
        settings = self.settings
        return Heartbeat(
            settings.host,
            settings.zone,
            settings.listen.peers,
            self.incarnation,
            False,
            0,
            is_gateway=True,
        )

    def publish_config(self, ledger: Ledger) -> None:
        """Apply a new configuration on this host."""
        state = make_state(ledger)
        self.mesh.enter_fleet(state.origin)
        self.callers.config = state
        self.scheduler.tell(NewConfig(state))
        self.allocator.tell(NewConfig(state))
        places = {
            target.address: Zone(target.place or target.zone)
            for target in state.targets.values()
        }
        self.connector.set_places(places)
        self.gateway.set_targets(places)
        targets = frozenset(places)
        self.membership.tell(ConfigChanged(state.offset, targets))
        self.metrics.config_offset.set({}, state.offset)

    def publish_members(self, message: HostsChanged | TargetsLeaving) -> None:
        """Notify the scheduler, the allocator and the order issuer of a change.

        The order issuer is only notified of changed hosts, not of leaving targets.
        """
        self.scheduler.tell(message)
        self.allocator.tell(message)
        if isinstance(message, HostsChanged):
            self.orders.hosts = message.hosts
            self.connector.set_peers(message.peers)
            self.mesh.known_addresses = frozenset(row.address for row in message.peers)

    def poll_host_list(self) -> None:
        """Read the platform's host list periodically until the host stops.

        The list is only a hint for finding peers. If it can't be read, the host
        continues without it.
        """
        client = HostListClient(self.settings.platform.hosts, self.settings.zone)
        turns = self.supervise(Turns("hosts", self.clock))
        turns.loop(self.stopping, lambda: self.read_host_list(client))
        client.close()

    def read_host_list(self, client: HostListClient) -> float:
        """Read the list once; return the seconds until the next turn."""
        self.update_metrics()
        try:
            self.membership.tell(HostListRead(client.read()))
        except HostListUnavailable as error:
            log.info("The host list is unavailable", extra={"error": str(error)})
        return HOST_LIST_PERIOD_S

    def update_metrics(self) -> None:
        """Update the metrics of links between hosts and of access to the log."""
        sent, received = self.mesh.traffic()
        self.metrics.control_bytes.set({"direction": "sent"}, sent)
        self.metrics.control_bytes.set({"direction": "received"}, received)
        self.metrics.peer_links.set({}, len(self.mesh.current()))
        following = self.follower.replica.phase is Phase.FOLLOWING
        self.metrics.config_following.set({}, int(following))
        self.metrics.log_reachable.set({}, int(self.follower.reachable))


def run_entry_host(settings: Settings) -> None:
    """Run one entry host until SIGTERM or SIGINT, then stop it gracefully.

    If a component fails, the process exits with `FAILURE_EXIT_CODE`.
    """
    host = EntryHost(settings, Clock())
    host.handle_signals()
    watch_threads(CRITICAL_THREADS, host.fail)
    host.run()
    if host.failed:
        host.exit()
