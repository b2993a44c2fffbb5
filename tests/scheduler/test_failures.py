"""Failures of hosts and targets, with entry hosts as processes of their own."""

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
    """Start a zone of three hosts before one engine of four slots."""
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
    """Return the links that are up, as the host's metrics show."""
    text = fleet.http.request("GET", f"http://{host.operators}/metrics").data
    found = re.search(rb"^godwitladder_peer_links(?:{})? (\d+)", text, re.M)
    return int(found[1]) if found else 0


class Watch:
    """Watches how many requests an engine has at once."""

    def __init__(self, fleet, engine):
        self.most = 0
        self.done = threading.Event()
        self.fleet, self.engine = fleet, engine
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        url = f"http://{self.engine.address}/load"
        while not self.done.wait(0.02):
            load = json.loads(self.fleet.http.request("GET", url).data)
            self.most = max(self.most, load["running"] + load["queued"])

    def stop(self):
        self.done.set()
        self.thread.join()
        return self.most


def chat_many(fleet, hosts, count, **body):
    """Send requests to the hosts in turn; return what answers them."""
    pool = ThreadPoolExecutor(count)
    return [
        pool.submit(fleet.chat, hosts[n % len(hosts)], f"question {n}", **body)
        for n in range(count)
    ]


def all_ran_once(fleet, engine, count):
    runs = [row["runs"] for row in fleet.run_records(engine)]
    return runs == [1] * count


def test_the_death_of_an_allocator_costs_capacity_and_no_request(fleet):
    """Callers of the other hosts get their answers, each run once.

    The allocator dies with grants out and requests waiting. The others take
    it for dead, one of them becomes allocator, and until it has heard from
    all of them each goes by what it holds and then by its fixed share. The
    engine never has more than twice its slots.
    """
    engine, holder, others = start_zone(fleet, decode_tps=20)
    watch = Watch(fleet, engine)
    answers = chat_many(fleet, others, 12)
    wait_until(lambda: len(fleet.run_records(engine)) >= SLOTS, "the first to run")
    holder.process.kill()
    done = [answer.result().status for answer in answers]
    assert done == [200] * 12
    assert all_ran_once(fleet, engine, 12)
    assert watch.stop() <= 2 * SLOTS


def test_an_allocator_that_stands_still_and_wakes_breaks_no_promise(fleet):
    """Two hosts take themselves for the allocator; nothing runs twice.

    The allocator is stopped for longer than its peers wait, another takes
    over, and then it goes on as if nothing had happened, with grants in its
    queues that have lapsed.
    """
    engine, holder, others = start_zone(fleet, decode_tps=20)
    watch = Watch(fleet, engine)
    answers = chat_many(fleet, [holder, *others], 12)
    wait_until(lambda: len(fleet.run_records(engine)) >= SLOTS, "the first to run")
    holder.send(signal.SIGSTOP)
    wait_until(lambda: links(fleet, others[0]) == 1, "the silence to be noticed")
    holder.send(signal.SIGCONT)
    done = [answer.result().status for answer in answers]
    assert done == [200] * 12
    assert all_ran_once(fleet, engine, 12)
    assert watch.stop() <= 2 * SLOTS


def test_a_target_that_the_list_shows_leaving_gets_no_new_work(fleet):
    """Two seconds after the lagging list has the news, nothing new goes there.

    Its hosts hold allowances and have requests waiting when the news comes.
    What runs there already is finished.
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
    """A full zone uses the free slots of the next, until that is cut off.

    Zone a has one slot, so its host asks zone b, whose allocator grants. Then
    zone b's host is gone with grants out; what waits goes on in zone a, and
    nothing has run twice.
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
