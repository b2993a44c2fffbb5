"""Targets that fall over when they have to turn too many requests away."""

import contextlib
import time

from soak.fleet import Fleet
from tests.platform.test_cut_paths import Caller

HOSTS = 4
TARGETS = 2
TURNED_AWAY = 2.0
ROOM = 2
CONTACT_S = 3.0
OBSERVED_S = 8.0
ALLOWED_FALLS = 2 + TARGETS // 10


def test_brittle_targets_do_not_fall_over_again_and_again(tmp_path):
    """Guards against hosts that together have more turned away than a target bears.

    The targets say that they are brittle, and then have room for half of what their
    entries tell. Each host for itself has few requests turned away.
    """
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path, HOSTS, TARGETS, has_own_paths=True)
        assert fleet.wait_until_converged(20.0)
        until = time.monotonic() + CONTACT_S + OBSERVED_S
        callers = [Caller(host, "/lookup/x", until) for host in fleet.hosts * 3]
        for target in fleet.targets:
            target.knobs.pause_s = 0.2
            target.knobs.brittle = TURNED_AWAY
        time.sleep(CONTACT_S)
        for target in fleet.targets:
            target.knobs.room = ROOM
        for caller in callers:
            caller.join()
        falls = sum(len(target.server.standin.falls) for target in fleet.targets)
        served = [status for row in callers for status, _ in row.answers].count(200)
        assert falls <= ALLOWED_FALLS, (falls, served)
        assert served > OBSERVED_S * TARGETS * ROOM
