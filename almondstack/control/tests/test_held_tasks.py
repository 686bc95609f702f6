"""Workers for which a waiting task waits are known, polled, and kept where they are."""

from unittest import mock

from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.pool_balancer import PoolBalancer
from almondstack.jobs import RunEnd, decode_progress
from almondstack.placement.unreachable import find_unreachable
from almondstack.testing.job_builders import assign, make_job, make_step, make_table, make_worker

_NOW_S = 100.0
_LATE_S = 13.0


def _assigned(table):
    """Assign the one task of the table's job; return it."""
    (job,) = table.jobs.values()
    task = job.steps_of(0)[0][0]
    assign(table, task, table.workers["w1"], _NOW_S)
    return task


def _lose(table, unanswered):
    """Give up a run of which so many starts have no answer; return its task."""
    task = _assigned(table)
    current = table.runs[task]
    current.tries, current.answers, current.unanswered = 2, 2 - unanswered, unanswered
    table.release(task, RunEnd.LOST, "", _NOW_S)
    return task


def _table():
    return make_table(make_job(make_step()), workers=(make_worker("w1"),))


def test_a_task_whose_start_has_no_answer_is_held_until_it_cannot_arrive():
    """Guards against an open start that is forgotten with its run (TWICE, review/13)."""
    table = _table()
    task = _lose(table, unanswered=1)
    assert table.held_tasks.by_worker(_NOW_S + _LATE_S - 0.1) == {"w1": [task]}
    assert table.held_tasks.by_worker(_NOW_S + _LATE_S) == {}


def test_a_task_whose_starts_have_answers_is_not_held():
    """Guards against tasks that wait 13 s for nothing after an ordinary loss (LOST)."""
    table = _table()
    _lose(table, unanswered=0)
    assert table.held_tasks.by_worker(_NOW_S) == {}


def test_a_task_whose_start_was_never_sent_is_not_held():
    """Guards against the same for a start that was withdrawn."""
    table = _table()
    table.withdraw(_assigned(table), _NOW_S)
    assert table.held_tasks.by_worker(_NOW_S) == {}


def test_the_next_owner_holds_a_task_by_its_record():
    """Guards against an open start that is forgotten with its owner (TWICE)."""
    task = _lose(_table(), unanswered=1)
    restored = make_job(make_step())
    restored.restore(task.job.state, decode_progress(task.job.encode()))
    other = make_table(workers=(make_worker("w1"),))
    other.restore_job(restored, _NOW_S)
    assert list(other.held_tasks.by_worker(_NOW_S + _LATE_S - 0.1)) == ["w1"]
    assert other.held_tasks.by_worker(_NOW_S + _LATE_S) == {}


def test_an_instance_for_which_a_task_waits_is_not_given_up_as_idle():
    """Guards against a move of the one worker on which a task may run, seen with review/13."""
    table = _table()
    _lose(table, unanswered=1)
    info = InstanceInfo("i1", "p", InstanceState.UP, "z", "r", 4_000, "w1")
    balancer = PoolBalancer(table, mock.Mock(), mock.Mock(), 1.5)
    candidates, _ = balancer._members([info], "p", set(), find_unreachable([]), _NOW_S)
    assert [candidate.used_millis for candidate in candidates] == [1_000]
