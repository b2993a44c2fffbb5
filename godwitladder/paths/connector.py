"""Connects calls to their targets, directly or through another host.

A host whose own path to a target is lost reaches it through a tunnel, so that its
callers are served as those of other hosts are. Meanwhile it tries the direct path
about once a second beside a tunnel, at no cost to the call.
"""

import errno
import random
import select
import socket
import threading
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from urllib3.connection import HTTPConnection

from godwitladder.clock import Clock
from godwitladder.decisions.placing.paths import Gateways, PathTable, order_gateways
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.bounded_http import DEFAULT_LIMITS, bounded_connection
from godwitladder.engines.wire import NoConnection, NoDescriptor, connect
from godwitladder.ids import HostId, Zone
from godwitladder.logs import component_logger
from godwitladder.membership.messages import Peer
from godwitladder.metrics import Metrics
from godwitladder.paths.messages import TunnelOutcome, TunnelRequest
from godwitladder.paths.splicing import StreamEnd
from godwitladder.paths.tunnels import (
    TunnelFailed,
    TunnelRefused,
    Tunnels,
    TunnelSocket,
)

log = component_logger("paths")

NO_ZONE = Zone("")
MAX_GATEWAYS_TRIED = 4
MIN_TUNNEL_S = 0.1
MAX_TUNNEL_S = 3600.0
"""Longest life of a tunnel for a call whose deadline is kept by its host alone."""


class UntriedGateways(NoConnection):
    """The gateways that were asked opened no tunnel, but others may do so now.

    It says nothing about the target.
    """


@dataclass(frozen=True)
class ConnectTimeouts:
    """How long to wait for a connection to a target, in seconds.

    Connecting within a region takes 1 to 5 ms. A target that does not accept in time
    is overloaded or down, and another target can still meet the deadline.

    Attributes
    ----------
    only_way_s : float
        Where there is no other way.
    before_tunnel_s : float
        Where a tunnel may be opened instead; also for a gateway.
    tunnel_s : float
        For a gateway to answer, whose own attempt is a part of it.
    round_s : float
        After which no further gateway is asked: the call holds a slot meanwhile, and
        its target may have begun to leave.
    """

    only_way_s: float = 0.3
    before_tunnel_s: float = 0.1
    tunnel_s: float = 0.25
    round_s: float = 0.5


@dataclass(frozen=True)
class TargetConnection:
    """An open connection to a target.

    Attributes
    ----------
    http : HTTPConnection
        The connection.
    tunnel : TunnelSocket or None
        Its socket if it leads through another host.
    """

    http: HTTPConnection
    tunnel: TunnelSocket | None = None

    @property
    def gateway(self) -> HostId:
        """The host through which the connection leads; empty for none."""
        return self.tunnel.gateway if self.tunnel else HostId("")

    @property
    def is_broken(self) -> bool:
        """Whether the way through another host broke."""
        return self.tunnel is not None and self.tunnel.end is StreamEnd.BROKEN


