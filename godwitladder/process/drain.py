"""Helpers for the graceful stop of an HTTP server."""

import concurrent.futures
import select
from collections.abc import Callable

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer

from godwitladder.logs import component_logger

log = component_logger("drain")

LOOP_TIMEOUT_S = 2.0
"""Longest wait for the server's loop, which runs nothing that blocks."""


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
    accepted = run_in_loop(server, accept_all_and_close)
    log.info(
        "The listener has closed",
        extra={"accepted_last": accepted, "open": len(server.active_channels)},
    )


def accept_all_and_close(server: TcpWSGIServer) -> int:
    """Accept the connections in the backlog and close the listener, in its loop.

    The kernel resets what is in the backlog as the socket closes. Closed by
    another thread, the socket would live on until the loop's poll returns: on the
    next connection, which would be reset.

    Returns
    -------
    int
        Number of connections accepted.
    """
    accepted = 0
    # Without file descriptors left, a connection stays in the backlog.
    while is_readable(server) and accepted < server.adj.backlog:
        server.handle_accept()
        accepted += 1
    wasyncore.dispatcher.close(server)
    return accepted


def close_idle(server: TcpWSGIServer) -> int:
    """Close the connections without a request; return how many are left.

    At the end of the process the kernel would reset a connection on which a
    request has arrived meanwhile. Only the loop reads requests, so that a
    connection found idle there has none.
    """
    left = run_in_loop(server, close_idle_channels)
    return len(server.active_channels) if left is None else left


def close_idle_channels(server: TcpWSGIServer) -> int:
    """Do what `close_idle` does, in the server's loop."""
    for channel in list(server.active_channels.values()):
        if not is_busy(channel) and not is_readable(channel):
            channel.handle_close()
    return len(server.active_channels)


def is_readable(dispatcher: wasyncore.dispatcher) -> bool:
    """Return whether the socket has a connection, bytes or an end to be read."""
    poll = select.poll()
    poll.register(dispatcher.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def run_in_loop(
    server: TcpWSGIServer, function: Callable[[TcpWSGIServer], int]
) -> int | None:
    """Run ``function`` in the thread of the server's loop.

    Returns
    -------
    int or None
        Its result; None if the loop did not get to it in time.
    """
    done = concurrent.futures.Future()

    def call() -> None:
        try:
            done.set_result(function(server))
        except Exception as error:
            done.set_exception(error)

    try:
        server.trigger.pull_trigger(call)
        return done.result(LOOP_TIMEOUT_S)
    except (TimeoutError, OSError) as error:
        log.warning(
            "The listener's loop did not finish a step of the stop",
            extra={"step": function.__name__, "error": repr(error)},
        )
        return None
