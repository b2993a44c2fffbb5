"""Callers that send calls over persistent connections and record the answers."""

import http.client
import random
import threading
import time
from collections.abc import Callable

from godwitladder.platform import names
from soak.fleet import ROUTES, Fleet, Host
from soak.records import Attempt, History

CALL_INTERVAL_S = 0.02
ABANDON_PROBABILITY = 0.03
DEADLINE_S = 5.0
PROBE_INTERVAL_S = 1.0
UNHEALTHY_THRESHOLD = 2
"""Number of consecutive failed probes that takes a host out of rotation."""
MAX_RETRY_DELAY_S = 1.0


class Balancer(threading.Thread):
    """Model of a load balancer that probes the readiness of hosts.

    Callers open new connections to the hosts in rotation only.
    """

    def __init__(self, fleet: Fleet, stop_event: threading.Event) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.stop_event = stop_event
        self.failed_probes = {host.name: 0 for host in fleet.hosts}

    def run(self) -> None:
        """Probe all hosts until the run is over."""
        while not self.stop_event.wait(PROBE_INTERVAL_S):
            for host in self.fleet.hosts:
                failed = not host.is_ready()
                self.failed_probes[host.name] = (
                    self.failed_probes[host.name] + 1 if failed else 0
                )

    def hosts_in_rotation(self) -> list[Host]:
        """Return the hosts in rotation, or all hosts if none is."""
        rows = [
            row
            for row in self.fleet.hosts
            if self.failed_probes[row.name] < UNHEALTHY_THRESHOLD
        ]
        return rows or self.fleet.hosts


class Caller(threading.Thread):
    """Thread that sends one call at a time."""

    def __init__(
        self,
        number: int,
        seed: int,
        history: History,
        balancer: Balancer,
        clock: Callable[[], float],
        stop_event: threading.Event,
    ) -> None:
        super().__init__(daemon=True)
        self.number = number
        self.rng = random.Random(f"{seed}-{number}")
        self.history = history
        self.balancer = balancer
        self.clock = clock
        self.stop_event = stop_event
        self.host: Host | None = None
        self.connection: http.client.HTTPConnection | None = None
        self.retry_delay_s = 0.0

    def run(self) -> None:
        """Send calls until the run is over."""
        count = 0
        while not self.stop_event.is_set():
            count += 1
            attempt = self.prepare(count)
            self.send(attempt)
            self.stop_event.wait(self.pause_s(attempt))
        self.close_connection()

    def prepare(self, count: int) -> Attempt:
        """Record and return the next call.

        It uses the open connection, or a new one to a random host in rotation.
        """
        if self.connection is None:
            self.host = self.rng.choice(self.balancer.hosts_in_rotation())
            address = self.host.caller_address
            self.connection = http.client.HTTPConnection(address, timeout=DEADLINE_S)
        route = self.rng.choice(ROUTES)[0]
        name = f"c{self.number}-{count}"
        key = self.rng.choice(("k1", "k2"))
        attempt = Attempt(name, self.host.name, route, key, self.clock())
        self.history.attempts[name] = attempt
        return attempt

    def send(self, attempt: Attempt) -> None:
        """Send a call and record its answer or error.

        A call whose connection can't be opened stays without an end.
        """
        try:
            if self.connection.sock is None:
                self.connection.connect()
        except OSError:
            self.close_connection()
            return
        attempt.sent = self.clock()
        try:
            self.exchange(attempt)
        except (OSError, http.client.HTTPException) as error:
            attempt.error = repr(error)
            self.close_connection()
        attempt.ended = self.clock()

    def exchange(self, attempt: Attempt) -> None:
        """Write the request and read the answer, or abandon the call at random."""
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt.name,
            names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {attempt.key}",
        }
        path = f"/{attempt.route}/{'stream/' if attempt.is_streaming else ''}x"
        self.connection.request("POST", path, attempt.name.encode(), headers)
        if self.rng.random() < ABANDON_PROBABILITY:
            time.sleep(self.rng.uniform(0.0, 0.1))
            attempt.abandoned = True
            self.close_connection()
            return
        answer = self.connection.getresponse()
        attempt.status = answer.status
        attempt.signature = answer.getheader(names.SIGNATURE, "")
        attempt.body = answer.read()
        self.retry_delay_s = float(answer.getheader("Retry-After") or 0.0)
        if answer.will_close:
            self.close_connection()

    def pause_s(self, attempt: Attempt) -> float:
        """Return the seconds to wait before the next call."""
        if attempt.status in (429, 503):
            return min(max(self.retry_delay_s, CALL_INTERVAL_S), MAX_RETRY_DELAY_S)
        return CALL_INTERVAL_S if attempt.status else 5 * CALL_INTERVAL_S

    def close_connection(self) -> None:
        """Close the connection, if one is open."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None
