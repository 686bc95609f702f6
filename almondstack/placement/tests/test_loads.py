"""Placement under load: which steps get workers, wait, or are rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.jobs import RunEnd
from almondstack.placement import (
    AccountPolicy,
    PoolRound,
    Resources,
    RunTimes,
    Usage,
    rank_of,
    rounds,
)
from almondstack.placement.backlog import (
    Backlog,
    excess_wait_ms,
    is_in_time,
    wait_key,
    waits_beyond_ms,
)
from almondstack.placement.choosing import choose_worker as _choose
from almondstack.placement.fairness import fair_order
from almondstack.placement.order import is_late, is_worthless
from almondstack.placement.worker_health import WorkerHealth
from almondstack.testing.job_builders import make_job, make_policy, make_step, make_worker

_POLICY = make_policy()


def _steps(jobs, now_ms):
    ready = [tasks for job in jobs for tasks in job.ready_steps(now_ms)]
    return [(rank_of(tasks, _POLICY, now_ms), tasks) for tasks in ready]


def _order(jobs, now_ms, running=None, accounts=None):
    ordered = fair_order(_steps(jobs, now_ms), running or {}, accounts or {})
    return [tasks[0].job.id for _, tasks in ordered]


def test_a_step_that_is_placed_in_parts_is_blocked_once():
    """Each part without room would reserve a worker."""
    job = make_job(make_step(12))
    pool_round = PoolRound([make_worker(f"w{n}") for n in range(2)], Usage({}), 0.0)
    (tasks,) = job.ready_steps(0.0)
    parts = [tasks[:3], tasks[3:10], tasks[10:]]
    placed = [sum(len(one.tasks) for one in pool_round.place(part)) for part in parts]
    assert placed == [3, 5, 0]
    assert pool_round.blocked == [tasks[8]]


def test_burst_the_job_with_the_least_slack_comes_first():
    jobs = [make_job(id="late", accepted_ms=500), make_job(id="early", accepted_ms=0)]
    assert _order(jobs, 600.0) == ["early", "late"]


def test_overload_late_jobs_come_after_jobs_that_can_still_end_in_time():
    jobs = [make_job(id="late", accepted_ms=0), make_job(id="in-time", accepted_ms=5_000)]
    assert _order(jobs, 5_000.0) == ["in-time", "late"]


def test_long_running_tasks_come_first():
    lasting = make_job(make_step(is_long_running=True), id="lasting")
    assert _order([make_job(id="short"), lasting], 0.0) == ["lasting", "short"]


def test_hot_account_demand_beyond_its_share_comes_after_other_accounts():
    hot = [make_job(id=f"hot{n}", account="hot", accepted_ms=n) for n in range(20)]
    cold = make_job(id="cold", account="cold", accepted_ms=100)
    order = _order([*hot, cold], 200.0)
    assert order.index("cold") <= 16
    assert order[:15] == [f"hot{n}" for n in range(15)]


def test_an_account_with_more_weight_has_a_larger_share():
    jobs = [make_job(id=f"a{n}", account="a", accepted_ms=n) for n in range(4)]
    jobs += [make_job(id=f"b{n}", account="b", accepted_ms=50 + n) for n in range(4)]
    accounts = {"a": AccountPolicy("a", weight=3), "b": AccountPolicy("b", weight=1)}
    assert _order(jobs, 60.0, accounts=accounts)[:4] == ["a0", "a1", "a2", "a3"]


def test_ceiling_an_account_at_its_ceiling_does_not_block_others():
    usage = Usage({"a": AccountPolicy("a", ceiling=Resources(1_500))})
    pool = PoolRound([make_worker()], usage, 0.0)
    first = pool.place(make_job(make_step(3), id="a").steps_of(0)[0])
    other = pool.place(make_job(make_step(1), id="b", account="b").steps_of(0)[0])
    assert [len(one.tasks) for one in first + other] == [1, 1]


def test_a_large_task_without_room_is_not_starved_by_small_ones():
    worker = make_worker(cpu_millis=4_000)
    usage = Usage({})
    PoolRound([worker], usage, 0.0).place(make_job(id="now").steps_of(0)[0])
    pool = PoolRound([worker], usage, 0.0)
    assert pool.place(make_job(make_step(cpu_millis=4_000), id="large").steps_of(0)[0]) == []
    assert pool.place(make_job(id="small").steps_of(0)[0]) == []


def test_burst_a_full_pool_is_searched_once_for_all_jobs_that_wait(monkeypatch):
    """With 500 waiting jobs, each round compared each of them with all workers of the pool."""
    searches = []
    monkeypatch.setattr(
        rounds,
        "choose_worker",
        lambda task, workers: searches.append(task) or _choose(task, workers),
    )
    workers = [make_worker(f"w{number}", cpu_millis=1_000) for number in range(6)]
    pool = PoolRound(workers, Usage({}), 0.0)
    for number in range(6):
        assert pool.place(make_job(id=f"first{number}").steps_of(0)[0])
    searches.clear()
    for number in range(20):
        assert pool.place(make_job(id=f"job{number}").steps_of(0)[0]) == []
    assert len(searches) == 1 and len(pool.blocked) == 20


def test_burst_smaller_tasks_still_find_room_after_a_large_one_found_none():
    pool = PoolRound([make_worker(cpu_millis=1_500)], Usage({}), 0.0)
    large = make_job(make_step(cpu_millis=9_000), id="large")
    assert pool.place(large.steps_of(0)[0]) == []
    assert pool.place(make_job(make_step(cpu_millis=500), id="small").steps_of(0)[0])


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=12), st.data())
def test_burst_the_same_tasks_are_placed_as_by_a_search_for_each(demands, data):
    """Passing over tasks that can't fit changes no decision."""
    sizes = data.draw(st.lists(st.integers(1, 6), min_size=1, max_size=4))
    placed = []
    for remembers in (True, False):
        workers = [
            make_worker(f"w{number}", capacity=Resources(size * 1_000, size * 1_000))
            for number, size in enumerate(sizes)
        ]
        pool = PoolRound(workers, Usage({}), 0.0)
        chosen = []
        for number, (cpu, memory) in enumerate(demands):
            step = make_step(cpu_millis=cpu * 1_000, memory_mb=memory * 1_000)
            if not remembers:
                pool._demands_without_room.clear()
            assignments = pool.place(make_job(step, id=f"job{number}").steps_of(0)[0])
            chosen.append([worker.id for one in assignments for worker in one.workers])
        placed.append(chosen)
    assert placed[0] == placed[1]


