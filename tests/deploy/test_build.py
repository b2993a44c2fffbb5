"""The build leaves all libraries of a host behind, or fails and says why."""

import fcntl
import importlib.util
import shutil
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from tests.deploy.checkout import ROOT, TIMEOUT_S, Checkout, kill_children, kill_session

WHOLE = ["1.0", "1.0"]
NO_PIP = "raise SystemExit('pip was run')"
IDLE_PIP = "raise SystemExit(0)"
STOPPED_PIP = """
import pathlib, sys, time

target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
target.mkdir(parents=True, exist_ok=True)
(target / "first.py").write_text("VERSION = 'part")
pathlib.Path({started!r}).touch()
time.sleep(600)
"""


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def place_empty_folder(checkout):
    checkout.deps.mkdir(parents=True)


def place_part(checkout):
    checkout.deps.mkdir(parents=True)
    (checkout.deps / "first.py").write_text("VERSION = '1.0'\n")


def place_other_machine(checkout):
    place_part(checkout)
    package = checkout.deps / "second"
    package.mkdir()
    (package / "__init__.py").write_text("from second.native import VERSION\n")
    (package / "native.cpython-39-other-linux-gnu.so").touch()


def place_file(checkout):
    checkout.target.mkdir()
    checkout.deps.touch()


def place_link_to_nothing(checkout):
    checkout.target.mkdir()
    checkout.deps.symlink_to("gone")


LEFTOVERS = [
    place_empty_folder,
    place_part,
    place_other_machine,
    place_file,
    place_link_to_nothing,
]


@pytest.mark.parametrize("place", LEFTOVERS)
def test_unusable_libraries_are_replaced(checkout, place):
    """Guards against a build that succeeds and leaves nothing that a host can start."""
    place(checkout)
    status, output = checkout.build()
    assert (status, checkout.versions()) == (0, WHOLE), output
    assert [row.name for row in checkout.target.glob("*deps*")] == ["deps"]


def cut_module(checkout):
    (checkout.deps / "second.py").write_text("VERSION = '1")


def drop_module(checkout):
    (checkout.deps / "first.py").unlink()


@pytest.mark.parametrize("damage", [cut_module, drop_module])
def test_a_finished_build_that_was_damaged_is_made_again(checkout, damage):
    """Guards against a stamp that vouches for files that are gone."""
    assert checkout.build()[0] == 0
    damage(checkout)
    shutil.rmtree(checkout.deps / "__pycache__", ignore_errors=True)
    assert (checkout.build()[0], checkout.versions()) == (0, WHOLE)


def find_stamp(checkout):
    (stamp,) = checkout.deps.glob("*.json")
    return stamp


def alter_machine(checkout):
    stamp = find_stamp(checkout)
    stamp.write_text(stamp.read_text().replace("cpython", "other"))


def garble_stamp(checkout):
    find_stamp(checkout).write_bytes(b"\xff\x00{")


def empty_stamp(checkout):
    find_stamp(checkout).write_bytes(b"")


def turn_stamp_into_folder(checkout):
    stamp = find_stamp(checkout)
    stamp.unlink()
    stamp.mkdir()


STAMPS = [alter_machine, garble_stamp, empty_stamp, turn_stamp_into_folder]


@pytest.mark.parametrize("alter", STAMPS)
def test_libraries_of_unknown_origin_are_made_again(checkout, alter):
    """Guards against libraries of another machine that import by luck."""
    assert checkout.build()[0] == 0
    (checkout.deps / "left_over.py").touch()
    alter(checkout)
    assert (checkout.build()[0], checkout.versions()) == (0, WHOLE)
    assert not (checkout.deps / "left_over.py").exists()


@pytest.mark.parametrize("finished_before", [False, True])
def test_a_build_that_was_killed_is_made_again(checkout, tmp_path, finished_before):
    """Guards against a broken-off build that the next one takes for a finished one."""
    if finished_before:
        assert checkout.build()[0] == 0
        checkout.require("first==2.0", "second==2.0")
    started = tmp_path / "started"
    checkout.replace_pip(tmp_path / "pip", STOPPED_PIP.format(started=str(started)))
    process = checkout.start()
    wait_for(started)
    kill_session(process)
    assert checkout.versions() == (WHOLE if finished_before else ["", ""])
    checkout.python_path = []
    status, output = checkout.build()
    assert status == 0, output
    assert checkout.versions() == (["2.0", "2.0"] if finished_before else WHOLE)
    assert not list(checkout.target.glob("build-*"))


def test_a_build_beside_an_installer_that_still_runs_is_whole(checkout, tmp_path):
    """Guards against an installer that outlives its build and writes into the next."""
    started = tmp_path / "started"
    checkout.replace_pip(tmp_path / "pip", STOPPED_PIP.format(started=str(started)))
    process = checkout.start()
    wait_for(started)
    kill_children(process)
    process.wait()
    checkout.python_path = []
    try:
        assert (checkout.build()[0], checkout.versions()) == (0, WHOLE)
    finally:
        kill_session(process)


