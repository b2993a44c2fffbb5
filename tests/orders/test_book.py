"""Leases and slots as a function of the stream."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.orders.records import (
    Lease,
    WeightRead,
    decode_record,
    encode_record,
)
from godwitladder.orders.table import GUARD_S, OrderBook

LEASE_S = 10.0
STEPS = st.lists(
    st.tuples(
        st.floats(0, 20),
        st.sampled_from("ab"),
        st.sampled_from("xyz"),
        st.integers(1, 5),
    ),
    max_size=30,
)


@given(STEPS)
def test_no_two_holders_ever_overlap(steps):
    """Processes ask for leases of two targets at any times.

    Whatever the order, a lease granted to another holder begins only after
    the one before it, and the time a write may take, have passed; fencing
    numbers rise, and no target goes back to an older ticket.
    """
    book = OrderBook(4.0)
    granted = {"a": [], "b": []}
    time = 0.0
    for offset, (pause, target, holder, version) in enumerate(steps):
        time += pause
        lease = Lease(target, holder, str(offset), version, LEASE_S)
        book.replay(offset, time, decode_record(encode_record(lease)))
        if book.fences[str(offset)] is not None:
            granted[target].append((time, holder, offset, version))
    for rows in granted.values():
        for before, after in zip(rows, rows[1:], strict=False):
            assert after[2] > before[2] and after[3] >= before[3]
            assert after[1] == before[1] or after[0] >= before[0] + LEASE_S + GUARD_S


@given(st.lists(st.floats(0, 3), min_size=2, max_size=40))
def test_weight_reads_of_all_hosts_keep_the_rate(pauses):
    """Many hosts ask for slots at once after a ticket changed every target."""
    book = OrderBook(4.0)
    time, starts = 0.0, []
    for offset, pause in enumerate(pauses):
        time += pause
        book.replay(offset, time, WeightRead(f"host-{offset % 3}", str(offset)))
        starts.append(time + book.slots[str(offset)])
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert min(gaps) >= 0.25 - 1e-9
