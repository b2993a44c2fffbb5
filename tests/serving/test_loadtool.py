"""Tests that the load tool counts every call once, by its outcome."""

import contextlib
import threading

from godwitladder.clock import Clock
from godwitladder.loadtool import LoadGenerator, format_results, read_caller
from godwitladder.serving.listener import make_listener
from godwitladder.standins.engine import start_engine
from godwitladder.standins.ports import free_ports
from tests.fleet import CALLER_KEY
from tests.serving.app import App, make_settings


def test_each_call_is_counted_by_its_outcome():
    limits = make_settings().limits
    with contextlib.ExitStack() as stack:
        engine = start_engine(crash=lambda: None, decode_tps=1000)
        stack.callback(engine.server_close)
        stack.callback(engine.shutdown)
        address = f"127.0.0.1:{free_ports(1)[0]}"
        app = App(stack, engine=engine.address).app
        server = make_listener(app, address, limits, 8)
        stack.callback(server.close)
        stack.callback(server.task_dispatcher.shutdown)
        threading.Thread(target=server.run, daemon=True).start()
        callers = [read_caller(f"urgent={CALLER_KEY}"), read_caller("nobody=x=0.5")]
        tool = LoadGenerator([address], callers, "letters", [80], 20.0, Clock())
        tool.run(rate=100, duration_s=0.3)
    urgent, nobody = tool.results["urgent"], tool.results["nobody"]
    assert urgent.sent + nobody.sent == 30
    assert urgent.outcomes == {"completed": urgent.sent}
    assert nobody.outcomes == {"not_run/unauthenticated": nobody.sent}
    assert len(engine.standin.sequences) == urgent.sent
    lines = format_results(tool.results, 1.0)
    assert lines[0].startswith(
        f"urgent: sent {urgent.sent}, goodput {urgent.sent}.00/s"
    )
