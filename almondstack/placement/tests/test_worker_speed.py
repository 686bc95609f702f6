"""Slow workers get tasks when no other has room, or on trial, and are normal within seconds."""

import random

import pytest

from almondstack.placement import PoolRound, Usage, WorkerSpeeds
from almondstack.placement.choosing import choose_to_reserve, choose_worker, has_room
from almondstack.placement.spare_room import SpareRoom
from almondstack.placement.worker_speed import _MAX_RUNS, RunSpeed
from almondstack.testing.job_builders import make_job, make_step, make_worker

_STEP_S = 0.2
_SPREAD = 0.4


class _Pool:
    """Workers that each have some runs, which are looked at five times a second."""

    def __init__(self, count=18, runs=4, racks=6):
        self.workers = {
            f"w{number:02}": make_worker(f"w{number:02}", labels=("k", f"r{number % racks}"))
            for number in range(count)
        }
        self.speeds = WorkerSpeeds()
        self.factors = dict.fromkeys(self.workers, 1.0)
        self.changes = []
        self.now_s = 10.0
        self._runs = runs
        self._random = random.Random(1)

    def slow_down(self, workers, factor=5.0):
        self.factors.update(dict.fromkeys(workers, factor))

    def pass_time(self, seconds):
        """Have each worker report as many runs as it is allowed, and update the speeds."""
        for _ in range(round(seconds / _STEP_S)):
            self.now_s += _STEP_S
            for id, worker in self.workers.items():
                runs = self._runs if worker.max_runs is None else worker.max_runs
                for number in range(runs):
                    ratio = self.factors[id] * self._random.lognormvariate(0.0, _SPREAD)
                    speed = RunSpeed(id, f"{id}/{number}", ratio, _SPREAD)
                    self.speeds.note_run(speed, self.now_s)
            self.changes += self.speeds.update(self.workers, self.now_s)

    @property
    def slow(self):
        return sorted(self.speeds.slow_workers)


def _place(workers, count, **fields):
    """Return the ids of the workers that get the tasks of a job."""
    tasks = make_job(make_step(count, **fields)).steps_of(0)[0]
    placed = PoolRound(list(workers), Usage({}), 0.0).place(tasks)
    return [worker.id for one in placed for worker in one.workers]


def test_a_sixth_of_a_pool_turns_five_times_slower_for_six_seconds():
    pool = _Pool()
    slow = ["w03", "w07", "w11"]
    pool.pass_time(3.0)
    assert pool.slow == []
    pool.slow_down(slow)
    pool.pass_time(0.6)
    assert pool.slow == slow and all(pool.speeds.factor(id) > 2.0 for id in slow)
    pool.pass_time(5.4)
    assert pool.slow == slow
    pool.slow_down(slow, factor=1.0)
    pool.pass_time(6.0)
    assert pool.slow == [] and all(worker.max_runs is None for worker in pool.workers.values())
    assert {change.worker for change in pool.changes} == set(slow)


def _fill(worker):
    """Give a worker as many long tasks as fit."""
    count = worker.free.cpu_millis // 1_000
    for task in make_job(make_step(count, cpu_millis=1_000), id="fill").steps_of(0)[0]:
        worker.put(task)


def _empty(workers):
    for worker in workers:
        for task in worker.tasks:
            worker.remove(task)


def test_a_worker_that_stays_slow_gets_nothing_while_others_have_room():
    pool = _Pool()
    pool.slow_down(["w03"])
    pool.pass_time(1.0)
    allowed, chosen = [], []
    for _ in range(100):
        pool.pass_time(_STEP_S)
        allowed.append(pool.workers["w03"].max_runs)
        chosen += _place(pool.workers.values(), 17, cpu_millis=1_000)
        _empty(pool.workers.values())
    assert None not in allowed and allowed.count(0) > 0.8 * len(allowed)
    assert len(chosen) == 1_700 and "w03" not in chosen


def test_a_worker_that_stays_slow_is_used_at_once_whenever_no_other_has_room():
    pool = _Pool()
    pool.slow_down(["w03"])
    pool.pass_time(1.0)
    for id, worker in pool.workers.items():
        if id != "w03":
            _fill(worker)
    for _ in range(100):
        pool.pass_time(_STEP_S)
        assert _place(pool.workers.values(), 2, cpu_millis=1_000) == ["w03", "w03"]
        _empty([pool.workers["w03"]])


def test_a_hold_ends_by_time_although_a_slow_run_stays_listed():
    pool = _Pool()
    pool.slow_down(["w03"])
    pool.pass_time(1.0)
    bounds = []
    for _ in range(50):
        pool.speeds.note_run(RunSpeed("w03", "w03/long", 5.0, _SPREAD), pool.now_s + _STEP_S)
        pool.pass_time(_STEP_S)
        bounds.append(pool.workers["w03"].max_runs)
    assert bounds.index(1) * _STEP_S <= 1.2 and bounds.count(1) >= 3 and None not in bounds


