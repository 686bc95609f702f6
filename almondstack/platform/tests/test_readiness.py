"""Tests of readiness while the store rejects reads or a process lags behind it."""

import pytest

from almondstack.platform.readiness import is_current


class _Follower:
    def __init__(self, lag_s, has_failed=False, read_gap_s=0.7):
        self.lag_s = lag_s
        self.has_failed = has_failed
        self.read_gap_s = read_gap_s


@pytest.mark.parametrize(
    ("lag_s", "has_failed", "read_gap_s", "answer_s", "expected"),
    [
        (0.6, False, 0.7, 0.0, True),
        (1.0, False, 0.7, 0.0, False),
        (0.5, True, 0.7, 0.0, True),
        (0.7, True, 0.7, 0.0, False),
        (1.0, True, 1.1, 0.4, False),
        (0.9, True, 1.1, 0.4, True),
        (3.0, False, 3.7, 0.0, True),
    ],
)
def test_a_process_is_ready_while_its_lag_is_short(
    lag_s, has_failed, read_gap_s, answer_s, expected
):
    assert is_current(_Follower(lag_s, has_failed, read_gap_s), answer_s) is expected


def test_turned_away_a_long_read_interval_does_not_keep_a_process_ready():
    """A process whose reads were all rejected for 8 s stayed ready, as its read interval grew."""
    assert not is_current(_Follower(1.0, has_failed=True, read_gap_s=3.7), 0.0)
