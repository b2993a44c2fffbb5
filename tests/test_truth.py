"""Reported outcomes are checked against the records of the targets.

The requests are sent under random faults.
"""

import contextlib
import hashlib
import json
import random
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest
import urllib3

from tests.fleet import Fleet, make_fleet, wait_until

BATCH = 12
BATCHES = 7
PLATFORM = {"outage": False, "delay_s": 0.0, "lose_answers": 0}
ENGINE = {"hang_up_before_answer": 0, "break_after": 0, "refuse_status": 0}
SERVICE = {"delay_s": 0.01, "lose_answers": 0, "cut_answers": 0}
PLATFORM_FAULTS = [{}, {}, {"outage": True}, {"lose_answers": 3}, {"delay_s": 0.4}]
ENGINE_FAULTS = [{}, {"hang_up_before_answer": 4}, {"break_after": 2}] + [
    {"refuse_status": status} for status in (429, 500, 503)
]
SERVICE_FAULTS = [{}, {"delay_s": 0.5}, {"lose_answers": 4}, {"cut_answers": 4}]


@dataclass
class ReportedOutcomes:
    """Outcomes reported for one request body, and the number of its runs."""

    answers: list[str] = field(default_factory=list)
    idempotent: bool = False
    runs: int = 0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(tmp_path_factory.mktemp("truth"), stack)
        fleet.add_engine("engine-a1", decode_tps=400)
        fleet.add_service("app-a1")
        for name in ("host-a1", "host-a2"):
            fleet.add_host(name, "a", "[claims]\npatience_s = 0.6\n")
        fleet.wait_ready()
        fleet.configure()
        yield fleet


def set_faults(fleet: Fleet, platform: dict, engine: dict, service: dict) -> None:
    fleet.set_knobs(fleet.platform, **{**PLATFORM, **platform})
    fleet.set_knobs(fleet.engines["engine-a1"], **{**ENGINE, **engine})
    fleet.set_knobs(fleet.services["app-a1"], **{**SERVICE, **service})


def send(fleet: Fleet, host, service: str, text: str, headers: dict) -> str:
    """Return the outcome reported to the caller, or "" if there was no response."""
    try:
        if service == "letters":
            answer = fleet.chat(host, text, headers=headers, simulate_output=4)
        else:
            answer = fleet.call(host, service, text.encode(), headers)
    except urllib3.exceptions.HTTPError:
        return ""
    if answer.status == 200:
        return "completed"
    return json.loads(answer.data)["outcome"]


def send_under_faults(
    fleet: Fleet, seed: int
) -> dict[tuple[str, str], ReportedOutcomes]:
    """Send requests under random faults; return the reported outcomes by body."""
    rng = random.Random(seed)
    reported: dict[tuple[str, str], ReportedOutcomes] = defaultdict(ReportedOutcomes)
    for batch in range(BATCHES):
        faults = (PLATFORM_FAULTS, ENGINE_FAULTS, SERVICE_FAULTS)
        set_faults(fleet, *[rng.choice(rows) if batch else {} for rows in faults])
        with ThreadPoolExecutor(BATCH) as pool:
            sent = [send_one(fleet, pool, rng, seed, batch) for _ in range(BATCH)]
            for name, future in sent:
                reported[name].answers.append(future.result())
                reported[name].idempotent = name[0] != "charge"
    set_faults(fleet, {}, {}, {})
    return reported


def send_one(fleet: Fleet, pool, rng: random.Random, seed: int, batch: int):
    service = rng.choice(["letters", "charge", "charge", "lookup"])
    number = rng.randrange(8) if service == "charge" else rng.random()
    text = f"{service} {seed} {batch if rng.random() < 0.7 else 0} {number}"
    headers = {"Request-Timeout": rng.choice(["0.05", "0.5", "5"])}
    if service == "charge" or rng.random() < 0.5:
        headers["Idempotency-Key"] = text
    host = rng.choice(fleet.hosts)
    return (service, text), pool.submit(send, fleet, host, service, text, headers)


def count_runs(fleet: Fleet, reported: dict[tuple[str, str], ReportedOutcomes]) -> None:
    """Set ``runs`` of each body from the records of the targets."""
    digests = {}
    for service, text in reported:
        messages = json.dumps([{"role": "user", "content": text}])
        body = messages if service == "letters" else text
        digests[hashlib.sha256(body.encode()).hexdigest()] = (service, text)
    for server in (fleet.engines["engine-a1"], fleet.services["app-a1"]):
        for row in fleet.run_records(server):
            name = digests.get(row["digest"])
            if name:
                reported[name].runs += row.get("runs", 1)


@pytest.mark.parametrize("seed", range(4))
def test_what_was_not_run_did_not_run(fleet, seed):
    """A caller that is told "not run" can safely send its request again.

    The faults are drawn at random: the log is unavailable, slow or loses responses;
    targets refuse, hang up, or truncate or lose responses; deadlines expire at any
    stage. Idempotency keys are sent again to either host. The records of the
    targets decide whether each reported outcome was true.
    """
    reported = send_under_faults(fleet, seed)
    wait_until(lambda: is_idle(fleet), "the hosts to be idle")
    count_runs(fleet, reported)
    for name, row in reported.items():
        certain = [answer for answer in row.answers if answer]
        if certain and set(certain) == {"not_run"} and "" not in row.answers:
            assert row.runs == 0, (name, row)
        if "completed" in certain:
            assert row.runs >= 1, (name, row)
        if not row.idempotent:
            assert row.runs <= 1, (name, row)
    outcomes = {answer for row in reported.values() for answer in row.answers}
    assert {"completed", "not_run"} <= outcomes


def is_idle(fleet: Fleet) -> bool:
    texts = [
        fleet.http.request("GET", f"http://{host.operators}/metrics").data.decode()
        for host in fleet.hosts
    ]
    return all("godwitladder_requests_running 0" in text for text in texts)
