"""Idempotency keys on several hosts; the service counts the runs of each call."""

import contextlib
import itertools
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.fleet import CALLER_KEY, Fleet, Host, digest, make_fleet, wait_until

NUMBERS = itertools.count()
SLOTS = 3


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(tmp_path_factory.mktemp("claims"), stack)
        fleet.add_service("app-a1")
        fleet.add_engine("engine-a1", decode_tps=200)
        for name, zone in (("host-a1", "a"), ("host-a2", "a"), ("host-b1", "b")):
            add_host(fleet, name, zone)
        fleet.wait_ready()
        fleet.configure(ticket(fleet))
        wait_until(lambda: linked(fleet), "all hosts to know each other")
        yield fleet


def add_host(fleet: Fleet, name: str, zone: str = "a") -> Host:
    return fleet.add_host(name, zone, "[claims]\npatience_s = 1.0\n")


def ticket(fleet: Fleet) -> str:
    """Return a ticket whose plain service has few slots."""
    text = fleet.ticket().replace(
        'services = ["letters"]', 'services = ["letters", "certificate"]'
    )
    text = text.replace('"lookup"]\nslots = 8', '"lookup"]\nslots = 3')
    return text + '\n[services.certificate]\nkind = "model"\nidempotent = false\n'


@pytest.fixture(autouse=True)
def without_faults(fleet):
    """Start each test without faults, and reset injected faults afterwards."""
    for host in fleet.hosts:
        wait_until(
            lambda host=host: charge(fleet, host, new_key()).status == 200,
            f"{host.name} to claim",
        )
    yield
    fleet.set_knobs(
        fleet.platform, outage=False, cut_zones=[], delay_s=0.0, lose_answers=0
    )
    fleet.set_knobs(fleet.services["app-a1"], delay_s=0.01)


def linked(fleet: Fleet) -> bool:
    return all(metric(fleet, host, "peer_links") == 2 for host in fleet.hosts)


def metric(fleet: Fleet, host: Host, name: str) -> float:
    url = f"http://{host.operators}/metrics"
    lines = fleet.http.request("GET", url).data.decode().splitlines()
    found = [line for line in lines if line.startswith(f"godwitladder_{name}")]
    return float(found[0].split()[-1]) if found else 0.0


def take_slots(fleet: Fleet, pool: ThreadPoolExecutor, host: Host) -> list:
    """Occupy all slots of the plain service by calls through ``host``."""
    keys = [new_key() for _ in range(SLOTS)]
    busy = [pool.submit(charge, fleet, host, key) for key in keys]
    wait_until(
        lambda: all(runs(fleet, key) == 1 for key in keys), "the slots to be taken"
    )
    return busy


def new_key() -> str:
    return f"order-{next(NUMBERS)}"


def charge(fleet: Fleet, host: Host, key: str, body: bytes = b"", timeout: str = "20"):
    body = body or f"charge for {key}".encode()
    headers = {"Idempotency-Key": key, "Request-Timeout": timeout}
    return fleet.call(host, "charge", body, headers)


def runs(fleet: Fleet, key: str) -> int:
    body = digest(f"charge for {key}")
    return sum(
        row["digest"] == body for row in fleet.run_records(fleet.services["app-a1"])
    )


def problem(answer) -> tuple[str, str]:
    body = json.loads(answer.data)
    return body["reason"], body["outcome"]


def issue(fleet: Fleet, host: Host) -> str:
    answer = fleet.http.request(
        "POST",
        f"http://{host.callers}/v1/keys",
        headers={"Authorization": f"Bearer {CALLER_KEY}"},
    )
    assert answer.status == 201, answer.data
    return json.loads(answer.data)["key"]


@pytest.mark.parametrize("make", ["opaque", "issued"])
def test_key_sent_at_once_to_all_hosts_runs_once(fleet, make):
    """Every copy of a call gets the same complete answer.

    A caller's first attempt and its retries reach several hosts concurrently.
    One host wins or has issued the key; the others forward the call to it.
    """
    key = new_key() if make == "opaque" else issue(fleet, fleet.hosts[0])
    fleet.set_knobs(fleet.services["app-a1"], delay_s=0.3)
    with ThreadPoolExecutor(9) as pool:
        answers = list(pool.map(lambda host: charge(fleet, host, key), fleet.hosts * 3))
    assert {answer.status for answer in answers} == {200}
    assert len({answer.data for answer in answers}) == 1
    assert runs(fleet, key) == 1


