"""Systems that run over a host's tables on each tick.

Each takes the tables and the time and changes rows; what is to be told to
callers goes into the rows' own queues, so that the systems touch no network.
"""

from godwitladder.configuration.model import TargetState
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.rows import Dispatch, RequestRow, Tables, TargetRow

AVOID_S = 1.0


def run_systems(tables: Tables, now: float) -> None:
    """Run every system once, in order."""
    expire_requests(tables, now)
    place_requests(tables, now)


def expire_requests(tables: Tables, now: float) -> None:
    """Refuse what can no longer be answered in time."""
    for row in list(tables.waiting.values()):
        if row.deadline <= now and row.state is RequestState.WAITING:
            detail = "The deadline passed before a target was free."
            refuse_request(tables, row, refuse(Reason.DEADLINE, detail, 1.0))


def place_requests(tables: Tables, now: float) -> None:
    """Dispatch waiting requests to free targets, the lowest rank first."""
    order = sorted(
        tables.waiting.values(), key=lambda row: (row.tier_rank, row.arrived)
    )
    for row in order:
        if row.state is not RequestState.WAITING:
            continue
        target = choose_target(tables, row, now)
        if target:
            dispatch_request(tables, row, target, now)


def choose_target(tables: Tables, row: RequestRow, now: float) -> TargetRow | None:
    """Return the target with the most free slots, if one has any."""
    usable = [
        target
        for target in tables.targets.values()
        if row.service in target.target.services
        and target.target.state is TargetState.ACTIVE
        and target.avoided_until <= now
        and target.running < fixed_share(tables, target)
    ]
    return min(
        usable, key=lambda target: target.running / target.target.slots, default=None
    )


def fixed_share(tables: Tables, target: TargetRow) -> int:
    """Return the slots of ``target`` this host may use on its own."""
    return max(1, target.target.slots // tables.live_hosts)


def dispatch_request(
    tables: Tables, row: RequestRow, target: TargetRow, now: float
) -> None:
    """Give leave to write ``row`` to ``target``: the one place that does.

    The state changes before anything is written, so that whatever happens
    next, the request can't be dispatched a second time.
    """
    row.change(RequestState.DISPATCHED)
    row.target = target.name
    row.dispatched = now
    target.running += 1
    del tables.waiting[row.request]
    tables.running[row.request] = row
    row.decisions.put(
        Dispatch(row.request, row.stream, target.name, target.target.address)
    )


def return_request(tables: Tables, row: RequestRow, now: float) -> None:
    """Let a request wait again of which no byte was written to its target."""
    target = tables.targets.get(row.target)
    _leave_target(tables, row)
    if target:
        target.avoided_until = now + AVOID_S
    row.change(RequestState.WAITING)
    tables.waiting[row.request] = row


def finish_request(tables: Tables, row: RequestRow, state: RequestState) -> None:
    """End a dispatched request."""
    _leave_target(tables, row)
    row.change(state)


def refuse_request(tables: Tables, row: RequestRow, refusal: Refusal) -> None:
    """End a waiting request with ``refusal``, at once."""
    del tables.waiting[row.request]
    row.change(refusal.outcome)
    row.decisions.put(refusal)


def _leave_target(tables: Tables, row: RequestRow) -> None:
    del tables.running[row.request]
    target = tables.targets.get(row.target)
    if target:
        target.running -= 1
