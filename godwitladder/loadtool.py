"""A load tool: calls at a steady rate, and what came of them by tier.

``python -m godwitladder.loadtool --hosts 127.0.0.1:8000 --callers urgent=KEY``
sends chat completions in an open loop: the next call goes out when it is due,
whatever became of the ones before, as callers in a burst do.
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

from godwitladder.clock import Clock

MOST_OPEN = 500
TIMED_OUT_S = 5.0


@dataclass(frozen=True)
class LoadCaller:
    """One kind of caller: the name to show, its bearer key, its part of the mix."""

    name: str
    key: str
    weight: float = 1.0


@dataclass
class Result:
    """What came of one caller's calls; ``seconds`` of those completed in time."""

    sent: int = 0
    outcomes: Counter = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)

    def quantile(self, part: float) -> float:
        """Return a quantile of the seconds, or 0 without any."""
        ordered = sorted(self.seconds)
        return ordered[int(part * (len(ordered) - 1))] if ordered else 0.0


class LoadGenerator:
    """Sends calls and counts what comes of them.

    Parameters
    ----------
    hosts : sequence of str
        Callers' addresses, used in turn.
    callers : sequence of LoadCaller
        Whose calls to mix.
    service : str
        The model service to ask.
    max_tokens : sequence of int
        Declared outputs to draw from.
    timeout_s : float
        Each call's deadline, in seconds.
    clock : Clock
        Paces the calls.
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
        self.http = urllib3.PoolManager(retries=False, maxsize=MOST_OPEN)
        self.results = {caller.name: Result() for caller in callers}

    def run(self, rate: float, duration_s: float, seed: int = 0) -> None:
        """Send ``rate`` calls a second for ``duration_s`` and await them all."""
        draw = random.Random(seed)
        weights = [caller.weight for caller in self.callers]
        start = self.clock.monotonic()
        with ThreadPoolExecutor(MOST_OPEN) as pool:
            for number in range(int(rate * duration_s)):
                due = start + number / rate
                self.clock.sleep(max(0.0, due - self.clock.monotonic()))
                caller = draw.choices(self.callers, weights)[0]
                tokens = draw.choice(self.max_tokens)
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
                timeout=self.timeout_s + TIMED_OUT_S,
            )
            outcome = read_outcome(answer)
        except urllib3.exceptions.HTTPError:
            outcome = "unanswered"
        seconds = self.clock.monotonic() - start
        result = self.results[caller.name]
        if outcome == "completed" and seconds > self.timeout_s:
            outcome = "late"
        if outcome == "completed":
            result.seconds.append(seconds)
        result.outcomes[outcome] += 1


def read_outcome(answer: urllib3.BaseHTTPResponse) -> str:
    """Return ``completed``, or outcome and reason of a refusal."""
    if answer.status == 200:
        return "completed"
    try:
        problem = json.loads(answer.data)
        return f"{problem['outcome']}/{problem.get('reason', answer.status)}"
    except (ValueError, KeyError, TypeError):
        return f"status {answer.status}"


def read_caller(text: str) -> LoadCaller:
    """Return the caller in ``name=key`` or ``name=key=weight``."""
    name, key, *weight = text.split("=")
    return LoadCaller(name, key, float(weight[0]) if weight else 1.0)


def format_results(results: dict[str, Result], duration_s: float) -> list[str]:
    """Return a line for each caller: goodput, times and outcomes."""
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
    """Send calls at a steady rate and print goodput and outcomes by caller.

    Parameters
    ----------
    hosts : list[str]
        Callers' addresses of entry hosts, as address:port.
    callers : list[str]
        Who calls: name=key, or name=key=weight.
    service : str
        The model service to ask.
    rate : float
        Calls a second.
    duration : float
        Seconds for which calls are sent.
    max_tokens : list[int]
        Declared outputs to draw from.
    timeout : float
        Deadline of each call, in seconds.
    seed : int
        Seed of the mix.
    """
    mix = [read_caller(text) for text in callers]
    tool = LoadGenerator(hosts, mix, service, max_tokens, timeout, Clock())
    tool.run(rate, duration, seed)
    for line in format_results(tool.results, duration):
        print(line)


if __name__ == "__main__":
    sys.exit(defopt.run(load))