def test_lost_answer_to_an_append_changes_nothing(fleet):
    """The caller gets its answer although the log's response was lost.

    The claim is stored but the response to its append is lost. The host finds
    its claim by reading, dispatches once, and holds the key against a retry.
    """
    key = new_key()
    fleet.set_knobs(fleet.platform, lose_answers=1)
    assert charge(fleet, fleet.hosts[0], key).status == 200
    assert charge(fleet, fleet.hosts[1], key).status == 200
    assert runs(fleet, key) == 1


@pytest.mark.parametrize("fault", [{"outage": True}, {"cut_zones": ["a"]}])
def test_outage_refuses_immediately_and_leaves_key_usable(fleet, fault):
    """In an outage the caller gets "not run" and a time to retry after.

    The log responds to no host, or to none in availability zone a. The claim is
    released, and once the log responds again, the caller's retry runs on any
    host. An issued key needs no log and runs during the outage.
    """
    key = new_key()
    fleet.set_knobs(fleet.platform, **fault)
    refused = charge(fleet, fleet.hosts[0], key)
    assert problem(refused) == ("log_unavailable", "not_run")
    assert refused.headers["Retry-After"] == "1"
    assert runs(fleet, key) == 0
    issued = issue(fleet, fleet.hosts[0])
    assert charge(fleet, fleet.hosts[1], issued).status == 200
    assert runs(fleet, issued) == 1
    fleet.set_knobs(fleet.platform, outage=False, cut_zones=[])
    wait_until(
        lambda: charge(fleet, fleet.hosts[1], key).status == 200, "the key to run"
    )
    assert runs(fleet, key) == 1


def test_claim_stored_late_leaves_key_usable(fleet):
    """The caller is refused, and its retry runs although the claim was stored late.

    The log responds only after the host has stopped waiting, but stores the
    claim nevertheless. The host releases it afterwards.
    """
    key = new_key()
    fleet.set_knobs(fleet.platform, delay_s=2.5)
    refused = charge(fleet, fleet.hosts[0], key)
    assert problem(refused) == ("log_unavailable", "not_run")
    fleet.set_knobs(fleet.platform, delay_s=0.0)
    wait_until(
        lambda: charge(fleet, fleet.hosts[2], key).status == 200, "the key to run"
    )
    assert runs(fleet, key) == 1


def test_key_that_was_given_up_is_free_on_another_host(fleet):
    """A request that missed its deadline can be retried with the same key.

    It held its key and waited for a target until its deadline passed, and was
    refused as not run. Its claim is released, so another host can run it.
    """
    key = new_key()
    fleet.set_knobs(fleet.services["app-a1"], delay_s=1.0)
    with ThreadPoolExecutor(SLOTS) as pool:
        busy = take_slots(fleet, pool, fleet.hosts[0])
        refused = charge(fleet, fleet.hosts[0], key, timeout="0.2")
        assert problem(refused) == ("deadline", "not_run")
        assert [row.result().status for row in busy] == [200] * SLOTS
    wait_until(
        lambda: charge(fleet, fleet.hosts[1], key).status == 200, "the key to run"
    )
    assert runs(fleet, key) == 1


def test_lost_answer_of_the_service_holds_the_key(fleet):
    """A call that ran but whose answer was lost is not run again by any host.

    The caller and each retry are told that it may have run.
    """
    key = new_key()
    fleet.set_knobs(fleet.services["app-a1"], lose_answers=1)
    for host in fleet.hosts:
        lost = charge(fleet, host, key)
        assert problem(lost) == ("target_lost", "may_have_run")
    assert runs(fleet, key) == 1


def test_key_with_another_body_is_refused_on_any_host(fleet):
    """A key used with one body is refused with another body on every host."""
    key = new_key()
    assert charge(fleet, fleet.hosts[0], key).status == 200
    for host in fleet.hosts:
        refused = charge(fleet, host, key, b"another order")
        assert problem(refused) == ("key_reused", "not_run")


def test_forged_issued_key_is_refused(fleet):
    """A key without a valid signature is not accepted as an issued key."""
    key = issue(fleet, fleet.hosts[0])
    refused = charge(fleet, fleet.hosts[0], key[:10] + "AAAA" + key[14:])
    assert problem(refused) == ("malformed", "not_run")


