"""Real owners in a world of faults, against an oracle of what must hold."""

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

from almondstack.control import request_rounds
from almondstack.intake import Verdict
from almondstack.intake import service as intake_service
from almondstack.jobs import JobState, RunEnd, Submission
from almondstack.testing.job_builders import make_step
from almondstack.testing.owner_mutations import MUTATIONS
from almondstack.testing.owner_oracle import RuleBrokenError
from almondstack.testing.owner_world import OwnerWorld, WorldProcess

_SHAPES = (
    (make_step(2),),
    (make_step(1), make_step(2, after=(0,))),
    (make_step(3, cpu_millis=1_500),),
    (make_step(2, is_long_running=True),),
)
_PROCESSES = st.sampled_from([0, 1])
_WORKERS = st.sampled_from(["w1", "w2", "w3"])
_ENDS = (RunEnd.DONE, RunEnd.FAILED)
_RECOVERY_ROUNDS = 80


class OwnerMachine(RuleBasedStateMachine):
    """Callers, workers, the store and processes do what they like."""

    def __init__(self):
        super().__init__()
        self.world = OwnerWorld()
        self._in_force = self.world.in_force()
        self._in_force.__enter__()

    @initialize()
    def begin(self):
        """One process owns the jobs."""
        self.world.processes[0].claim()

    @rule(process=_PROCESSES, shape=st.sampled_from(_SHAPES), account=st.sampled_from("ab"))
    def submit(self, process, shape, account):
        """A caller hands in a job."""
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
        """A caller hands a job in once more, elsewhere, where its queue may be full."""
        job = data.draw(st.sampled_from(sorted(self.world.oracle.submissions)))
        # Callers that were refused come back after a while.
        self.world.pass_time(1.0)
        self.hand_in_again(self.world.processes[process], job, 1_000.0 if is_full else 0.0)

    @rule(is_late=st.booleans())
    def harm_attempts(self, is_late):
        """The store leaves attempts to hand jobs in for later, or does so no more."""
        self.world.store.is_late = is_late

    @rule(fault=st.sampled_from(["", "refused", "unanswered", "late"]))
    def harm_link(self, fault):
        """Requests to the owner are refused, answered in vain or held up, or no longer."""
        self.world.link.fault = fault

    @rule()
    def deliver_requests(self):
        """Requests arrive that were held up."""
        self.world.deliver_late()

    @rule()
    def carry_out_attempts(self):
        """The store carries out what it has left for later."""
        self.world.store.carry_out()

    @precondition(lambda self: self.world.oracle.accepted)
    @rule(process=_PROCESSES, data=st.data())
    def cancel(self, process, data):
        """A caller cancels a job."""
        job = data.draw(st.sampled_from(sorted(self.world.oracle.accepted)))
        self.world.cancel(self.world.processes[process], job)

    @rule(process=_PROCESSES, order=st.permutations(["w1", "w2", "w3"]))
    def work(self, process, order):
        """A process does all that is to be done, as when nothing is wrong."""
        self._work(self.world.processes[process], order)

    @rule(order=st.permutations(["w1", "w2", "w3"]), end=st.sampled_from(_ENDS))
    def work_and_end(self, order, end):
        """Both processes work, one run on each worker ends, and its owner hears of it."""
        for process in self.world.processes:
            self._work(process, order)
        for worker in self.world.workers.values():
            if worker.running:
                worker.finish(min(worker.running), end)
            for process in self.world.processes:
                process.pump(worker.id)

    @rule(process=_PROCESSES)
    def read(self, process):
        """A process follows the store."""
        self.world.processes[process].follow()

    @rule(process=_PROCESSES)
    def round(self, process):
        """An owner decides."""
        self.world.processes[process].round()

    @rule(process=_PROCESSES, worker=_WORKERS)
    def pump(self, process, worker):
        """An owner's calls to one worker are made."""
        self.world.processes[process].pump(worker)

    @rule(worker=_WORKERS, end=st.sampled_from(_ENDS))
    def finish(self, worker, end):
        """A run ends."""
        found = self.world.workers[worker]
        if found.running:
            found.finish(min(found.running), end)

    @rule(worker=_WORKERS, fault=st.sampled_from(["lost", "unanswered", "late"]))
    def harm_call(self, worker, fault):
        """The next call to a worker goes wrong."""
        self.world.workers[worker].fault = fault

    @rule(worker=_WORKERS)
    def carry_out(self, worker):
        """Calls that were left for later are carried out."""
        self.world.workers[worker].carry_out()

    @rule(worker=_WORKERS)
    def crash(self, worker):
        """A worker crashes and comes back under its id."""
        self.world.workers[worker].crash()

    @rule(worker=_WORKERS, is_cut=st.booleans(), is_registered=st.booleans())
    def cut(self, worker, is_cut, is_registered):
        """A worker is cut off, or comes back, and its entry may lapse."""
        self.world.workers[worker].is_cut = is_cut
        self.world.workers[worker].is_registered = is_registered

    @rule(count=st.integers(1, 3), is_stored=st.booleans())
    def harm_store(self, count, is_stored):
        """The next calls to the store are refused, or their answers lost."""
        if is_stored:
            self.world.store.replies_to_lose = count
        else:
            self.world.store.refuses = count

    @rule(process=_PROCESSES)
    def claim(self, process):
        """A process takes the other for dead, rightly or not."""
        self._claim(self.world.processes[process])

    @rule(process=_PROCESSES)
    def overtake(self, process):
        """A process claims while the other is held up by the store."""
        self.world.store.refuses = 2
        self.world.store.meanwhile = lambda: self._claim(self.world.processes[process])
        self.world.processes[1 - process].round()

    @rule(process=_PROCESSES)
    def kill(self, process):
        """A process dies and comes back."""
        self.world.processes[process].restart()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds):
        """Time passes."""
        self.world.pass_time(seconds)

    def hand_in_again(self, process, job, late_ms):
        """Hand a job in once more, where it would end late by so many milliseconds."""
        with contextlib.ExitStack() as stack:
            for module in (request_rounds, intake_service):
                late = mock.patch.object(module, "excess_wait_ms", lambda *_arguments: late_ms)
                stack.enter_context(late)
            return self.world.submit(process, job, self.world.oracle.submissions[job])

    def teardown(self):
        """Let all be well again, and see that every accepted job ends as it should."""
        try:
            self._recover()
        finally:
            self._in_force.__exit__(None, None, None)

    def _recover(self):
        world = self.world
        world.store.refuses = world.store.replies_to_lose = 0
        world.store.meanwhile = None
        world.store.is_late = False
        world.store.carry_out()
        world.link.fault = ""
        world.deliver_late()
        for worker in world.workers.values():
            worker.is_cut, worker.is_registered, worker.fault = False, True, ""
        fresh = WorldProcess(world, "three")
        fresh.claim()
        # Lasting jobs may fill all room for good, also those whose callers had no answer.
        for job, submission in sorted(world.oracle.submissions.items()):
            if submission.is_long_running and fresh.book.entry(job) is not None:
                world.cancel(fresh, job)
        for _ in range(_RECOVERY_ROUNDS):
            self._work(fresh)
            for worker in world.workers.values():
                for name in list(worker.running):
                    worker.finish(name, RunEnd.DONE)
            world.pass_time(0.4)
        self._judge_jobs(fresh)

    def _judge_jobs(self, process):
        process.sync()
        for job in self.world.oracle.accepted:
            entry = process.book.entry(job)
            if entry is None:
                raise RuleBrokenError(f"LOST: {job} was accepted and is not known")
            if not entry.shown_state.is_final:
                raise RuleBrokenError(f"LOST: {job} is {entry.shown_state.name} for good")
            is_lasting = self.world.oracle.submissions[job].is_long_running
            if is_lasting and entry.shown_state is JobState.COMPLETED:
                raise RuleBrokenError(f"MIXED: lasting {job} is completed")
        if self.world.oracle.running:
            raise RuleBrokenError(f"UNASKED: {sorted(self.world.oracle.running)} run on")

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


