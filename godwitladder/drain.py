"""Helpers for the graceful stop of an HTTP server."""

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer


def count_unfinished(server: TcpWSGIServer) -> int:
    """Return the number of connections with a request or response in progress.

    A response is in progress until its last byte has left the process, which may
    be long after the application has returned it. If a caller reads slowly, up to
    the whole response is still in the server's buffer, and would be truncated if
    the process ended.
    """
    channels = list(server.active_channels.values())
    return sum(is_busy(channel) for channel in channels)


def is_busy(channel: HTTPChannel) -> bool:
    """Return whether a connection has a request or a response in progress."""
    arriving = channel.request is not None
    return arriving or bool(channel.requests) or channel.total_outbufs_len > 0


def stop_accepting(server: TcpWSGIServer) -> None:
    """Close the listening socket and keep the open connections.

    The ``close`` method of the server would also close the trigger with which
    threads wake the server's loop to write their output.
    """
    wasyncore.dispatcher.close(server)
