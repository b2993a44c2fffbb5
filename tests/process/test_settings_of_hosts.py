"""Hosts whose settings lack values, or change to something invalid while they run."""

import shutil
import signal
import threading

import pytest

from tests.process.deployment import (
    Deployment,
    fill_in,
    host_fields,
    start_process,
    wait_until,
)

READY_S = 20.0
NOT_USED = (
    "The settings file is invalid",
    "The settings file could not be read",
    "The settings file is empty",
)
RELOADED = "The settings were reloaded"


def without(fields, *names):
    for name in names:
        del fields[name]


def lack_limits(fields):
    without(fields, "limits", "bootstrap")


def lack_bounds(fields):
    without(fields, "bounds", "seedNodes")


def lack_places(fields):
    without(fields, "zone", "region", "zones", "portRange", "ip", "nodeName")


def have_odd_values(fields):
    fields["limits"] |= {"cpuShare": 0, "cores": "two", "memoryMb": -1}
    fields["bounds"] |= {"revokeMs": -1, "graceS": "", "retrySlack": True}
    fields["seedNodes"] += ["odd", 5]


def test_hosts_start_without_some_of_their_fields(tmp_path):
    """Guards against one missing or odd field that ends all processes at each start."""
    changes = [lack_limits, lack_bounds, lack_places, have_odd_values]
    deployment = Deployment(tmp_path, len(changes))
    for host, change in zip(deployment.hosts, changes, strict=True):
        fields = host_fields(host)
        change(fields)
        host.path.write_text(fill_in(fields))
    try:
        deployment.start_processes()
        wait_until(lambda: all(row.is_ready() for row in deployment.hosts), READY_S)
        assert deployment.exit_lines() == []
        assert [row.is_ready() for row in deployment.hosts] == [True] * len(changes)
    finally:
        deployment.close()


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path, 1)
    yield deployment
    deployment.close()


@pytest.mark.parametrize("share", [0.0, 0.4, 0.95])
def test_a_start_waits_for_a_file_that_is_being_written(deployment, share):
    """Guards against a process that ends since its settings are just being replaced."""
    (host,) = deployment.hosts
    text = fill_in(host_fields(host))
    host.path.write_text(text[: int(len(text) * share)])
    writer = threading.Timer(0.8, host.path.write_text, [text])
    writer.start()
    deployment.start_processes()
    wait_until(host.is_ready, READY_S)
    writer.join()
    assert deployment.exit_lines() == []
    assert host.is_ready()


def test_a_start_without_the_address_of_the_store_says_so(deployment):
    """Guards against a start that ends without a word of which setting is missing."""
    (host,) = deployment.hosts
    fields = host_fields(host)
    del fields["platform"]
    host.path.write_text(fill_in(fields))
    start_process(host)
    assert host.process.wait(20) == 1
    (line,) = deployment.exit_lines()
    assert line["failed_part"] == "start"
    assert "store.address" in line["error"]


def leave_empty(path, text):
    path.write_text("")


def cut(path, text):
    path.write_text(text[: len(text) // 2])


def cut_last_line(path, text):
    path.write_text(text.rstrip().rpartition("\n")[0])


def write_no_text(path, text):
    path.write_bytes(b"\xff\xfe\x00" * 100)


def refuse(path, text):
    path.write_text(text.replace("revoke_ms = 5000", "revoke_ms = -5000"))


def remove(path, text):
    path.unlink()


def replace_by_folder(path, text):
    path.unlink()
    path.mkdir()


def link_to_itself(path, text):
    path.unlink()
    path.symlink_to(path.name)


CHANGES = [
    leave_empty,
    cut,
    cut_last_line,
    write_no_text,
    refuse,
    remove,
    replace_by_folder,
    link_to_itself,
]


def restore(path, text):
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    path.unlink(missing_ok=True)
    path.write_text(text)


@pytest.mark.parametrize("has_signal", [True, False], ids=["sighup", "no_signal"])
def test_a_running_host_keeps_its_settings_if_the_file_is_invalid(
    deployment, has_signal
):
    """Guards against a change of the settings that ends processes, or alters bounds."""
    (host,) = deployment.hosts
    text = fill_in(host_fields(host))
    host.path.write_text(text)
    deployment.start_processes()
    assert wait_until(host.is_ready, READY_S)

    def count(*messages):
        log = host.log_path.read_text()
        return sum(log.count(message) for message in messages)

    def write(change, text, *messages):
        before = count(*messages)
        change(host.path, text)
        if has_signal:
            host.signal(signal.SIGHUP)
        assert wait_until(lambda: count(*messages) > before, 15), change

    for number, change in enumerate(CHANGES):
        write(change, text, *NOT_USED)
        assert count(RELOADED) == number, change
        write(restore, f"{text}# {number}\n", RELOADED)
        assert host.process.poll() is None, change
    assert host.is_ready()
