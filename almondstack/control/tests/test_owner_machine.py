"""State machine test of real owners under injected faults, checked by an invariant oracle."""

import contextlib
from unittest import mock

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from almondstack.control import request_handler
from almondstack.control.tests import restart_scenarios
from almondstack.control.tests.owner_scenarios import (
    SCENARIOS,
    SHAPES,
    forget_an_end_by_a_late_acknowledgement,
    forget_later_ends_by_a_late_acknowledgement,
)
from almondstack.intake import Verdict, direct_admission
from almondstack.jobs import JobState, RunEnd, Submission
from almondstack.testing.job_builders import make_rejection
from almondstack.testing.owner_mutations import MUTATIONS
from almondstack.testing.owner_oracle import RuleBrokenError
from almondstack.testing.owner_world import OwnerWorld, WorldProcess

_PROCESSES = st.sampled_from([0, 1])
_WORKERS = st.sampled_from(["w1", "w2", "w3"])
_ENDS = (RunEnd.DONE, RunEnd.FAILED)
_TIME_SHIFTS_S = st.sampled_from([-1.0, -0.6, 0.0, 0.6, 1.0])
"""By how much a time of day is ahead: any two of them differ by 2 s at most."""

_RECOVERY_ROUNDS = 80


class OwnerMachine(RuleBasedStateMachine):
    """Random actions of callers, workers and processes, with faults of each and of the store."""

    def __init__(self):
        super().__init__()
        self.world = OwnerWorld()
        self._patches = self.world.patched()
        self._patches.__enter__()

    @initialize()
    def begin(self):
        """Make the first process the owner."""
        self.world.processes[0].claim()

    @rule(process=_PROCESSES, shape=st.sampled_from(SHAPES), account=st.sampled_from("ab"))
    def submit(self, process, shape, account):
        """A caller submits a job."""
        job = f"{len(self.world.oracle.submissions):016x}"
        now_ms = int(self.world.clock.time() * 1000)
        submission = Submission(
            "q", account, f"spec {job}", shape, accepted_ms=now_ms, pool="p", max_attempts=2
        )
        verdict = self.world.submit(self.world.processes[process], job, submission)
        if verdict is Verdict.NOT_STORED:
            self.world.oracle.refused.add(job)

    @precondition(lambda self: self.world.oracle.submissions)
    @rule(process=_PROCESSES, is_full=st.booleans(), data=st.data())
    def submit_again(self, process, is_full, data):
        """A caller submits a job again, to any process, while its queue may be full."""
        job = data.draw(st.sampled_from(sorted(self.world.oracle.submissions)))
        # Refused callers retry after a pause.
        self.world.pass_time(1.0)
        self.resubmit(self.world.processes[process], job, 1_000.0 if is_full else 0.0)

    @rule(is_late=st.booleans())
    def inject_attempt_fault(self, is_late):
        """The store starts or stops to delay appends of submissions."""
        self.world.store.is_delaying = is_late

    @rule(fault=st.sampled_from(["", "refused", "unanswered", "late"]))
    def inject_link_fault(self, fault):
        """Requests to the owner are refused, lose their replies, are delayed, or work again."""
        self.world.link.fault = fault

    @rule()
    def deliver_requests(self):
        """Delayed requests arrive."""
        self.world.deliver_delayed()

    @rule()
    def carry_out_attempts(self):
        """The store performs the appends that it has delayed."""
        self.world.store.carry_out()

    @precondition(lambda self: self.world.oracle.accepted)
    @rule(process=_PROCESSES, data=st.data())
    def cancel(self, process, data):
        """A caller cancels a job."""
        job = data.draw(st.sampled_from(sorted(self.world.oracle.accepted)))
        self.world.cancel(self.world.processes[process], job)

    @rule(process=_PROCESSES, order=st.permutations(["w1", "w2", "w3"]))
    def work(self, process, order):
        """A process reads, schedules and calls all workers, as it does without faults."""
        self._work(self.world.processes[process], order)

    @rule(order=st.permutations(["w1", "w2", "w3"]), end=st.sampled_from(_ENDS))
    def work_and_end(self, order, end):
        """Both processes work, one run on each worker ends, and both processes poll it."""
        for process in self.world.processes:
            self._work(process, order)
        for worker in self.world.workers.values():
            if worker.running:
                worker.finish(min(worker.running), end)
            for process in self.world.processes:
                process.pump(worker.id)

    @rule(process=_PROCESSES)
    def read(self, process):
        """A process reads new records."""
        self.world.processes[process].follow()

    @rule(process=_PROCESSES)
    def round(self, process):
        """An owner runs one round."""
        self.world.processes[process].round()

    @rule(process=_PROCESSES, worker=_WORKERS)
    def pump(self, process, worker):
        """An owner makes its pending calls to one worker."""
        self.world.processes[process].pump(worker)

    @rule(process=_PROCESSES, worker=_WORKERS)
    def pump_late(self, process, worker):
        """An owner calls one worker, and its loop does not get the answers yet."""
        self.world.processes[process].pump(worker, is_late=True)

    @rule(process=_PROCESSES)
    def deliver_answers(self, process):
        """An owner's loop gets the late answers of workers."""
        self.world.processes[process].deliver_answers()

    @rule(worker=_WORKERS, shift_s=_TIME_SHIFTS_S)
    def set_worker_time(self, worker, shift_s):
        """A worker's time of day jumps; its next life begins by that time."""
        self.world.workers[worker].time_shift_s = shift_s

    @rule(process=_PROCESSES, shift_s=_TIME_SHIFTS_S)
    def set_process_time(self, process, shift_s):
        """A process's time of day jumps."""
        self.world.processes[process].time_shift_s = shift_s

    @rule(worker=_WORKERS, end=st.sampled_from(_ENDS))
    def finish(self, worker, end):
        """A run ends."""
        found = self.world.workers[worker]
        if found.running:
            found.finish(min(found.running), end)

    @rule(worker=_WORKERS, fault=st.sampled_from(["lost", "unanswered", "late"]))
    def inject_call_fault(self, worker, fault):
        """The next call to a worker fails."""
        self.world.workers[worker].fault = fault

    @rule(worker=_WORKERS)
    def carry_out(self, worker):
        """A worker performs its delayed calls."""
        self.world.workers[worker].carry_out()

    @rule(worker=_WORKERS, is_registered_late=st.booleans())
    def crash(self, worker, is_registered_late=False):
        """A worker crashes and restarts with the same id, and may be registered anew later."""
        self.world.workers[worker].crash(is_registered_late=is_registered_late)

    @rule(worker=_WORKERS)
    def register(self, worker):
        """The directory lists the present life of a worker."""
        self.world.workers[worker].register()

    @rule(worker=_WORKERS, is_disconnected=st.booleans(), is_registered=st.booleans())
    def cut_connection(self, worker, is_disconnected, is_registered):
        """A worker becomes unreachable or reachable, and its registration may expire."""
        self.world.workers[worker].is_disconnected = is_disconnected
        self.world.workers[worker].is_registered = is_registered

    @rule(count=st.integers(1, 3), is_stored=st.booleans())
    def inject_store_fault(self, count, is_stored):
        """The next calls to the store are refused, or their replies lost."""
        if is_stored:
            self.world.store.replies_to_lose = count
        else:
            self.world.store.refuses = count

    @rule(process=_PROCESSES)
    def claim(self, process):
        """A process claims ownership, whether or not the other one is running."""
        self._claim(self.world.processes[process])

    @rule(process=_PROCESSES)
    def overtake(self, process):
        """A process claims ownership while the store refuses the other's append."""
        self.world.store.refuses = 2
        self.world.store.during_refusal = lambda: self._claim(self.world.processes[process])
        self.world.processes[1 - process].round()

    @rule(process=_PROCESSES)
    def kill(self, process):
        """A process crashes and restarts."""
        self.world.processes[process].restart()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds):
        """Advance the simulated clock."""
        self.world.pass_time(seconds)

    def resubmit(self, process, job, late_ms):
        """Submit a job again, with an estimate that it would end ``late_ms`` too late."""
        with contextlib.ExitStack() as stack:
            for module in (request_handler, direct_admission):
                late = mock.patch.object(module, "judge", lambda *_: make_rejection(late_ms))
                stack.enter_context(late)
            return self.world.submit(process, job, self.world.oracle.submissions[job])

    def teardown(self):
        """Remove all faults, and check that every accepted job ends."""
        try:
            self._recover()
        finally:
            self._patches.__exit__(None, None, None)

    def _recover(self):
        world = self.world
        world.store.refuses = world.store.replies_to_lose = 0
        world.store.during_refusal = None
        world.store.is_delaying = False
        world.store.carry_out()
        world.link.fault = ""
        world.deliver_delayed()
        for worker in world.workers.values():
            worker.is_disconnected, worker.is_registered, worker.fault = False, True, ""
            worker.register()
        fresh = WorldProcess(world, "three")
        fresh.claim()
        # Long-running jobs may use all capacity forever, also those with an unclear verdict.
        for job, submission in sorted(world.oracle.submissions.items()):
            if submission.is_long_running and fresh.index.entry(job) is not None:
                world.cancel(fresh, job)
        for _ in range(_RECOVERY_ROUNDS):
            self._work(fresh)
            for worker in world.workers.values():
                for name in list(worker.running):
                    worker.finish(name, RunEnd.DONE)
            world.pass_time(0.4)
        self._check_jobs(fresh)

    def _check_jobs(self, process):
        process.sync()
        for job in self.world.oracle.accepted:
            entry = process.index.entry(job)
            if entry is None:
                raise RuleBrokenError(f"LOST: {job} was accepted and is not in the index")
            if not entry.shown_state.is_final:
                raise RuleBrokenError(f"LOST: {job} stays {entry.shown_state.name}")
            is_long_running = self.world.oracle.submissions[job].is_long_running
            if is_long_running and entry.shown_state is JobState.COMPLETED:
                raise RuleBrokenError(f"MIXED: long-running {job} is completed")
        if self.world.oracle.running:
            raise RuleBrokenError(f"UNASKED: {sorted(self.world.oracle.running)} still run")

    def _work(self, process, order=("w1", "w2", "w3")):
        process.follow()
        for _ in range(2):
            process.round()
            for worker in order:
                process.pump(worker)
        process.round()

    def _claim(self, process):
        if process.owner is None:
            process.claim()


