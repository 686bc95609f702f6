"""Scripted courses of events for the state machine of owners, one for each mutation.

Explanation
-----------
A scenario takes the machine and applies its rules in a fixed order.  A random search may
miss the faults that these show.
"""

from unittest import mock

from almondstack.control.sent_calls import SentCalls
from almondstack.jobs import RunEnd
from almondstack.testing.job_builders import make_step

__all__ = [
    "SCENARIOS",
    "SHAPES",
    "forget_an_end_by_a_late_acknowledgement",
    "forget_later_ends_by_a_late_acknowledgement",
    "submit",
    "use_only",
]

SHAPES = (
    (make_step(2),),
    (make_step(1), make_step(2, after=(0,))),
    (make_step(3, cpu_millis=1_500),),
    (make_step(2, is_long_running=True),),
)
"""Steps of the jobs that are submitted."""

_ALL = ["w1", "w2", "w3"]


def submit(machine, shape=SHAPES[0], account="b", process=0):
    """Submit a job."""
    machine.submit(process=process, shape=shape, account=account)


def _submit_through_the_store(machine):
    """Store a job through a process that can't reach the owner, which has not read it yet."""
    machine.read(process=1)
    machine.inject_link_fault(fault="refused")
    submit(machine, process=1)
    machine.inject_link_fault(fault="")


def _fail_repeatedly(machine):
    """Let a task fail on every worker."""
    submit(machine)
    for _ in range(4):
        machine.work_and_end(order=_ALL, end=RunEnd.FAILED)


def _fence_an_owner_that_has_read_an_end(machine):
    """Fence the owner while it stores an end that it has read."""
    submit(machine)
    machine.work(process=0, order=_ALL)
    for worker in _ALL:
        machine.finish(worker=worker, end=RunEnd.DONE)
        machine.pump(process=0, worker=worker)
    machine.overtake(process=1)
    machine.work(process=1, order=_ALL)


def _fence_an_owner_that_starts(machine):
    """Fence the owner while it stores the runs that it starts, and disconnect their workers."""
    _submit_through_the_store(machine)
    machine.read(process=0)
    machine.overtake(process=1)
    _disconnect_busy_workers(machine, is_registered=False)
    machine.work(process=1, order=_ALL)


def _replace_an_owner_with_runs(machine):
    """Let another process take over while runs are active."""
    submit(machine)
    machine.work(process=0, order=_ALL)
    machine.claim(process=1)
    machine.work(process=1, order=_ALL)


def _lose_the_reply_to_a_start(machine):
    """Lose the reply to a start, disconnect its worker and let its registration expire."""
    submit(machine, (make_step(1),))
    machine.read(process=0)
    machine.round(process=0)
    for worker in _ALL:
        machine.world.processes[0].pump_handshake(worker)
        machine.inject_call_fault(worker=worker, fault="unanswered")
        machine.world.processes[0].pump_orders(worker)
        machine.inject_call_fault(worker=worker, fault="")
    _disconnect_busy_workers(machine, is_registered=False)
    for _ in range(3):
        machine.work(process=0, order=_ALL)


def _disconnect_workers_with_runs(machine):
    """Disconnect workers with runs, before their leases have expired."""
    submit(machine)
    machine.work(process=0, order=_ALL)
    _disconnect_busy_workers(machine, is_registered=True)
    for _ in range(3):
        machine.work(process=0, order=_ALL)


def _submit_steps(machine):
    """Submit a job with a step that depends on another."""
    submit(machine, SHAPES[1])
    machine.work(process=0, order=_ALL)


def _end_one_task_of_two(machine):
    """End one of a job's two tasks."""
    submit(machine)
    machine.work(process=0, order=_ALL)
    machine.finish(worker=_first_busy_worker(machine), end=RunEnd.DONE)
    machine.work(process=0, order=_ALL)


