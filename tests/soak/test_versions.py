"""Streams that break go on, and at the software version that began them."""

import dataclasses

import pytest

from soak.host_faults import HostFault
from soak.versions import MAX_MIXED, VersionRunSize, run_version_seed

SIZE = VersionRunSize(hosts=4, targets=6, seconds=8.0)
LOST = dataclasses.replace(
    SIZE, callers=20, seconds=22.0, fault=HostFault.LOSE_ALL, bodies=0, pause_s=0.1
)
"""Streams that last for two seconds; all hosts are lost twice or more."""
RUNS = {
    "calm": SIZE,
    "hosts_are_killed": dataclasses.replace(SIZE, fault=HostFault.KILL),
    "hosts_are_cut_off": dataclasses.replace(SIZE, fault=HostFault.CUT),
    "targets_are_replaced": dataclasses.replace(SIZE, rolls=True),
    "cut_off_from_peers_and_store_in_a_release": dataclasses.replace(
        SIZE, fault=HostFault.CUT_STORE, rolls=True, seconds=14.0
    ),
    "frozen_in_a_release": dataclasses.replace(
        SIZE, fault=HostFault.FREEZE, rolls=True, seconds=14.0
    ),
    "all_hosts_are_lost": LOST,
    "all_hosts_are_lost_and_no_attempt_is_named": dataclasses.replace(
        LOST, names_attempt=False
    ),
    "all_hosts_are_lost_at_one_version": dataclasses.replace(LOST, versions=1),
    "without_chunks": dataclasses.replace(SIZE, framed=False, fault=HostFault.KILL),
}


@pytest.mark.parametrize("kind", RUNS)
def test_streams_go_on_at_the_version_that_began_them(kind, tmp_path):
    """Guards against streams of two versions, and against refusing them all."""
    assert run_version_seed(1, RUNS[kind], tmp_path).violations == []


def test_equal_requests_are_not_mixed_after_all_hosts_are_lost(tmp_path):
    """Guards against a stream that goes on at the version of a newer, equal one."""
    size = dataclasses.replace(LOST, names_attempt=False, bodies=6)
    assert run_version_seed(1, size, tmp_path).mixed <= MAX_MIXED
