"""What a host believes of an older copy while others know better."""

from godwitladder.discovery.feed import PEER_ANSWER_TIMEOUT_S
from tests.discovery.copied_store import make_region


def test_a_host_that_starts_asks_its_peers_before_it_believes_a_copy():
    """Guards against a key that was taken away and is let in by a new host."""
    region = make_region(1, 2, 3)
    region.source.come_back(documents=2)
    region.run(1)
    new = region.add_new()
    answer, new.send_request = new.send_request, lambda wanted: True
    new.step()
    assert new.has_state()
    assert region.views["new"] == []
    new.send_request = answer
    region.run(1)
    assert [view.document.version for view in region.views["new"]] == [3]


def test_a_host_that_no_peer_answers_believes_the_store():
    """Guards against a fleet that waits for itself after all hosts were killed."""
    region = make_region(1)
    new = region.add_new()
    new.send_request = lambda wanted: True
    new.step()
    assert region.views["new"] == []
    region.clock.advance(PEER_ANSWER_TIMEOUT_S)
    new.step()
    assert region.views["new"][-1].document.version == 1


def test_hosts_that_start_together_believe_the_store_at_once():
    """Guards against a second without service after all hosts were killed."""
    region = make_region(1)
    region.feeds.clear()
    one, two = region.add_new("one"), region.add_new("two")
    one.step()
    assert region.views["one"] == []
    two.step()
    assert region.views["two"][-1].document.version == 1
