"""What a process uses of its limits, as operators see it."""

import resource

from godwitladder.metrics import Metrics
from godwitladder.process import resources


def read_gauges(metrics):
    """Return the values of the gauges of the process by their names and labels."""
    lines = metrics.render()[0].decode().splitlines()
    rows = (line.rpartition(" ") for line in lines if "godwitladder_process_" in line)
    return {name: value for name, _, value in rows if not name.startswith("#")}


def test_use_and_limits_are_read_when_they_are_asked_for(monkeypatch):
    """Guards against operators who can't see a limit that is about to be met."""
    metrics = Metrics()
    limits = {resource.RLIMIT_AS: 5_000_000_000, resource.RLIMIT_NOFILE: 77}
    monkeypatch.setattr(resources, "soft_limit", limits.get)
    gauges = read_gauges(metrics)
    name = 'godwitladder_process_{}{{resource="{}"}}'
    for part in ("resident_bytes", "address_bytes", "data_bytes", "threads"):
        assert int(gauges[name.format("use", part)]) > 0
    assert gauges[name.format("limit", "address_bytes")] == "5000000000"
    assert gauges[name.format("limit", "descriptors")] == "77"
    assert name.format("limit", "data_bytes") not in gauges
    before = int(gauges[name.format("use", "descriptors")])
    with open("/dev/null", "rb"):
        after = int(read_gauges(metrics)[name.format("use", "descriptors")])
    assert after == before + 1
