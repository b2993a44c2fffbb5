"""Scenarios of the demonstration: calls, and checks of their answers."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import urllib3

from demo.fleet import ADVISER_KEY, RETURNS_KEY, Fleet, Host, prompt_digest

LETTER_TOKENS = 800
BURST_URGENT = 12
BURST_NORMAL = 120
BURST_TOKENS = 1600
# Longer than the 8 s that the declared output takes at the configured decode
# speed. With a shorter timeout, a host that has learned nothing from earlier
# calls yet may correctly refuse the whole burst.
BURST_TIMEOUT_S = "12"
MAX_RETRY_TIME_S = 20.0


@dataclass
class ScenarioResult:
    """Result of one scenario.

    Attributes
    ----------
    scenario : str
        Title of the scenario.
    observed : str
        Summary of the answers.
    faults : list of str
        Failed checks; empty if all passed.
    """

    scenario: str
    observed: str
    faults: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class ChatResult:
    """Answer to a chat completion request.

    Attributes
    ----------
    digest : str
        Digest of the prompt, by which the engines record it.
    status : int
        HTTP status.
    body : bytes
        Body of the answer.
    headers : dict
        Headers of the answer.
    """

    digest: str
    status: int
    body: bytes
    headers: dict

    @property
    def outcome(self) -> str:
        """``completed``, or the outcome stated in a refusal."""
        if self.status == 200:
            return "completed"
        return json.loads(self.body).get("outcome", "unknown")


def send_chat(
    fleet: Fleet, host: Host, text: str, key: str = ADVISER_KEY, headers=None, **body
) -> ChatResult:
    """Request a chat completion from a host and return the answer."""
    messages = [{"role": "user", "content": text}]
    payload = {"model": "adviser-letters", "messages": messages, "max_tokens": 80}
    answer = fleet.http.request(
        "POST",
        f"http://{host.callers}/v1/chat/completions",
        body=json.dumps(payload | body),
        headers={"Authorization": f"Bearer {key}", **(headers or {})},
        timeout=60,
    )
    return ChatResult(
        prompt_digest(messages), answer.status, answer.data, dict(answer.headers)
    )


def send_plain(
    fleet: Fleet, host: Host, service: str, body: bytes, key: str
) -> urllib3.BaseHTTPResponse:
    """Call a plain service with an idempotency key."""
    headers = {"Authorization": f"Bearer {ADVISER_KEY}", "Idempotency-Key": key}
    url = f"http://{host.callers}/v1/services/{service}"
    return fleet.http.request("POST", url, body=body, headers=headers, timeout=60)


def expect(result: ScenarioResult, holds: bool, fault: str) -> None:
    """Add ``fault`` to the result unless ``holds``."""
    if not holds:
        result.faults.append(fault)


def streamed_letter(fleet: Fleet) -> ScenarioResult:
    """A streamed letter arrives complete and in order, and runs once."""
    answer = send_chat(fleet, fleet.hosts[0], "The spring wardrobe letter", stream=True)
    id_lines = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    result = ScenarioResult(
        "streamed letter", f"{answer.status}, {len(id_lines)} events"
    )
    expect(
        result, id_lines == [b"id: %d" % n for n in range(11)], "events out of order"
    )
    expect(result, answer.body.rstrip().endswith(b"data: [DONE]"), "no [DONE] event")
    expect(result, fleet.engine_runs().get(answer.digest) == 1, "did not run once")
    return result


def sizing_question(fleet: Fleet) -> ScenarioResult:
    """A short question is answered completely by any host."""
    answer = send_chat(fleet, fleet.hosts[2], "Is 40 right at 28 weeks?")
    result = ScenarioResult("sizing question", f"{answer.status}")
    expect(result, answer.status == 200, answer.body.decode())
    if answer.status == 200:
        choice = json.loads(answer.body)["choices"][0]
        result.observed += f", {len(choice['message']['content'].split())} words"
        expect(result, choice["finish_reason"] == "stop", "answer is truncated")
    expect(result, fleet.engine_runs().get(answer.digest) == 1, "did not run once")
    return result


def charge_twice(fleet: Fleet) -> ScenarioResult:
    """A charge sent to two hosts at the same time is made once."""
    body = b'{"charge": "box 17"}'
    with ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(send_plain, fleet, host, "charge", body, "charge-17")
            for host in fleet.hosts[:2]
        ]
        answers = [future.result() for future in futures]
    runs = fleet.service_runs(body)
    observed = " and ".join(describe(answer) for answer in answers)
    result = ScenarioResult(
        "charge sent twice at once", f"{observed}; ran {runs} time(s)"
    )
    expect(result, runs == 1, "was not charged once")
    expect(
        result,
        any(answer.status == 200 for answer in answers),
        "no caller got an answer with status 200",
    )
    for answer in answers:
        false_not_run = answer.status != 200 and b'"not_run"' in answer.data and runs
        in_use = b'"key_in_use"' in answer.data
        expect(result, not false_not_run or in_use, "reported not_run, but it ran")
    return result


def order_in_outage(fleet: Fleet) -> ScenarioResult:
    """During a log outage, an order with an issued key is served.

    An order with the caller's own key is refused at once and doesn't run. It is
    served with the same key once the log is available again.
    """
    issued, own = b'{"order": "parcel 1"}', b'{"order": "parcel 2"}'
    fleet.set_knobs(fleet.platform, outage=True)
    try:
        key = request_key(fleet, fleet.hosts[0])
        first = send_plain(fleet, fleet.hosts[0], "order", issued, key)
        again = send_plain(fleet, fleet.hosts[1], "order", issued, key)
        refused = send_plain(fleet, fleet.hosts[1], "order", own, "parcel-2")
        ran_in_outage = fleet.service_runs(own)
    finally:
        fleet.set_knobs(fleet.platform, outage=False)
    later = retry_until_accepted(fleet, fleet.hosts[1], "order", own, "parcel-2")
    result = ScenarioResult(
        "order during a log outage",
        f"issued key {describe(first)}, again {describe(again)}; "
        f"own key {describe(refused)}, later {describe(later)}",
    )
    expect(result, first.status == 200, "the order with an issued key was lost")
    expect(result, fleet.service_runs(issued) == 1, "the order did not run once")
    expect(
        result,
        b'"not_run"' in refused.data,
        "not refused with not_run during the outage",
    )
    expect(result, ran_in_outage == 0, "reported not_run, but it ran during the outage")
    expect(result, "Retry-After" in refused.headers, "no Retry-After header")
    expect(result, later.status == 200, "the key was not accepted after the refusal")
    expect(result, fleet.service_runs(own) == 1, "the later order did not run once")
    return result


def retry_until_accepted(
    fleet: Fleet, host: Host, service: str, body: bytes, key: str
) -> urllib3.BaseHTTPResponse:
    """Retry a call with its key, after the ``Retry-After`` of each refusal.

    The last refusal is returned once ``MAX_RETRY_TIME_S`` has passed.
    """
    deadline = time.monotonic() + MAX_RETRY_TIME_S
    while True:
        answer = send_plain(fleet, host, service, body, key)
        if b'"not_run"' not in answer.data or time.monotonic() > deadline:
            return answer
        time.sleep(float(answer.headers.get("Retry-After", 1)))


def request_key(fleet: Fleet, host: Host) -> str:
    """Return an idempotency key issued by ``host``."""
    answer = fleet.send_request(
        "POST", f"http://{host.callers}/v1/keys", token=ADVISER_KEY
    )
    return json.loads(answer.data)["key"]


def overload_burst(fleet: Fleet) -> ScenarioResult:
    """Under overload, the upper tier is served and refused requests don't run."""
    timeout = {"Request-Timeout": BURST_TIMEOUT_S}

    def send(number: int) -> tuple[str, ChatResult]:
        urgent = number % 11 == 0 and number // 11 < BURST_URGENT
        tier = "urgent" if urgent else "normal"
        key = ADVISER_KEY if urgent else RETURNS_KEY
        host = fleet.hosts[number % len(fleet.hosts)]
        text = f"{tier} {number}"
        return tier, send_chat(fleet, host, text, key, timeout, max_tokens=BURST_TOKENS)

    count = BURST_URGENT + BURST_NORMAL
    with ThreadPoolExecutor(count) as pool:
        results = list(pool.map(send, range(count)))
    runs = fleet.engine_runs()
    by_tier = {
        tier: [item for name, item in results if name == tier]
        for tier in ("urgent", "normal")
    }
    completed = {
        tier: sum(item.status == 200 for item in items)
        for tier, items in by_tier.items()
    }
    result = ScenarioResult(
        "overload burst",
        "; ".join(
            f"{tier} {completed[tier]} of {len(by_tier[tier])}" for tier in by_tier
        ),
    )
    shed = [item for item in by_tier["urgent"] if item.status != 200]
    for item in shed:
        detail = json.loads(item.body)["detail"]
        expect(result, False, f"the upper tier was shed: {detail}")
    for _, item in results:
        ran = runs.get(item.digest, 0)
        expect(result, ran <= 1, "ran twice")
        expect(
            result,
            item.outcome != "not_run" or ran == 0,
            "reported not_run, but it ran",
        )
        expect(
            result,
            item.status != 200 or ran == 1,
            "answered with status 200, but did not run once",
        )
    return result