def test_ordinary_spread_makes_no_worker_slow():
    pool = _Pool(count=60)
    pool.pass_time(30.0)
    assert pool.changes == []


def test_a_whole_rack_turns_slow_and_the_other_racks_are_preferred():
    pool = _Pool(racks=6)
    rack = [id for id, worker in pool.workers.items() if worker.info.rack == "r2"]
    pool.slow_down(rack)
    pool.pass_time(1.0)
    assert pool.slow == rack
    assert not set(_place(pool.workers.values(), 12)) & set(rack)


def test_half_of_a_pool_turns_slow_and_still_gets_tasks_where_others_have_no_room():
    pool = _Pool(count=18, racks=2)
    rack = [id for id, worker in pool.workers.items() if worker.info.rack == "r1"]
    pool.slow_down(rack)
    pool.pass_time(1.0)
    assert _place(pool.workers.values(), 36).count("w01") == 0
    assert len(_place(pool.workers.values(), 36)) == 36


def test_a_whole_pool_turns_slow_and_stays_in_use():
    pool = _Pool()
    pool.slow_down(pool.workers)
    pool.pass_time(5.0)
    assert pool.slow == [] and pool.changes == []


def test_one_slow_task_makes_no_worker_slow():
    pool = _Pool(runs=1)
    pool.slow_down(["w03"], factor=50.0)
    pool.pass_time(5.0)
    assert pool.slow == []


def test_three_tasks_in_a_hundred_that_take_seven_times_as_long_condemn_no_worker():
    pool = _Pool(count=30, runs=6)
    source = random.Random(2)
    for step in range(100):
        for id in pool.workers:
            ratio = 7.0 if source.random() < 0.03 else source.lognormvariate(0.0, _SPREAD)
            run = RunSpeed(id, f"{id}/{step % 6}/{step // 6}", ratio, _SPREAD)
            pool.speeds.note_run(run, 10.0 + step / 5)
        pool.changes += pool.speeds.update(pool.workers, 10.0 + step / 5)
    assert pool.changes == []


def test_a_worker_that_is_slow_alone_in_its_pool_is_not_compared():
    pool = _Pool(count=1)
    pool.slow_down(["w00"])
    pool.pass_time(3.0)
    assert pool.slow == []


def test_a_slow_worker_without_runs_is_tried_and_forgotten_within_seconds():
    pool = _Pool()
    pool.slow_down(["w03"])
    pool.pass_time(1.0)
    assert pool.workers["w03"].max_runs == 0
    allowed = []
    for _ in range(40):
        pool.now_s += _STEP_S
        pool.speeds.update(pool.workers, pool.now_s)
        allowed.append(pool.workers["w03"].max_runs)
    assert 1 in allowed and allowed[-1] is None and pool.slow == []


def test_a_worker_that_goes_on_a_little_slow_is_not_on_trial_for_long():
    pool = _Pool()
    pool.slow_down(["w03"])
    pool.pass_time(1.0)
    pool.slow_down(["w03"], factor=1.7)
    allowed = []
    for _ in range(100):
        pool.pass_time(_STEP_S)
        allowed.append(pool.workers["w03"].max_runs)
    assert None in allowed[:50] and None in allowed[50:]


def test_a_worker_that_restarts_under_its_id_starts_as_normal():
    pool = _Pool()
    pool.slow_down(["w03"])
    pool.pass_time(1.0)
    assert pool.slow == ["w03"]
    pool.workers["w03"] = make_worker("w03", life=2)
    pool.speeds.update(pool.workers, pool.now_s)
    assert pool.slow == [] and pool.workers["w03"].max_runs is None


def test_workers_that_are_gone_are_forgotten_and_runs_are_bounded():
    pool = _Pool(count=3, runs=50)
    pool.pass_time(1.0)
    assert len(pool.speeds._records["w00"].runs) == _MAX_RUNS
    assert pool.speeds.update({}, pool.now_s) == [] and not pool.speeds._records


def _slow_worker(id="w1", *, slowness=5.0, max_runs=1, **fields):
    worker = make_worker(id, **fields)
    worker.slowness, worker.max_runs = slowness, max_runs
    return worker


@pytest.mark.parametrize("max_runs", [0, 1])
@pytest.mark.parametrize("is_gang", [False, True])
def test_a_slow_worker_gets_nothing_while_others_have_room_then_all_that_fits(is_gang, max_runs):
    workers = [_slow_worker(max_runs=max_runs), make_worker("w2")]
    assert _place(workers, 4, is_gang=is_gang) == ["w2"] * 4
    workers = [_slow_worker(max_runs=max_runs), make_worker("w2")]
    assert sorted(_place(workers, 8, is_gang=is_gang)) == ["w1"] * 4 + ["w2"] * 4
    slow = _slow_worker(max_runs=max_runs)
    placed = _place([slow], 8, is_gang=is_gang)
    assert placed == ([] if is_gang else ["w1"] * 4)


