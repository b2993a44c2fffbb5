"""Mutation testing: removes each safeguard in turn and checks that its test fails.

``python -m bench.mutants [WORD ...]`` reads ``mutants/*.toml``, applies each mutation
to a copy of the tree, runs the named tests there, and fails if the tests of any
mutation pass. With WORDs, only mutations whose safeguard contains one of them are run.
"""

import shutil
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
COPIED = (
    "godwitladder",
    "tests",
    "bench",
    "demo",
    "deploy",
    "examples",
    "review",
    "soak",
    "pyproject.toml",
)
TEST_TIMEOUT_S = 180


@dataclass(frozen=True)
class Mutant:
    """One safeguard, the edit that removes it, and the test that detects this."""

    safeguard: str
    file: str
    old: str
    new: str
    test: str


def read_mutants() -> list[Mutant]:
    """Return the mutations of every file in ``mutants``."""
    return [
        Mutant(**row)
        for path in sorted((ROOT / "mutants").glob("*.toml"))
        for row in tomllib.loads(path.read_text())["mutant"]
    ]


def is_detected(mutant: Mutant) -> bool:
    """Return whether the test fails without the safeguard.

    Raises
    ------
    SystemExit
        The text to replace isn't in the file exactly once, or pytest ended with
        neither success nor test failures.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy_tree(Path(folder))
        path = Path(folder) / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            raise SystemExit(
                f"{mutant.safeguard}: text to replace not exactly once in {mutant.file}"
            )
        path.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "pytest", "-x", "-q", *mutant.test.split()]
        done = subprocess.run(
            command, cwd=folder, capture_output=True, timeout=TEST_TIMEOUT_S
        )
        if done.returncode not in (0, 1):
            raise SystemExit(f"{mutant.safeguard}: {done.stdout.decode()[-2000:]}")
        return done.returncode == 1


def copy_tree(folder: Path) -> None:
    """Copy the files that the tests need into ``folder``."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, folder / name, ignore=ignore)
        elif source.exists():
            shutil.copy(source, folder / name)


def main(words: list[str]) -> int:
    """Run the mutations and return the exit code."""
    undetected = 0
    for mutant in read_mutants():
        if words and not any(word in mutant.safeguard for word in words):
            continue
        detected = is_detected(mutant)
        undetected += not detected
        print(f"{'red  ' if detected else 'GREEN'} {mutant.safeguard}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
