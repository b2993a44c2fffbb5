"""Follows the configuration stream and publishes each new state."""

import threading
from collections.abc import Callable

from godwitladder.clock import Clock
from godwitladder.configuration.ledger import Ledger
from godwitladder.logs import part_logger
from godwitladder.platform.log import CONFIG_STREAM, LogClient, LogUnavailable

log = part_logger("config")

READ_WAIT_S = 5.0
RETRY_S = 0.5


class ConfigFollower:
    """Replays the stream in a thread of its own.

    Parameters
    ----------
    client : LogClient
        Where to read the stream.
    clock : Clock
        For the pause between tries in an outage.
    publish : callable
        Called with the ledger after each page that held records.
    """

    def __init__(
        self, client: LogClient, clock: Clock, publish: Callable[[Ledger], None]
    ) -> None:
        self.client = client
        self.clock = clock
        self.publish = publish
        self.ledger = Ledger()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.caught_up = threading.Event()
        self.thread = threading.Thread(target=self.run, name="config", daemon=True)

    def start(self) -> None:
        """Start to follow."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the read in progress."""
        self.stopping.set()

    def run(self) -> None:
        """Follow until told to stop."""
        while not self.stopping.is_set():
            try:
                self.follow_once()
            except LogUnavailable as error:
                log.warning("The log did not answer", extra={"error": str(error)})
                self.clock.wait(self.stopping, RETRY_S)

    def follow_once(self) -> None:
        """Read one page and replay it."""
        wait_s = READ_WAIT_S if self.caught_up.is_set() else 0.0
        page = self.client.read(CONFIG_STREAM, self.ledger.next, wait_s)
        with self.lock:
            for record in page.records:
                entry = self.ledger.replay(record.offset, record.time, record.data)
                if entry:
                    log.info(
                        "A ticket was judged",
                        extra={"ticket": entry.number, "verdict": entry.verdict.value},
                    )
        if page.records:
            self.publish(self.ledger)
        self.caught_up.set()
