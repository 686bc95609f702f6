"""Faults of the simulated world: clocks that differ, entries and answers that are late."""

from almondstack.control.messages import StartOrder
from almondstack.jobs import RunEnd, Submission
from almondstack.testing.job_builders import make_step
from almondstack.testing.owner_world import OwnerWorld

_JOB = "0" * 16
_TASK = f"{_JOB}.0.0.0"


def _run_to_its_end(worker):
    """Start a run on a worker and let it end, unless it knows the run."""
    worker.start(StartOrder(_TASK, 1, "s", "", ""), worker.clock_ms + 4_000, 1)
    worker.finish(_TASK, RunEnd.DONE)


def _world():
    world = OwnerWorld()
    world.oracle.submissions[_JOB] = Submission("q", "a", "s", (make_step(1),))
    return world, world.workers["w1"]


def test_a_next_life_has_a_lower_number_if_the_clock_was_set_back():
    world, worker = _world()
    first = worker.life
    world.pass_time(0.5)
    worker.time_shift_s = -1.0
    worker.crash()
    assert worker.life == first - 500


def test_the_directory_lists_the_former_life_for_some_time():
    world, worker = _world()
    first = worker.life
    world.pass_time(1.0)
    worker.crash(is_registered_late=True)
    assert (worker.info.life, worker.registration.life) == (first + 1_000, first)
    world.pass_time(3.1)
    assert worker.registration.life == first + 1_000


def test_the_directory_lists_the_next_life_once_it_has_registered():
    world, worker = _world()
    world.pass_time(1.0)
    worker.crash(is_registered_late=True)
    worker.register()
    assert worker.registration.life == worker.life


def test_a_worker_forgets_ends_up_to_a_number_that_it_was_sent_before_only_if_it_keeps_it():
    for keeps_last_seen in (False, True):
        _, worker = _world()
        worker.keeps_last_seen = keeps_last_seen
        worker.poll(None, 1, 1)
        _run_to_its_end(worker)
        assert bool(worker.poll(None, 0, 1).ended) is not keeps_last_seen


def test_calls_of_every_kind_are_carried_out_late_by_the_next_life():
    _, worker = _world()
    for call in (
        lambda: worker.stop(_TASK, 1, 1),
        lambda: worker.poll(None, 0, 3),
        lambda: worker.start(StartOrder(_TASK, 1, "s", "", ""), 4_000, 2),
    ):
        worker.fault = "late"
        assert worker.call(call, None) is None
    worker.crash()
    worker.carry_out()
    assert worker._token == 3
    assert worker.start(StartOrder(_TASK, 1, "s", "", ""), 4_000, 3).status == "old-run"


def test_processes_have_times_of_day_of_their_own():
    world, _ = _world()
    with world.process_time.of_process(-1.0):
        with world.process_time.of_process(0.6):
            assert round(world.process_time.time() - world.clock.time(), 3) == 0.6
        assert round(world.process_time.time() - world.clock.time(), 3) == -1.0
    assert world.process_time.time() == world.clock.time()


def test_a_session_makes_no_poll_while_the_answer_to_its_last_one_is_under_way():
    world, _ = _world()
    with world.patched():
        process = world.processes[0]
        process.claim()
        process.round()
        session = process.owner.parts.sessions.get("w1")
        session.set_busy(True)
        process.pump("w1", is_late=True)
        assert process._late_answers.has_poll_of(session)
        process.deliver_answers()
        assert not process._late_answers.has_poll_of(session)
