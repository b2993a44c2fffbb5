"""A host that runs out of threads sheds from the lowest tier it holds."""

from types import SimpleNamespace

import pytest

from godwitladder.clock import Clock
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, RequestState, refuse
from godwitladder.scheduler.messages import NoFreeThread, Submit
from godwitladder.scheduler.rows import RequestRow, Tables
from godwitladder.scheduler.systems import add_request, refuse_least_important
from godwitladder.serving.dispatching import Dispatcher
from tests.serving.app import make_settings


def make_row(name: str, rank: int, arrived: float) -> RequestRow:
    return RequestRow(name, name, "w", "letters", rank, 1, 1, arrived, 1e9, True)


def test_room_is_made_by_the_last_of_the_lowest_tier():
    """An urgent caller gets the thread of a caller that matters less.

    All threads are held by requests that wait. The urgent one that arrives
    last stays; the latest one of the lowest tier is told to come back.
    """
    tables = Tables("host", "a", hosts=("host",))
    rows = [make_row(f"r{n}", rank, n) for n, rank in enumerate((0, 1, 1, 0))]
    for row in rows:
        add_request(tables, row)
    refuse_least_important(tables)
    assert list(tables.waiting) == ["r0", "r1", "r3"]
    refusal = rows[2].decisions.get_nowait()
    assert (refusal.outcome, refusal.reason) == (RequestState.NOT_RUN, Reason.SHED)


@pytest.mark.parametrize("crowded", [False, True])
def test_room_is_asked_for_only_without_spare_threads(crowded):
    """The scheduler sees every arrival, also the one that finds no thread."""
    told = []

    def tell(message) -> None:
        told.append(type(message))
        if isinstance(message, Submit):
            message.row.decisions.put(refuse(Reason.SHED, "full", 1.0))

    dispatcher = Dispatcher(
        make_settings(),
        SimpleNamespace(tell=tell),
        Clock(),
        Metrics(),
        lambda: crowded,
    )
    call = SimpleNamespace(row=make_row("r", 0, 0.0), on_end=lambda state: None)
    dispatcher.serve(call, {}, lambda status, headers: None)
    assert told == ([Submit, NoFreeThread] if crowded else [Submit])
