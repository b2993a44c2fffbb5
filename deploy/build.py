"""Places the libraries that a host needs into ``target/deps``.

They are installed into a folder beside it, imported by the interpreter that will run
the host, stamped with what they were made from, and moved into place as a whole. So a
build that is broken off leaves nothing that the next one takes for finished.
"""

from __future__ import annotations

import contextlib
import fcntl
import importlib.util
import json
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

ROOT = Path(__file__).resolve().parents[1]
TARGET = ROOT / "target"
DEPS = TARGET / "deps"
REQUIREMENTS = ROOT / "deploy/requirements.txt"
STAMP_NAME = "made-from.json"
WORK_PREFIX = "build-"
ENTRY_MODULE = "godwitladder.platform.host"
"""Module that imports all that a host needs."""
MIN_PYTHON = (3, 11)
INSTALL = (
    "install",
    "--quiet",
    "--disable-pip-version-check",
    "--no-deps",
    "--requirement",
    str(REQUIREMENTS),
)
IMPORT_ENTRY = f"import sys; sys.path[:0] = sys.argv[1:]; import {ENTRY_MODULE}"
IMPORT_TIMEOUT_S = 60
INSTALL_TIMEOUT_S = 480
LOCK_WAIT_S = 240
"""Longest wait for another build. All waits together end before a build must have."""
LOCK_RETRY_S = 0.1


class BuildError(Exception):
    """Raised where the build can't be finished; the text says why."""


def build() -> None:
    """Place the libraries, unless they are there already.

    Raises
    ------
    BuildError
        The libraries can't be installed, or can't be imported.
    OSError
        The target folder can't be written.
    """
    check_interpreter()
    TARGET.mkdir(exist_ok=True)
    with lock_target():
        stamp = make_stamp()
        if read_stamp(DEPS) == stamp and find_import_error(DEPS) is None:
            return
        remove_unfinished()
        place_libraries(stamp)


def check_interpreter() -> None:
    """Raise `BuildError` if this interpreter can't build or run the host."""
    if sys.version_info < MIN_PYTHON:
        needed = ".".join(map(str, MIN_PYTHON))
        raise BuildError(
            f"{sys.executable} is Python {platform.python_version()}; "
            f"the host needs {needed} or newer"
        )


@contextlib.contextmanager
def lock_target() -> Iterator[None]:
    """Wait for another build of this checkout; the lock ends with the process."""
    until = time.monotonic() + LOCK_WAIT_S
    with (TARGET / "build.lock").open("w") as lock:
        while not take_lock(lock):
            if time.monotonic() >= until:
                raise BuildError(
                    f"another build of {ROOT} still runs after {LOCK_WAIT_S} s"
                )
            time.sleep(LOCK_RETRY_S)
        yield


def take_lock(lock: TextIO) -> bool:
    """Lock the open file; return False if another build has locked it."""
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def make_stamp() -> dict:
    """Return all that the installed libraries depend on."""
    return {
        "requirements": REQUIREMENTS.read_text(encoding="utf-8"),
        "python": f"{sys.version_info.major}.{sys.version_info.minor}",
        "abi": str(sysconfig.get_config_var("SOABI")),
        "machine": platform.machine(),
    }


def read_stamp(folder: Path) -> dict | None:
    """Return the stamp of installed libraries; None if there is no valid one."""
    try:
        return json.loads((folder / STAMP_NAME).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        # Libraries without a stamp are made again, whatever the reason.
        return None


def find_import_error(folder: Path) -> str | None:
    """Return why a host can't start with the libraries in ``folder``; None if it can.

    The interpreter leaves out the packages of the system, which could stand in for a
    library that is missing.
    """
    command = [sys.executable, "-E", "-S", "-B", "-c", IMPORT_ENTRY]
    done = subprocess.run(
        [*command, str(folder), str(ROOT)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        timeout=IMPORT_TIMEOUT_S,
    )
    if done.returncode == 0:
        return None
    lines = done.stderr.decode(errors="replace").splitlines()
    return lines[-1] if lines else f"status {done.returncode}"


def remove_unfinished() -> None:
    """Remove what builds that were broken off have left."""
    for path in TARGET.glob(f"{WORK_PREFIX}*"):
        shutil.rmtree(path, ignore_errors=True)


def place_libraries(stamp: dict) -> None:
    """Install the libraries into a folder of their own, and move it into place."""
    with tempfile.TemporaryDirectory(
        dir=TARGET, prefix=WORK_PREFIX, ignore_cleanup_errors=True
    ) as name:
        work = Path(name)
        staged = work / "deps"
        staged.mkdir()
        install(staged, work)
        error = find_import_error(staged)
        if error is not None:
            raise BuildError(f"the installed libraries are not usable: {error}")
        write_stamp(staged, stamp)
        if os.path.lexists(DEPS):
            DEPS.rename(work / "former")
        staged.rename(DEPS)


def install(folder: Path, temporary: Path) -> None:
    """Install the required libraries into ``folder``."""
    if importlib.util.find_spec("pip") is None:
        raise BuildError(
            f"{sys.executable} has no pip; install the packages that "
            "deploy/system.toml lists (python3-pip)"
        )
    done = subprocess.run(
        [sys.executable, "-m", "pip", *INSTALL, "--target", str(folder)],
        env=os.environ | {"TMPDIR": str(temporary)},
        timeout=INSTALL_TIMEOUT_S,
    )
    if done.returncode != 0:
        raise BuildError(f"the installer ended with status {done.returncode}")


def write_stamp(folder: Path, stamp: dict) -> None:
    """Write the stamp, as the last file; each build imports what it vouches for."""
    (folder / STAMP_NAME).write_text(json.dumps(stamp), encoding="utf-8")


def main() -> None:
    """Build, or print why not and exit with status 1."""
    try:
        build()
    except (BuildError, OSError, subprocess.TimeoutExpired) as error:
        sys.exit(f"build: {error}")


if __name__ == "__main__":
    main()
