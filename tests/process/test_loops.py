"""An unexpected error costs one turn of a loop; the loop goes on after it."""

import asyncio
import logging
import threading
from types import SimpleNamespace

import pytest

from godwitladder.clock import Clock, ManualClock
from godwitladder.daemon import EntryHost
from godwitladder.discovery.feed import Feed
from godwitladder.logs import BoundedHandler
from godwitladder.membership.links import Link
from godwitladder.membership.mesh import Mesh
from godwitladder.orders.issuer import OrderIssuer
from godwitladder.process.base_host import BaseHost
from godwitladder.process.loops import Turns
from godwitladder.rollouts.status import StatusWriter
from godwitladder.routing.daemon import RoutingHost
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.scheduler import load
from godwitladder.scheduler.load import LoadReader
from godwitladder.scheduler.ticker import Ticker
from godwitladder.serving.call_watcher import CallWatcher, OpenCall
from godwitladder.serving.stream_recorder import StreamRecorder
from godwitladder.settings import LimitSettings
from tests.discovery.test_discovery import MemorySource
from tests.fleet import wait_until
from tests.test_logs import RecordingHandler, make_record

NEVER = float("inf")

pytestmark = pytest.mark.filterwarnings(
    "ignore::pytest.PytestUnhandledThreadExceptionWarning"
)


class Faulty:
    """A function that raises an error that nobody expects, the first time.

    Attributes
    ----------
    calls : int
        Number of calls, with the one that failed.
    """

    def __init__(self, result=None):
        self.result = result
        self.calls = 0

    def __call__(self, *args, **kwargs):
        self.calls += 1
        if self.calls == 1:
            raise ZeroDivisionError("unexpected")
        return self.result() if callable(self.result) else self.result


def goes_on(fault):
    wait_until(lambda: fault.calls > 1, "another turn after the error")


class Component:
    """A started component, stopped at the end."""

    def __init__(self, component, *args):
        self.component = component
        component.start(*args)

    def __enter__(self):
        return self.component

    def __exit__(self, *_):
        self.component.stop()


def make_feed(source, publish):
    feed = Feed("h1", source, Clock(), DocumentFreshness(5.0), publish)
    feed.started -= 10
    return feed


def test_the_store_is_read_on_after_an_unexpected_error():
    """Guards against a host, or all of a fleet, that ends by an error in a read."""
    source, views = MemorySource(), []
    source.put_document(1)
    fault = Faulty(lambda: MemorySource.read_documents(source, -1))
    source.read_documents = fault
    with Component(make_feed(source, views.append)):
        wait_until(lambda: views and views[-1].document.version == 1, "the document")
    assert fault.calls > 1


def test_streams_are_recorded_after_an_unexpected_error():
    """Guards against streams that are no longer recorded, which nobody notices."""
    fault = Faulty(1)
    recorder = StreamRecorder(MemorySource(), Clock(), lambda name: False, fault)
    recorder.choose_pending = fault
    with Component(recorder):
        goes_on(fault)


def test_statuses_are_written_after_an_unexpected_error():
    """Guards against rollouts without an outcome after one error of a write."""
    fault, known = Faulty(SimpleNamespace(order=None)), []
    writer = StatusWriter(None, Clock(), known.append)
    writer.try_once = fault
    writer.log_failure = lambda *_: None
    writer.request(SimpleNamespace(order=SimpleNamespace(service="core")))
    with Component(writer):
        goes_on(fault)
        wait_until(lambda: known, "the report")


def test_an_error_in_one_call_leaves_the_others_watched():
    """Guards against callers that nobody notices to be gone after one error."""
    broken, left = Faulty(False), []
    watcher = CallWatcher(Clock())
    watcher.add(OpenCall(broken, NEVER, lambda: None))
    watcher.add(OpenCall(lambda: True, NEVER, lambda: left.append(broken.calls)))
    with Component(watcher):
        goes_on(broken)
    assert left[0] == 1


def test_ticks_go_on_after_an_unexpected_error():
    """Guards against an actor without ticks."""
    fault = Faulty()
    with Component(Ticker(Clock(), 0.01), SimpleNamespace(tell=fault)):
        goes_on(fault)


def test_loads_are_read_after_an_unexpected_error(monkeypatch):
    """Guards against an allocator that no longer learns the load of its targets."""
    monkeypatch.setattr(load, "READ_INTERVAL_S", 0.01)
    fault = Faulty({})
    watched = SimpleNamespace(get=fault)
    proxy = SimpleNamespace(targets_to_watch=lambda: watched)
    with Component(LoadReader(SimpleNamespace(proxy=lambda: proxy), Clock())):
        goes_on(fault)


def test_an_error_in_one_load_report_leaves_the_other_targets_read(monkeypatch):
    """Guards against one target whose load report ends the reading of all."""
    told = []
    monkeypatch.setattr(load, "READ_INTERVAL_S", 0.01)
    reports = Faulty(SimpleNamespace(running=1, queued=1))
    monkeypatch.setattr(load, "read_load", reports)
    watched = SimpleNamespace(get=lambda: {"t1": "a:1"})
    proxy = SimpleNamespace(targets_to_watch=lambda: watched)
    allocator = SimpleNamespace(proxy=lambda: proxy, tell=told.append)
    with Component(LoadReader(allocator, Clock())):
        wait_until(lambda: told, "a load report")


def test_orders_are_sent_after_an_unexpected_error():
    """Guards against targets that never get their orders after one error."""
    fault = Faulty(SimpleNamespace(targets={}))
    with Component(OrderIssuer("h1", "z1", None, None, Clock(), fault)):
        goes_on(fault)