def _settings(examples):
    return settings(
        max_examples=examples,
        stateful_step_count=40,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )


def test_owners_keep_the_rules():
    run_state_machine_as_test(OwnerMachine, settings=_settings(150))


def _play(scenario, **arguments):
    machine = OwnerMachine()
    try:
        machine.begin()
        scenario(machine, **arguments)
    finally:
        machine.teardown()


def test_a_late_acknowledgement_for_a_former_life_hides_no_end():
    """Guards against a task that runs again since its end was forgotten unread (TWICE)."""
    _play(forget_an_end_by_a_late_acknowledgement)


def test_a_kept_late_acknowledgement_for_a_former_life_hides_no_later_end():
    """Guards against the same at a worker that keeps the highest number that it was sent."""
    _play(forget_later_ends_by_a_late_acknowledgement)


def test_an_answer_of_a_former_life_confirms_no_run_on_the_next():
    """Guards against a run given up as missing that the next life can still start (TWICE)."""
    _play(restart_scenarios.confirm_a_run_by_an_answer_of_the_former_life)


def test_a_stop_on_a_former_life_does_not_count_for_the_next():
    """Guards against a run given up as stopped that the next life can still start (TWICE)."""
    _play(restart_scenarios.count_a_stop_of_the_former_life)


def test_an_end_of_a_run_given_up_is_not_lost_while_its_task_waits():
    """Guards against a start after an end that was acknowledged and dropped (TWICE)."""
    _play(restart_scenarios.list_an_end_while_the_task_waits)


