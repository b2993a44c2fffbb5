"""Failures of hosts and targets, with each entry host in its own process."""

import json
import re
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from godwitladder.decisions.rendezvous import choose_host
from tests.fleet import wait_until

HOSTS = ["host-a1", "host-a2", "host-a3"]
SLOTS = 4
LEAVING_S = 2.0


def start_zone(fleet, **knobs):
    """Start a zone of three hosts and one engine with four slots."""
    engine = fleet.add_engine("engine-a1", load_lag_s=0.0, slots=50, **knobs)
    for name in HOSTS:
        fleet.add_host(name, "a")
    fleet.wait_ready()
    fleet.configure(fleet.ticket().replace("slots = 8", f"slots = {SLOTS}"))
    for host in fleet.hosts:
        wait_until(lambda host=host: links(fleet, host) == 2, "the zone's links")
    holder = choose_host(HOSTS, "a/letters")
    hosts = sorted(fleet.hosts, key=lambda host: host.name != holder)
    return engine, hosts[0], hosts[1:]


def links(fleet, host):
    """Return the number of established links from the host's metrics."""
    text = fleet.http.request("GET", f"http://{host.operators}/metrics").data
    found = re.search(rb"^godwitladder_peer_links(?:{})? (\d+)", text, re.M)
    return int(found[1]) if found else 0


class LoadMonitor:
    """Polls an engine for the maximum number of concurrent requests."""

    def __init__(self, fleet, engine):
        self.max_load = 0
        self.done = threading.Event()
        self.fleet, self.engine = fleet, engine
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        url = f"http://{self.engine.address}/load"
        while not self.done.wait(0.02):
            load = json.loads(self.fleet.http.request("GET", url).data)
            self.max_load = max(self.max_load, load["running"] + load["queued"])

    def stop(self):
        self.done.set()
        self.thread.join()
        return self.max_load


def chat_many(fleet, hosts, count, **body):
    """Send requests to the hosts round-robin; return futures of the answers."""
    pool = ThreadPoolExecutor(count)
    return [
        pool.submit(fleet.chat, hosts[n % len(hosts)], f"question {n}", **body)
        for n in range(count)
    ]


def all_ran_once(fleet, engine, count):
    runs = [row["runs"] for row in fleet.run_records(engine)]
    return runs == [1] * count


def test_the_death_of_an_allocator_loses_no_request(fleet):
    """Callers of the other hosts get answers, and each request runs once.

    The allocator is killed while grants are outstanding and requests wait. The
    others detect its death and one of them becomes the allocator. Until all have
    reported to it, each host uses the grants that it holds and then its fixed share.
    The engine never has more requests than twice its slots.
    """
    engine, holder, others = start_zone(fleet, decode_tps=20)
    monitor = LoadMonitor(fleet, engine)
    answers = chat_many(fleet, others, 12)
    wait_until(lambda: len(fleet.run_records(engine)) >= SLOTS, "the first to run")
    holder.process.kill()
    done = [answer.result().status for answer in answers]
    assert done == [200] * 12
    assert all_ran_once(fleet, engine, 12)
    assert monitor.stop() <= 2 * SLOTS


def test_a_paused_allocator_that_resumes_causes_no_second_run(fleet):
    """Guards against double execution while two hosts act as allocator.

    The allocator process is stopped until its peers time out and another host takes
    over. It then resumes with expired grants in its queues.
    """
    engine, holder, others = start_zone(fleet, decode_tps=20)
    monitor = LoadMonitor(fleet, engine)
    answers = chat_many(fleet, [holder, *others], 12)
    wait_until(lambda: len(fleet.run_records(engine)) >= SLOTS, "the first to run")
    holder.send(signal.SIGSTOP)
    wait_until(lambda: links(fleet, others[0]) == 1, "the silence to be noticed")
    holder.send(signal.SIGCONT)
    done = [answer.result().status for answer in answers]
    assert done == [200] * 12
    assert all_ran_once(fleet, engine, 12)
    assert monitor.stop() <= 2 * SLOTS


def test_a_target_that_the_list_shows_leaving_gets_no_new_work(fleet):
    """Nothing new is sent to the target two seconds after the list is updated.

    The list lags. The hosts hold allowances and have waiting requests when the
    update arrives. Requests that already run on the target are finished.
    """
    leaving, _, hosts = start_zone(fleet, decode_tps=20)
    staying = fleet.add_engine("engine-a2", decode_tps=200)
    fleet.configure(fleet.ticket(2))
    before = chat_many(fleet, hosts, 6)
    wait_until(lambda: fleet.run_records(leaving), "work on the target")
    rows = [{"address": leaving.address, "zone": "a", "leaving": True}] + [
        {"address": host.peers, "zone": host.zone, "leaving": False}
        for host in fleet.hosts
    ]
    url = f"http://{fleet.platform.address}/hosts"
    fleet.http.request("POST", url, body=json.dumps(rows))
    time.sleep(fleet.platform.standin.knobs["host_list_lag_s"] + LEAVING_S)
    ran = len(fleet.run_records(leaving))
    after = chat_many(fleet, hosts, 6)
    assert [answer.result().status for answer in before + after] == [200] * 12
    assert len(fleet.run_records(leaving)) == ran
    assert len(fleet.run_records(staying)) == 12 - ran


def test_work_spills_to_another_zone_and_goes_on_without_it(fleet):
    """A full zone uses free slots of another zone until that zone fails.

    Zone a has one slot, so its host also reports to zone b and gets grants. Then
    the host of zone b is killed while grants are outstanding. The waiting requests
    run in zone a, and none runs twice.
    """
    home = fleet.add_engine("engine-a1", decode_tps=40)
    away = fleet.add_engine("engine-b1", decode_tps=40)
    near, far = fleet.add_host("host-a1", "a"), fleet.add_host("host-b1", "b")
    fleet.wait_ready()
    ticket = fleet.ticket().replace("slots = 8", "slots = 1")
    there = f'address = "{away.address}"\nzone = '
    fleet.configure(ticket.replace(f'{there}"a"', f'{there}"b"'))
    wait_until(lambda: links(fleet, near) == 1, "the link between the zones")
    answers = chat_many(fleet, [near], 8)
    wait_until(lambda: len(fleet.run_records(away)) >= 2, "work in the other zone")
    far.process.kill()
    assert [answer.result().status for answer in answers] == [200] * 8
    runs = [row["runs"] for row in fleet.run_records(home) + fleet.run_records(away)]
    assert runs == [1] * 8