def test_tasks_are_packed_so_that_whole_workers_stay_free():
    workers = [make_worker("w1"), make_worker("w2")]
    pool = PoolRound(workers, Usage({}), 0.0)
    pool.place(make_job(make_step(4)).steps_of(0)[0])
    assert sorted(len(worker.tasks) for worker in workers) == [0, 4]


def test_a_worker_that_calls_for_a_former_life_may_reach_comes_last():
    """Guards against ends that such a call has the worker forget before they are read (TWICE)."""
    first, second = make_worker("w1"), make_worker("w2")
    first.is_unsettled = True
    placed = PoolRound([first, second], Usage({}), 0.0).place(make_job(make_step(6)).steps_of(0)[0])
    assert [worker.id for worker in placed[0].workers] == ["w2"] * 4 + ["w1"] * 2


def test_most_per_worker_bounds_the_tasks_of_a_step_on_one_worker():
    workers = [make_worker("w1"), make_worker("w2")]
    pool = PoolRound(workers, Usage({}), 0.0)
    placed = pool.place(make_job(make_step(4, most_per_worker=1)).steps_of(0)[0])
    assert [len(one.tasks) for one in placed] == [2]


def test_a_required_label_is_enforced_and_the_rack_of_the_data_is_preferred():
    workers = [make_worker("w1", labels=("a", "r1")), make_worker("w2", labels=("b", "r2"))]
    pool = PoolRound(workers, Usage({}), 0.0)
    near = pool.place(make_job(make_step(data_rack="r2"), id="near").steps_of(0)[0])
    labelled = pool.place(make_job(make_step(required_label="a"), id="label").steps_of(0)[0])
    assert near[0].workers[0].id == "w2" and labelled[0].workers[0].id == "w1"


def test_a_gang_is_placed_whole_or_not_at_all_and_on_one_rack_if_needed():
    workers = [make_worker(f"w{n}", labels=("a", f"r{n // 2}")) for n in range(4)]
    small = PoolRound(workers[:1], Usage({}), 0.0)
    gang = make_step(6, is_gang=True, needs_one_rack=True)
    assert small.place(make_job(gang).steps_of(0)[0]) == []
    placed = PoolRound(workers, Usage({}), 0.0).place(make_job(gang, id="g").steps_of(0)[0])
    assert len({worker.info.rack for worker in placed[0].workers}) == 1


def test_grey_worker_is_set_aside_after_two_failures_of_different_tasks():
    worker, health = make_worker(), WorkerHealth()
    for number in range(2):
        task = make_job(id=str(number)).steps_of(0)[0][0]
        health.record_run_end(worker, task, RunEnd.FAILED, 10.0)
    assert not worker.is_open(10.1) and worker.is_open(12.1)