_ALL = ["w1", "w2", "w3"]


def _submit(machine, shape=_SHAPES[0], account="b", process=0):
    machine.submit(process=process, shape=shape, account=account)


def _submit_at_the_store(machine):
    """A job is stored by a process that can't reach the owner, which has not read it yet."""
    machine.read(process=1)
    machine.harm_link(fault="refused")
    _submit(machine, process=1)
    machine.harm_link(fault="")


def _fail_again_and_again(machine):
    """A task fails on every worker."""
    _submit(machine)
    for _ in range(4):
        machine.work_and_end(order=_ALL, end=RunEnd.FAILED)


def _lose_an_owner_that_has_seen_an_end(machine):
    """The owner is overtaken while it stores an end that it has read."""
    _submit(machine)
    machine.work(process=0, order=_ALL)
    for worker in _ALL:
        machine.finish(worker=worker, end=RunEnd.DONE)
        machine.pump(process=0, worker=worker)
    machine.overtake(process=1)
    machine.work(process=1, order=_ALL)


def _lose_an_owner_that_starts(machine):
    """The owner is overtaken while it stores what it starts, and its workers are cut off."""
    _submit_at_the_store(machine)
    machine.read(process=0)
    machine.overtake(process=1)
    _cut_off_what_runs(machine, is_registered=False)
    machine.work(process=1, order=_ALL)


