"""A host that serves routed calls: connects its components and runs them."""

import random
import threading
from collections.abc import Callable
from pathlib import Path

from godwitladder.clock import Clock
from godwitladder.decisions.limits.quotas import TokenQuotas
from godwitladder.decisions.limits.retry_budget import RetryBudget, RetryLimits
from godwitladder.decisions.placing.stream_origins import StreamOrigin
from godwitladder.discovery.feed import Feed
from godwitladder.discovery.host_list import HostList
from godwitladder.discovery.messages import FeedNews, FeedWanted
from godwitladder.discovery.source import Source
from godwitladder.discovery.store_copy import outage_threshold_s
from godwitladder.discovery.store_fleet import FOUNDING_DELAY_S, StoreFleet
from godwitladder.discovery.store_reads import ReadThread
from godwitladder.discovery.store_view import StoreView
from godwitladder.findings import InvalidInput
from godwitladder.ids import HostId, Incarnation, Zone
from godwitladder.logs import component_logger
from godwitladder.membership.actor import (
    HostListRead,
    Leave,
    LinkDown,
    LinkUp,
    Membership,
)
from godwitladder.membership.codec import encode
from godwitladder.membership.contacts import ListedHost
from godwitladder.membership.fleet import FleetNamed, Refusal
from godwitladder.membership.hubs import MAX_MESH_HOSTS
from godwitladder.membership.links import Link
from godwitladder.membership.members import Members
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat
from godwitladder.membership.peer_clocks import ClockTold, ClockWanted, PeerClocks
from godwitladder.membership.router import Router
from godwitladder.paths.connector import Connector
from godwitladder.paths.gateway import Gateway
from godwitladder.paths.tunnels import Tunnels
from godwitladder.process.base_host import BaseHost
from godwitladder.process.descriptors import share_descriptors
from godwitladder.process.loops import Turns
from godwitladder.process.supervision import watch_threads
from godwitladder.quarantine.crash_recorder import CrashRecorder
from godwitladder.quarantine.evidence import CrashEvidence, TargetPresence
from godwitladder.quarantine.exchange import CrashExchange
from godwitladder.quarantine.gate import QuarantineGate
from godwitladder.quarantine.probing import TargetProbe
from godwitladder.rollouts.coordinator import RolloutCoordinator
from godwitladder.rollouts.counts import HostRollouts
from godwitladder.rollouts.sent_parts import SentParts
from godwitladder.rollouts.status import StatusWriter
from godwitladder.routing.app import ReadinessApp, RoutedApp, index_document
from godwitladder.routing.calls import HeaderCodec
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.settings import (
    RoutedSettings,
    find_ignored,
    read_changed_settings,
)
from godwitladder.routing.state import make_config_state
from godwitladder.routing.status import StatusApp
from godwitladder.routing.stop_schedule import make_stop_schedule
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.allocator import Allocator, AllocatorTables
from godwitladder.scheduler.messages import HostsChanged, NewConfig, TargetsLeaving
from godwitladder.scheduler.quotas import SharingHosts
from godwitladder.scheduler.rows import Tables
from godwitladder.scheduler.ticker import Ticker
from godwitladder.serving.call_memory import CallMemory
from godwitladder.serving.call_watcher import CallWatcher
from godwitladder.serving.connections import ConnectionEvent
from godwitladder.serving.entry_history import EntryHistory
from godwitladder.serving.listener import BoundedServer
from godwitladder.serving.pacing import Pace
from godwitladder.serving.proxying import RoutedProxy
from godwitladder.serving.statements import TargetStatements
from godwitladder.serving.stream_origins import (
    OriginKnown,
    OriginWanted,
    StreamBegan,
    StreamOriginRegistry,
)
from godwitladder.serving.stream_recorder import StreamRecorder

log = component_logger("daemon")

