"""Hosts start whatever surrounds their process: variables, clocks, streams."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from godwitladder.platform import names
from review.common import fleet
from tests.process.deployment import Deployment, fill_in, host_fields, wait_until

READY_S = 20.0
RUN_WITH_CLOCK = """
import runpy, time
real = time.time
time.time = lambda: {clock}
runpy.run_module("godwitladder.platform", run_name="__main__")
"""
WITHOUT_TEMPORARY_FOLDER = """
import runpy, tempfile
def refuse(*_, **__):
    raise FileNotFoundError("No usable temporary directory")
tempfile._get_default_tempdir = tempfile.TemporaryFile = refuse
runpy.run_module("godwitladder.platform", run_name="__main__")
"""
LOG_ERROR = "--- Logging error ---"


@pytest.fixture
def deploy(tmp_path):
    """Return a function that makes a deployment with settings for its hosts."""
    deployments = []

    def deploy(hosts):
        deployment = Deployment(tmp_path, hosts)
        deployments.append(deployment)
        seeds = [host.control for host in deployment.hosts[:3]]
        for host in deployment.hosts:
            fields = host_fields(host) | {"seedNodes": seeds}
            host.path.write_text(fill_in(fields))
        for engine in deployment.engines:
            engine.write()
        return deployment

    yield deploy
    for deployment in deployments:
        deployment.close()


def start(host, *arguments, stdout=None, prepare=None, **variables):
    """Start a host with arguments of Python and no variable but those given."""
    environ = variables | {names.SETTINGS_VARIABLE: str(host.path)}
    with host.log_path.open("ab") as log:
        host.process = subprocess.Popen(
            [sys.executable, *(arguments or ("-m", "godwitladder.platform"))],
            cwd=fleet.ROOT,
            env=environ,
            stdout=log if stdout is None else stdout,
            stderr=log,
            preexec_fn=prepare,
        )


def check_ready(deployment):
    """Check that all hosts become ready, and that none ends or fails."""
    hosts = deployment.hosts
    wait_until(lambda: all(host.is_ready() for host in hosts), READY_S)
    assert deployment.exit_lines() == []
    assert [host.is_ready() for host in hosts] == [True] * len(hosts)


def close_standard_streams():
    for descriptor in (0, 1, 2):
        os.close(descriptor)


def test_hosts_start_with_odd_variables_and_streams(deploy):
    """Guards against a host that relies on the variables and streams of a shell."""
    deployment = deploy(4)
    first, second, third, fourth = deployment.hosts
    start(first)
    start(second, LANG="xx_YY.KOI8", LC_ALL="zz", HOME="/nowhere", PATH="")
    start(third, PYTHONOPTIMIZE="2", PYTHONWARNINGS="error", PYTHONIOENCODING="ascii")
    start(fourth, prepare=close_standard_streams)
    check_ready(deployment)


def test_closed_standard_streams_become_no_sockets(deploy):
    """Guards against a last line that is written to a caller's connection."""
    deployment = deploy(1)
    (host,) = deployment.hosts
    start(host, prepare=close_standard_streams)
    check_ready(deployment)
    descriptors = Path(f"/proc/{host.process.pid}/fd")
    assert {os.readlink(descriptors / str(number)) for number in range(3)} == {
        os.devnull
    }


def test_hosts_start_with_odd_clocks_and_without_a_temporary_folder(deploy):
    """Guards against a host that relies on a plausible time of day."""
    deployment = deploy(4)
    first, second, third, fourth = deployment.hosts
    start(first, "-c", RUN_WITH_CLOCK.format(clock="real() - 4e9"))
    start(second, "-c", RUN_WITH_CLOCK.format(clock="real() + 1.2e10"))
    jumping = "real() + (3600 if int(real() * 5) % 2 else -3600)"
    start(third, "-c", RUN_WITH_CLOCK.format(clock=jumping))
    start(fourth, "-c", WITHOUT_TEMPORARY_FOLDER)
    check_ready(deployment)


def test_a_host_restarts_with_an_earlier_clock(deploy):
    """Guards against peers that take a restarted host for its former process."""
    deployment = deploy(2)
    first, second = deployment.hosts
    start(first)
    start(second)
    check_ready(deployment)
    second.end()
    second.log_path.unlink()
    start(second, "-c", RUN_WITH_CLOCK.format(clock="real() - 3600"))
    joined = '"hosts": 2'
    assert wait_until(lambda: joined in second.log_path.read_text(), READY_S)
    check_ready(deployment)


@pytest.mark.parametrize("stream", ["full", "closed"])
def test_a_log_that_can_t_be_written_is_reported_once(deploy, stream):
    """Guards against a traceback for each line, which hides the reason of an exit."""
    deployment = deploy(1)
    (host,) = deployment.hosts
    if stream == "full":
        output = os.open("/dev/full", os.O_WRONLY)
    else:
        reading, output = os.pipe()
        os.close(reading)
    start(host, stdout=output)
    os.close(output)
    check_ready(deployment)
    assert host.log_path.read_text().count(LOG_ERROR) == 1