def _lose_an_owner_with_runs(machine):
    """Another process takes over while runs go on."""
    _submit(machine)
    machine.work(process=0, order=_ALL)
    machine.claim(process=1)
    machine.work(process=1, order=_ALL)


def _leave_a_start_without_answer(machine):
    """A start is carried out, its answer is lost, its worker is cut off and its entry lapses."""
    _submit(machine, (make_step(1),))
    machine.read(process=0)
    machine.round(process=0)
    for worker in _ALL:
        machine.world.processes[0].pump_meeting(worker)
        machine.harm_call(worker=worker, fault="unanswered")
        machine.world.processes[0].pump_orders(worker)
        machine.harm_call(worker=worker, fault="")
    _cut_off_what_runs(machine, is_registered=False)
    for _ in range(3):
        machine.work(process=0, order=_ALL)


def _cut_off_workers_with_runs(machine):
    """Workers with runs do not answer, and their leases have not ended."""
    _submit(machine)
    machine.work(process=0, order=_ALL)
    _cut_off_what_runs(machine, is_registered=True)
    for _ in range(3):
        machine.work(process=0, order=_ALL)


def _hand_in_steps(machine):
    """A job has a step behind another."""
    _submit(machine, _SHAPES[1])
    machine.work(process=0, order=_ALL)


def _end_one_task_of_two(machine):
    """One of a job's tasks ends."""
    _submit(machine)
    machine.work(process=0, order=_ALL)
    machine.finish(worker=_first_busy(machine), end=RunEnd.DONE)
    machine.work(process=0, order=_ALL)


def _ask_for_more_than_the_ceiling(machine):
    """An account hands in three times what it may have running."""
    for _ in range(5):
        _submit(machine, account="a")
    machine.work(process=0, order=_ALL)


def _cancel_and_crash(machine):
    """A lasting job is cancelled, and later all workers start anew."""
    _submit(machine, _SHAPES[3])
    machine.work(process=0, order=_ALL)
    machine.world.cancel(machine.world.processes[1], "0" * 16)
    machine.read(process=0)
    machine.pass_time(seconds=4.0)
    for worker in _ALL:
        machine.crash(worker=worker)
    for _ in range(3):
        machine.work(process=0, order=_ALL)