def _end_more_runs_than_a_list_holds(machine):
    """End all runs of a worker between two polls, more than it lists at a time (review/2)."""
    for _ in range(2):
        submit(machine)
    machine.work(process=0, order=_ALL)
    worker = _first_busy_worker(machine)
    while machine.world.workers[worker].running:
        machine.finish(worker=worker, end=RunEnd.DONE)
    for _ in range(3):
        machine.work(process=0, order=_ALL)


def _start_after_an_idle_time(machine):
    """Start a run on a worker that was idle for long, and disconnect it at once (review/1)."""
    submit(machine, (make_step(1),))
    machine.work(process=0, order=_ALL)
    machine.finish(worker=_first_busy_worker(machine), end=RunEnd.DONE)
    machine.work(process=0, order=_ALL)
    machine.world.pass_time(100.0)
    submit(machine, (make_step(1),))
    machine.read(process=0)
    machine.round(process=0)
    for worker in _ALL:
        machine.world.processes[0].pump_orders(worker)
    _disconnect_busy_workers(machine, is_registered=True)
    for _ in range(30):
        machine.pass_time(seconds=0.3)
        machine.work(process=0, order=_ALL)


def _crash_amid_a_renewal(machine):
    """Crash the only worker, which has a run, while a renewal of its lease is under way.

    Its next life is young, so the deadline of that renewal lies far ahead for it.
    """
    machine.world.pass_time(100.0)
    submit(machine)
    machine.work(process=0, order=_ALL)
    worker = _first_busy_worker(machine)
    use_only(machine, worker)
    machine.pass_time(seconds=0.1)
    machine.work(process=0, order=_ALL)
    machine.inject_call_fault(worker=worker, fault="late")
    machine.pump(process=0, worker=worker)
    machine.crash(worker=worker)
    return worker


def _restart_with_a_delayed_call(machine):
    """Crash a worker amid a renewal of its lease, and use its next life."""
    worker = _crash_amid_a_renewal(machine)
    for _ in range(10):
        machine.work(process=0, order=_ALL)
        machine.pass_time(seconds=0.1)
    assert machine.world.workers[worker].running
    return worker


def _watch(machine, process):
    """Let a process work for the time in which it takes the runs on a lost worker for ended."""
    for _ in range(60):
        machine.pass_time(seconds=0.1)
        machine.work(process=process, order=_ALL)


def _renew_the_lease_of_a_former_life_late(machine):
    """Let the next life of a worker carry out a late renewal, and disconnect it then."""
    worker = _restart_with_a_delayed_call(machine)
    machine.carry_out(worker=worker)
    _cut_only(machine, worker)
    _watch(machine, process=0)


def _renew_the_lease_of_a_former_life_before_the_first_call(machine):
    """Let the next life of a worker carry out a late renewal before it has seen a higher token."""
    worker = _crash_amid_a_renewal(machine)
    machine.carry_out(worker=worker)
    for _ in range(5):
        if not machine.world.workers[worker].running:
            machine.work(process=0, order=_ALL)
            machine.pass_time(seconds=0.1)
    assert machine.world.workers[worker].running
    _cut_only(machine, worker)
    _watch(machine, process=0)


def _poll_the_next_life_over_a_new_connection(machine):
    """Crash a worker between two polls, and disconnect its next life soon after.

    The next poll is sent for the former life and reaches the next one.
    """
    machine.world.pass_time(100.0)
    submit(machine)
    machine.work(process=0, order=_ALL)
    worker = _first_busy_worker(machine)
    use_only(machine, worker)
    machine.pass_time(seconds=3.0)
    machine.work(process=0, order=_ALL)
    machine.crash(worker=worker)
    machine.pump(process=0, worker=worker)
    for _ in range(2):
        machine.work(process=0, order=_ALL)
        machine.pass_time(seconds=0.1)
    assert machine.world.workers[worker].running
    _cut_only(machine, worker)
    _watch(machine, process=0)


def _cut_only(machine, worker):
    """Disconnect a worker, and register all of them."""
    for other in _ALL:
        machine.cut_connection(worker=other, is_disconnected=other == worker, is_registered=True)


