"""Forwards the bytes of a connection to a target over a connection between hosts.

Each end of a tunnel forwards between its stream and the websocket to the other end.
A side that doesn't read stops the other side after some buffers, so that a slow
caller takes a bounded amount of memory on both hosts.
"""

import asyncio
import enum
from typing import Any

from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from godwitladder.clock import Clock

READ_BYTES = 32_768
"""Most bytes that are forwarded in one message, and that a stream reads ahead."""
PING_INTERVAL_S = 0.5
MAX_SILENT_INTERVALS = 4
"""A gateway that freezes or is cut off sends nothing; its tunnels end after so many
intervals, and what may be repeated is sent another way. Intervals are counted instead
of seconds, so that a pause of this process counts once."""
RESET_CODE = 4000
"""Close code, from the range for private use, of a stream that was reset."""


class StreamEnd(enum.Enum):
    """How the stream at the far end of a tunnel has ended."""

    ORDERLY = "orderly"
    RESET = "reset"
    BROKEN = "broken"


ENDS = {CloseCode.NORMAL_CLOSURE: StreamEnd.ORDERLY, RESET_CODE: StreamEnd.RESET}
"""The end that a close code tells. Any other, also that of a server that goes away,
is an end of the tunnel and not of the stream."""
CLOSE_CODES = {end: code for code, end in ENDS.items()}


class Splice:
    """Forwards bytes between a stream and a connection to another host.

    Parameters
    ----------
    connection : websockets connection
        Leads to the other end of the tunnel.
    reader, writer : StreamReader, StreamWriter
        The stream at this end.

    Attributes
    ----------
    is_heard : bool
        Whether anything has arrived since the last ping.
    is_blocked : bool
        Whether this end waits for its stream, or the connection, to take data. Pongs
        then wait behind the data, so their absence says nothing.
    """

    def __init__(
        self,
        connection: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connection = connection
        self.reader = reader
        self.writer = writer
        self.is_heard = True
        self.is_blocked = False

    async def run(self, clock: Clock | None = None) -> StreamEnd | None:
        """Forward bytes in both directions until either end closes; then close both.

        Parameters
        ----------
        clock : Clock or None
            Paces pings of the other end; None for no pings.

        Returns
        -------
        StreamEnd or None
            How the far stream ended; None if the one at this end did first.
        """
        outgoing = asyncio.ensure_future(self._send_all())
        tasks = {outgoing, asyncio.ensure_future(self._receive_all())}
        if clock is not None:
            tasks.add(asyncio.ensure_future(self._await_silence(clock)))
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            code = self.connection.close_code
            if code is not None:
                return ENDS.get(code, StreamEnd.BROKEN)
            if outgoing.done() and outgoing.result() in CLOSE_CODES:
                await self.connection.close(CLOSE_CODES[outgoing.result()])
                return None
            return StreamEnd.BROKEN
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.connection.transport.abort()

    async def _send_all(self) -> StreamEnd:
        """Send what the stream yields; return how it ended."""
        try:
            while data := await self.reader.read(READ_BYTES):
                self.is_blocked = True
                await self.connection.send(data)
                self.is_blocked = False
        except ConnectionClosed:
            return StreamEnd.BROKEN
        except OSError:
            return StreamEnd.RESET
        return StreamEnd.ORDERLY

    async def _receive_all(self) -> None:
        """Write to the stream what arrives, until the far end closes."""
        try:
            async for data in self.connection:
                self.is_heard = True
                self.writer.write(data)
                self.is_blocked = True
                await self.writer.drain()
                self.is_blocked = False
        except (OSError, ConnectionClosed):
            # The close code of the connection tells how it ended.
            return

    async def _await_silence(self, clock: Clock) -> None:
        """Return once the other end has been silent for too many intervals."""
        silent = 0
        while silent < MAX_SILENT_INTERVALS:
            if await self._send_ping():
                await clock.async_sleep(PING_INTERVAL_S)
            silent = 0 if self.is_heard or self.is_blocked else silent + 1
            self.is_heard = False

    async def _send_ping(self) -> bool:
        """Send a ping; return whether that took less than an interval."""
        try:
            async with asyncio.timeout(PING_INTERVAL_S):
                pong = await self.connection.ping()
        except TimeoutError:
            return False
        except ConnectionClosed:
            return True
        pong.add_done_callback(self._record_pong)
        return True

    def _record_pong(self, pong: asyncio.Future) -> None:
        """Record that a pong has arrived, unless the connection closed instead."""
        if not pong.cancelled() and pong.exception() is None:
            self.is_heard = True