def test_an_end_of_a_run_given_up_is_not_lost_before_the_next_start_is_sent():
    """Guards against a start after an end that was acknowledged and dropped (TWICE)."""
    _play(restart_scenarios.list_an_end_while_the_next_run_is_planned)


def test_an_end_of_a_run_given_up_is_not_acknowledged_while_the_next_one_runs():
    """Guards against an acknowledgement of an end whose task was started again (TWICE)."""
    _play(restart_scenarios.list_an_end_while_the_next_run_is_running)


def test_a_late_start_of_a_stopped_run_is_not_carried_out_by_the_next_life():
    """Guards against a late start once the stop was forgotten with the worker's life (TWICE)."""
    _play(restart_scenarios.stop_a_run_before_its_first_start_is_carried_out)


def test_a_late_start_of_a_stopped_run_is_not_carried_out_by_a_known_next_life():
    """Guards against the same at a life that was polled before the start arrives (TWICE)."""
    _play(restart_scenarios.stop_a_run_before_its_first_start_is_carried_out, is_known=True)


def test_a_late_start_of_an_ended_run_is_not_carried_out_by_the_next_life():
    """Guards against a late start once the end was forgotten with the worker's life (TWICE)."""
    _play(restart_scenarios.end_a_run_before_its_first_start_is_carried_out)


