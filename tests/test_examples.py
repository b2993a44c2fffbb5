"""The examples of the library run unchanged."""

import runpy
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"


def run(name: str):
    return runpy.run_path(str(EXAMPLES / f"{name}.py"))["main"]()


def test_claims():
    assert run("claims_in_memory") == ["host-a1", "host-a1", "host-b1"]


def test_members():
    assert run("members_in_memory") == [["host-a1", "host-a2"], ["host-a1"], []]


def test_allocation():
    allocation = run("allocation_in_memory")
    assert [row.request for row in allocation.placements] == ["high"]
    assert [row.request for row in allocation.sheds] == ["late"]
