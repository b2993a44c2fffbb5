"""Stand-in for a plain service that records the calls it ran.

Knobs
-----
delay_s : float
    Duration of each call, in seconds.
lose_answers : int
    Number of next calls that run but get no answer.
cut_answers : int
    Number of next answers that end before their ``Content-Length``.
unframed_answers : int
    Number of next answers that are truncated and state no length.
foreign_answers : int
    Number of next answers that carry the id of another call.
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
    "cooldown_s": 0.0,
}


@dataclass(frozen=True)
class CallRecord:
    """A call that ran: its id, service and body digest."""

    call: str
    service: str
    digest: str


class PlainService(Standin):
    """Runs every call and records it.

    Attributes
    ----------
    runs : list of CallRecord
        The calls that ran, in order of arrival.
    """

    def __init__(self, **knobs) -> None:
        super().__init__({**KNOBS, **knobs})
        self.runs: list[CallRecord] = []
        self.routes |= {("POST", "call"): self.call, ("GET", "ran"): self.report_runs}

    def call(self, handler: Handler) -> None:
        """Run one call, then answer or fail as the knobs say.

        With ``cooldown_s``, refuse it instead and ask for so many seconds of cooldown.
        """
        if self.knobs["cooldown_s"]:
            handler.extra_headers["Retry-After"] = str(self.knobs["cooldown_s"])
            handler.send_json({"error": "refused"}, 503)
            return
        digest = hashlib.sha256(handler.body).hexdigest()
        record = CallRecord(
            handler.headers.get("X-Call-Id", ""), handler.parts[1], digest
        )
        with self.changed:
            self.runs.append(record)
            count = len(self.runs)
        time.sleep(self.knobs["delay_s"])
        if self.consume_knob("lose_answers"):
            raise Hangup
        if self.consume_knob("cut_answers"):
            handler.send_response(200)
            handler.send_header("Content-Length", "1000")
            handler.end_headers()
            handler.wfile.write(b"{")
            raise Hangup
        if self.consume_knob("unframed_answers"):
            handler.send_response(200)
            handler.end_headers()
            handler.wfile.write(b"{")
            raise Hangup
        if self.consume_knob("foreign_answers"):
            handler.extra_headers["X-Call-Id"] = "another"
        handler.send_json({"ran": count, "call": record.call, "digest": digest})

    def consume_knob(self, knob: str) -> bool:
        """Decrement a counting knob; return whether it was positive."""
        with self.changed:
            if self.knobs[knob] <= 0:
                return False
            self.knobs[knob] -= 1
            return True

    def report_runs(self, handler: Handler) -> None:
        """Serve the calls that ran."""
        with self.changed:
            runs = [vars(run) for run in self.runs]
        handler.send_json(runs)


def start_service(address: str = "127.0.0.1:0", **knobs) -> Server:
    """Start a stand-in for a plain service and return its server.

    Parameters
    ----------
    address : str
        Address to listen on, as ``address:port``; port 0 for a free one.
    **knobs
        Initial values of knobs that differ from the defaults.
    """
    server = Server(address, PlainService(**knobs))
    server.start()
    return server
