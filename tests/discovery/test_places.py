"""A place in the store is its era and its offset."""

import pytest

from godwitladder.discovery.messages import RawBatch
from godwitladder.discovery.places import Fit, Place

HERE = Place(era=2, offset=5)


@pytest.mark.parametrize(
    ("start", "next_offset", "era", "fit"),
    [
        (5, 7, 2, Fit.APPLIES),
        (5, 5, 2, Fit.APPLIES),
        (3, 6, 2, Fit.APPLIES),
        (3, 4, 2, Fit.OLD_OFFSET),
        (6, 7, 2, Fit.GAP),
        (-1, 5, 2, Fit.APPLIES),
        (-1, 4, 2, Fit.OLD_OFFSET),
        (5, 7, 1, Fit.OLD_ERA),
        (-1, 9, 1, Fit.OLD_ERA),
        (5, 7, 3, Fit.GAP),
        (0, 1, 3, Fit.GAP),
        (-1, 1, 3, Fit.APPLIES),
    ],
)
def test_a_batch_fits_by_its_era_first(start, next_offset, era, fit):
    """Guards against offsets of two histories that are compared."""
    assert HERE.fit(RawBatch(start, next_offset, (), era)) is fit


def test_only_a_snapshot_fits_a_host_without_state():
    assert Place().fit(RawBatch(-1, 0)) is Fit.APPLIES
    assert Place().fit(RawBatch(0, 1)) is Fit.GAP
