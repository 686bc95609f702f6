"""What a pool is asked for."""

from almondstack.capacity import PoolNeed
from almondstack.control.balance_rounds import _add_need
from almondstack.testing.job_builders import make_job, make_step


def test_a_scheduled_job_asks_for_room_once_it_is_due():
    job = make_job(make_step(3), occurrences=1, first_due_ms=1_000)
    early, due = PoolNeed(), PoolNeed()
    _add_need(job, early, 999.0, is_late=False)
    _add_need(job, due, 1_000.0, is_late=False)
    assert early.total_millis == 0 and due.total_millis == 3_000


def test_late_work_is_counted_apart():
    need = PoolNeed()
    _add_need(make_job(make_step(2)), need, 0.0, is_late=True)
    assert need.total_millis == 0 and need.late_millis == 2_000