def test_a_late_start_of_an_ended_run_is_not_carried_out_by_a_known_next_life():
    """Guards against the same at a life that was polled before the start arrives (TWICE)."""
    _play(restart_scenarios.end_a_run_before_its_first_start_is_carried_out, is_known=True)


def test_a_late_start_on_a_worker_given_up_is_not_carried_out_by_the_next_life():
    """Guards against a late start once the lease of the former life is over (TWICE)."""
    _play(restart_scenarios.give_up_a_run_with_an_unclear_start)


def test_a_late_start_of_an_earlier_run_on_a_worker_off_the_list_starts_no_second_run():
    """Guards against a task started elsewhere while an earlier run may start (TWICE, review/13)."""
    _play(restart_scenarios.lose_a_worker_that_has_an_earlier_start)


def test_a_late_start_of_an_earlier_run_on_a_restarted_worker_starts_no_second_run():
    """Guards against the same, once the restart of the worker is known (TWICE, review/13)."""
    _play(restart_scenarios.restart_a_worker_that_has_an_earlier_start)


def test_an_earlier_run_that_the_next_life_lists_keeps_its_task_from_starting_elsewhere():
    """Guards against a task given up by a list that has an earlier run of it (TWICE)."""
    _play(restart_scenarios.list_an_earlier_run_in_the_next_life)


def test_the_end_of_an_earlier_run_in_the_next_life_completes_its_task():
    """Guards against a start after an end as done that was acknowledged (TWICE)."""
    _play(restart_scenarios.list_the_end_of_an_earlier_run_in_the_next_life)


def test_the_oracle_detects_that_a_late_acknowledgement_hides_an_end():
    """Guards against a scenario that the fault of issue 50 would pass."""
    machine = OwnerMachine()
    with MUTATIONS["former and next lives get one token"](), pytest.raises(RuleBrokenError):
        try:
            machine.begin()
            forget_an_end_by_a_late_acknowledgement(machine)
        finally:
            machine.teardown()


def test_a_late_start_on_a_worker_given_up_is_not_carried_out_by_a_known_next_life():
    """Guards against the same at a life that was polled before the start arrives (TWICE)."""
    _play(restart_scenarios.give_up_a_run_with_an_unclear_start, is_known=True)


def test_a_run_started_behind_a_stop_is_not_taken_for_one_of_the_former_life():
    """Guards against a run of the next life given up by clocks that are 2 s apart (TWICE)."""
    _play(restart_scenarios.compare_the_clocks_after_a_start_behind_a_stop)


def test_a_lease_taken_by_a_start_behind_a_stop_is_counted_for_the_next_life():
    """Guards against a run given up while the next life holds a lease (TWICE)."""
    _play(restart_scenarios.cut_off_a_worker_after_a_start_behind_a_stop)


def test_an_end_of_a_run_started_behind_a_stop_is_not_acknowledged_while_the_next_one_runs():
    """Guards against the same, shown by the end of the run (TWICE)."""
    _play(restart_scenarios.list_an_end_after_a_start_behind_a_stop)


def test_each_mutation_has_its_scenario():
    assert set(SCENARIOS) == set(MUTATIONS)


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_owners_keep_the_rules_in_this_scenario(name):
    _play(SCENARIOS[name])


@pytest.mark.parametrize("name", sorted(MUTATIONS))
def test_the_oracle_detects_a_faulty_owner(name):
    with MUTATIONS[name](), pytest.raises(RuleBrokenError):
        _play(SCENARIOS[name])