def use_only(machine, worker):
    """Let the registrations of all other workers expire."""
    for other in _ALL:
        machine.cut_connection(worker=other, is_disconnected=False, is_registered=other == worker)


def _renew_the_lease_of_a_former_life_after_a_change_of_owner(machine):
    """Let the next life carry out a renewal that the owner before has sent to the former one.

    That owner is of a build that uses one token for all lives.
    """
    with mock.patch.object(SentCalls, "needs_higher_token", lambda *_arguments, **_named: False):
        worker = _restart_with_a_delayed_call(machine)
    machine.read(process=1)
    machine.kill(process=0)
    machine.pass_time(seconds=1.0)
    machine.pass_time(seconds=1.0)
    machine.carry_out(worker=worker)
    _cut_only(machine, worker)
    machine.claim(process=1)
    _watch(machine, process=1)


def _start_on_the_next_life_late(machine):
    """Send a start twice, and let the next life carry out the first one."""
    machine.world.pass_time(100.0)
    submit(machine, (make_step(1, is_long_running=True),))
    machine.read(process=0)
    machine.round(process=0)
    for worker in _ALL:
        machine.world.processes[0].pump_handshake(worker)
        machine.inject_call_fault(worker=worker, fault="late")
        machine.world.processes[0].pump_orders(worker)
        machine.world.workers[worker].fault = ""
    machine.work(process=0, order=_ALL)
    machine.work(process=0, order=_ALL)
    worker = _first_busy_worker(machine)
    machine.pass_time(seconds=3.0)
    machine.work(process=0, order=_ALL)
    machine.crash(worker=worker)
    machine.carry_out(worker=worker)
    for _ in range(5):
        machine.pass_time(seconds=0.1)
        machine.work(process=0, order=_ALL)
    _watch(machine, process=0)


def _submit_more_than_the_ceiling(machine):
    """Submit more than three times the ceiling of an account."""
    for _ in range(5):
        submit(machine, account="a")
    machine.work(process=0, order=_ALL)


def _cancel_and_crash(machine):
    """Cancel a long-running job, and later restart all workers."""
    submit(machine, SHAPES[3])
    machine.work(process=0, order=_ALL)
    machine.world.cancel(machine.world.processes[1], "0" * 16)
    machine.read(process=0)
    machine.pass_time(seconds=4.0)
    for worker in _ALL:
        machine.crash(worker=worker)
    for _ in range(3):
        machine.work(process=0, order=_ALL)


def _refuse_after_an_unanswered_attempt(machine):
    """Refuse a job as full while an earlier attempt to store it is delayed in the store.

    Its caller times out so soon that the owner has written nothing since the attempt.
    """
    machine.world.caller_timeout_s = 0.2
    machine.read(process=1)
    machine.inject_link_fault(fault="refused")
    machine.inject_attempt_fault(is_late=True)
    submit(machine, process=1)
    machine.inject_attempt_fault(is_late=False)
    _refuse(machine)
    machine.carry_out_attempts()
    machine.work(process=0, order=_ALL)


def _refuse_after_a_delayed_request(machine):
    """Refuse a job as full while an earlier request to the owner is delayed."""
    machine.read(process=1)
    machine.inject_link_fault(fault="late")
    machine.inject_attempt_fault(is_late=True)
    submit(machine, process=1)
    machine.inject_attempt_fault(is_late=False)
    _refuse(machine)
    machine.deliver_requests()
    machine.work(process=0, order=_ALL)


def _refuse_a_stored_job_that_is_not_read(machine):
    """Refuse a job that another process has stored and the owner has not read."""
    _submit_through_the_store(machine)
    machine.world.oracle.accepted.clear()
    _refuse(machine)
    machine.work(process=0, order=_ALL)


def _refuse(machine):
    machine.inject_link_fault(fault="")
    (job,) = machine.world.oracle.submissions
    machine.resubmit(machine.world.processes[0], job, late_ms=1_000.0)


