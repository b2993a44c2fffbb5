"""Stand-in of a plain service, which counts what it ran.

Knobs
-----
delay_s : float
    Time that each call takes.
lose_answers : int
    This many next calls are run, and their answers lost.
cut_answers : int
    This many next answers end before their stated length.
unframed_answers : int
    This many next answers state no length and are cut.
foreign_answers : int
    This many next answers say that they are another call's.
"""

import hashlib
import time
from dataclasses import dataclass

from godwitladder.standins.base import Handler, Hangup, Server, Standin

KNOBS = {
    "delay_s": 0.01,
    "lose_answers": 0,
    "cut_answers": 0,
    "unframed_answers": 0,
    "foreign_answers": 0,
}


@dataclass(frozen=True)
class Ran:
    """One call that was run."""

    call: str
    service: str
    digest: str


class PlainService(Standin):
    """Runs every call that comes and keeps a record of it."""

    def __init__(self, **knobs) -> None:
        super().__init__({**KNOBS, **knobs})
        self.runs: list[Ran] = []
        self.routes |= {("POST", "call"): self.call, ("GET", "ran"): self.report}

    def call(self, handler: Handler) -> None:
        """Run one call."""
        digest = hashlib.sha256(handler.body).hexdigest()
        ran = Ran(handler.headers.get("X-Call-Id", ""), handler.parts[1], digest)
        with self.changed:
            self.runs.append(ran)
            count = len(self.runs)
        time.sleep(self.knobs["delay_s"])
        if self.take("lose_answers"):
            raise Hangup
        if self.take("cut_answers"):
            handler.send_response(200)
            handler.send_header("Content-Length", "1000")
            handler.end_headers()
            handler.wfile.write(b"{")
            raise Hangup
        if self.take("unframed_answers"):
            handler.send_response(200)
            handler.end_headers()
            handler.wfile.write(b"{")
            raise Hangup
        if self.take("foreign_answers"):
            handler.extra_headers["X-Call-Id"] = "another"
        handler.send_json({"ran": count, "call": ran.call, "digest": digest})

    def take(self, knob: str) -> bool:
        """Use up one of a counted knob; return whether there was one."""
        with self.changed:
            if self.knobs[knob] <= 0:
                return False
            self.knobs[knob] -= 1
            return True

    def report(self, handler: Handler) -> None:
        """Tell what ran."""
        with self.changed:
            rows = [vars(run) for run in self.runs]
        handler.send_json(rows)


def start_service(address: str = "127.0.0.1:0", **knobs) -> Server:
    """Start a plain service's stand-in and return its server."""
    server = Server(address, PlainService(**knobs))
    server.start()
    return server
