"""Forwards the bytes of a connection to a target over a connection between hosts.

Each end of a tunnel forwards between its stream and the websocket to the other end.
A side that doesn't read stops the other side after some buffers, so that a slow
caller takes a bounded amount of memory on both hosts.
"""

import asyncio
from typing import Any

from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

READ_BYTES = 32_768
"""Most bytes that are forwarded in one message, and that a stream reads ahead."""


async def splice(
    connection: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Forward bytes in both directions until either end closes; then close both.

    Returns
    -------
    bool
        Whether the far end said that its stream has ended in order. Bytes may be
        missing after any other end.
    """
    outgoing = asyncio.ensure_future(_send_all(reader, connection))
    incoming = asyncio.ensure_future(_receive_all(connection, writer))
    try:
        await asyncio.wait({outgoing, incoming}, return_when=asyncio.FIRST_COMPLETED)
        if not incoming.done() and outgoing.result():
            await connection.close(CloseCode.NORMAL_CLOSURE)
    finally:
        outgoing.cancel()
        incoming.cancel()
        await asyncio.gather(outgoing, incoming, return_exceptions=True)
        connection.transport.abort()
    # A server that goes away closes its connections in order too, with another code.
    return connection.close_code == CloseCode.NORMAL_CLOSURE


async def _send_all(reader: asyncio.StreamReader, connection: Any) -> bool:
    """Send what the stream yields; return whether it ended in order."""
    try:
        while data := await reader.read(READ_BYTES):
            await connection.send(data)
    except (OSError, ConnectionClosed):
        return False
    return True


async def _receive_all(connection: Any, writer: asyncio.StreamWriter) -> None:
    """Write to the stream what arrives, until the far end closes."""
    try:
        async for data in connection:
            writer.write(data)
            await writer.drain()
    except (OSError, ConnectionClosed):
        # The close code of the connection tells how it ended.
        return
