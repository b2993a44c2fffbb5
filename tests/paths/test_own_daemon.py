"""The product's own interface on a host without paths, as real processes."""

import json

import pytest

from soak.proxy import CutMode, Proxy
from tests.fleet import wait_until


@pytest.mark.parametrize("mode", CutMode)
def test_callers_of_a_host_without_paths_get_their_answers(fleet, mode):
    """Guards against a daemon that knows other ways and doesn't take them."""
    servers = [
        fleet.add_engine("engine-a1", decode_tps=400),
        fleet.add_service("app-a1"),
    ]
    paths = {server.address: Proxy(server.address) for server in servers}
    for path in paths.values():
        fleet.stack.callback(path.close)
    proxies = {address: path.address for address, path in paths.items()}
    host = fleet.add_host("host-a1", "a", proxies=proxies)
    fleet.add_host("host-a2", "a")
    fleet.wait_ready()
    fleet.configure()
    wait_until(lambda: fleet.call(host, "lookup", b"x").status == 200, "an answer")
    for path in paths.values():
        path.cut(mode)
    for number in range(4):
        assert fleet.call(host, "lookup", b"order %d" % number).status == 200
        joined = fleet.chat(host, f"question {number}")
        assert joined.status == 200, joined.data
        assert json.loads(joined.data)["choices"][0]["finish_reason"] == "stop"
        streamed = fleet.chat(host, f"letter {number}", stream=True)
        assert streamed.data.rstrip().endswith(b"data: [DONE]")