def host_dies(fleet: Fleet) -> ScenarioResult:
    """A host is killed during a letter; another host serves the rest."""
    dying, other = fleet.hosts[1], fleet.hosts[2]
    messages = [{"role": "user", "content": "The autumn wardrobe letter"}]
    payload = {"model": "adviser-letters", "messages": messages, "stream": True}
    answer = fleet.http.request(
        "POST",
        f"http://{dying.callers}/v1/chat/completions",
        body=json.dumps(payload | {"max_tokens": LETTER_TOKENS}),
        headers={"Authorization": f"Bearer {ADVISER_KEY}"},
        preload_content=False,
        timeout=60,
    )
    received = b""
    while received.count(b"\nid: ") < 20:
        received += answer.read1(4096)
    dying.process.kill()
    last, received = last_event(received)
    rest = fleet.http.request(
        "GET",
        f"http://{other.callers}/v1/requests/{answer.headers['Request-Id']}",
        headers={"Authorization": f"Bearer {ADVISER_KEY}", "Last-Event-ID": str(last)},
        timeout=60,
    )
    text = (received + rest.data).split(b"\n")
    id_lines = [line for line in text if line.startswith(b"id: ")]
    expected = [b"id: %d" % n for n in range(LETTER_TOKENS // 8 + 1)]
    result = ScenarioResult(
        "host dies within a letter", f"{last + 1} events, then {rest.status}"
    )
    result.observed += f" and {len(id_lines) - last - 1} more from {other.name}"
    expect(result, id_lines == expected, "the two parts are not the whole letter")
    expect(result, rest.data.rstrip().endswith(b"data: [DONE]"), "no [DONE] event")
    runs = fleet.engine_runs().get(prompt_digest(messages))
    expect(result, runs == 1, "did not run once")
    return result


def last_event(data: bytes) -> tuple[int, bytes]:
    """Return the id of the last complete event, and ``data`` up to its end."""
    complete = data[: data.rindex(b"\n\n") + 2]
    id_lines = [line for line in complete.split(b"\n") if line.startswith(b"id: ")]
    return int(id_lines[-1][4:]), complete


def describe(answer: urllib3.BaseHTTPResponse) -> str:
    """Return the status of an answer, and the reason if it is a refusal."""
    if answer.status == 200:
        return "200"
    return f"{answer.status} {json.loads(answer.data).get('reason')}"


SCENARIOS = (
    streamed_letter,
    sizing_question,
    charge_twice,
    order_in_outage,
    overload_burst,
    host_dies,
)
