"""Tests of the choice of links and of leaving targets from the lagging host list."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.clients.hosts import ListedHost
from godwitladder.membership.contacts import (
    LINKS_PER_ZONE,
    choose_contacts,
    leaving_addresses,
)

ADDRESSES = [f"10.0.0.{index}:1" for index in range(20)]
ZONES = st.dictionaries(st.sampled_from(ADDRESSES), st.sampled_from("abc"))


@given(ZONES)
def test_both_ends_choose_the_same_links(zones):
    """Only one end dials, so a link that only the other end chooses is never made."""
    listed = [ListedHost(address, zone, False) for address, zone in zones.items()]
    chosen = {
        address: choose_contacts(address, zone, listed, ())
        for address, zone in zones.items()
    }
    for address, zone in zones.items():
        assert all(address in chosen[other] for other in chosen[address])
        for other_zone in "abc":
            others = {a for a, z in zones.items() if z == other_zone} - {address}
            least = len(others) if zone == other_zone else LINKS_PER_ZONE
            assert len(chosen[address] & others) >= min(least, len(others))


def test_targets_in_the_list_are_not_dialled():
    listed = [ListedHost("10.0.0.1:1", "a", False), ListedHost("10.0.0.2:1", "a", True)]
    assert choose_contacts("10.0.0.9:1", "a", listed, ["10.0.0.1:1"]) == {"10.0.0.2:1"}


def test_a_leaving_target_missing_from_the_list_stays_leaving():
    """A leaving target must not count as available when the list drops it.

    It is available again only when the list shows it as not leaving.
    """
    leaving = leaving_addresses(frozenset(), [ListedHost("10.0.0.1:1", "a", True)])
    assert leaving == {"10.0.0.1:1"}
    leaving = leaving_addresses(leaving, [])
    assert leaving == {"10.0.0.1:1"}
    assert leaving_addresses(leaving, [ListedHost("10.0.0.1:1", "a", False)]) == set()
