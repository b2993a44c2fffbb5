"""Documents and targets after the store has come back from a copy."""

import pytest

from tests.discovery.copied_store import make_region


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_what_is_written_again_up_to_where_hosts_read_on_is_known(lost):
    """Guards against documents that no host ever reads, as their offsets are old."""
    region = make_region(1, 2, 3, 4)
    region.source.come_back(documents=lost)
    for version in range(5, 5 + lost):
        region.source.put_document(version)
    region.run(2)
    assert region.versions() == [4 + lost] * 3


def test_a_store_that_comes_back_twice_is_read_each_time():
    """Guards against the same, where the second copy is as long as the first."""
    region = make_region(1, 2, 3)
    for version in (4, 5):
        region.source.come_back(documents=1)
        region.source.put_document(version)
        region.run(1)
        assert region.versions() == [version] * 3


@pytest.mark.parametrize("written", [0, 1])
def test_hosts_stay_ready_while_the_copy_is_older(written):
    """Guards against hosts that refuse all callers until enough is written again."""
    region = make_region(1, 2, 3)
    region.source.come_back(documents=2)
    for _ in range(written):
        region.source.put_document(3)
    region.run(10)
    assert region.unready == 0
    assert region.versions() == [3] * 3
