"""A crashing request sent to several hosts; counts the engines that it crashes."""

import itertools
import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from godwitladder.standins.base import Hangup
from godwitladder.standins.engine import start_engine
from tests.fleet import OPERATOR_TOKEN, Fleet, wait_until

ENGINES = 4
BYSTANDERS = 12
POISON = "a poisoned prompt"


def add_engines(fleet: Fleet) -> list[str]:
    """Start engines that can crash; return a list that receives the crashed ones."""
    crashed: list[str] = []
    for index in range(ENGINES):
        name = f"engine-a{index}"
        fleet.engines[name] = start_crashing_engine(fleet, name, crashed)
    return crashed


def start_crashing_engine(fleet: Fleet, name: str, crashed: list[str]):
    def hang_up(*args):
        raise Hangup

    def crash() -> None:
        crashed.append(name)
        server.standin.await_events = hang_up
        server.shutdown()
        server.server_close()

    server = start_engine(crash=crash, crash_text=POISON, decode_tps=50)
    fleet.stack.callback(server.server_close)
    fleet.stack.callback(server.shutdown)
    return server


def ask(fleet: Fleet, host, text: str, key: str, **body):
    headers = {"Idempotency-Key": key} if key else {}
    return fleet.chat(host, text, headers=headers, **body)


def refusal_of(answer) -> tuple[str, str]:
    body = json.loads(answer.data)
    return body["reason"], body["outcome"]


def test_crashing_request_takes_two_targets_and_is_refused_everywhere(fleet):
    """Guards against a request that crashes one target after another.

    It is sent repeatedly to different hosts, with new keys or without a key.
    The first crash makes it and the requests running beside it suspects, and
    its trial crashes a second target. From then on every host refuses it as
    not run until an operator lifts the quarantine. The requests that ran
    beside it are tried and answered, and so are similar prompts.
    """
    crashed = add_engines(fleet)
    for name, zone in (("host-a1", "a"), ("host-a2", "a"), ("host-b1", "b")):
        fleet.add_host(name, zone)
    fleet.wait_ready()
    fleet.configure()
    hosts = itertools.cycle(fleet.hosts)
    with ThreadPoolExecutor(BYSTANDERS) as pool:
        bystanders = [
            pool.submit(
                ask, fleet, host, f"letter {index}", f"b{index}", simulate_output=60
            )
            for index, host in zip(range(BYSTANDERS), hosts, strict=False)
        ]
        wait_until(
            lambda: (
                sum(map(len, map(fleet.run_records, fleet.engines.values())))
                == BYSTANDERS
            ),
            "the letters to run",
        )
        answers = [
            ask(fleet, host, POISON, f"k{index}" if index % 2 else "")
            for index, host in zip(range(9), hosts, strict=False)
        ]
        bystander_answers = [row.result() for row in bystanders]
    assert len(crashed) == 2
    assert [refusal_of(row) for row in answers[:2]] == [
        ("target_lost", "may_have_run")
    ] * 2
    assert {refusal_of(row) for row in answers[2:]} == {("quarantined", "not_run")}
    assert {row.status for row in bystander_answers} <= {200, 502}
    for index, host in zip(range(BYSTANDERS), hosts, strict=False):
        again = ask(fleet, host, f"letter {index}", f"c{index}")
        assert again.status == 200, again.data
    assert ask(fleet, fleet.hosts[0], POISON.upper(), "like").status == 200
    lift(fleet)
    wait_until(
        lambda: (
            refusal_of(ask(fleet, fleet.hosts[2], POISON, "lifted"))[0] != "quarantined"
        ),
        "the lifted request to run",
    )
    assert len(crashed) == 3


def lift(fleet: Fleet) -> None:
    """Lift the only quarantine through the command line."""
    shown = run_command(fleet, "show").splitlines()
    assert len(shown) == 1
    digest = json.loads(shown[0])["digest"]
    run_command(fleet, "lift", digest, "--operator", "hanna")


def run_command(fleet: Fleet, *arguments: str) -> str:
    command = [sys.executable, "-m", "godwitladder", "quarantine", *arguments]
    done = subprocess.run(
        [*command, "--host", fleet.hosts[1].operators],
        env={**os.environ, "GODWITLADDER_TOKEN": OPERATOR_TOKEN},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout
