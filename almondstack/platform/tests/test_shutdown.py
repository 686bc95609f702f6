"""Tests of when an owner that is shutting down releases its ownership."""

import pytest

from almondstack.platform.shutdown import is_handover_due


@pytest.mark.parametrize(
    ("waited_s", "is_slow", "expected"),
    [(0.0, False, True), (0.0, True, False), (2.9, True, False), (3.0, True, True)],
)
def test_slow_store_an_owner_stays_for_half_of_its_grace_period(waited_s, is_slow, expected):
    """Two owners shut down within 2.7 s during a rolling restart while the store was slow.

    No process made decisions in that time (teawa-gangs, trouble-2).
    """
    assert is_handover_due(waited_s, 6.0, is_slow=is_slow) is expected