class Connector:
    """Connects calls to their targets.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    metrics : Metrics
        The metrics to update.
    availability_zone : Zone
        Availability zone of this host.
    tunnels : Tunnels or None
        Opens tunnels; None if all connections are direct.
    timeouts : ConnectTimeouts
        Limits of the time to connect.
    limits : AnswerLimits
        Limits on the answers that connections read.

    Attributes
    ----------
    paths : PathTable
        The targets that this host reaches directly, guarded by ``lock``.
    gateways : Gateways
        What is known of other hosts as gateways, guarded by ``lock``.
    peers : tuple of Peer
        The other live hosts.
    places : dict
        Availability zone of each target, by its address.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        availability_zone: Zone = NO_ZONE,
        tunnels: Tunnels | None = None,
        timeouts: ConnectTimeouts = ConnectTimeouts(),
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self.timeouts = timeouts
        self.limits = limits
        self.clock = clock
        self.metrics = metrics
        self.availability_zone = availability_zone
        self.tunnels = tunnels
        self.paths = PathTable()
        self.gateways = Gateways()
        self.peers: tuple[Peer, ...] = ()
        self.places: dict[str, Zone] = {}
        self.lock = threading.Lock()

    def connect(
        self, address: str, read_timeout_s: float, left_s: float
    ) -> TargetConnection:
        """Return a new open connection to the target at ``address``.

        Parameters
        ----------
        read_timeout_s : float
            Longest silence of the target, in seconds.
        left_s : float
            Seconds until the call's deadline.

        Raises
        ------
        UntriedGateways
            Gateways were asked and failed; others may lead to the target.
        NoConnection
            The connection could not be established.
        NoDescriptor
            This host has no descriptor for it, and none for a tunnel either.
        """
        has_gateways = self.tunnels is not None and bool(self.peers)
        if not has_gateways or not self.is_lost(address):
            times = self.timeouts
            timeout_s = times.before_tunnel_s if has_gateways else times.only_way_s
            try:
                return self.connect_directly(address, read_timeout_s, timeout_s)
            except NoDescriptor:
                raise
            except NoConnection:
                if not has_gateways:
                    raise
        probe = self.start_probe(address)
        tunnel = self.open_tunnel(address, left_s)
        direct = self.finish_probe(address, probe, wait=tunnel is None)
        if direct is not None:
            if tunnel is not None:
                tunnel.close()
            http = _wrap(direct, address, read_timeout_s, self.limits)
            return TargetConnection(http)
        if tunnel is None:
            with self.lock:
                cause = self.paths.last_error(address)
            is_open = bool(self.choose_gateways(address))
            kind = UntriedGateways if is_open else NoConnection
            raise kind(f"no path to {address}") from cause
        http = _wrap(tunnel, address, read_timeout_s, self.limits)
        return TargetConnection(http, tunnel)

    def dial(self, address: str, read_timeout_s: float) -> HTTPConnection:
        """Return a new open connection to the target at ``address``.

        Raises
        ------
        NoConnection
            The connection could not be established.
        """
        return self.connect(address, read_timeout_s, MAX_TUNNEL_S).http

    def connect_directly(
        self, address: str, read_timeout_s: float, timeout_s: float
    ) -> TargetConnection:
        """Return a new direct connection.

        Raises
        ------
        NoConnection
            The connection could not be established within ``timeout_s``.
        """
        try:
            connection = connect(address, read_timeout_s, timeout_s, self.limits)
        except NoDescriptor:
            # This says nothing of the path.
            raise
        except NoConnection as error:
            self.record_failed(address, error)
            raise
        self.record_connected(address)
        return TargetConnection(connection)

    def open_tunnel(self, address: str, left_s: float) -> TunnelSocket | None:
        """Return a tunnel to the target; None if no gateway opens one."""
        outcomes = set()
        deadline = self.clock.monotonic() + left_s
        give_up_at = self.clock.monotonic() + self.timeouts.round_s
        for gateway in self.choose_gateways(address):
            now = self.clock.monotonic()
            if now > give_up_at:
                break
            request = TunnelRequest(address, max(MIN_TUNNEL_S, deadline - now))
            result = self.ask_gateway(gateway, request)
            if isinstance(result, TunnelSocket):
                extra = {"address": address, "gateway": gateway.host}
                log.info("A connection leads through another host", extra=extra)
                self.record_round(address, is_reached=True)
                return result
            outcomes.add(result)
        # A gateway that is full or fails says nothing about the target.
        if outcomes == {TunnelOutcome.NO_PATH}:
            self.record_round(address, is_reached=False)
        return None

    def ask_gateway(
        self, gateway: Peer, request: TunnelRequest
    ) -> TunnelSocket | TunnelOutcome | None:
        """Return a tunnel, or why the gateway opened none; None if it failed."""
        extra = {"address": request.address, "gateway": gateway.host}
        try:
            return self.tunnels.open(gateway, request, self.timeouts.tunnel_s)
        except TunnelRefused as error:
            answer = error.answer
            log.info(
                "A gateway can't help", extra=extra | {"outcome": answer.outcome.value}
            )
            now = self.clock.monotonic()
            with self.lock:
                self.gateways.record_refused(gateway.host, request.address, answer, now)
            return answer.outcome
        except TunnelFailed as error:
            log.info("A gateway failed", extra=extra | {"error": str(error)})
            with self.lock:
                self.gateways.record_failed(gateway.host, self.clock.monotonic())
            return None

    def record_broken(self, gateway: HostId) -> None:
        """Record that a tunnel through ``gateway`` broke; others are asked first."""
        log.info("A tunnel broke during a call", extra={"gateway": gateway})
        with self.lock:
            self.gateways.record_failed(gateway, self.clock.monotonic())

    def record_round(self, address: str, is_reached: bool) -> None:
        """Record whether any of the gateways that were asked reaches a target."""
        with self.lock:
            self.paths.record_round(address, is_reached, self.clock.monotonic())
        self.metrics.tunnels.inc({"outcome": "open" if is_reached else "no_path"})

    def choose_gateways(self, address: str) -> Sequence[Peer]:
        """Return the gateways to try, in order; none if it is too early to try."""
        now = self.clock.monotonic()
        target_zone = self.places.get(address, self.availability_zone)
        with self.lock:
            if not self.paths.is_round_due(address, now):
                return ()
            usable = [
                row
                for row in self.peers
                if self.gateways.may_help(row.host, address, now)
            ]
        random.shuffle(usable)
        rows = order_gateways(usable, self.availability_zone, target_zone)
        return rows[:MAX_GATEWAYS_TRIED]

    def start_probe(self, address: str) -> socket.socket | None:
        """Start to connect directly to a target whose path is lost, if that is due."""
        if not self.take_probe(address):
            return None
        host, _, port = address.rpartition(":")
        try:
            probe = socket.socket()
        except OSError as error:
            # No descriptor is left; a call ends, or this one is queued again.
            self.record_failed(address, error)
            return None
        probe.setblocking(False)
        probe.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        probe.connect_ex((host, int(port)))
        return probe

    def finish_probe(
        self, address: str, probe: socket.socket | None, wait: bool
    ) -> socket.socket | None:
        """Return ``probe`` if it is connected; close it if not.

        Parameters
        ----------
        wait : bool
            Whether to wait for it, because there is no other way.
        """
        if probe is None:
            return None
        poll = select.poll()
        poll.register(probe, select.POLLOUT)
        is_ready = poll.poll(self.timeouts.only_way_s * 1000 if wait else 0)
        error = probe.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if is_ready and not error:
            self.record_connected(address)
            return probe
        probe.close()
        self.record_failed(address, OSError(error or errno.ETIMEDOUT, "no connection"))
        return None

    def is_lost(self, address: str) -> bool:
        """Return whether the last direct connection to ``address`` failed."""
        with self.lock:
            return self.paths.is_lost(address)

    def lost_paths(self, limit: int) -> tuple[str, ...]:
        """Return at most ``limit`` targets that this host does not reach directly."""
        with self.lock:
            return tuple(sorted(self.paths.lost)[:limit])

    def take_probe(self, address: str) -> bool:
        """Return whether to try the direct path to ``address`` now."""
        with self.lock:
            return self.paths.take_probe(address, self.clock.monotonic())

    def record_connected(self, address: str) -> None:
        """Record a direct connection, and log it if the path was lost."""
        with self.lock:
            path = self.paths.record_connected(address)
        if path is None:
            return
        lost_s = self.clock.monotonic() - path.since
        extra = {"address": address, "lost_s": round(lost_s, 3)}
        log.info("The direct path to a target is back", extra=extra)
        self.count_lost_paths()

    def record_failed(self, address: str, error: Exception) -> None:
        """Record a failed direct connection, and log it if the path was sound."""
        with self.lock:
            now = self.clock.monotonic()
            is_new = self.paths.record_failed(address, now, error)
            lost = len(self.paths.lost)
        if not is_new:
            return
        extra = {"address": address, "lost_paths": lost, "error": str(error)}
        log.warning("The direct path to a target is lost", extra=extra)
        self.count_lost_paths()

    def set_places(self, places: dict[str, Zone]) -> None:
        """Set the known targets, by address, with their availability zones."""
        self.places = places
        with self.lock:
            self.paths.retain(frozenset(places))
        self.count_lost_paths()

    def set_peers(self, peers: Collection[Peer]) -> None:
        """Set the other live hosts."""
        self.peers = tuple(peers)
        with self.lock:
            self.gateways.retain({row.host for row in peers})

    def count_lost_paths(self) -> None:
        """Update the metric of lost paths."""
        self.metrics.lost_paths.set({}, len(self.paths.lost))


def _wrap(
    sock: socket.socket, address: str, read_timeout_s: float, limits: AnswerLimits
) -> HTTPConnection:
    """Return an HTTP connection over a connected socket."""
    connection = bounded_connection(address, read_timeout_s, limits)
    sock.settimeout(read_timeout_s)
    connection.sock = sock
    return connection
