"""What pacing learns of fillers beside serving tasks, under load and after failures."""

import io
import json
import time

import pytest

from almondstack.control.interference_monitor import InterferenceMonitor
from almondstack.control.messages import OrderStatus
from almondstack.control.pacing import Pacing
from almondstack.control.planning import Planner
from almondstack.control.sent_calls import MAX_CALL_DELAY_S
from almondstack.core.events import EventLog
from almondstack.placement import Policies, Resources
from almondstack.placement.interference import Finding, Interference
from almondstack.testing.disturbance_world import DisturbanceWorld
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    assign,
    make_job,
    make_policy,
    make_step,
    make_worker,
)
from almondstack.testing.owner_world import OwnerWorld

_BESIDE = ["scan calm", "scan calm", "calm", "scan", "", "calm"]
_AMOUNTS = {"scan": 0.8, "calm": 0.0}


def _world(**fields):
    return DisturbanceWorld(dict(_AMOUNTS), _BESIDE, **fields)


def _without_learning(monkeypatch):
    monkeypatch.setattr(Interference, "note_sample", lambda *_: False)


def test_two_filler_kinds_beside_serving_tasks_the_harmful_one_is_found():
    world = _world()
    world.run(10.0)
    interference = world.monitor.interference
    assert interference.disturbance("web", "scan") == pytest.approx(0.8, abs=0.15)
    assert interference.disturbance("web", "calm") == 0.0
    assert world.metrics.total("interference.learned") >= 1


def _play(monkeypatch, seconds, **fields):
    """Return a world after some time, and the same one in which nothing is learned."""
    known = _world(**fields)
    known.run(seconds)
    with monkeypatch.context() as patch:
        _without_learning(patch)
        alike = _world(**fields)
        alike.run(seconds)
    assert not alike.metrics.total("interference.learned")
    return known, alike


@pytest.mark.parametrize("noise", [0.03, 0.1])
@pytest.mark.parametrize("base", [0.3, 0.45, 0.55])
def test_fillers_do_as_much_work_or_more_while_serving_tasks_are_protected_as_before(
    base, noise, monkeypatch
):
    known, alike = _play(monkeypatch, 60.0, base=base, noise=noise)
    assert known.metrics.total("interference.learned")
    assert known.over_target_s <= alike.over_target_s
    assert known.work_s["calm"] >= alike.work_s["calm"]


@pytest.mark.parametrize("noise", [0.03, 0.1])
@pytest.mark.parametrize("base", [0.3, 0.45, 0.55])
def test_with_figures_every_1_5_s_no_serving_task_is_over_its_target_for_long(
    base, noise, monkeypatch
):
    """A poll of a worker on which no run ends waits for a second.

    A filler is slowed one round after the figures that show its effect.
    """
    known, alike = _play(monkeypatch, 60.0, base=base, noise=noise, answer_every=3)
    assert max(known.longest_over_target_s, alike.longest_over_target_s) <= 1.5 + 0.5
    assert known.over_target_s <= alike.over_target_s
    assert known.work_s["calm"] >= alike.work_s["calm"]


@pytest.mark.parametrize("seed", range(5))
def test_amounts_that_flip_every_few_seconds_leave_serving_tasks_protected_as_before(
    seed, monkeypatch
):
    worlds = []
    for is_known in (True, False):
        if not is_known:
            _without_learning(monkeypatch)
        world = _world(base=0.45, seed=seed)
        for _ in range(20):
            world.run(5.0)
            amounts = world.amounts
            amounts["scan"], amounts["calm"] = amounts["calm"], amounts["scan"]
        worlds.append(world)
    known, alike = worlds
    # Each flip may be noticed one round later on each of the workers with both kinds.
    assert known.over_target_s <= alike.over_target_s + 20 * 2 * 0.5


def test_a_harmful_filler_does_not_stand_still_for_good():
    """Guards against a finding that keeps a filler from the speed at which it would be tested."""
    world = DisturbanceWorld({"scan": 2.5}, ["scan scan scan", "", "scan"], base=0.4)
    world.run(20.0)
    world.amounts["scan"] = 0.0
    world.run(30.0)
    assert all(filler.percent == 100 for tasks in world.fillers.values() for filler in tasks)


def test_a_new_owner_knows_nothing_and_paces_all_fillers_alike():
    world = _world()
    world.run(10.0)
    world.pacing = Pacing(world.table, world.pacing._sessions)
    for worker, tasks in world.fillers.items():
        world.serving[worker].load = 900
        for task in tasks:
            task.percent = 100
    world.pacing.run_round(world.now_s + 1.0)
    assert {task.percent for tasks in world.fillers.values() for task in tasks} == {50}


def test_a_worker_whose_figures_are_missing_gives_no_sample():
    world = _world()
    for worker in world.table.workers.values():
        worker.last_answer_s = 2.0
        for task in worker.tasks:
            task.load = 300
    world.serving["w4"].load = 0
    world.fillers["w0"][0].load = 0
    world.pacing.run_round(2.0)
    assert world.metrics.total("interference.samples") == len(_BESIDE) - 2


def test_a_worker_that_does_not_answer_gives_no_sample():
    world = _world()
    world.run(4.0)
    before = world.metrics.total("interference.samples")
    for worker in list(world.table.workers.values())[1:]:
        worker.last_answer_s = world.now_s + 0.1
    world.pacing.run_round(world.now_s + 0.5)
    assert world.metrics.total("interference.samples") == before + len(_BESIDE) - 1


@pytest.mark.parametrize("worker", ["w2", "w4"])
def test_a_worker_that_has_restarted_gives_no_sample_until_it_lists_its_runs(worker):
    world = _world(base=0.1)
    world.amounts["scan"] = 0.1
    world.run(1.0)
    world.table.note_worker_restart(worker, 2, world.now_s)
    assert _samples_of_next_round(world) == len(_BESIDE) - 1
    for task in world.table.workers[worker].tasks:
        task.is_confirmed = True
    world.run(0.5)
    assert _samples_of_next_round(world) == len(_BESIDE)


