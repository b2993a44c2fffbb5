"""A checkout of a tiny program, built with the command of the deploy file.

Its libraries are wheels in a folder, so that nothing is fetched over the network.
"""

import os
import shutil
import signal
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BIN = Path(sys.executable).parent
LIBRARIES = ("first", "second")
TIMEOUT_S = 60
OLD_S = 1_700_000_000
METADATA = "Metadata-Version: 2.1\nName: {}\nVersion: {}\n"
WHEEL = "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n"


def write_wheel(folder: Path, name: str, version: str) -> None:
    """Write a wheel with one module, which has the wheel's version."""
    info = f"{name}-{version}.dist-info"
    rows = {
        f"{name}.py": f"VERSION = {version!r}\n",
        f"{info}/METADATA": METADATA.format(name, version),
        f"{info}/WHEEL": WHEEL,
    }
    record = "".join(f"{row},,\n" for row in (*rows, f"{info}/RECORD"))
    path = folder / f"{name}-{version}-py3-none-any.whl"
    with zipfile.ZipFile(path, "w") as wheel:
        for row, text in (rows | {f"{info}/RECORD": record}).items():
            wheel.writestr(row, text)


class Checkout:
    """A clean checkout whose program needs two libraries.

    Parameters
    ----------
    folder : Path
        Folder for the checkout and the wheels.

    Attributes
    ----------
    deps : Path
        Where the build places the libraries.
    python_path : list of Path
        Folders in which the build's interpreter finds modules first.
    bin : Path
        Folder of the interpreter.
    """

    def __init__(self, folder: Path) -> None:
        self.root = folder / "checkout"
        self.wheels = folder / "wheels"
        self.wheels.mkdir()
        for name in LIBRARIES:
            write_wheel(self.wheels, name, "1.0")
            write_wheel(self.wheels, name, "2.0")
        self.target = self.root / "target"
        self.deps = self.target / "deps"
        self.python_path: list[Path] = []
        self.bin = BIN
        program = self.root / "godwitladder/platform"
        program.mkdir(parents=True)
        for package in (program, program.parent):
            (package / "__init__.py").touch()
        (program / "host.py").write_text("import first, second\n")
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        self.require("first==1.0", "second==1.0")

    def require(self, *lines: str) -> None:
        """Write the requirements, with a time before that of any build."""
        path = self.root / "deploy/requirements.txt"
        path.write_text("".join(f"{line}\n" for line in lines))
        os.utime(path, (OLD_S, OLD_S))

    def start(self) -> subprocess.Popen:
        """Start the build at the root of the checkout."""
        deploy = tomllib.loads((self.root / "deploy/system.toml").read_text())
        return subprocess.Popen(
            deploy["build"],
            shell=True,
            cwd=self.root,
            env={
                "PATH": f"{self.bin}{os.pathsep}{os.environ['PATH']}",
                "PYTHONPATH": os.pathsep.join(map(str, self.python_path)),
                "PIP_NO_INDEX": "1",
                "PIP_FIND_LINKS": str(self.wheels),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )

    def build(self) -> tuple[int, str]:
        """Build, and return the status and the output."""
        process = self.start()
        output, _ = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, output

    def version(self, name: str) -> str:
        """Return the version of a library that a program would import."""
        code = f"import {name}; print({name}.VERSION)"
        done = subprocess.run(
            [sys.executable, "-S", "-c", code],
            env={"PYTHONPATH": str(self.deps)},
            capture_output=True,
            text=True,
        )
        return done.stdout.strip()

    def versions(self) -> list[str]:
        """Return the versions of both libraries; empty where one is not usable."""
        return [self.version(name) for name in LIBRARIES]

    def replace_pip(self, folder: Path, code: str) -> None:
        """Let the build's interpreter run ``code`` in place of pip."""
        folder.mkdir()
        (folder / "pip.py").write_text(code)
        self.python_path = [folder]


def kill_session(process: subprocess.Popen) -> None:
    """Kill a build and the processes that it has started."""
    os.killpg(process.pid, signal.SIGKILL)
    process.communicate()


def kill_children(process: subprocess.Popen) -> None:
    """Kill the builder that the shell has started, and none of its children."""
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    for child in children.read_text().split():
        os.kill(int(child), signal.SIGKILL)
