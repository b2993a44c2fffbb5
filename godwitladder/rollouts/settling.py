"""States of targets once the rollout of their service is completed.

Pure.
"""

from collections.abc import Iterable
from dataclasses import replace

from godwitladder.configuration.model import Target, TargetState
from godwitladder.configuration.state import ConfigState
from godwitladder.rollouts.messages import ProvedVersion


def settle(config: ConfigState, proved: Iterable[ProvedVersion]) -> ConfigState:
    """Return the configuration in which proved versions alone get new calls.

    The targets of the old version stop as soon as the store holds ``completed``; their
    entries tell so only later.
    """
    there = {
        (service, target.release)
        for target in config.targets.values()
        if target.state is not TargetState.LEAVING
        for service in target.services
    }
    # A version without targets can't replace those that are there.
    releases = {
        row.service: row.release
        for row in proved
        if (row.service, row.release) in there
    }
    if not releases:
        return config
    targets = {
        name: settle_target(target, releases) for name, target in config.targets.items()
    }
    return replace(config, targets=targets)


def settle_target(target: Target, releases: dict[str, str]) -> Target:
    """Return the target with its state after the rollouts that are completed."""
    proved = [releases[name] for name in target.services if name in releases]
    if not proved or target.state is TargetState.LEAVING:
        return target
    is_proved = all(release == target.release for release in proved)
    state = TargetState.ACTIVE if is_proved else TargetState.LEAVING
    return replace(target, state=state)
