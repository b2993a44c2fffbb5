"""Orders the requests of one tier: fair among workspaces, then by deadline.

Load pattern: a few callers or keys send most of the load. First come, first
served gives a workspace what it asks for, so the one that floods the queue
takes the pool and the others miss their deadlines. So the next place goes to
the workspace that got the least lately for its share, and within it to the
request whose latest start comes first, first tries before repeats.

What a workspace got is counted in slot seconds, not in requests: one full
review costs as much as a hundred questions.

Thresholds
----------
HALF_LIFE_S : what was spent is half forgotten after this, several times the
    length of a usual request, so that a burst is paid back over the next
    minute and a workspace that was quiet for an hour has no claim on the pool.
"""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from godwitladder.decisions.types import Placement, Waiting, WorkspaceView
from godwitladder.ids import WorkspaceName

HALF_LIFE_S = 20.0
NO_WORKSPACE = WorkspaceView()


@dataclass(slots=True)
class Entry:
    """A waiting request as it is weighed in one run.

    Attributes
    ----------
    slot_s : float
        Seconds that it will hold a slot.
    latest : float
        Time after which it can't start and still end by its deadline.
    """

    row: Waiting
    slot_s: float
    latest: float


class TierQueue:
    """The requests of one tier in the order in which they should start.

    Parameters
    ----------
    entries : iterable of Entry
        All of one tier.
    workspaces : mapping
        Shares and what each workspace spent; one not in it counts as new.
    """

    def __init__(
        self,
        entries: Iterable[Entry],
        workspaces: Mapping[WorkspaceName, WorkspaceView],
    ) -> None:
        self.workspaces = workspaces
        self.queues: dict[WorkspaceName, list[tuple]] = {}
        for entry in entries:
            line = entry.row.line
            item = (line.repeats, entry.latest, line.request, entry)
            queue = self.queues.get(line.workspace)
            if queue is None:
                self.queues[line.workspace] = [item]
            else:
                queue.append(item)
        for queue in self.queues.values():
            heapq.heapify(queue)
        self.turns = [
            (self._view(name).spent_s / self._view(name).share, name)
            for name in self.queues
        ]
        heapq.heapify(self.turns)

    def pop(self) -> Entry | None:
        """Take the next request out, and charge its workspace for this run."""
        if not self.turns:
            return None
        spent, name = self.turns[0]
        queue = self.queues[name]
        entry = heapq.heappop(queue)[-1]
        if queue:
            spent += entry.slot_s / self._view(name).share
            heapq.heapreplace(self.turns, (spent, name))
        else:
            heapq.heappop(self.turns)
        return entry

    def drop(self, name: WorkspaceName) -> list[Entry]:
        """Take all requests of one workspace out: it is at its quota."""
        self.turns = [turn for turn in self.turns if turn[1] != name]
        heapq.heapify(self.turns)
        return [item[-1] for item in self.queues.pop(name, [])]

    def _view(self, name: WorkspaceName) -> WorkspaceView:
        return self.workspaces.get(name, NO_WORKSPACE)


def charge(
    workspaces: Mapping[WorkspaceName, WorkspaceView],
    workspace: WorkspaceName,
    placement: Placement,
) -> None:
    """Charge ``workspace`` for a placement that is carried out."""
    view = workspaces.get(workspace)
    if view:
        view.spent_s += placement.slot_s


def decay(workspaces: Mapping[WorkspaceName, WorkspaceView], elapsed_s: float) -> None:
    """Let what was spent fade over ``elapsed_s``."""
    factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
    for view in workspaces.values():
        view.spent_s *= factor