def _cancel_while_starts_are_queued(machine):
    """Cancel a job while its starts are queued in the sessions of their workers."""
    submit(machine)
    machine.read(process=0)
    machine.round(process=0)
    machine.world.cancel(machine.world.processes[1], "0" * 16)
    machine.read(process=0)
    machine.round(process=0)
    machine.pass_time(seconds=4.0)
    machine.work(process=0, order=_ALL)


def _disconnect_busy_workers(machine, *, is_registered):
    for worker in machine.world.workers.values():
        if worker.running:
            machine.cut_connection(
                worker=worker.id, is_disconnected=True, is_registered=is_registered
            )


def _first_busy_worker(machine):
    return next(worker.id for worker in machine.world.workers.values() if worker.running)


def forget_an_end_by_a_late_acknowledgement(machine):
    """Let the next life of a worker carry out an acknowledgement that was meant for the former.

    No other worker is registered, so that the task starts there.
    """
    worker = _restart_with_a_late_acknowledgement(machine)
    _work_for_a_second(machine)
    machine.finish(worker=worker, end=RunEnd.DONE)
    machine.carry_out(worker=worker)
    _watch(machine, process=0)


def forget_later_ends_by_a_late_acknowledgement(machine):
    """Let the next life carry out such an acknowledgement before any of its runs has ended.

    The worker keeps the highest number that it was sent.
    """
    worker = _restart_with_a_late_acknowledgement(machine)
    machine.world.workers[worker].keeps_last_seen = True
    machine.carry_out(worker=worker)
    _work_for_a_second(machine)
    machine.finish(worker=worker, end=RunEnd.DONE)
    _watch(machine, process=0)


def _restart_with_a_late_acknowledgement(machine):
    """Restart a worker while an acknowledgement of its former life's only end is under way."""
    machine.world.pass_time(100.0)
    submit(machine)
    machine.work(process=0, order=_ALL)
    worker = _first_busy_worker(machine)
    use_only(machine, worker)
    machine.finish(worker=worker, end=RunEnd.DONE)
    machine.pump(process=0, worker=worker)
    machine.round(process=0)
    machine.inject_call_fault(worker=worker, fault="late")
    machine.pump(process=0, worker=worker)
    machine.pass_time(seconds=3.0)
    machine.crash(worker=worker)
    return worker


def _work_for_a_second(machine):
    for _ in range(10):
        machine.work(process=0, order=_ALL)
        machine.pass_time(seconds=0.1)


SCENARIOS = {
    "attempts are not counted": _fail_repeatedly,
    "cancels are ignored": _cancel_and_crash,
    "cancels are ignored by queued starts": _cancel_while_starts_are_queued,
    "ceilings are not checked": _submit_more_than_the_ceiling,
    "clocks count as exact": _start_after_an_idle_time,
    "cut lists count as whole": _end_more_runs_than_a_list_holds,
    "deadlines of former lives are not counted": (
        _renew_the_lease_of_a_former_life_before_the_first_call
    ),
    "deadlines of the owner before for former lives are not counted": (
        _renew_the_lease_of_a_former_life_after_a_change_of_owner
    ),
    "former and next lives get one token": _renew_the_lease_of_a_former_life_late,
    "leases are renewed over new connections": _poll_the_next_life_over_a_new_connection,
    "late starts of former lives are not stopped": _start_on_the_next_life_late,
    "ends are acknowledged before they are stored": _fence_an_owner_that_has_read_an_end,
    "inherited runs are dropped": _replace_an_owner_with_runs,
    "jobs complete with their first task": _end_one_task_of_two,
    "refusals are answered before the log is read": _refuse_a_stored_job_that_is_not_read,
    "refusals are not retained for delayed requests": _refuse_after_a_delayed_request,
    "refusals are not recorded": _refuse_after_an_unanswered_attempt,
    "unreachable workers count as empty": _disconnect_workers_with_runs,
    "starts are sent before they are stored": _fence_an_owner_that_starts,
    "steps start before their predecessors are done": _submit_steps,
    "unclear starts count as not started": _lose_the_reply_to_a_start,
}
"""A scenario for each mutation that detects it, as a random search may miss it."""
