"""The gateway of tunnels: connects other hosts to targets that this host reaches.

A gateway connects directly only, so tunnels can't form a chain or a loop, and only to
targets that it knows, so that it is no way to any other address.
"""

import asyncio
from collections.abc import Callable, Collection
from typing import Any

from websockets.exceptions import WebSocketException

from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.membership.codec import InvalidMessage, decode, encode
from godwitladder.paths.connector import MAX_TUNNEL_S, Connector
from godwitladder.paths.messages import TunnelAnswer, TunnelOutcome, TunnelRequest
from godwitladder.paths.splicing import READ_BYTES, Splice

log = component_logger("paths")

REQUEST_TIMEOUT_S = 1.0
MAX_TUNNELS = 64
"""Bounds what this host forwards, since its own callers share its processor."""
CLOSE_TIMEOUT_S = 30.0
"""Time for the other end to read the rest after the target's end: a caller may pause,
and a connection that acknowledges nothing for as long is dropped anyway."""
MAX_LISTED_PATHS = 64
"""Limit on the addresses in an answer."""


class Gateway:
    """Serves tunnels of other hosts on the event loop of the mesh.

    Parameters
    ----------
    connector : Connector
        Records which targets this host reaches.
    count_tunnels : callable
        Called with the number of open tunnels whenever it changes.

    Attributes
    ----------
    targets : frozenset of str
        Addresses of the known targets.
    is_stopping : bool
        Whether new tunnels are refused because this host is about to stop.
    open_tunnels : int
        Number of open tunnels.
    """

    def __init__(
        self, connector: Connector, count_tunnels: Callable[[int], None]
    ) -> None:
        self.connector = connector
        self.count_tunnels = count_tunnels
        self.targets: frozenset[str] = frozenset()
        self.is_stopping = False
        self.open_tunnels = 0

    def set_targets(self, addresses: Collection[str]) -> None:
        """Set the addresses of the known targets."""
        self.targets = frozenset(addresses)

    async def serve(self, connection: Any, origin: HostId) -> None:
        """Serve one tunnel of the host ``origin`` until it ends."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = decode(await connection.recv())
        except (TimeoutError, WebSocketException, InvalidMessage, OSError) as error:
            log.warning(
                "No request for a tunnel came",
                extra={"peer": origin, "error": repr(error)},
            )
            return
        if not isinstance(request, TunnelRequest):
            log.warning("Not a request for a tunnel", extra={"peer": origin})
            return
        self.add_tunnels(1)
        try:
            await self.answer(connection, origin, request)
        except (WebSocketException, OSError) as error:
            log.info("A tunnel broke", extra={"peer": origin, "error": str(error)})
        finally:
            self.add_tunnels(-1)

    def add_tunnels(self, count: int) -> None:
        """Add to the number of open tunnels."""
        self.open_tunnels += count
        self.count_tunnels(self.open_tunnels)

    async def answer(
        self, connection: Any, origin: HostId, request: TunnelRequest
    ) -> None:
        """Connect to the target and forward bytes, or say why not."""
        streams, outcome = None, self.refusal(request)
        if outcome is None:
            streams = await self.connect(request.address)
            outcome = TunnelOutcome.OPEN if streams else TunnelOutcome.NO_PATH
        extra = {"peer": origin, "address": request.address, "outcome": outcome.value}
        log.info("A tunnel was requested", extra=extra)
        lost = self.connector.lost_paths(MAX_LISTED_PATHS)
        try:
            await connection.send(encode(TunnelAnswer(outcome, lost)))
            if streams:
                connection.close_timeout = CLOSE_TIMEOUT_S
                # The deadline of the call, which its own host also keeps.
                async with asyncio.timeout(tunnel_life_s(request)):
                    await Splice(connection, *streams).run()
        except TimeoutError:
            log.info("A tunnel outlived its call", extra=extra)
        finally:
            if streams:
                streams[1].transport.abort()

    def refusal(self, request: TunnelRequest) -> TunnelOutcome | None:
        """Return why no connection is tried; None if one may be."""
        if self.is_stopping:
            return TunnelOutcome.STOPPING
        if self.open_tunnels > MAX_TUNNELS:
            return TunnelOutcome.FULL
        if request.address not in self.targets:
            return TunnelOutcome.UNKNOWN_TARGET
        if not self.connector.take_probe(request.address):
            return TunnelOutcome.NO_PATH
        return None

    async def connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Return the streams of a new connection; None if there is no path."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self.connector.timeouts.before_tunnel_s):
                streams = await asyncio.open_connection(
                    host, int(port), limit=READ_BYTES
                )
        except (TimeoutError, OSError) as error:
            self.connector.record_failed(address, error)
            return None
        self.connector.record_connected(address)
        return streams


def tunnel_life_s(request: TunnelRequest) -> float:
    """Return the longest life in seconds of the tunnel that is requested.

    A time that is no number, or too long, would keep a place of this host for ever.
    """
    is_short = request.timeout_s <= MAX_TUNNEL_S
    return request.timeout_s if is_short else MAX_TUNNEL_S