@pytest.mark.parametrize("part", ["update", "reload"])
def test_the_host_list_is_read_after_an_unexpected_error(part):
    """Guards against a host that no longer follows the host list or its settings."""
    fault, quick = Faulty(0.01), lambda *_: 0.01
    host = SimpleNamespace(
        clock=Clock(),
        stopping=threading.Event(),
        mesh=SimpleNamespace(current=list),
        host_list=SimpleNamespace(
            update=fault if part == "update" else quick,
            leave=quick,
            left=threading.Event(),
        ),
        feed=SimpleNamespace(hosts=()),
        reload_if_changed=fault if part == "reload" else quick,
    )
    run_host_loop(RoutingHost, host, fault)


def test_the_platforms_host_list_is_read_after_an_unexpected_error(monkeypatch):
    """Guards against a host that ends as its platform's host list has an odd value."""
    fault = Faulty(())
    client = SimpleNamespace(read=fault, close=lambda: None)
    monkeypatch.setattr("godwitladder.daemon.HostListClient", lambda *_: client)
    monkeypatch.setattr("godwitladder.daemon.HOST_LIST_PERIOD_S", 0.01)
    host = SimpleNamespace(
        clock=Clock(),
        stopping=threading.Event(),
        settings=SimpleNamespace(platform=SimpleNamespace(hosts=""), zone="z1"),
        membership=SimpleNamespace(tell=lambda message: None),
        update_metrics=lambda: None,
    )
    run_host_loop(EntryHost, host, fault)


def run_host_loop(kind, host, fault):
    """Run the loop of a host over its host list until a turn follows the error."""
    for name in ("make_turns", "update_host_list", "read_host_list"):
        if hasattr(kind, name):
            setattr(host, name, getattr(kind, name).__get__(host))
    host.supervise = lambda turns: turns
    thread = threading.Thread(target=kind.poll_host_list, args=(host,), daemon=True)
    thread.start()
    try:
        goes_on(fault)
    finally:
        host.stopping.set()


def test_lines_are_written_after_an_unexpected_error():
    """Guards against a host without any log after one line that can't be written."""
    target = RecordingHandler()
    fault = Faulty()
    target.emit = fault
    handler = BoundedHandler(target, Clock())
    handler.start()
    handler.emit(make_record())
    handler.emit(make_record())
    goes_on(fault)


def test_peers_are_dialled_after_an_unexpected_error():
    """Guards against an address that is never dialled again after one error."""
    fault = Faulty(lambda: asyncio.sleep(0))
    mesh = Mesh("h1", "127.0.0.1:1", "secret", Clock(), lambda *_: None)
    mesh._run_dialled_link = fault
    mesh.dial_addresses = {"127.0.0.1:2"}

    async def dial():
        task = asyncio.ensure_future(mesh._keep_dialling("127.0.0.1:2"))
        for _ in range(500):
            await asyncio.sleep(0.01)
            if fault.calls > 1 or task.done():
                break
        task.cancel()

    asyncio.run(dial())
    assert fault.calls > 1


class Connection:
    """A connection on which two messages arrive, and then none."""

    def __init__(self, messages):
        self.messages = messages
        self.transport = SimpleNamespace(abort=lambda: self.ended.append("aborted"))
        self.ended = []

    async def __aiter__(self):
        for message in self.messages:
            yield message

    async def send(self, data):
        raise ZeroDivisionError("unexpected")


def make_link(connection):
    return Link("h2", "127.0.0.1:2", connection, Clock(), lambda call: call())


def test_a_link_that_can_not_be_written_to_is_closed():
    """Guards against a link that is read from and never written to again."""
    connection = Connection([])
    link = make_link(connection)

    async def write():
        link.queue(b"one")
        link.ready.set()
        await asyncio.wait([asyncio.ensure_future(link.write())], timeout=5)

    asyncio.run(write())
    assert connection.ended == ["aborted"]


def raise_deeply(depth):
    if depth == 0:
        raise RecursionError("x" * 100_000)
    raise_deeply(depth - 1)


def test_the_lines_about_failed_turns_are_few_and_short(caplog):
    """Guards against a log that one value in the store fills."""
    clock, counted = ManualClock(), []
    turns = Turns("feed", clock)
    turns.count = counted.append
    with caplog.at_level(logging.ERROR, "godwitladder.loops"):
        for _ in range(100):
            turns.run(raise_deeply, 500)
            clock.advance(0.1)
    assert counted == ["feed"] * 100
    assert len(caplog.records) == 2
    for record in caplog.records:
        assert "raise_deeply" in record.trace
        assert len(record.trace) + len(record.error) < 5_000


def test_failed_turns_are_counted_in_the_metrics():
    """Guards against errors that nobody sees, as the host goes on after them."""
    host = BaseHost("h1", Clock(), LimitSettings())
    host.supervise(Turns("feed", Clock())).run(raise_deeply, 1)
    assert b'failed_turns_total{part="feed"} 1' in host.metrics.render()[0]


def test_a_host_that_can_not_listen_for_peers_ends(monkeypatch):
    """Guards against a host without peers, which acts as if it were alone."""
    failed = []

    async def fail(*_, **__):
        raise ZeroDivisionError("unexpected")

    monkeypatch.setattr("godwitladder.membership.mesh.serve", fail)
    monkeypatch.setattr(threading, "excepthook", failed.append)
    mesh = Mesh("h1", "127.0.0.1:0", "secret", Clock(), lambda *_: None)
    mesh.start()
    wait_until(lambda: failed, "the end of the thread")
    assert failed[0].thread.name == "peers"