def _refuse_after_an_attempt_without_answer(machine):
    """A job is refused as full while an earlier attempt of it waits in the store.

    Its caller goes away so soon that the owner has written nothing meanwhile.
    """
    machine.world.patience_s = 0.2
    machine.read(process=1)
    machine.harm_link(fault="refused")
    machine.harm_attempts(is_late=True)
    _submit(machine, process=1)
    machine.harm_attempts(is_late=False)
    _refuse(machine)
    machine.carry_out_attempts()
    machine.work(process=0, order=_ALL)


def _refuse_after_a_request_that_comes_late(machine):
    """A job is refused as full while an earlier request is held up on its way to the owner."""
    machine.read(process=1)
    machine.harm_link(fault="late")
    machine.harm_attempts(is_late=True)
    _submit(machine, process=1)
    machine.harm_attempts(is_late=False)
    _refuse(machine)
    machine.deliver_requests()
    machine.work(process=0, order=_ALL)


def _refuse_what_is_stored_and_not_read(machine):
    """The owner has not read an attempt that another process has stored."""
    _submit_at_the_store(machine)
    machine.world.oracle.accepted.clear()
    _refuse(machine)
    machine.work(process=0, order=_ALL)


def _refuse(machine):
    machine.harm_link(fault="")
    (job,) = machine.world.oracle.submissions
    machine.hand_in_again(machine.world.processes[0], job, late_ms=1_000.0)


def _cancel_while_starts_wait(machine):
    """Starts wait in the sessions of their workers, and their job is cancelled meanwhile."""
    _submit(machine)
    machine.read(process=0)
    machine.round(process=0)
    machine.world.cancel(machine.world.processes[1], "0" * 16)
    machine.read(process=0)
    machine.round(process=0)
    machine.pass_time(seconds=4.0)
    machine.work(process=0, order=_ALL)


def _cut_off_what_runs(machine, *, is_registered):
    for worker in machine.world.workers.values():
        if worker.running:
            machine.cut(worker=worker.id, is_cut=True, is_registered=is_registered)


def _first_busy(machine):
    return next(worker.id for worker in machine.world.workers.values() if worker.running)


_SCRIPTS = {
    "attempts are not counted": _fail_again_and_again,
    "cancels are not heard": _cancel_and_crash,
    "cancels are not heard by starts that wait": _cancel_while_starts_wait,
    "ceilings are not looked at": _ask_for_more_than_the_ceiling,
    "ends acknowledged before they are stored": _lose_an_owner_that_has_seen_an_end,
    "inherited runs are forgotten": _lose_an_owner_with_runs,
    "jobs complete with their first task": _end_one_task_of_two,
    "refusals are answered before the log is read": _refuse_what_is_stored_and_not_read,
    "refusals are forgotten when requests come late": _refuse_after_a_request_that_comes_late,
    "refusals leave earlier attempts in force": _refuse_after_an_attempt_without_answer,
    "silent workers count as empty": _cut_off_workers_with_runs,
    "starts before they are stored": _lose_an_owner_that_starts,
    "steps do not wait for others": _hand_in_steps,
    "unclear starts count as not started": _leave_a_start_without_answer,
}
"""For each mutation the meeting that shows it, since a search may or may not come by it."""


def _play(name):
    machine = OwnerMachine()
    try:
        machine.begin()
        _SCRIPTS[name](machine)
    finally:
        machine.teardown()


def test_each_mutation_has_its_script():
    assert set(_SCRIPTS) == set(MUTATIONS)


@pytest.mark.parametrize("name", sorted(_SCRIPTS))
def test_owners_keep_the_rules_in_this_meeting(name):
    _play(name)


@pytest.mark.parametrize("name", sorted(MUTATIONS))
def test_a_faulty_owner_is_caught(name):
    with MUTATIONS[name](), pytest.raises(RuleBrokenError):
        _play(name)
