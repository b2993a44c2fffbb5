"""The last line of a process that ends by itself."""

import os
import subprocess
import sys

import pytest

from godwitladder.platform import names
from tests.process.exit_lines import read_exit_line

FAILING_HOST = """
import threading
from godwitladder.clock import Clock
from godwitladder.process.base_host import BaseHost
from godwitladder.process.supervision import watch_threads
from godwitladder.settings import LimitSettings

class Host(BaseHost):
    def start(self):
        threading.Thread(target=self.raise_error, name="feed", daemon=True).start()

    def raise_error(self):
        raise ValueError("boom")

host = Host("h", Clock(), LimitSettings())
watch_threads({"feed"}, host.fail)
host.run()
host.exit()
"""


def run(*arguments, **environ):
    """Run Python to its end, and return its status and its last line."""
    known = {key: text for key, text in os.environ.items() if "NODE_FILE" not in key}
    done = subprocess.run(
        [sys.executable, *arguments],
        env=known | environ,
        capture_output=True,
        timeout=60,
    )
    return done.returncode, read_exit_line(done.stderr)


def check_resources(line):
    for name in ("resident_bytes", "address_bytes", "descriptors", "threads"):
        assert line[name] > 0
    for name in ("max_address_bytes", "max_descriptors", "max_tasks"):
        assert name in line
    assert 0 < line["ran_s"] < 60


def test_a_failed_component_is_named_by_the_last_line():
    """Guards against a process that ends without a word of what failed in it."""
    status, line = run("-c", FAILING_HOST)
    assert (status, line["status"]) == (70, 70)
    assert (line["failed_part"], line["error"]) == ("feed", "ValueError('boom')")
    check_resources(line)


def test_a_start_without_settings_is_explained_by_the_last_line():
    """Guards against a failed start that leaves a traceback alone."""
    status, line = run("-m", "godwitladder.platform")
    assert (status, line["status"], line["failed_part"]) == (1, 1, "start")
    assert names.SETTINGS_VARIABLE in line["error"]
    check_resources(line)


def test_a_start_without_its_libraries_is_explained_by_the_last_line(tmp_path):
    """Guards against an incomplete build that nobody can tell from other failures."""
    (tmp_path / "orjson.py").write_text("raise ImportError('another architecture')")
    status, line = run("-m", "godwitladder.platform", PYTHONPATH=str(tmp_path))
    assert (status, line["failed_part"]) == (1, "start")
    assert "another architecture" in line["error"]


def test_invalid_settings_are_named_by_the_last_line(tmp_path):
    """Guards against a start that fails without saying which settings are invalid."""
    path = tmp_path / "settings.toml"
    path.write_text('host = ""\n')
    variables = {names.SETTINGS_VARIABLE: str(path)}
    status, line = run("-m", "godwitladder.platform", **variables)
    assert (status, line["failed_part"]) == (1, "start")
    assert "host" in line["error"]


@pytest.mark.parametrize("is_closed", [False, True], ids=["unread", "closed"])
def test_the_last_line_is_dropped_if_nobody_reads_it(is_closed):
    """Guards against an exit that waits for a log reader that has stopped reading."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    while not is_closed:
        try:
            os.write(writing, b"x" * 4_096)
        except BlockingIOError:
            break
    os.set_blocking(writing, True)
    code = (
        "from godwitladder.process.exits import Failure, report_exit\n"
        "report_exit(70, Failure('feed'))\n"
        "import os; os._exit(70)"
    )
    if is_closed:
        os.close(reading)
    process = subprocess.Popen([sys.executable, "-c", code], stderr=writing)
    os.close(writing)
    try:
        assert process.wait(20) == 70
    finally:
        process.kill()
        if not is_closed:
            os.close(reading)
