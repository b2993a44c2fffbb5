"""Streams that break go on, and at the software version that began them."""

import dataclasses

import pytest

from soak.host_faults import HostFault
from soak.versions import VersionRunSize, run_version_seed

SIZE = VersionRunSize(hosts=4, targets=6, seconds=8.0)
RUNS = {
    "calm": SIZE,
    "hosts_are_killed": dataclasses.replace(SIZE, fault=HostFault.KILL),
    "hosts_are_cut_off": dataclasses.replace(SIZE, fault=HostFault.CUT),
    "targets_are_replaced": dataclasses.replace(SIZE, rolls=True),
    "without_chunks": dataclasses.replace(SIZE, framed=False, fault=HostFault.KILL),
}


@pytest.mark.parametrize("kind", RUNS)
def test_streams_go_on_at_the_version_that_began_them(kind, tmp_path):
    """Guards against streams of two versions, and against refusing them all."""
    assert run_version_seed(1, RUNS[kind], tmp_path).violations == []
