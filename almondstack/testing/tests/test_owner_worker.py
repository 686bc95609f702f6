"""What the world's workers do with ends that nobody has seen."""

import pytest

from almondstack.control.messages import StartOrder
from almondstack.jobs import RunEnd, Submission
from almondstack.testing.job_builders import make_step
from almondstack.testing.owner_oracle import OwnerOracle, RuleBrokenError
from almondstack.testing.owner_worker import WorldClock, WorldWorker

_TASK = "0" * 16 + ".0.0.0"
_LEASE_S = 4.0


@pytest.fixture
def workers():
    """Give two workers on one clock; the first has done a task that nobody has seen."""
    clock = WorldClock()
    oracle = OwnerOracle({}, 2)
    oracle.submissions["0" * 16] = Submission("q", "a", "s", (make_step(1),))
    first, second = (WorldWorker(name, clock, oracle) for name in ("w-0", "w-1"))
    _start(first, run=1)
    first.finish(_TASK, RunEnd.DONE)
    return first, second, clock


def _start(worker, run):
    deadline_ms = worker.clock_ms + int(_LEASE_S * 1000)
    worker.start(StartOrder(_TASK, run, "s", "", ""), deadline_ms, 1)


def _note_end(worker):
    (end,) = worker.poll(None, 0, 1).ended
    worker.poll(None, end.number, 1)


def test_a_task_whose_lease_lapsed_unseen_on_an_idle_worker_may_start_again(workers):
    """The lease lapsed only where something still ran (seed 3 of the soak, under load)."""
    first, second, clock = workers
    clock.sleep(_LEASE_S + 0.1)
    _start(second, run=2)
    _note_end(first)


def test_a_task_that_starts_again_before_the_lease_is_over_has_started_twice(workers):
    first, second, clock = workers
    clock.sleep(_LEASE_S - 0.1)
    _start(second, run=2)
    with pytest.raises(RuleBrokenError, match="TWICE"):
        _note_end(first)
