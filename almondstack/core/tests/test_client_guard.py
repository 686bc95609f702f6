"""Refusals are counted, and logged without filling the log."""

from almondstack.core import LocalMetrics
from almondstack.core.client_guard import ClientGuard, Refusal


def test_refusals_of_one_kind_share_a_line():
    metrics, lines = LocalMetrics(), []
    guard = ClientGuard(metrics=metrics, write_line=lambda event, **fields: lines.append(fields))
    for _ in range(5):
        guard.refuse(Refusal.HEAD, 80)
    guard.refuse(Refusal.MEMORY, 81)
    assert lines == [
        {"why": "head", "port": 80, "count": 1},
        {"why": "memory", "port": 81, "count": 1},
    ]
    assert metrics.total("client-refused.head") == 5
