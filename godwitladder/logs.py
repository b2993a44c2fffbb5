"""Structured JSON logs: one line an event, with a fixed prefix for each part."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


class PartLogger(logging.LoggerAdapter):
    """A logger that puts the part's name before each short sentence."""

    def process(self, msg, kwargs):
        """Add the prefix to ``msg`` and keep ``extra`` as JSON fields."""
        return f"{self.extra['part']}: {msg}", kwargs


def part_logger(part: str) -> PartLogger:
    """Return the logger of ``part``."""
    return PartLogger(logging.getLogger(f"godwitladder.{part}"), {"part": part})


def configure_logs(level: str = "INFO") -> None:
    """Send the package's logs to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("godwitladder").setLevel(level)