IDLE_TICK_S = 0.25
FIRST_POLL_S = 1.0
PEER_DISCOVERY_TIMEOUT_S = 3.0
"""A host that has found no peer after this time serves alone."""
ADMIN_THREADS = 2
NEW_CONNECTION_FRACTION = 0.85
"""Part of the threads for new connections; the rest is for those that are open."""
CRASHES_TIMEOUT_S = 3.0
"""A host that can't read the recorded crashes in this time serves without them."""
MAX_LOGGED_HOSTS = 12
"""Limit on the allocators listed in a log line."""
MAX_TARGETS_AGE_S = 2.0
"""Age of the list of targets up to which a version that has just come is known."""
CRITICAL_THREADS = frozenset(
    {
        "crashes",
        "feed",
        "hosts",
        "http",
        "peers",
        "rollouts",
        "streams",
        "ticker",
        "watch",
    }
)


class RoutingHost(BaseHost):
    """All components of one host, owned by one exit stack.

    Parameters
    ----------
    path : Path
        The settings file, reloaded on SIGHUP.
    file_text : str
        Its content before the settings were read from it.
    settings : RoutedSettings
        The settings read from it.
    source : Source
        The platform's store.
    codec : HeaderCodec
        Reads and writes the headers of the platform.
    clock : Clock
        Time source of all components.
    """

    def __init__(
        self,
        path: Path,
        file_text: str,
        settings: RoutedSettings,
        source: Source,
        codec: HeaderCodec,
        clock: Clock,
    ) -> None:
        super().__init__(settings.host, clock, settings.limits, settings.bounds.grace_s)
        self.path = path
        self.settings = settings
        self.file_text = file_text
        self.ignored = find_ignored(path)
        self.source = source
        source.refused.on_refusal = lambda: self.metrics.refused_documents.inc({})
        self.started = clock.monotonic()
        self.incarnation = Incarnation(int(clock.wall() * 1000))
        # One queue and one pool for the whole region: with a pool per availability
        # zone, requests would wait in one zone while another has idle targets.
        self.span = Zone(settings.region)
        self.hosts: tuple[HostId, ...] = (settings.host,)
        self.sharing_hosts = SharingHosts(clock, self.hosts)
        self.freshness = DocumentFreshness(
            settings.bounds.revoke_s, settings.bounds.change_s
        )
        self.router = Router(settings.host)
        self.ticker = Ticker(clock, IDLE_TICK_S)
        limits = settings.bounds.rollouts
        tables = Tables(
            settings.host,
            self.span,
            self.incarnation,
            hosts=(settings.host,),
            availability_zone=settings.zone,
            has_standing_grants=False,
            early_fallback=True,
            quotas=TokenQuotas(slack=settings.bounds.quota_slack),
            rollouts=HostRollouts(self.metrics, SentParts() if limits else None),
        )
        self.rollouts = tables.rollouts
        self.scheduler = self.start_actor(
            Scheduler,
            tables,
            clock,
            self.metrics,
            self.ticker,
            self.router.send,
        )
        self.coordinator = RolloutCoordinator(
            limits, lambda: self.freshness.is_fresh(clock.boottime())
        )
        self.allocator = self.start_actor(
            Allocator,
            AllocatorTables(
                settings.host,
                self.span,
                has_standing_grants=False,
                quota_slack=settings.bounds.quota_slack,
                rollouts=self.coordinator,
            ),
            clock,
            self.router.send,
            lambda: self.metrics.allocator_restarts.inc({}),
        )
        seeds = settings.peers.seeds
        self.feed = Feed(
            settings.host,
            source,
            clock,
            self.freshness,
            self.publish_view,
            reads_at_start=not settings.first_start or settings.listen.peers in seeds,
        )
        self.feed.outage_s = outage_threshold_s(settings.store.entry_interval_s)
        delay_s = 0.0 if self.feed.reads_at_start else FOUNDING_DELAY_S
        self.feed.fleet = StoreFleet(source, clock, delay_s)
        self.status_writer: StatusWriter | None = None
        if limits is not None:
            self.feed.rollouts.freshness = self.freshness
            self.feed.rollouts.is_completed = lambda order: (
                self.rollouts.is_completed(order)
                or self.coordinator.is_completed(order)
            )
            self.status_writer = StatusWriter(source, clock, self.allocator.tell)
            self.coordinator.request = self.status_writer.request
        self.allocator_ticker = Ticker(clock, IDLE_TICK_S)
        self.coordinator.wake = self.allocator_ticker.tick_in
        self.peer_clocks = PeerClocks(clock)
        self.mesh = Mesh(
            settings.host,
            settings.listen.peers,
            settings.peers.secret,
            clock,
            self.router.deliver,
            settings.peers.seeds,
            self.link_up,
            on_link_down=lambda peer: self.membership.tell(LinkDown(peer)),
        )
        self.feed.enter_fleet = self.mesh.enter_fleet
        self.feed.call_later = call_later
        self.mesh.admission.on_refusal = self.record_refused_peer
        self.origins = StreamOriginRegistry(
            settings.host, self.mesh, clock, self.knows_targets
        )
        self.origins.recorder = StreamRecorder(
            source, clock, self.origins.has_versions, lambda: len(self.hosts)
        )
        self.origins.entry_history = EntryHistory(
            source,
            clock,
            settings.store.entry_interval_s,
            lambda: self.feed.entry_place.offset,
        )
        self.connector = Connector(
            clock,
            self.metrics,
            settings.zone,
            Tunnels(self.mesh),
            limits=settings.answers,
        )
        self.gateway = Gateway(
            self.connector,
            lambda count: self.metrics.gateway_tunnels.set({}, count),
        )
        self.mesh.serve_tunnel = self.gateway.serve
        self.quarantine = QuarantineGate(
            clock,
            self.mesh.broadcast,
            CrashEvidence(clock, lambda: self.connector.places, TargetProbe(codec)),
        )
        self.crash_recorder = CrashRecorder(
            settings.host,
            source,
            clock,
            self.quarantine.registry,
            lambda: self.hosts,
        )
        self.quarantine.on_change = self.crash_recorder.mark
        self.crash_exchange = CrashExchange(settings.host, self.quarantine, self.mesh)
        self.crash_exchange.handle_messages(self.router)
        self.membership = self.start_actor(
            Membership,
            self.make_heartbeat(),
            Members(settings.peers.timeout_s),
            self.mesh,
            clock,
            self.publish_members,
            MAX_MESH_HOSTS,
        )
        self.host_list = HostList(
            settings.host,
            source,
            ListedHost(settings.listen.peers, self.span, leaving=False),
            lambda rows: self.membership.tell(HostListRead(rows)),
        )
        self.router.connect(self.mesh, self.membership, self.scheduler, self.allocator)
        self.feed.broadcast = self.mesh.broadcast
        self.feed.send_request = self.ask_peer
        self.read_thread = ReadThread()
        self.feed.beside = self.read_thread.call
        self.router.message_handlers[FeedNews] = lambda link, news: (
            self.feed.receive_news(
                news, self.peer_clocks.age_s(link, news.sent_s), link.fleet
            )
        )
        self.router.message_handlers[FleetNamed] = self.mesh.receive_fleet
        self.router.message_handlers[FeedWanted] = self.answer_feed_request
        handlers = self.router.message_handlers
        handlers[ClockWanted] = self.peer_clocks.receive_wanted
        handlers[ClockTold] = self.peer_clocks.receive_told
        handlers[StreamBegan] = self.origins.receive_began
        handlers[OriginWanted] = self.origins.receive_wanted
        handlers[OriginKnown] = self.origins.receive_known
        self.statements = TargetStatements(
            self.scheduler,
            clock,
            tables.rate_limits,
            tables.departures,
            tables.cooldowns,
            tables.brittle,
        )
        self.watch = CallWatcher(clock)
        self.call_memory = CallMemory(settings.answers)
        self.app = RoutedApp(
            codec,
            self.make_proxy(codec),
            self.freshness,
            clock,
            self.metrics,
            settings.limits.threads,
            tables.gate,
        )

    def ask_peer(self, wanted: FeedWanted) -> bool:
        """Send ``wanted`` to a random peer; return False if there is no peer.

        A host that lacks the reader's news asks another one, if there is any.
        """
        links = self.mesh.current()
        if wanted.known is not None:
            readers = self.feed.hosts[:1]
            links = [row for row in links if row.peer not in readers] or links
        return bool(links) and random.choice(links).send(encode(wanted))

    def answer_feed_request(self, link: Link, wanted: FeedWanted) -> None:
        """Send a peer what it lacks of this host's copy of the store's data."""
        self.feed.answer_request(lambda news: link.send(encode(news)), wanted.known)

    def link_up(self, link: Link) -> None:
        """Report a new link to the membership, and ask the peer for missing data."""
        self.membership.tell(LinkUp(link))
        # Before the request for data, whose age is known only after the answer.
        self.peer_clocks.ask(link)
        self.feed.request_state(lambda wanted: link.send(encode(wanted)))
        self.crash_exchange.tell_all(link)

    def record_refused_peer(self, refusal: Refusal) -> None:
        """Count a refused peer; the store may be of its fleet by now."""
        self.metrics.refused_peers.inc({"reason": refusal.value})
        if refusal is Refusal.OTHER_FLEET:
            self.feed.fleet.doubt()

    def knows_targets(self) -> bool:
        """Return whether the list of targets is that of the store, or nearly so."""
        return self.feed.age_s() <= MAX_TARGETS_AGE_S

    def make_heartbeat(self) -> Heartbeat:
        """Return this host's first heartbeat."""
        address = self.settings.listen.peers
        return Heartbeat(
            self.settings.host,
            self.span,
            address,
            self.incarnation,
            False,
            0,
            availability_zone=self.settings.zone,
            cores=self.settings.processor.cores,
            is_gateway=True,
        )

    def make_proxy(self, codec: HeaderCodec) -> RoutedProxy:
        """Return the proxy that dispatches calls to targets."""
        bounds = self.settings.bounds
        budget = RetryBudget(
            RetryLimits(
                bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window_s
            )
        )
        return RoutedProxy(
            codec,
            self.scheduler,
            self.clock,
            self.metrics,
            self.watch,
            budget,
            self.quarantine,
            self.statements,
            self.sharing_hosts.count,
            self.connector,
            self.origins,
            self.call_memory,
            Pace(self.clock),
            self.rollouts,
        )

    def start(self) -> None:
        """Start all components."""
        settings = self.settings
        listen, threads = settings.listen, settings.limits.threads
        self.supervise(self.mesh.turns)
        self.mesh.start_dialling()
        self.stack.callback(self.mesh.close)
        self.binder.bind(self.vital_listener("peers", listen.peers), self.mesh.listen)
        self.start_component(self.ticker, self.scheduler)
        self.start_component(self.allocator_ticker, self.allocator)
        heartbeat_s = settings.peers.heartbeat_s
        self.start_component(Ticker(self.clock, heartbeat_s), self.membership)
        self.start_component(self.watch)
        self.read_thread.start()
        self.start_component(self.feed)
        self.start_component(self.crash_recorder)
        self.start_component(self.origins.recorder)
        if self.status_writer is not None:
            self.start_component(self.status_writer)
        threading.Thread(target=self.poll_host_list, name="hosts", daemon=True).start()
        callers = self.vital_listener("callers", listen.callers)
        self.serve(self.app, callers, threads, prepare=self.prepare_caller_server)
        readiness = self.vital_listener("readiness", listen.readiness)
        readiness_app = ReadinessApp(self.ready)
        self.serve(readiness_app, readiness, ADMIN_THREADS, is_brief=True)
        self.serve_status()
        # A signal that told of a change during the start has been ignored.
        self.reload_if_changed()
        log.info(
            "The host serves",
            extra={"host": settings.host, "incarnation": self.incarnation},
        )

    def serve_status(self) -> None:
        """Serve status and metrics, where the settings name addresses for them."""
        listen = self.settings.listen
        addresses = {"operators": listen.operators, "metrics": listen.metrics}
        if listen.metrics == listen.operators:
            del addresses["metrics"]
        for name, address in addresses.items():
            if address:
                listener = self.spare_listener(name, address)
                self.serve(StatusApp(self), listener, ADMIN_THREADS, is_brief=True)

    def prepare_caller_server(self, server: BoundedServer) -> None:
        """Set up the server of callers before it runs."""
        limits = self.settings.limits
        server.memory = self.call_memory
        server.connections.count = self.count_connection
        connections, calls = share_descriptors(limits.connections, limits.threads)
        server.max_connections = connections
        server.max_busy = max(1, int(calls * NEW_CONNECTION_FRACTION))
        self.caller_server = server

    def count_connection(self, event: ConnectionEvent) -> None:
        """Count what became of a caller's new connection."""
        self.metrics.connections.inc({"event": event.value})

    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this host."""
        known = self.app.in_force.document.version >= 0
        current = self.freshness.is_fresh(self.clock.boottime())
        return (
            known
            and current
            and self.peer_discovery_done()
            and self.has_read_crashes()
            and self.caller_server is not None
            and not self.stopping.is_set()
        )

    def has_read_crashes(self) -> bool:
        """Return whether the recorded crashes were read, or waited for long enough.

        A host that does not know them sends requests that crash targets to more of
        them. While the store is away, no host could serve.
        """
        waited_s = self.clock.monotonic() - self.started
        return self.crash_recorder.is_read or waited_s > CRASHES_TIMEOUT_S

    def peer_discovery_done(self) -> bool:
        """Return whether a peer was found or the search has timed out.

        A host that knows no peer acts as the allocator of its region. If callers
        reached it beside the real allocator, targets would be given twice as many
        calls as they have slots.
        """
        waited_s = self.clock.monotonic() - self.started
        return bool(self.mesh.current()) or waited_s > PEER_DISCOVERY_TIMEOUT_S

    def drain(self) -> None:
        """Report this host as not ready to the load balancer, and finish open calls.

        Until the load balancer has noticed, calls on new connections are still
        served. Later calls are refused, which leaves the rest of the grace period to
        the open calls. Peers and the store are told meanwhile, and not waited for.
        """
        schedule = make_stop_schedule(self.stop_requested, self.settings.bounds.grace_s)
        log.info("The host is draining", extra={"open_calls": self.app.open_calls})
        self.watch.stop_times = schedule.calls
        self.membership.tell(Leave())
        if self.caller_server is not None:
            self.caller_server.closing = True
            self.sleep_until(schedule.intake_ends)
        self.app.refusing = True
        self.gateway.is_stopping = True
        until = schedule.exit_at
        self.wait_until_idle(self.has_open_calls, until)
        if self.caller_server is not None:
            self.close_connections(self.caller_server, self.has_open_calls, until)

    def has_open_calls(self) -> bool:
        """Return whether any call is waiting, running or being answered.

        Calls of other hosts that lead through this one count too.
        """
        return (
            self.app.open_calls > 0
            or self.gateway.open_tunnels > 0
            or self.count_unfinished_calls() > 0
        )

    def reload(self) -> None:
        """Reload the settings file, and apply what can change without a restart."""
        self.file_text = read_settings_text(self.path)
        try:
            settings = read_changed_settings(
                self.path, self.ignored, self.settings.bounds
            )
        except InvalidInput as error:
            log.warning(
                "The settings file is invalid; the previous settings stay",
                extra={"error": str(error)},
            )
            return
        self.mesh.seeds = frozenset(settings.peers.seeds) - {self.mesh.address}
        if settings.store.address != self.settings.store.address:
            self.use_store(settings.store.address)
        self.freshness.max_age_s = settings.bounds.revoke_s
        self.freshness.change_s = settings.bounds.change_s
        self.settings = settings
        log.info("The settings were reloaded", extra={"host": settings.host})

    def use_store(self, address: str) -> None:
        """Follow the store at ``address``, which may be that of another fleet."""
        log.info("The settings name another store", extra={"address": address})
        self.source.use(address)
        self.feed.fleet.doubt()

    def reload_if_changed(self) -> None:
        """Reload the settings if the content of the file has changed.

        The file may be changed without a SIGHUP.
        """
        text = read_settings_text(self.path)
        if text and text != self.file_text:
            self.reload()

    def publish_view(self, view: StoreView) -> None:
        """Apply the current state of the store on this host."""
        clock_offset_s = self.clock.monotonic() - self.clock.boottime()
        state = make_config_state(view, self.span, clock_offset_s)
        # Targets first: calls on a new route may arrive as soon as it is active.
        self.scheduler.tell(NewConfig(state))
        self.allocator.tell(NewConfig(state))
        places = {row.address: Zone(row.place) for row in state.targets.values()}
        self.connector.set_places(places)
        self.gateway.set_targets(places)
        self.origins.update_targets(
            [StreamOrigin(row.service, row.release) for row in view.targets]
        )
        self.quarantine.update_targets(
            {
                row.name: TargetPresence(
                    str(row.started_ms),
                    row.leaving,
                    view.document.health_path(row.service),
                )
                for row in view.targets
            }
        )
        if view.document is not self.app.in_force.document:
            self.app.in_force = index_document(view.document)
        self.metrics.config_offset.set({}, view.document.version)

    def publish_members(self, message: HostsChanged | TargetsLeaving) -> None:
        """Report a membership change to the scheduler and the allocator."""
        self.scheduler.tell(message)
        self.allocator.tell(message)
        if isinstance(message, HostsChanged):
            gone = set(self.hosts) - set(message.hosts)
            new = set(message.hosts) - set(self.hosts)
            self.hosts = message.hosts
            self.sharing_hosts.update(message.hosts)
            self.origins.update_hosts(message.hosts)
            self.crash_exchange.hubs = self.origins.hubs = message.hubs
            self.feed.hosts = message.allocators
            self.connector.set_peers(message.peers)
            self.mesh.known_addresses = frozenset(row.address for row in message.peers)
            extra = {
                "hosts": len(message.hosts),
                "new": sorted(new),
                "gone": sorted(gone),
                "allocators": list(message.allocators[:MAX_LOGGED_HOSTS]),
            }
            log.info("The set of live hosts has changed", extra=extra)

    def poll_host_list(self) -> None:
        """Maintain this host's entry in the host list, and reload changed settings.

        The same thread marks the entry as leaving at a stop, as an entry that is
        written meanwhile would say that the host stays.
        """
        # Most peers are found through the seeds within this time.
        self.clock.wait(self.stopping, FIRST_POLL_S)
        turns = self.supervise(Turns("hosts", self.clock))
        turns.loop(self.stopping, lambda: self.update_host_list(turns))
        turns.loop(self.host_list.left, self.host_list.leave)

    def update_host_list(self, turns: Turns) -> float:
        """Run one turn; return the seconds until the next one."""
        turns.run(self.reload_if_changed)
        return self.host_list.update(bool(self.mesh.current()), self.feed.hosts)


def call_later(delay_s: float, function: Callable[[], None]) -> None:
    """Call ``function`` after ``delay_s`` seconds, in a thread of its own."""
    timer = threading.Timer(delay_s, function)
    timer.daemon = True
    try:
        timer.start()
    except RuntimeError as error:
        log.warning("No thread for a delayed call", extra={"error": str(error)})


def read_settings_text(path: Path) -> str:
    """Return the content of ``path``; empty if it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        log.warning("The settings file could not be read", extra={"error": str(error)})
        return ""
    if not text:
        log.warning("The settings file is empty", extra={"path": str(path)})
    return text


def run_routing_host(
    path: Path,
    file_text: str,
    settings: RoutedSettings,
    make_source: Callable[[RoutedSettings], Source],
    codec: HeaderCodec,
) -> None:
    """Run one host until SIGTERM or SIGINT, then drain and exit."""
    source = make_source(settings)
    host = RoutingHost(path, file_text, settings, source, codec, Clock())
    host.handle_signals()
    watch_threads(CRITICAL_THREADS, host.fail)
    host.run()
    host.exit()
