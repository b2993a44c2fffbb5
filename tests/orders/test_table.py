"""Leases and slots as a function of the orders stream."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.orders.records import (
    Lease,
    WeightRead,
    decode_record,
    encode_record,
)
from godwitladder.orders.table import LEASE_GUARD_S, OrderTable

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
    """Guards against overlapping leases of different holders.

    Processes request leases of two targets at arbitrary times. In any order, a
    lease granted to another holder starts only after the previous lease and
    the maximum duration of a write have passed. Fencing numbers increase, and
    no target is reverted to an older ticket.
    """
    table = OrderTable(4.0)
    granted = {"a": [], "b": []}
    time = 0.0
    for offset, (pause, target, holder, version) in enumerate(steps):
        time += pause
        lease = Lease(target, holder, str(offset), version, LEASE_S)
        table.replay(offset, time, decode_record(encode_record(lease)))
        if table.fences[str(offset)] is not None:
            granted[target].append((time, holder, offset, version))
    for leases in granted.values():
        for before, after in zip(leases, leases[1:], strict=False):
            assert after[2] > before[2] and after[3] >= before[3]
            assert (
                after[1] == before[1] or after[0] >= before[0] + LEASE_S + LEASE_GUARD_S
            )


@given(st.lists(st.floats(0, 3), min_size=2, max_size=40))
def test_weight_reads_of_all_hosts_keep_the_rate(pauses):
    """Slots keep the rate limit when many hosts request them at the same time.

    That happens after a ticket has changed every target.
    """
    table = OrderTable(4.0)
    time, starts = 0.0, []
    for offset, pause in enumerate(pauses):
        time += pause
        table.replay(offset, time, WeightRead(f"host-{offset % 3}", str(offset)))
        starts.append(time + table.slots[str(offset)])
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert min(gaps) >= 0.25 - 1e-9