def test_poison_only_the_first_failure_of_a_task_penalizes_a_worker():
    first, second, health = make_worker("w1"), make_worker("w2"), WorkerHealth()
    task = make_job().steps_of(0)[0][0]
    health.record_run_end(first, task, RunEnd.FAILED, 0.0)
    task.failed_on.add("w1")
    health.record_run_end(second, task, RunEnd.FAILED, 0.0)
    assert second.penalty == 0.0


def test_burst_without_a_waiting_task_no_wait_is_published():
    backlog = Backlog(room_millis=4_000)
    backlog.add(make_job(make_step(40)))
    assert backlog.waits_ms({}) == {}


def test_hot_account_the_wait_of_each_account_depends_on_its_own_work():
    backlog = Backlog(room_millis=4_000)
    hot = make_job(make_step(40), account="hot")
    cold = make_job(make_step(2), id="c", account="cold")
    for job in (hot, cold):
        list(job.ready_steps(0.0))
        backlog.add(job)
    backlog.note_waiting()
    waits = backlog.waits_ms({})
    assert waits["hot"] == 10_500 and waits["cold"] == 1_000


def test_hot_account_at_its_ceiling_waits_for_the_ceiling_and_not_for_the_pool():
    """200 jobs of an account waited for its ceiling while workers were idle."""
    backlog = Backlog(room_millis=100_000)
    hot = make_job(make_step(40), account="hot")
    list(hot.ready_steps(0.0))
    backlog.add(hot)
    backlog.note_waiting()
    accounts = {"hot": AccountPolicy("hot", ceiling=Resources(4_000))}
    assert backlog.waits_ms(accounts) == {"hot": 10_000}


def test_a_job_is_in_time_if_wait_and_work_fit_its_objective():
    assert is_in_time(wait_ms=400, chain_ms=1_000, objective_ms=1_500)
    assert not is_in_time(wait_ms=600, chain_ms=1_000, objective_ms=1_500)


@pytest.mark.parametrize(
    ("wait_ms", "excess_ms"), [(0, 0.0), (1_500, 0.0), (5_000, 0.0), (5_600, 600.0)]
)
def test_hot_account_the_excess_wait_is_zero_until_the_end_would_be_of_no_use(wait_ms, excess_ms):
    """Jobs that would end late must be accepted: when they were rejected, their callers left.

    The objective is 1.5 x 1 s + 0.5 s; an end after three times that is of no use.
    """
    submission = make_job(make_step(2), account="hot").submission
    waits_ms = {wait_key("p", "hot"): wait_ms}
    assert excess_wait_ms(waits_ms, submission, make_policy()) == excess_ms


def test_a_late_job_is_not_worthless_until_its_end_is_of_no_use():
    policy = make_policy()
    job = make_job(make_step(2), accepted_ms=0)
    late, worthless = 4_000.0, 7_000.0
    assert is_late(job, policy, late) and not is_worthless(job, policy, late)
    assert is_worthless(job, policy, worthless)


def test_estimates_of_one_queue_do_not_change_those_of_another():
    correction = RunTimes()
    for _ in range(100):
        correction.note("slow", 100, 300)
    assert correction.factor("slow") > 2 and correction.factor("other") == 1.0


def test_advice_a_step_without_allowed_workers_reserves_no_worker():
    """Steps that follow must not wait until the advice for this step's queue arrives."""
    advised, plain = make_job(id="advised"), make_job(id="plain")

    def allowed(task, workers):
        return [] if task.job is advised else workers

    pool = PoolRound([make_worker()], Usage({}), 0.0, allowed)
    assert pool.place(advised.steps_of(0)[0]) == [] and pool.blocked == []
    assert len(pool.place(plain.steps_of(0)[0])) == 1


def test_burst_the_later_steps_of_waiting_jobs_count_in_the_wait_of_new_work():
    """Guards against counting a third of the work of jobs of three steps: one of them has tasks."""
    job = make_job(make_step(2), make_step(3, after=(0,)), make_step(1, after=(1,)))
    assert len(list(job.ready_steps(0.0))) == 1
    backlog = Backlog(1_000)
    backlog.add(job)
    backlog.note_waiting()
    assert backlog.waits_ms({}) == {"a": 6_000}


@pytest.mark.parametrize(("planned_millis", "wait_ms"), [(0, 60_000), (4_000, 11_400)])
def test_beyond_its_entitlement_an_account_waits_for_its_work_in_a_pool_without_room(
    planned_millis, wait_ms
):
    """Guards against a wait of one move's time however much work there is: a flood has no bound."""
    backlog = Backlog(0, planned_millis, lead_ms=1_500.0)
    job = make_job(make_step(40))
    list(job.ready_steps(0.0))
    backlog.add(job)
    backlog.note_waiting()
    assert waits_beyond_ms({"p": backlog}, {"a": 1}) == {wait_key("p", "a"): wait_ms}
