"""Plots goodput against offered load for each tier."""

from collections.abc import Mapping
from pathlib import Path

import matplotlib

from bench.patterns import User
from bench.queues import Run

matplotlib.use("Agg")

Runs = Mapping[str, Mapping[float, tuple[Run, Run]]]


def draw_goodput(users: tuple[User, ...], runs: Runs, path: Path) -> None:
    """Plot the share of requests answered in time, and save the figure.

    Parameters
    ----------
    users : tuple of User
        One plot is drawn for each.
    runs : mapping
        By name of the user and load: the runs of the baseline and the scheduler.
    path : Path
        File of the figure.
    """
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(users), figsize=(12, 4.5), sharey=True)
    for axis, user in zip(axes, users, strict=True):
        loads = sorted(runs[user.name])
        for rank in sorted({kind.rank for kind in user.mix}):
            color = f"C{rank}"
            for index, style in ((0, ":"), (1, "-")):
                shares = [
                    outcome.in_time / max(1, outcome.offered)
                    for load in loads
                    for outcome in [runs[user.name][load][index].outcomes[rank]]
                ]
                label = f"tier {rank}, {('naive', 'godwitladder')[index]}"
                axis.plot(loads, shares, style, color=color, marker=".", label=label)
        axis.set_title(user.name)
        axis.set_xlabel("offered load / capacity")
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("requests answered in time / offered")
    axes[-1].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110, metadata={"Software": None})
    pyplot.close(figure)