@pytest.mark.parametrize("is_gang", [False, True])
def test_the_least_slow_worker_is_taken_when_no_other_has_room(is_gang):
    workers = [_slow_worker("w1"), _slow_worker("w2", slowness=3.0), make_worker("w3")]
    _fill(workers[2])
    for worker in workers[:2]:
        worker.max_runs = 0
    assert _place(workers, 3, is_gang=is_gang) == ["w2"] * 3


@pytest.mark.parametrize("is_gang", [False, True])
def test_workers_within_their_bound_come_before_less_slow_ones_beyond_it(is_gang):
    workers = [_slow_worker("w1", max_runs=2), _slow_worker("w2", slowness=3.0, max_runs=0)]
    assert _place(workers, 3, is_gang=is_gang) == ["w1", "w1", "w2"]


@pytest.mark.parametrize("is_gang", [False, True])
def test_a_required_label_that_only_a_slow_worker_has(is_gang):
    slow = _slow_worker(max_runs=0, labels=("k", "r1"))
    workers = [slow, make_worker("w2", labels=("k", "r2"))]
    assert _place(workers, 3, is_gang=is_gang, required_label="r1") == ["w1"] * 3


@pytest.mark.parametrize("is_gang", [False, True])
def test_most_per_worker_leaves_only_a_slow_worker(is_gang):
    workers = [_slow_worker(max_runs=0), make_worker("w2")]
    assert _place(workers, 2, is_gang=is_gang, most_per_worker=1) == ["w2", "w1"]


def test_a_gang_for_one_rack_avoids_the_slow_rack_while_another_has_room():
    slow = _slow_worker(max_runs=0, labels=("k", "r1"))
    workers = [slow, make_worker("w2", labels=("k", "r2"))]
    assert _place(workers, 2, is_gang=True, needs_one_rack=True) == ["w2", "w2"]
    _empty(workers)
    _fill(workers[1])
    assert _place(workers, 2, is_gang=True, needs_one_rack=True) == ["w1", "w1"]


def test_tasks_that_last_are_not_bound_by_a_trial():
    slow, fast = _slow_worker(max_runs=0), make_worker("w2")
    lasting = make_job(make_step(is_long_running=True)).steps_of(0)[0][0]
    assert slow.takes(lasting) and choose_worker(lasting, [slow]) is slow
    assert choose_worker(lasting, [slow, fast]) is fast


def test_runs_are_not_moved_to_a_slow_worker_and_it_is_reserved_last():
    slow, fast = _slow_worker(max_runs=0), make_worker("w2")
    short = make_job(id="short").steps_of(0)[0][0]
    assert not has_room(short, [slow], 0.0) and has_room(short, [slow, fast], 0.0)
    _fill(fast)
    assert choose_to_reserve(short, [slow, fast]) is fast
    assert choose_to_reserve(short, [slow]) is slow


def test_room_for_moved_tasks_counts_each_of_them_once():
    workers = [make_worker("w1"), make_worker("w2")]
    workers[1].slowness = 5.0
    task = make_job(make_step(cpu_millis=2_000)).steps_of(0)[0][0]
    spare = SpareRoom(workers, 0.0)
    for _ in range(2):
        assert spare.has_room(task, "p") and not spare.has_room(task, "other")
        spare.note_moving("p")
    assert not spare.has_room(task, "p")


def test_room_for_moved_tasks_is_told_apart_by_most_per_worker():
    worker = make_worker("w1")
    spread = make_job(make_step(2, most_per_worker=1), id="spread").steps_of(0)[0]
    other = make_job(make_step(2, most_per_worker=1), id="other").steps_of(0)[0]
    plain = make_job(id="plain").steps_of(0)[0]
    worker.put(spread[0])
    for order in ([plain, spread, other], [spread, other, plain]):
        spare = SpareRoom([worker], 0.0)
        rooms = {tasks[0].job.id: spare.has_room(tasks[-1], "p") for tasks in order}
        assert rooms == {"plain": True, "spread": False, "other": True}


def test_room_for_moved_fillers_is_told_apart_from_that_for_others():
    worker = make_worker("w1")
    _fill(worker)
    plain = make_job(make_step(memory_mb=1), id="plain").steps_of(0)[0][0]
    filler = make_job(make_step(memory_mb=1, is_filler=True), id="filler").steps_of(0)[0][0]
    for order in ([plain, filler], [filler, plain]):
        spare = SpareRoom([worker], 0.0)
        rooms = {task.job.id: spare.has_room(task, "p") for task in order}
        assert rooms == {"plain": False, "filler": True}


def test_runs_that_a_slow_worker_held_up_are_told_from_later_ones():
    pool = _Pool()
    pool.slow_down(["w03"])
    pool.pass_time(2.0)
    assert pool.speeds.was_slow_since("w03", 0.0) and not pool.speeds.was_slow_since("w04", 0.0)
    pool.slow_down(["w03"], factor=1.0)
    pool.pass_time(6.0)
    assert pool.speeds.was_slow_since("w03", 11.0)
    assert not pool.speeds.was_slow_since("w03", pool.now_s - 0.1)