@pytest.mark.parametrize("make", ["opaque", "issued"])
def test_killed_host_leaves_its_key_as_may_have_run(fleet, make):
    """The caller learns that its call may have run, and it does not run again.

    The host is killed after the first byte was sent to the service. The caller
    retries on another host, which can't know how far the first one got.
    """
    host = add_host(fleet, f"host-{next(NUMBERS)}")
    fleet.wait_ready()
    key = new_key() if make == "opaque" else issue(fleet, host)
    fleet.set_knobs(fleet.services["app-a1"], delay_s=1.0)
    with ThreadPoolExecutor(1) as pool:
        lost = pool.submit(charge, fleet, host, key)
        wait_until(lambda: runs(fleet, key) == 1, "the charge to run")
        host.send(signal.SIGKILL)
        assert lost.exception() is not None
    fleet.hosts.remove(host)
    for other in fleet.hosts:
        again = charge(fleet, other, key)
        assert problem(again) == ("key_in_use", "may_have_run")
    assert runs(fleet, key) == 1


def test_host_killed_while_it_claims_runs_nothing_twice(fleet):
    """A claim may be stored after its host died; the call runs at most once.

    The host dies while its append is in progress. Another host either wins
    the key, or finds it held by the dead host and answers "may have run".
    """
    host = add_host(fleet, f"host-{next(NUMBERS)}")
    fleet.wait_ready()
    key = new_key()
    fleet.set_knobs(fleet.platform, delay_s=0.6)
    with ThreadPoolExecutor(1) as pool:
        lost = pool.submit(charge, fleet, host, key)
        time.sleep(0.3)
        host.send(signal.SIGKILL)
        assert lost.exception() is not None
    fleet.hosts.remove(host)
    fleet.set_knobs(fleet.platform, delay_s=0.0)
    answers = [charge(fleet, other, key) for other in fleet.hosts]
    for answer in answers:
        held = answer.status == 409 and problem(answer)[1] == "may_have_run"
        assert answer.status == 200 or held, answer.data
    assert runs(fleet, key) == (200 in {answer.status for answer in answers})


def test_stream_of_a_killed_host_is_found_by_its_claim(fleet):
    """The caller of a killed host can fetch its answer through another host.

    The claim's nonce is the id of the engine's stream. Another host can
    therefore find the engine that runs the request, and returns the request id
    under which the answer can be fetched.
    """
    host = add_host(fleet, f"host-{next(NUMBERS)}")
    fleet.wait_ready()
    headers = {"Idempotency-Key": new_key()}
    ask = {"model": "certificate", "simulate_output": 400, "max_tokens": 400}
    engine = fleet.engines["engine-a1"]
    with ThreadPoolExecutor(1) as pool:
        lost = pool.submit(fleet.chat, host, "for Mari", headers=headers, **ask)
        wait_until(
            lambda: len(fleet.run_records(engine)) == 1, "the certificate to run"
        )
        host.send(signal.SIGKILL)
        assert lost.exception() is not None
    fleet.hosts.remove(host)
    again = fleet.chat(fleet.hosts[2], "for Mari", headers=headers, **ask)
    assert problem(again) == ("key_in_use", "may_have_run")
    answer = fleet.http.request(
        "GET",
        f"http://{fleet.hosts[1].callers}/v1/requests/{again.headers['Request-Id']}",
        headers={"Authorization": f"Bearer {CALLER_KEY}"},
    )
    assert answer.data.rstrip().endswith(b"[DONE]")
    assert [row["runs"] for row in fleet.run_records(engine)] == [1]


def test_frozen_host_runs_its_claim_alone_when_it_wakes(fleet):
    """The caller is told "may have run", and the call runs once.

    The host has won the key and is waiting for a target when it is frozen for
    longer than any timeout. No other host takes over the key, so the host may
    still dispatch when it resumes.
    """
    host = add_host(fleet, f"host-{next(NUMBERS)}")
    fleet.wait_ready()
    key = new_key()
    fleet.set_knobs(fleet.services["app-a1"], delay_s=3.0)
    with ThreadPoolExecutor(SLOTS + 1) as pool:
        busy = take_slots(fleet, pool, host)
        frozen = pool.submit(charge, fleet, host, key)
        time.sleep(0.3)
        host.send(signal.SIGSTOP)
        again = charge(fleet, fleet.hosts[1], key, timeout="4")
        assert problem(again) == ("key_in_use", "may_have_run")
        host.send(signal.SIGCONT)
        assert frozen.result().status == 200
        assert [row.result().status for row in busy] == [200] * SLOTS
    assert runs(fleet, key) == 1
    fleet.hosts.remove(host)
