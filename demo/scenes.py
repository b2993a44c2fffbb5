"""The calls of the demonstration, each judged by what it promises."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import urllib3

from demo.fleet import ADVISER_KEY, RETURNS_KEY, Fleet, Host, prompt_digest

LETTER_TOKENS = 800
BURST_URGENT = 12
BURST_NORMAL = 120
# Longer than the 8 s that the declared output would take: with less, a host
# that has learned nothing yet may rightly refuse the whole burst.
BURST_TOKENS = 1600
BURST_TIMEOUT_S = "12"
TAKEN_S = 20.0


@dataclass
class Row:
    """One line of the table.

    Attributes
    ----------
    faults : list of str
        What was not as promised; empty if all was.
    """

    scene: str
    got: str
    faults: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Sent:
    """One call and what came back."""

    digest: str
    status: int
    body: bytes
    headers: dict

    @property
    def outcome(self) -> str:
        """The outcome that a refusal tells, or ``completed``."""
        if self.status == 200:
            return "completed"
        return json.loads(self.body).get("outcome", "unknown")


def send_chat(
    fleet: Fleet, host: Host, text: str, key: str = ADVISER_KEY, headers=None, **body
) -> Sent:
    """Ask a host for a chat completion."""
    messages = [{"role": "user", "content": text}]
    raw = {"model": "adviser-letters", "messages": messages, "max_tokens": 80}
    answer = fleet.http.request(
        "POST",
        f"http://{host.callers}/v1/chat/completions",
        body=json.dumps(raw | body),
        headers={"Authorization": f"Bearer {key}", **(headers or {})},
        timeout=60,
    )
    return Sent(
        prompt_digest(messages), answer.status, answer.data, dict(answer.headers)
    )


def send_plain(
    fleet: Fleet, host: Host, service: str, body: bytes, key: str
) -> urllib3.BaseHTTPResponse:
    """Call a plain service with an idempotency key."""
    headers = {"Authorization": f"Bearer {ADVISER_KEY}", "Idempotency-Key": key}
    url = f"http://{host.callers}/v1/services/{service}"
    return fleet.http.request("POST", url, body=body, headers=headers, timeout=60)


def expect(row: Row, holds: bool, fault: str) -> None:
    """Note ``fault`` in the row unless ``holds``."""
    if not holds:
        row.faults.append(fault)


def streamed_letter(fleet: Fleet) -> Row:
    """A letter comes as events in order, to its end, and runs once."""
    sent = send_chat(fleet, fleet.hosts[0], "The spring wardrobe letter", stream=True)
    numbers = [line for line in sent.body.split(b"\n") if line.startswith(b"id: ")]
    row = Row("streamed letter", f"{sent.status}, {len(numbers)} events")
    expect(row, numbers == [b"id: %d" % n for n in range(11)], "events out of order")
    expect(row, sent.body.rstrip().endswith(b"data: [DONE]"), "no end mark")
    expect(row, fleet.engine_runs().get(sent.digest) == 1, "did not run once")
    return row


def sizing_question(fleet: Fleet) -> Row:
    """A short question is answered whole by any host."""
    sent = send_chat(fleet, fleet.hosts[2], "Is 40 right at 28 weeks?")
    row = Row("sizing question", f"{sent.status}")
    expect(row, sent.status == 200, sent.body.decode())
    if sent.status == 200:
        choice = json.loads(sent.body)["choices"][0]
        row.got += f", {len(choice['message']['content'].split())} words"
        expect(row, choice["finish_reason"] == "stop", "not whole")
    expect(row, fleet.engine_runs().get(sent.digest) == 1, "did not run once")
    return row


def charge_twice(fleet: Fleet) -> Row:
    """The same charge, sent at once to two hosts, is made once."""
    body = b'{"charge": "box 17"}'
    with ThreadPoolExecutor() as pool:
        tries = [
            pool.submit(send_plain, fleet, host, "charge", body, "charge-17")
            for host in fleet.hosts[:2]
        ]
        answers = [item.result() for item in tries]
    runs = fleet.service_runs(body)
    got = " and ".join(describe(answer) for answer in answers)
    row = Row("charge sent twice at once", f"{got}; ran {runs} time(s)")
    expect(row, runs == 1, "was not charged once")
    expect(row, any(answer.status == 200 for answer in answers), "nobody was told")
    for answer in answers:
        untrue = answer.status != 200 and b'"not_run"' in answer.data and runs
        in_use = b'"key_in_use"' in answer.data
        expect(row, not untrue or in_use, "an untrue not_run")
    return row


def order_in_outage(fleet: Fleet) -> Row:
    """While the log is out, an order goes through with an issued key.

    With a key of the caller's own it is refused at once, truly not run, and
    goes through with the same key when the log is back.
    """
    issued, own = b'{"order": "parcel 1"}', b'{"order": "parcel 2"}'
    fleet.set_knobs(fleet.platform, outage=True)
    try:
        key = ask_key(fleet, fleet.hosts[0])
        first = send_plain(fleet, fleet.hosts[0], "order", issued, key)
        again = send_plain(fleet, fleet.hosts[1], "order", issued, key)
        refused = send_plain(fleet, fleet.hosts[1], "order", own, "parcel-2")
        ran_in_outage = fleet.service_runs(own)
    finally:
        fleet.set_knobs(fleet.platform, outage=False)
    later = send_until_taken(fleet, fleet.hosts[1], "order", own, "parcel-2")
    row = Row(
        "order during a log outage",
        f"issued key {describe(first)}, again {describe(again)}; "
        f"own key {describe(refused)}, later {describe(later)}",
    )
    expect(row, first.status == 200, "the order with an issued key was lost")
    expect(row, fleet.service_runs(issued) == 1, "the order did not run once")
    expect(row, b'"not_run"' in refused.data, "no true refusal in the outage")
    expect(row, ran_in_outage == 0, "refused as not run, but it ran")
    expect(row, "Retry-After" in refused.headers, "no word when to come back")
    expect(row, later.status == 200, "the key was burnt by the refusal")
    expect(row, fleet.service_runs(own) == 1, "the later order did not run once")
    return row


def send_until_taken(
    fleet: Fleet, host: Host, service: str, body: bytes, key: str
) -> urllib3.BaseHTTPResponse:
    """Send a call again with its key, each time when the refusal says to."""
    due = time.monotonic() + TAKEN_S
    while True:
        answer = send_plain(fleet, host, service, body, key)
        if b'"not_run"' not in answer.data or time.monotonic() > due:
            return answer
        time.sleep(float(answer.headers.get("Retry-After", 1)))


def ask_key(fleet: Fleet, host: Host) -> str:
    """Return a key issued by ``host``."""
    answer = fleet.send_request(
        "POST", f"http://{host.callers}/v1/keys", token=ADVISER_KEY
    )
    return json.loads(answer.data)["key"]


def overload_burst(fleet: Fleet) -> Row:
    """Far more than fits: the upper tier is served, refusals are true."""
    timeout = {"Request-Timeout": BURST_TIMEOUT_S}

    def ask(number: int) -> tuple[str, Sent]:
        urgent = number % 11 == 0 and number // 11 < BURST_URGENT
        tier = "urgent" if urgent else "normal"
        key = ADVISER_KEY if urgent else RETURNS_KEY
        host = fleet.hosts[number % len(fleet.hosts)]
        text = f"{tier} {number}"
        return tier, send_chat(fleet, host, text, key, timeout, max_tokens=BURST_TOKENS)

    count = BURST_URGENT + BURST_NORMAL
    with ThreadPoolExecutor(count) as pool:
        sent = list(pool.map(ask, range(count)))
    runs = fleet.engine_runs()
    got = {
        tier: [item for name, item in sent if name == tier]
        for tier in ("urgent", "normal")
    }
    done = {tier: sum(i.status == 200 for i in rows) for tier, rows in got.items()}
    row = Row(
        "overload burst",
        "; ".join(f"{tier} {done[tier]} of {len(got[tier])}" for tier in got),
    )
    shed = [item for item in got["urgent"] if item.status != 200]
    for item in shed:
        detail = json.loads(item.body)["detail"]
        expect(row, False, f"the upper tier was shed: {detail}")
    for _, item in sent:
        ran = runs.get(item.digest, 0)
        expect(row, ran <= 1, "ran twice")
        expect(row, item.outcome != "not_run" or ran == 0, "an untrue not_run")
        expect(row, item.status != 200 or ran == 1, "answered without a run")
    return row


def host_dies(fleet: Fleet) -> Row:
    """The host dies within a letter; another one gives the rest of it."""
    dying, other = fleet.hosts[1], fleet.hosts[2]
    messages = [{"role": "user", "content": "The autumn wardrobe letter"}]
    raw = {"model": "adviser-letters", "messages": messages, "stream": True}
    answer = fleet.http.request(
        "POST",
        f"http://{dying.callers}/v1/chat/completions",
        body=json.dumps(raw | {"max_tokens": LETTER_TOKENS}),
        headers={"Authorization": f"Bearer {ADVISER_KEY}"},
        preload_content=False,
        timeout=60,
    )
    begun = b""
    while begun.count(b"\nid: ") < 20:
        begun += answer.read1(4096)
    dying.process.kill()
    last, begun = last_event(begun)
    rest = fleet.http.request(
        "GET",
        f"http://{other.callers}/v1/requests/{answer.headers['Request-Id']}",
        headers={"Authorization": f"Bearer {ADVISER_KEY}", "Last-Event-ID": str(last)},
        timeout=60,
    )
    text = (begun + rest.data).split(b"\n")
    numbers = [line for line in text if line.startswith(b"id: ")]
    wanted = [b"id: %d" % n for n in range(LETTER_TOKENS // 8 + 1)]
    row = Row("host dies within a letter", f"{last + 1} events, then {rest.status}")
    row.got += f" and {len(numbers) - last - 1} more from {other.name}"
    expect(row, numbers == wanted, "the two parts are not the whole letter")
    expect(row, rest.data.rstrip().endswith(b"data: [DONE]"), "no end mark")
    runs = fleet.engine_runs().get(prompt_digest(messages))
    expect(row, runs == 1, "did not run once")
    return row


def last_event(data: bytes) -> tuple[int, bytes]:
    """Return the number of the last whole event, and ``data`` up to its end."""
    whole = data[: data.rindex(b"\n\n") + 2]
    numbers = [line for line in whole.split(b"\n") if line.startswith(b"id: ")]
    return int(numbers[-1][4:]), whole


def describe(answer: urllib3.BaseHTTPResponse) -> str:
    """Return status and reason of an answer, for the table."""
    if answer.status == 200:
        return "200"
    return f"{answer.status} {json.loads(answer.data).get('reason')}"


SCENES = (
    streamed_letter,
    sizing_question,
    charge_twice,
    order_in_outage,
    overload_burst,
    host_dies,
)
