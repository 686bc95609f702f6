"""Scripted courses in which something that was meant for a worker's former life has an effect.

Explanation
-----------
Each takes the state machine of owners and applies its rules in a fixed order; see
:mod:`almondstack.control.tests.owner_scenarios`.
"""

from almondstack.control.messages import OrderKind
from almondstack.jobs import RunEnd
from almondstack.testing.job_builders import make_step

__all__ = [
    "acknowledge_the_end_of_a_late_start",
    "carry_out_a_start_after_the_lease",
    "carry_out_a_start_after_the_list",
    "carry_out_a_start_after_the_end",
    "carry_out_a_start_after_the_stop",
    "carry_out_a_start_of_a_stopped_run",
    "carry_out_a_start_of_the_owner_before",
    "read_the_answer_to_a_stop_late",
    "lose_a_worker_for_good_with_a_start",
    "restart_before_the_former_life",
    "restart_twice_before_an_answer_is_read",
]

_ALL = ["w1", "w2", "w3"]
_AGE_S = 100.0
"""Age of the first life: a deadline by its clock lies far ahead for the next one, in seconds."""

_EXPIRY_S = 4.5
"""Time after which the entry of a worker that is gone is removed, in seconds."""

_LATEST_S = 12.0
"""Time in which the bench carries out an order without an answer, in seconds."""


def carry_out_a_start_after_the_lease(machine):
    """Let the next life of a worker carry out a start whose run was counted as ended by its lease.

    The answer to the start is lost, the worker is away until its task has started elsewhere,
    and comes back under its id.  Its present clock does not rule the old deadline out.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1),), account="b")
    _lose_a_start(machine, "w1")
    _register(machine, *_ALL, cut="w1")
    _work_until_a_start(machine)
    machine.crash(worker="w1")
    machine.carry_out(worker="w1")


def carry_out_a_start_after_the_list(machine):
    """Let the next life carry out a start whose run was given up by the list of instances.

    While the worker is away, its machine is down and the list names no worker of it.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1),), account="b")
    _lose_a_start(machine, "w1")
    _register(machine, *_ALL, cut="w1")
    machine.pass_time(seconds=0.2)
    now_s = machine.world.clock.now_s
    machine.world.processes[0].owner.parts.table.mark_unlisted_lost({"w2", "w3"}, now_s, now_s)
    _work_until_a_start(machine)
    machine.crash(worker="w1")
    machine.carry_out(worker="w1")


def carry_out_a_start_after_the_end(machine):
    """Let the next life of a worker carry out the first of two starts after the run has ended.

    The second start was answered, and the end was taken note of.  The owner has called the next
    life before.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1),), account="b")
    sent_s = machine.world.clock.now_s
    _lose_a_start(machine, "w1")
    _work(machine, rounds=3)
    # Further work has the owner poll the worker, and so take note of the end.
    machine.submit(process=0, shape=(make_step(1),), account="b")
    _work(machine, rounds=3)
    machine.world.workers["w1"].finish(f"{0:016x}.0.0.0", RunEnd.DONE)
    _work(machine, rounds=3)
    machine.crash(worker="w1")
    _work(machine, rounds=5)
    assert machine.world.workers["w1"].running
    assert machine.world.clock.now_s - sent_s < _LATEST_S
    machine.carry_out(worker="w1")


def carry_out_a_start_after_the_stop(machine):
    """Let the next life carry out a start of a run that only the former life was told to stop.

    Neither of two starts has an answer, so the run is stopped; the worker answers that, and starts
    again before it lists its runs.
    """
    _stop_after_two_lost_starts(machine)
    machine.round(process=0)
    machine.crash(worker="w1")
    _register(machine, "w1", "w2", "w3")
    _work_until_a_start(machine)
    machine.carry_out(worker="w1")


def carry_out_a_start_of_a_stopped_run(machine):
    """Let the next life carry out a start of a run that the former life had stopped and not listed.

    The owner has had time to call the next life before.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1),), account="b")
    _lose_a_start(machine, "w1")
    _register(machine, "w2", "w3")
    _work_until_a_start(machine)
    machine.crash(worker="w1")
    _register(machine, *_ALL)
    _work(machine, rounds=5)
    machine.carry_out(worker="w1")


