"""A failed start whose log is not read, or whose error is long."""

import json
import os
import subprocess
import sys

import pytest

from godwitladder.platform import names
from godwitladder.process.exits import FAILED_START, Failure, report_exit
from tests.process.deployment import fleet

END_S = 10.0


def fill(write_end):
    os.set_blocking(write_end, False)
    for size in (4_096, 1):
        try:
            while True:
                os.write(write_end, b"x" * size)
        except BlockingIOError:
            continue
    os.set_blocking(write_end, True)


@pytest.mark.parametrize("reader", ["reads nothing", "is gone"])
def test_a_failed_start_ends_whatever_the_reader_of_its_log_does(tmp_path, reader):
    """Guards against a start that has failed, and neither ends nor is started again."""
    settings = tmp_path / "settings.toml"
    settings.write_text("[listen]\n")
    read_end, write_end = os.pipe()
    if reader == "is gone":
        os.close(read_end)
    else:
        fill(write_end)
    process = subprocess.Popen(
        [sys.executable, "-m", "godwitladder.platform"],
        cwd=fleet.ROOT,
        env=os.environ | {names.SETTINGS_VARIABLE: str(settings)},
        stdout=write_end,
        stderr=write_end,
    )
    try:
        assert process.wait(END_S) == FAILED_START
    finally:
        process.kill()
        process.wait()
        os.close(write_end)


@pytest.mark.parametrize("character", ["a", "\xe9", "\U0001f600"])
def test_the_last_line_is_whole(capfd, character):
    """Guards against a last line that no reader of the log can parse."""
    report_exit(70, Failure("feed", ValueError(character * 1_000)))
    line = capfd.readouterr().err
    assert line.endswith("\n")
    assert json.loads(line)["status"] == 70
