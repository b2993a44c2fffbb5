"""Tests that a host without free threads sheds from its least important tier."""

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


def test_the_latest_of_the_least_important_tier_is_shed():
    """An urgent request takes the thread of a less important one.

    All threads are occupied by queued requests. The urgent request that arrives
    last stays queued, and the latest one of the least important tier is shed.
    """
    tables = Tables("host", "a", hosts=("host",))
    rows = [make_row(f"r{n}", rank, n) for n, rank in enumerate((0, 1, 1, 0))]
    for row in rows:
        add_request(tables, row)
    refuse_least_important(tables)
    assert list(tables.waiting) == ["r0", "r1", "r3"]
    refusal = rows[2].decisions.get_nowait()
    assert (refusal.outcome, refusal.reason) == (RequestState.NOT_RUN, Reason.SHED)


@pytest.mark.parametrize("no_free_thread", [False, True])
def test_the_scheduler_is_told_when_no_thread_is_free(no_free_thread):
    """Every arrival is submitted; `NoFreeThread` follows only if none is free."""
    sent = []

    def tell(message) -> None:
        sent.append(type(message))
        if isinstance(message, Submit):
            message.row.decisions.put(refuse(Reason.SHED, "full", 1.0))

    dispatcher = Dispatcher(
        make_settings(),
        SimpleNamespace(tell=tell),
        Clock(),
        Metrics(),
        lambda: no_free_thread,
    )
    call = SimpleNamespace(row=make_row("r", 0, 0.0), on_end=lambda state: None)
    dispatcher.serve(call, {}, lambda status, headers: None)
    assert sent == ([Submit, NoFreeThread] if no_free_thread else [Submit])
