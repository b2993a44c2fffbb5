"""Structured JSON logs: one line an event, with a fixed prefix for each part.

On a host that serves, lines go through a bounded queue to a thread of their
own. A pipe that nobody reads would otherwise stop every thread that logs, and
with it the serving of callers; lines beyond a rate are counted and dropped.
"""

import logging
import queue
import sys
import threading

from pythonjsonlogger.json import JsonFormatter

from godwitladder.clock import Clock

QUEUED_LINES = 2_000
"""Lines that wait to be written: ten seconds at the rate."""
LINES_PER_S = 200.0
"""About eight lines for each call of the busiest host, 25 calls a second."""
BURST_LINES = 400.0


class ComponentLogger(logging.LoggerAdapter):
    """A logger that puts the part's name before each short sentence."""

    def process(self, msg, kwargs):
        """Add the prefix to ``msg`` and keep ``extra`` as JSON fields."""
        return f"{self.extra['part']}: {msg}", kwargs


class BoundedHandler(logging.Handler):
    """Hands lines to a thread that writes them; never blocks.

    Parameters
    ----------
    target : logging.Handler
        Writes the lines.
    clock : Clock
        By which the rate is kept.
    """

    def __init__(self, target: logging.Handler, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.target = target
        self.lines: queue.SimpleQueue[logging.LogRecord] = queue.SimpleQueue()
        self.dropped = 0
        self.budget = BURST_LINES
        self.refilled = self.clock.monotonic()

    def start(self) -> None:
        """Start the thread that writes."""
        threading.Thread(target=self.run, name="logs", daemon=True).start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        if not self.take() or self.lines.qsize() >= QUEUED_LINES:
            self.dropped += 1
            return
        self.lines.put(record)

    def take(self) -> bool:
        """Return whether the rate allows one more line."""
        now = self.clock.monotonic()
        self.budget += (now - self.refilled) * LINES_PER_S
        self.budget = min(self.budget, BURST_LINES)
        self.refilled = now
        if self.budget < 1:
            return False
        self.budget -= 1
        return True

    def run(self) -> None:
        """Write lines as they come."""
        while True:
            record = self.lines.get()
            if self.dropped:
                record.dropped_lines, self.dropped = self.dropped, 0
            self.target.handle(record)

    def drain(self) -> None:
        """Write what is queued: the process is about to end."""
        while not self.lines.empty():
            self.target.handle(self.lines.get())


def component_logger(part: str) -> ComponentLogger:
    """Return the logger of ``part``."""
    return ComponentLogger(logging.getLogger(f"godwitladder.{part}"), {"part": part})


def configure_logs(level: str = "INFO") -> None:
    """Send the package's logs to standard error as JSON lines."""
    _set_handler(_json_handler(sys.stderr), level)


def configure_bounded_logs(level: str = "INFO") -> BoundedHandler:
    """Send the package's logs to standard output, bounded and never blocking."""
    handler = BoundedHandler(_json_handler(sys.stdout), Clock())
    handler.start()
    _set_handler(handler, level)
    return handler


def is_new(record: logging.LogRecord) -> bool:
    """Return whether a record tells of an error that was not logged before.

    The server logs each answer that breaks, with all of its stack; where that
    is how an answer is meant to end, a line has told so already.
    """
    error = record.exc_info and record.exc_info[1]
    return not getattr(error, "logged", False)


def _json_handler(stream) -> logging.Handler:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    handler.addFilter(is_new)
    return handler


def _set_handler(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("godwitladder").setLevel(level)
