"""Structured JSON logs: one line per event, with a prefix for each component.

A serving host passes log lines through a bounded queue to a separate thread.
Otherwise a pipe that nobody reads would block every thread that logs, and with
them the serving of callers. Lines above a rate limit are counted and dropped.
"""

import logging
import queue
import sys
import threading

from pythonjsonlogger.json import JsonFormatter

from godwitladder.clock import Clock

MAX_QUEUED_LINES = 2_000
"""Maximum number of queued lines: ten seconds at `LINES_PER_S`."""
LINES_PER_S = 200.0
"""Rate limit: about eight lines for each of 25 calls per second on one host."""
BURST_LINES = 400.0
"""Capacity of the rate limiter's token bucket, in lines."""

WRITTEN_CHECK_INTERVAL_S = 0.01
EXIT_TIMEOUT_S = 0.3
"""Longest wait of a process that ends for its queued lines, in seconds."""


class ComponentLogger(logging.LoggerAdapter):
    """Logger that prefixes each message with the name of its component."""

    def process(self, msg, kwargs):
        """Prefix ``msg``; the call's ``extra`` becomes fields of the JSON line."""
        return f"{self.extra['part']}: {msg}", kwargs


class LineHandler(logging.StreamHandler):
    """Handler that writes lines, and drops those that can't be written.

    Attributes
    ----------
    is_broken : bool
        Whether a line could not be written.
    """

    is_broken = False

    def handleError(self, record: logging.LogRecord) -> None:
        """Report the first line that could not be written; others likely follow."""
        was_broken, self.is_broken = self.is_broken, True
        if not was_broken or not isinstance(sys.exc_info()[1], OSError):
            super().handleError(record)


class BoundedHandler(logging.Handler):
    """Handler that passes records to a writer thread and never blocks.

    Parameters
    ----------
    target : logging.Handler
        Handler that writes the records.
    clock : Clock
        Clock for the rate limit.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the last one written.
    queued, written : int
        Number of lines that were queued, and written, since the start.
    """

    def __init__(self, target: logging.Handler, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.target = target
        self.lines: queue.SimpleQueue[logging.LogRecord] = queue.SimpleQueue()
        self.dropped = 0
        self.queued = 0
        self.written = 0
        self.tokens = BURST_LINES
        self.refilled_at = self.clock.monotonic()

    def start(self) -> None:
        """Start the writer thread."""
        threading.Thread(target=self.run, name="logs", daemon=True).start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it above the rate or queue limit."""
        if not self.take_token() or self.lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.queued += 1
        self.lines.put(record)

    def take_token(self) -> bool:
        """Take one token from the rate limiter; return False if none is left."""
        now = self.clock.monotonic()
        self.tokens += (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(self.tokens, BURST_LINES)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def run(self) -> None:
        """Write queued records until the process ends."""
        while True:
            record = self.lines.get()
            if self.dropped:
                record.dropped_lines, self.dropped = self.dropped, 0
            self.write(record)

    def write(self, record: logging.LogRecord) -> None:
        """Write one record; count it as dropped if that fails.

        A field may be nested too deep to be written. All later lines would be lost
        with it.
        """
        try:
            self.target.handle(record)
        except Exception:
            self.dropped += 1
        self.written += 1

    def drain(self) -> None:
        """Write the queued records before the process ends."""
        while not self.lines.empty():
            self.write(self.lines.get())

    def wait_until_written(self, timeout_s: float) -> None:
        """Wait until the writer thread has written all queued records.

        The wait ends early, as a reader of the log may have stopped reading.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.
        """
        until = self.clock.monotonic() + timeout_s
        while self.written < self.queued and self.clock.monotonic() < until:
            self.clock.sleep(WRITTEN_CHECK_INTERVAL_S)


def component_logger(component: str) -> ComponentLogger:
    """Return the logger of the component named ``component``."""
    return ComponentLogger(
        logging.getLogger(f"godwitladder.{component}"), {"part": component}
    )


def configure_logs(level: str = "INFO") -> None:
    """Send the package's log records to standard error as JSON lines."""
    _set_handler(_json_handler(sys.stderr), level)


def configure_bounded_logs(level: str = "INFO") -> BoundedHandler:
    """Send the package's log records to standard output without ever blocking.

    Returns
    -------
    handler : BoundedHandler
        The started handler; call its ``drain`` before the process ends.
    """
    handler = BoundedHandler(_json_handler(sys.stdout), Clock())
    handler.start()
    _set_handler(handler, level)
    return handler


def flush_logs(timeout_s: float = EXIT_TIMEOUT_S) -> None:
    """Wait for the queued lines of this process, for ``timeout_s`` seconds at most."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            handler.wait_until_written(timeout_s)


def is_first_report(record: logging.LogRecord) -> bool:
    """Return whether a record's error has not been logged before.

    The HTTP server logs every response that raises an error, with a traceback.
    If the response was ended by an error on purpose, the code that raised it has
    already logged the reason and marked the error as logged.
    """
    error = record.exc_info and record.exc_info[1]
    return not getattr(error, "logged", False)


def _json_handler(stream) -> logging.Handler:
    handler = LineHandler(stream)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    handler.addFilter(is_first_report)
    return handler


def _set_handler(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("godwitladder").setLevel(level)
