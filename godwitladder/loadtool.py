"""Open-loop load generator that reports the outcomes of calls for each caller.

``python -m godwitladder.loadtool --hosts 127.0.0.1:8000 --callers urgent=KEY``
sends chat completions at a constant rate. The load is open-loop: each call is sent
when it is due, even if earlier calls have not ended, as in a burst of callers.
"""

import json
import random
import sys
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import defopt
import urllib3

from godwitladder.clients.pools import FAILED_REQUEST, BoundedPools
from godwitladder.clock import Clock
from godwitladder.engines.answer_limits import AnswerLimits

MAX_OPEN_CALLS = 500
ANSWER_LIMITS = AnswerLimits()
RESPONSE_MARGIN_S = 5.0


@dataclass(frozen=True)
class LoadCaller:
    """A caller of the load mix.

    Attributes
    ----------
    name : str
        Name in the report.
    key : str
        Bearer key of the caller.
    weight : float, default=1.0
        Relative share of the calls.
    """

    name: str
    key: str
    weight: float = 1.0


@dataclass
class Result:
    """Outcomes of one caller's calls.

    Attributes
    ----------
    sent : int
        Number of calls sent.
    outcomes : Counter
        Number of calls for each outcome.
    seconds : list of float
        Latencies of the calls that completed in time, in seconds.
    """

    sent: int = 0
    outcomes: Counter = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)

    def quantile(self, fraction: float) -> float:
        """Return the ``fraction`` quantile of the latencies in seconds, or 0."""
        ordered = sorted(self.seconds)
        return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


class LoadGenerator:
    """Sends calls and counts their outcomes.

    Parameters
    ----------
    hosts : sequence of str
        Addresses for callers, used in round-robin order.
    callers : sequence of LoadCaller
        Callers that send the calls.
    service : str
        Model service to call.
    max_tokens : sequence of int
        Values of ``max_tokens``, one of which is drawn for each call.
    timeout_s : float
        Deadline of each call, in seconds.
    clock : Clock
        Clock by which calls are sent and timed.

    Attributes
    ----------
    results : dict of str to Result
        Outcomes by name of the caller.
    """

    def __init__(
        self,
        hosts: Sequence[str],
        callers: Sequence[LoadCaller],
        service: str,
        max_tokens: Sequence[int],
        timeout_s: float,
        clock: Clock,
    ) -> None:
        self.hosts = hosts
        self.callers = callers
        self.service = service
        self.max_tokens = max_tokens
        self.timeout_s = timeout_s
        self.clock = clock
        self.http = BoundedPools(ANSWER_LIMITS, maxsize=MAX_OPEN_CALLS)
        self.results = {caller.name: Result() for caller in callers}

    def run(self, rate: float, duration_s: float, seed: int = 0) -> None:
        """Send calls and wait until all of them have ended.

        Parameters
        ----------
        rate : float
            Number of calls per second.
        duration_s : float
            Time for which calls are sent, in seconds.
        seed : int, default=0
            Seed of the random mix of callers and outputs.
        """
        rng = random.Random(seed)
        weights = [caller.weight for caller in self.callers]
        start = self.clock.monotonic()
        with ThreadPoolExecutor(MAX_OPEN_CALLS) as pool:
            for number in range(int(rate * duration_s)):
                due = start + number / rate
                self.clock.sleep(max(0.0, due - self.clock.monotonic()))
                caller = rng.choices(self.callers, weights)[0]
                tokens = rng.choice(self.max_tokens)
                self.results[caller.name].sent += 1
                pool.submit(self.send, number, caller, tokens)

    def send(self, number: int, caller: LoadCaller, tokens: int) -> None:
        """Send one call and count its outcome."""
        host = self.hosts[number % len(self.hosts)]
        messages = [{"role": "user", "content": f"call {number}"}]
        body = {"model": self.service, "messages": messages, "max_tokens": tokens}
        headers = {
            "Authorization": f"Bearer {caller.key}",
            "Request-Timeout": str(self.timeout_s),
        }
        start = self.clock.monotonic()
        try:
            answer = self.http.request(
                "POST",
                f"http://{host}/v1/chat/completions",
                body=json.dumps(body),
                headers=headers,
                timeout=self.timeout_s + RESPONSE_MARGIN_S,
                decode_content=False,
            )
            outcome = read_outcome(answer)
        except FAILED_REQUEST:
            outcome = "unanswered"
        seconds = self.clock.monotonic() - start
        result = self.results[caller.name]
        if outcome == "completed" and seconds > self.timeout_s:
            outcome = "late"
        if outcome == "completed":
            result.seconds.append(seconds)
        result.outcomes[outcome] += 1


def read_outcome(answer: urllib3.BaseHTTPResponse) -> str:
    """Return ``completed``, or the outcome and reason of a refusal.

    Return the status code if the body does not describe a refusal.
    """
    if answer.status == 200:
        return "completed"
    try:
        problem = json.loads(answer.data)
        return f"{problem['outcome']}/{problem.get('reason', answer.status)}"
    except (ValueError, KeyError, TypeError):
        return f"status {answer.status}"


def read_caller(text: str) -> LoadCaller:
    """Parse a caller given as ``name=key`` or ``name=key=weight``."""
    name, key, *weight = text.split("=")
    return LoadCaller(name, key, float(weight[0]) if weight else 1.0)


def format_results(results: dict[str, Result], duration_s: float) -> list[str]:
    """Return one line per caller with its goodput, latencies and outcomes."""
    lines = []
    for name, result in results.items():
        done = len(result.seconds)
        counts = ", ".join(f"{key} {n}" for key, n in sorted(result.outcomes.items()))
        lines.append(
            f"{name}: sent {result.sent}, goodput {done / duration_s:.2f}/s, "
            f"p50 {result.quantile(0.5):.2f} s, p99 {result.quantile(0.99):.2f} s; "
            f"{counts}"
        )
    return lines


def load(
    *,
    hosts: list[str],
    callers: list[str],
    service: str = "adviser-letters",
    rate: float = 10.0,
    duration: float = 10.0,
    max_tokens: list[int] = (80, 800),
    timeout: float = 20.0,
    seed: int = 0,
) -> None:
    """Send calls at a constant rate and print goodput and outcomes by caller.

    Parameters
    ----------
    hosts : list[str]
        Addresses of entry hosts for callers, as address:port.
    callers : list[str]
        The callers, each as name=key or name=key=weight.
    service : str
        Model service to call.
    rate : float
        Number of calls per second.
    duration : float
        Time for which calls are sent, in seconds.
    max_tokens : list[int]
        Values of max_tokens, one of which is drawn for each call.
    timeout : float
        Deadline of each call, in seconds.
    seed : int
        Seed of the random mix of callers and outputs.
    """
    mix = [read_caller(text) for text in callers]
    tool = LoadGenerator(hosts, mix, service, max_tokens, timeout, Clock())
    tool.run(rate, duration, seed)
    for line in format_results(tool.results, duration):
        print(line)


if __name__ == "__main__":
    sys.exit(defopt.run(load))