def test_a_harmful_filler_that_has_just_started_is_slowed_though_its_worker_has_answered():
    world = _world()
    world.run(10.0)
    worker = world.table.workers["w4"]
    step = make_step(is_filler=True, image="scan")
    filler = make_job(step, id=f"{900:016x}").steps_of(0)[0][0]
    assign(world.table, filler, worker, world.now_s + 0.25)
    filler.is_confirmed = True
    world.run(0.5)
    assert 50 <= filler.percent <= 75


def test_what_is_remembered_of_workers_is_bounded_by_their_number():
    world = _world()
    world.run(1.0)
    for worker in ("w0", "w1"):
        del world.table.workers[worker]
    world.run(0.5)
    assert world.pacing._figures_percents.keys() <= world.table.workers.keys()


def test_a_worker_with_a_filler_of_unknown_speed_gives_no_sample():
    """Guards against blaming a kind for the tail that a speed of an earlier owner causes."""
    world = _world()
    for tasks in world.fillers.values():
        for task in tasks:
            task.is_pace_known = False
    world.run(0.5)
    assert world.metrics.total("interference.samples") == _BESIDE.count("")


def _samples_of_next_round(world):
    """Return how many samples the next round takes while all workers answer."""
    before = world.metrics.total("interference.samples")
    world.run(0.5)
    return world.metrics.total("interference.samples") - before


def test_a_worker_whose_filler_was_just_slowed_gives_no_sample():
    """Its figures cover some time before that, too."""
    world = _world()
    world.run(0.5)
    # Those with the harmful kind are over their target, and were slowed.
    assert _samples_of_next_round(world) == 3


def test_a_worker_with_an_order_without_answer_gives_no_sample_until_it_was_repeated():
    world = _world(base=0.1)
    world.amounts["scan"] = 0.1
    world.run(0.5)
    filler = world.fillers["w2"][0]
    world.pacing.note_answer(filler.name, filler.run, OrderStatus.UNCLEAR)
    assert _samples_of_next_round(world) == 5
    assert _samples_of_next_round(world) == 5
    world.run(MAX_CALL_DELAY_S)
    assert _samples_of_next_round(world) == 6


def test_a_worker_with_a_run_that_has_just_started_gives_no_sample():
    world = _world()
    world.fillers["w2"][0].assigned_s = world.now_s + 0.25
    assert _samples_of_next_round(world) == 5


def test_a_serving_task_alone_is_not_beside_its_own_kind():
    world = _world()
    world.run(2.0)
    assert world.monitor.interference._kinds["web"]._beside.keys() == _AMOUNTS.keys()


def test_workers_of_a_large_fleet_give_their_samples_in_turn():
    world = DisturbanceWorld({}, [""] * 600)
    assert [_samples_of_next_round(world) for _ in range(3)] == [256] * 3
    noted = []
    world.pacing._monitor = _RecordingMonitor(noted)
    world.run(1.5)
    assert len(noted) == 768 and set(noted) == set(world.table.workers)


class _RecordingMonitor(InterferenceMonitor):
    """Records the workers that give samples."""

    def __init__(self, noted):
        super().__init__()
        self._noted = noted

    def note_worker(self, worker, is_pace_sure, now_s):
        self._noted.append(worker.id)


def test_placement_and_pacing_of_an_owner_share_one_view():
    world = OwnerWorld()
    with world.patched():
        process = world.processes[0]
        process.claim()
        owner = process.owner
    assert owner.parts.planner._interference is owner.parts.pacing._monitor.interference
    assert owner.parts.pacing._monitor._metrics is owner.parts.services.metrics


def test_a_harmful_filler_is_planned_apart_while_there_is_room_and_beside_when_there_is_none():
    world = _world()
    world.run(10.0)
    # Room for one more filler apart from serving tasks; that worker is not the emptiest.
    spare = make_worker("spare", capacity=Resources(1_000, 64_000))
    world.table.add_worker(spare, world.now_s)
    planner = Planner(
        world.table,
        AllowAllAdvisor(),
        lambda: Policies(1, {"q": make_policy()}),
        interference=world.monitor.interference,
    )
    for number in range(2):
        step = make_step(is_filler=True, image="scan", memory_mb=40_000)
        world.table.add_job(make_job(step, id=f"{900 + number:016x}", pool="p"))
    first, second = planner.plan(world.now_s, time.time() * 1000)
    assert first.worker == "spare" and second.worker in world.serving


def _lines(findings):
    """Return the lines that are written if these findings come and go for two seconds."""
    stream = io.StringIO()
    events = EventLog("test", stream)
    interference = Interference()
    monitor = InterferenceMonitor(interference, events)
    for number in range(20):
        interference._findings = {"web": findings} if number % 2 else {}
        monitor.update(100.0 + number / 10)
    events.start()
    events.stop()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_line_names_the_pair_and_the_evidence():
    (line,) = _lines({"scan": Finding(0.8, 0.1, 9.25, 11.0), "calm": Finding(0.0, 0.0, 9.0, 9.0)})
    assert line["event"] == "interference-learned"
    assert (line["disturber"], line["disturbed"]) == ("scan", "web")
    assert (line["increase"], line["error"]) == (0.8, 0.1)
    assert (line["samples_with"], line["samples_without"]) == (9.2, 11.0)


def test_lines_on_many_pairs_are_bounded():
    findings = {f"scan{number:02}": Finding(0.8, 0.1, 9.25, 11.0) for number in range(50)}
    assert len(_lines(findings)) == 8
