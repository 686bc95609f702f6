"""Rolling restarts while the store is slow."""

import pytest

from almondstack.platform.shutdown import is_time_to_hand_over


@pytest.mark.parametrize(
    ("waited_s", "is_slow", "expected"),
    [(0.0, False, True), (0.0, True, False), (2.9, True, False), (3.0, True, True)],
)
def test_slow_store_an_owner_goes_on_for_half_of_its_grace(waited_s, is_slow, expected):
    """Two owners ended within 2.7 s, and nobody decided anything (teawa-gangs, trouble-2)."""
    assert is_time_to_hand_over(waited_s, 6.0, is_slow=is_slow) is expected