def acknowledge_the_end_of_a_late_start(machine):
    """Have the owner read and acknowledge the end of a run that it had given up (issue 50).

    The run's start is carried out by the next life of its worker, while its task waits: its
    account has as much running as it may.  The next life gets work of others, so it is polled; its
    lease does not lapse.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w2")
    machine.submit(process=0, shape=(make_step(1, cpu_millis=2_000),), account="b")
    _work(machine, rounds=2)
    _register(machine, "w1", "w2")
    _work(machine, rounds=1)
    machine.submit(process=0, shape=(make_step(1, cpu_millis=3_000),), account="a")
    _lose_a_start(machine, "w1")
    machine.submit(process=0, shape=(make_step(1, cpu_millis=1_500),), account="a")
    _register(machine, "w2", cut="w1")
    machine.pass_time(seconds=0.2)
    now_s = machine.world.clock.now_s
    machine.world.processes[0].owner.parts.table.mark_unlisted_lost({"w2"}, now_s, now_s)
    _work(machine, rounds=3)
    machine.crash(worker="w1")
    machine.carry_out(worker="w1")
    machine.pass_time(seconds=1.0)
    machine.world.workers["w1"].finish(f"{1:016x}.0.0.0", RunEnd.DONE)
    _register(machine, "w1", "w2")
    machine.submit(process=0, shape=(make_step(1, cpu_millis=3_500),), account="b")
    _work(machine, rounds=8)
    for job in (0, 2):
        machine.world.workers["w2"].finish(f"{job:016x}.0.0.0", RunEnd.DONE)
    _work(machine, rounds=20)


def read_the_answer_to_a_stop_late(machine):
    """Read the answer of a former life to a stop after the restart was noted.

    The thread that has read it stands still meanwhile.  The next life carries out a start before
    the stop that is meant for it is sent.
    """
    _stop_after_two_lost_starts(machine)
    owner = machine.world.processes[0].owner
    answer = owner.inbox.get_nowait()
    assert answer.kind is OrderKind.STOP
    machine.crash(worker="w1")
    _register(machine, "w1", "w2", "w3")
    machine.pass_time(seconds=0.2)
    machine.round(process=0)
    owner.inbox.put(answer)
    machine.round(process=0)
    machine.pass_time(seconds=0.2)
    owner.parts.sessions.get("w1").pump_poll()
    for _ in range(3):
        machine.round(process=0)
        for worker in ("w2", "w3"):
            machine.pump(process=0, worker=worker)
    machine.carry_out(worker="w1")


def restart_before_the_former_life(machine):
    """Let a worker start twice, the second time with an earlier time of day.

    The owner has an answer of the first of both lives, whose entry is never read; between the
    two the time of day of the machine is set back.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1),), account="b")
    machine.work(process=0, order=_ALL)
    _register(machine)
    machine.crash(worker="w1")
    _work(machine, rounds=4)
    worker = machine.world.workers["w1"]
    former = worker.life
    machine.crash(worker="w1")
    worker.life = former - 1_500
    _register(machine, "w1")
    _work(machine, rounds=100)


def restart_twice_before_an_answer_is_read(machine):
    """Let a worker start a third time before the owner's loop has read the answer of the second.

    The second life answers a call for the first one; the third has its entry by then.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1, is_long_running=True),), account="b")
    _work(machine, rounds=3)
    worker = machine.world.workers["w1"]
    assert worker.running
    worker.crash()
    machine.world.processes[0].owner.parts.sessions.get("w1").pump_poll()
    machine.pass_time(seconds=0.5)
    worker.crash()
    _work(machine, rounds=150)


def carry_out_a_start_of_the_owner_before(machine):
    """Let the next life carry out a start of an owner that has been replaced since.

    The answer to the start is lost, and the worker is away until the next owner has started the
    task elsewhere.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1),), account="b")
    _lose_a_start(machine, "w1")
    sent_s = machine.world.clock.now_s
    machine.read(process=1)
    machine.kill(process=0)
    _register(machine, *_ALL, cut="w1")
    machine.pass_time(seconds=1.0)
    machine.claim(process=1)
    while machine.world.clock.now_s < sent_s + _LATEST_S - 1.0:
        if any(worker.running for worker in machine.world.workers.values()):
            break
        machine.pass_time(seconds=0.2)
        machine.work(process=1, order=_ALL)
    machine.crash(worker="w1")
    machine.carry_out(worker="w1")


def lose_a_worker_for_good_with_a_start(machine):
    """Lose the worker to which a lasting task's second run was sent; return when, and when it runs.

    The loss is the only disruption.  All other workers are idle.
    """
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1, is_long_running=True),), account="b")
    _work(machine, rounds=3)
    machine.finish(worker="w1", end=RunEnd.FAILED)
    machine.pump(process=0, worker="w1")
    machine.round(process=0)
    machine.inject_call_fault(worker="w1", fault="lost")
    machine.world.processes[0].pump_orders("w1")
    lost_s = machine.world.clock.now_s
    _register(machine, *_ALL, cut="w1")
    while not any(worker.running for worker in machine.world.workers.values()):
        if machine.world.clock.now_s > lost_s + _EXPIRY_S:
            _register(machine, "w2", "w3", cut="w1")
        _work(machine, rounds=1)
    return lost_s, machine.world.clock.now_s


def _stop_after_two_lost_starts(machine):
    """Have a worker answer the stop of a run of which the first start may be carried out yet."""
    machine.world.pass_time(_AGE_S)
    _register(machine, "w1")
    machine.submit(process=0, shape=(make_step(1),), account="b")
    _lose_a_start(machine, "w1")
    machine.round(process=0)
    machine.world.processes[0].pump_handshake("w1")
    machine.inject_call_fault(worker="w1", fault="lost")
    machine.world.processes[0].pump_orders("w1")
    machine.round(process=0)
    machine.world.processes[0].pump_orders("w1")


def _work(machine, rounds):
    """Let the owner read, schedule and call all workers, for a fifth of a second each time."""
    for _ in range(rounds):
        machine.pass_time(seconds=0.2)
        machine.work(process=0, order=_ALL)


def _register(machine, *workers, cut=""):
    """Let only these workers have entries; all but one can be reached."""
    for worker in _ALL:
        machine.cut_connection(
            worker=worker, is_disconnected=worker == cut, is_registered=worker in workers
        )


def _lose_a_start(machine, worker):
    """Send a start that stays without an answer and is not carried out yet."""
    machine.read(process=0)
    machine.round(process=0)
    machine.world.processes[0].pump_handshake(worker)
    machine.inject_call_fault(worker=worker, fault="late")
    machine.world.processes[0].pump_orders(worker)


def _work_until_a_start(machine):
    """Work until a run has started, but no longer than an order without an answer may be late."""
    until_s = machine.world.clock.now_s + _LATEST_S - 1.0
    while machine.world.clock.now_s < until_s:
        if any(worker.running for worker in machine.world.workers.values()):
            return
        _work(machine, rounds=1)
