"""Which route a call takes, and how long a document may be believed."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.routing.app import shared_prefix_name
from godwitladder.routing.calls import PromptPart
from godwitladder.routing.freshness import MARGIN_S, DocumentFreshness
from godwitladder.routing.matching import RouteTable, choose_split, parse_host_header
from godwitladder.routing.model import Route, RouteKind, Split

PARTS = st.lists(st.sampled_from(["a", "b"]), max_size=4)


def make_route(prefix, host="h"):
    return Route(
        prefix, host, prefix, RouteKind.IDEMPOTENT, (Split("s", 1.0),), 1.0, 0.1, 1, 0
    )


@given(st.lists(PARTS, max_size=6), PARTS, st.sampled_from(["", "c", "a"]))
def test_the_longest_prefix_wins_as_in_a_plain_scan(prefixes, path, last):
    routes = [make_route("/" + "".join(f"{p}/" for p in parts)) for parts in prefixes]
    path = "/" + "".join(f"{part}/" for part in path) + last
    fitting = [route.prefix for route in routes if path.startswith(route.prefix)]
    found = RouteTable(routes).find("h", path)
    assert (found.prefix if found else None) == max(fitting, key=len, default=None)


def test_a_route_of_another_host_is_none():
    assert RouteTable([make_route("/a/")]).find("other", "/a/x") is None


def test_hosts_are_compared_without_case_and_port():
    assert parse_host_header("Shop.Example:8080") == "shop.example"


def test_a_split_follows_its_weights():
    splits = (Split("a", 90), Split("b", 10))
    assert choose_split(splits, 0.0).service == "a"
    assert choose_split(splits, 0.89).service == "a"
    assert choose_split(splits, 0.91).service == "b"
    assert choose_split((Split("a", 0), Split("b", 0)), 0.5).service == "b"


def test_keys_are_believed_within_the_bound_only():
    """The store is cut off and a key is taken away meanwhile.

    The caller goes on with that key; the host last proved its document at 100.
    Beyond the bound less a margin the key must be refused, whatever came since.
    """
    freshness = DocumentFreshness(5.0)
    assert not freshness.is_fresh(0.0)
    freshness.confirm(100.0)
    assert freshness.is_fresh(100.0 + 5.0 - MARGIN_S)
    assert not freshness.is_fresh(100.0 + 5.0 - MARGIN_S + 0.01)


def test_a_late_older_proof_takes_nothing_back():
    freshness = DocumentFreshness(5.0)
    freshness.confirm(100.0)
    freshness.confirm(90.0)
    assert freshness.age_s(101.0) == 1.0


def test_prompts_with_a_common_start_are_known_by_its_last_part():
    """Guards against prompts that are read anew beside a target that keeps them."""
    guide, garment = PromptPart("guide", 528), PromptPart("garment", 2454)
    first = (guide, garment, PromptPart("one", 900))
    second = (guide, garment, PromptPart("two", 400))
    assert shared_prefix_name(first) == shared_prefix_name(second) == "garment"
    assert (
        shared_prefix_name((PromptPart("alone", 10),)) == shared_prefix_name(()) == ""
    )
