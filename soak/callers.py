"""Callers that send calls over persistent connections and record the answers."""

import http.client
import random
import threading
import time
from collections.abc import Callable

from godwitladder.platform import names
from soak.fleet import ROUTES, Fleet, Host
from soak.records import Attempt, History

PAUSE_S = 0.02
GIVE_UP_SHARE = 0.03
DEADLINE_S = 5.0
LOOK_S = 1.0
MISSES = 2
"""Consecutive failed probes, one per `LOOK_S`, that take a host out of rotation."""
LONGEST_RETURN_S = 1.0


class Balancer(threading.Thread):
    """Model of a load balancer that probes the readiness of hosts.

    Callers open new connections to the hosts in rotation only.
    """

    def __init__(self, fleet: Fleet, over: threading.Event) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.over = over
        self.misses = {host.name: 0 for host in fleet.hosts}

    def run(self) -> None:
        """Probe all hosts until the run is over."""
        while not self.over.wait(LOOK_S):
            for host in self.fleet.hosts:
                missed = not host.is_ready()
                self.misses[host.name] = self.misses[host.name] + 1 if missed else 0

    def hosts(self) -> list[Host]:
        """Return the hosts in rotation, or all hosts if none is."""
        rows = [row for row in self.fleet.hosts if self.misses[row.name] < MISSES]
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
        over: threading.Event,
    ) -> None:
        super().__init__(daemon=True)
        self.number = number
        self.dice = random.Random(f"{seed}-{number}")
        self.history = history
        self.balancer = balancer
        self.clock = clock
        self.over = over
        self.host: Host | None = None
        self.connection: http.client.HTTPConnection | None = None
        self.returned_s = 0.0

    def run(self) -> None:
        """Send calls until the run is over."""
        count = 0
        while not self.over.is_set():
            count += 1
            attempt = self.begin(count)
            self.send(attempt)
            self.over.wait(self.pause_s(attempt))
        self.hang_up()

    def begin(self, count: int) -> Attempt:
        """Record and return the next call.

        It uses the open connection, or a new one to a random host in rotation.
        """
        if self.connection is None:
            self.host = self.dice.choice(self.balancer.hosts())
            address = self.host.callers
            self.connection = http.client.HTTPConnection(address, timeout=DEADLINE_S)
        route = self.dice.choice(ROUTES)[0]
        name = f"c{self.number}-{count}"
        key = self.dice.choice(("k1", "k2"))
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
            self.hang_up()
            return
        attempt.sent = self.clock()
        try:
            self.exchange(attempt)
        except (OSError, http.client.HTTPException) as error:
            attempt.error = repr(error)
            self.hang_up()
        attempt.ended = self.clock()

    def exchange(self, attempt: Attempt) -> None:
        """Write the request and read the answer, or abandon the call at random."""
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt.name,
            names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {attempt.key}",
        }
        path = f"/{attempt.route}/{'stream/' if attempt.streams else ''}x"
        self.connection.request("POST", path, attempt.name.encode(), headers)
        if self.dice.random() < GIVE_UP_SHARE:
            time.sleep(self.dice.uniform(0.0, 0.1))
            attempt.left = True
            self.hang_up()
            return
        answer = self.connection.getresponse()
        attempt.status = answer.status
        attempt.signature = answer.getheader(names.SIGNATURE, "")
        attempt.body = answer.read()
        self.returned_s = float(answer.getheader("Retry-After") or 0.0)
        if answer.will_close:
            self.hang_up()

    def pause_s(self, attempt: Attempt) -> float:
        """Return the seconds to wait before the next call."""
        if attempt.status in (429, 503):
            return min(max(self.returned_s, PAUSE_S), LONGEST_RETURN_S)
        return PAUSE_S if attempt.status else 5 * PAUSE_S

    def hang_up(self) -> None:
        """Close the connection, if one is open."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None
