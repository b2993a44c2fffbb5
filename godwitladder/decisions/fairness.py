"""Orders the requests of one tier: fair among workspaces, then by deadline.

Load pattern: a few callers or keys send most of the load. First come, first
served gives a workspace what it asks for, so the one that floods the queue
takes the pool and the others miss their deadlines. So the next place goes to
the workspace that got the least lately for its share, and within it to the
request whose latest start comes first, first tries before repeats.

What a workspace got is counted in slot seconds, not in requests: one full
review costs as much as a hundred questions.
What was spent fades; `memory` has the half-life and its reason.
"""

import heapq
from collections.abc import Iterable, Mapping

from godwitladder.decisions.types import QueueEntry, WorkspaceView
from godwitladder.ids import WorkspaceName

# Added to the latest start, these order requests in one number: sorting by
# it takes half the time of sorting by several fields.
LAST_S = 1e6
UNSAFE_LAST_S = 1e9
NO_WORKSPACE = WorkspaceView()


class TierQueue:
    """The requests of one tier in the order in which they should start.

    Parameters
    ----------
    entries : iterable of Entry
        All of one tier.
    workspaces : mapping
        Their shares; one not in it has a share of 1.
    spent : mapping
        Slot seconds that each workspace lately got.
    now : float
        Requests that are not safe any more at this time go last.
    """

    def __init__(
        self,
        entries: Iterable[QueueEntry],
        workspaces: Mapping[WorkspaceName, WorkspaceView],
        spent: Mapping[WorkspaceName, float],
        now: float,
    ) -> None:
        self.workspaces = workspaces
        self.queues: dict[WorkspaceName, list[tuple]] = {}
        for entry in entries:
            line = entry.waiting.demand
            key = entry.latest_start + line.prior_refusals * LAST_S
            if entry.safe_start < now:
                key += UNSAFE_LAST_S
            item = (key, line.request, entry)
            queue = self.queues.get(line.workspace)
            if queue is None:
                self.queues[line.workspace] = [item]
            else:
                queue.append(item)
        for queue in self.queues.values():
            heapq.heapify(queue)
        self.turns = [
            (spent.get(name, 0.0) / self._share(name), name) for name in self.queues
        ]
        heapq.heapify(self.turns)

    def pop(self) -> QueueEntry | None:
        """Take the next request out, and charge its workspace for this run."""
        if not self.turns:
            return None
        spent, name = self.turns[0]
        queue = self.queues[name]
        entry = heapq.heappop(queue)[-1]
        if queue:
            spent += entry.slot_s / self._share(name)
            heapq.heapreplace(self.turns, (spent, name))
        else:
            heapq.heappop(self.turns)
        return entry

    def remove_workspace(self, name: WorkspaceName) -> None:
        """Take all requests of one workspace out: it is at its quota."""
        self.turns = [turn for turn in self.turns if turn[1] != name]
        heapq.heapify(self.turns)

    def ordered(self) -> list[QueueEntry]:
        """Return all that is queued in the order in which it would start.

        The same as repeated `pop`, by sorting, which is faster when all are
        wanted.
        """
        tagged = []
        for spent, name in self.turns:
            share = self._share(name)
            for place, item in enumerate(sorted(self.queues[name])):
                tagged.append((spent, name, place, item[-1]))
                spent += item[-1].slot_s / share
        tagged.sort()
        return [tag[-1] for tag in tagged]

    def _share(self, name: WorkspaceName) -> float:
        return self.workspaces.get(name, NO_WORKSPACE).share