def test_builds_at_once_leave_one_whole_build(checkout):
    """Guards against two builds that remove each other's files."""
    builds = [checkout.start() for _ in range(3)]
    outputs = [row.communicate(timeout=TIMEOUT_S)[0] for row in builds]
    assert [row.returncode for row in builds] == [0, 0, 0], outputs
    assert checkout.versions() == WHOLE
    assert not list(checkout.target.glob("build-*"))


def test_a_build_waits_for_another_for_a_limited_time(monkeypatch, tmp_path):
    """Guards against a build that waits for ever for one that hangs."""
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy/build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    monkeypatch.setattr(module, "TARGET", tmp_path)
    monkeypatch.setattr(module, "LOCK_WAIT_S", 0.2)
    with (tmp_path / "build.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        with pytest.raises(module.BuildError, match="another build"):
            module.build()


def wait_for(path: Path) -> None:
    until = time.monotonic() + TIMEOUT_S
    while not path.exists():
        assert time.monotonic() < until, f"{path} was not written"
        time.sleep(0.01)


def test_a_finished_build_with_unchanged_inputs_does_nothing(checkout, tmp_path):
    """Guards against a restart that needs the network for what is there already."""
    assert checkout.build()[0] == 0
    before = {path: path.stat() for path in sorted(checkout.target.rglob("*"))}
    checkout.replace_pip(tmp_path / "pip", NO_PIP)
    assert checkout.build() == (0, "")
    after = {path: path.stat() for path in sorted(checkout.target.rglob("*"))}
    assert [row.st_ino for row in after.values()] == [
        row.st_ino for row in before.values()
    ]
    assert after.keys() == before.keys()


def test_changed_requirements_replace_all_libraries(checkout):
    """Guards against former versions that stay beside the required ones."""
    assert checkout.build()[0] == 0
    checkout.require("first==2.0", "second==1.0")
    assert (checkout.build()[0], checkout.versions()) == (0, ["2.0", "1.0"])
    assert not list(checkout.deps.glob("first-1.0*"))


def test_all_that_the_build_places_is_under_target(checkout):
    """Guards against files that a build leaves in a checkout."""
    before = set(checkout.root.rglob("*"))
    assert checkout.build()[0] == 0
    placed = set(checkout.root.rglob("*")) - before
    assert {path.relative_to(checkout.root).parts[0] for path in placed} == {"target"}


def test_an_installer_that_fails_fails_the_build(checkout):
    """Guards against a build that succeeds without a library it could not get."""
    checkout.require("first==3.0", "second==1.0")
    status, output = checkout.build()
    assert status == 1
    assert output.splitlines()[-1].startswith("build: ")
    assert "first==3.0" in output


def test_an_installer_that_installs_nothing_fails_the_build(checkout, tmp_path):
    """Guards against trust in the status of the installer."""
    checkout.replace_pip(tmp_path / "pip", IDLE_PIP)
    status, output = checkout.build()
    assert status == 1
    assert "No module named 'first'" in output
    assert not checkout.deps.exists()


def test_a_failed_build_leaves_the_former_libraries(checkout, tmp_path):
    """Guards against a build that removes what works before it has the new."""
    assert checkout.build()[0] == 0
    checkout.require("first==3.0", "second==1.0")
    assert checkout.build()[0] == 1
    assert checkout.versions() == WHOLE


def test_a_python_without_pip_is_named(checkout, tmp_path):
    """Guards against a clean machine that fails without a word of what it lacks."""
    bare = tmp_path / "bare"
    options = ["--without-pip", str(bare)]
    subprocess.run([sys.executable, "-m", "venv", *options], check=True)
    checkout.bin = bare / "bin"
    status, output = checkout.build()
    assert status == 1
    assert "python3-pip" in output.splitlines()[-1]


@pytest.mark.parametrize("target", ["a file", "no place for files"])
def test_a_target_that_can_t_be_written_is_named(checkout, target):
    """Guards against a build without write permission that only prints a traceback."""
    if target == "a file":
        checkout.target.touch()
    else:
        checkout.target.symlink_to("/proc")
    status, output = checkout.build()
    assert status == 1
    assert output.startswith("build: ") and output.count("\n") == 1
    assert str(checkout.target) in output


def test_the_build_needs_no_test(checkout):
    """Guards against a build that works in a whole checkout alone."""
    assert not (checkout.root / "tests").exists()
    assert checkout.build()[0] == 0


def test_the_packages_that_the_build_requires_are_listed():
    """Guards against a clean machine on which the build can't run."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert set(deploy["packages"]) == {"python3", "python3-pip"}
    assert deploy["build"].split()[0] == deploy["roles"]["entry"]["run"].split()[0]
