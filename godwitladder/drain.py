"""What a planned stop has to know of an HTTP server: is anything unfinished?"""

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer


def count_unfinished(server: TcpWSGIServer) -> int:
    """Return how many connections have a request or an answer under way.

    An answer is under way until its last byte has left the process. The
    application is done with it much earlier: a caller that reads slowly has
    up to a whole answer standing in the server's buffer, and a process that
    ended then would cut it off.
    """
    channels = list(server.active_channels.values())
    return sum(is_busy(channel) for channel in channels)


def is_busy(channel: HTTPChannel) -> bool:
    """Return whether a connection holds part of a request or of an answer."""
    arriving = channel.request is not None
    return arriving or bool(channel.requests) or channel.total_outbufs_len > 0


def stop_accepting(server: TcpWSGIServer) -> None:
    """Close the listening socket; connections that are open go on.

    The server's own ``close`` would also close the trigger by which threads
    tell its loop that there is something to write.
    """
    wasyncore.dispatcher.close(server)
