"""Clients that send requests at a fixed pace and note what they get."""

import contextlib
import http.client
import itertools
import threading
import time
from dataclasses import dataclass

from godwitladder.platform import names
from review.common.fleet import HostProcess

NUMBERS = itertools.count()


@dataclass(frozen=True)
class Sent:
    """One request: when it was sent, and its status; 0 for no answer."""

    attempt: str
    host: str
    key: str
    at: float
    status: int


class Pacer:
    """Sends requests with one key to one host at a fixed pace.

    Parameters
    ----------
    host : HostProcess
        The host.
    key : str
        The client's key.
    gap_s : float
        Time between two requests, in seconds.
    path : str
        Path of the requests.
    headers : dict or None
        Further headers.
    """

    def __init__(
        self,
        host: HostProcess,
        key: str,
        gap_s: float,
        path: str = "/lookup/x",
        headers: dict | None = None,
    ) -> None:
        self.host = host
        self.key = key
        self.gap_s = gap_s
        self.path = path
        self.headers = headers or {}
        self.sent: list[Sent] = []
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start to send."""
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Send until stopped; each request has a thread and a connection."""
        while not self.stopping.wait(self.gap_s):
            thread = threading.Thread(target=self.send, daemon=True)
            thread.start()
            self.threads.append(thread)

    def send(self) -> None:
        """Send one request and note the answer."""
        attempt = f"{next(NUMBERS):016x}"
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.host.ports[0], timeout=8
        )
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: "1500",
            "Authorization": f"Bearer {self.key}",
        }
        status = 0
        at = time.monotonic()
        with contextlib.closing(connection):
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection.connect()
                at = time.monotonic()
                connection.request("GET", self.path, headers=headers | self.headers)
                answer = connection.getresponse()
                answer.read()
                status = answer.status
        self.sent.append(Sent(attempt, self.host.name, self.key, at, status))

    def stop(self) -> None:
        """Stop, and wait for the requests that are under way."""
        self.stopping.set()
        for thread in list(self.threads):
            thread.join(10)
