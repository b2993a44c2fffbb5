"""Orders the requests of one tier: fairly among workspaces, then by deadline.

Load pattern: a few callers or API keys send most of the load. In order of
arrival a workspace gets what it asks for, so one that floods the queue takes
the pool and the others miss their deadlines. Instead, the next slot goes to the
workspace with the least recent use for its share. Within a workspace, first
attempts go before retries, and then the request with the earliest latest start
goes first.

Use is counted in slot seconds, not in requests, since one long request costs
as much as a hundred short ones. Past use decays; `allocator_state` has the
half-life and its reason.
"""

import heapq
from collections.abc import Iterable, Mapping

from godwitladder.decisions.types import QueueEntry, WorkspaceView
from godwitladder.ids import WorkspaceName

# These are added to the latest start so that a single number orders requests.
# Sorting by one number takes half the time of sorting by several fields.
RETRY_OFFSET_S = 1e6
UNSAFE_OFFSET_S = 1e9
DEFAULT_WORKSPACE = WorkspaceView()


class TierQueue:
    """The requests of one tier in the order in which they should start.

    Parameters
    ----------
    entries : iterable of QueueEntry
        Requests of one tier.
    workspaces : mapping
        Views of the workspaces with their shares; one that is missing has a
        share of 1.
    spent : mapping
        Slot seconds that each workspace used recently.
    now : float
        Current time, in seconds. Requests whose `QueueEntry.safe_start` has
        passed go last within their workspace.
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
            demand = entry.waiting.demand
            key = entry.latest_start + demand.prior_refusals * RETRY_OFFSET_S
            if entry.safe_start < now:
                key += UNSAFE_OFFSET_S
            item = (key, demand.request, entry)
            queue = self.queues.get(demand.workspace)
            if queue is None:
                self.queues[demand.workspace] = [item]
            else:
                queue.append(item)
        for queue in self.queues.values():
            heapq.heapify(queue)
        self.workspace_heap = [
            (spent.get(name, 0.0) / self._share(name), name) for name in self.queues
        ]
        heapq.heapify(self.workspace_heap)

    def pop(self) -> QueueEntry | None:
        """Remove and return the next request; None if the queue is empty.

        Its slot seconds count as use of its workspace in this queue.
        """
        if not self.workspace_heap:
            return None
        spent, name = self.workspace_heap[0]
        queue = self.queues[name]
        entry = heapq.heappop(queue)[-1]
        if queue:
            spent += entry.slot_s / self._share(name)
            heapq.heapreplace(self.workspace_heap, (spent, name))
        else:
            heapq.heappop(self.workspace_heap)
        return entry

    def remove_workspace(self, name: WorkspaceName) -> None:
        """Remove all requests of a workspace, which has reached its quota."""
        self.workspace_heap = [item for item in self.workspace_heap if item[1] != name]
        heapq.heapify(self.workspace_heap)

    def ordered(self) -> list[QueueEntry]:
        """Return all queued requests in the order in which they would start.

        The order is that of repeated calls of `pop`. Sorting once is faster
        when all requests are needed. The queue is not changed.
        """
        rows = []
        for spent, name in self.workspace_heap:
            share = self._share(name)
            for index, item in enumerate(sorted(self.queues[name])):
                rows.append((spent, name, index, item[-1]))
                spent += item[-1].slot_s / share
        rows.sort()
        return [row[-1] for row in rows]

    def _share(self, name: WorkspaceName) -> float:
        return self.workspaces.get(name, DEFAULT_WORKSPACE).share
