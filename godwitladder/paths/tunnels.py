"""Opens tunnels: connections to targets that lead through another host, the gateway.

The entry host speaks to the target through a tunnel as through a connection of its
own, so all that holds for a call (one dispatch, its deadline, quotas, budgets) is
decided where the caller is connected. The gateway forwards bytes and decides nothing.
"""

import asyncio
import socket
from typing import Any

from websockets.exceptions import WebSocketException

from godwitladder.findings import GodwitladderError
from godwitladder.ids import HostId
from godwitladder.membership.codec import InvalidMessage, decode, encode
from godwitladder.membership.links import HandshakeFailed
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Peer
from godwitladder.paths.messages import TunnelAnswer, TunnelOutcome, TunnelRequest
from godwitladder.paths.splicing import READ_BYTES, Splice, StreamEnd


class TunnelRefused(GodwitladderError):
    """The gateway did not open the tunnel.

    Parameters
    ----------
    answer : TunnelAnswer
        The gateway's answer.
    """

    def __init__(self, answer: TunnelAnswer) -> None:
        super().__init__(answer.outcome.value)
        self.answer = answer


class TunnelFailed(GodwitladderError):
    """The gateway could not be reached, or did not answer in time."""


class TunnelSocket(socket.socket):
    """The entry host's end of a tunnel.

    Attributes
    ----------
    gateway : HostId
        The host through which the tunnel leads.
    end : StreamEnd or None
        How the target's connection has ended; None while it is open here.
    """

    gateway = HostId("")
    end: StreamEnd | None = None

    def recv_into(self, *args) -> int:
        """Receive bytes.

        Raises
        ------
        ConnectionResetError
            The target's connection was reset, or the tunnel broke. An answer without
            a stated length would otherwise end here and look complete.
        """
        count = super().recv_into(*args)
        if count == 0 and self.end in (StreamEnd.RESET, StreamEnd.BROKEN):
            raise ConnectionResetError(f"{self.end.value}, through {self.gateway}")
        return count


class Tunnels:
    """Opens tunnels through other hosts.

    Parameters
    ----------
    mesh : Mesh
        Connects to other hosts; its event loop runs the tunnels.
    """

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.tasks: set[asyncio.Task] = set()

    def open(
        self, gateway: Peer, request: TunnelRequest, timeout_s: float
    ) -> TunnelSocket:
        """Return a new tunnel through ``gateway``; callable from any other thread.

        Raises
        ------
        TunnelRefused
            The gateway has no path to the target, or can't help.
        TunnelFailed
            There was no answer within ``timeout_s``.
        """
        opening = self._open(gateway, request)
        try:
            future = asyncio.run_coroutine_threadsafe(opening, self.mesh.loop)
        except RuntimeError as error:
            opening.close()
            raise TunnelFailed("the host stops") from error
        try:
            return future.result(timeout_s)
        except TimeoutError as error:
            if not future.cancel() and not future.exception():
                future.result().close()
            raise TunnelFailed(f"no answer of {gateway.host} in time") from error
        except (WebSocketException, InvalidMessage, HandshakeFailed, OSError) as error:
            raise TunnelFailed(f"no tunnel through {gateway.host}: {error}") from error

    async def _open(self, gateway: Peer, request: TunnelRequest) -> TunnelSocket:
        connection = await self.mesh.open_tunnel_connection(gateway.address)
        try:
            await connection.send(encode(request))
            answer = decode(await connection.recv())
            if not isinstance(answer, TunnelAnswer):
                raise HandshakeFailed(f"expected TunnelAnswer, found {answer!r}")
            if answer.outcome is not TunnelOutcome.OPEN:
                raise TunnelRefused(answer)
            return await self._start(gateway, connection)
        except BaseException:
            connection.transport.abort()
            raise

    async def _start(self, gateway: Peer, connection: Any) -> TunnelSocket:
        """Start to forward bytes, and return the end for the call."""
        near, far = socket.socketpair()
        tunnel = TunnelSocket(fileno=near.detach())
        tunnel.gateway = gateway.host
        try:
            streams = await asyncio.open_connection(sock=far, limit=READ_BYTES)
        except BaseException:
            tunnel.close()
            far.close()
            raise
        task = asyncio.ensure_future(self._run(tunnel, connection, *streams))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return tunnel

    async def _run(
        self,
        tunnel: TunnelSocket,
        connection: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward bytes until either end closes."""
        end = StreamEnd.BROKEN
        try:
            end = await Splice(connection, reader, writer).run(self.mesh.clock)
        finally:
            # Before the call reads the end of the stream.
            tunnel.end = end
            writer.close()
