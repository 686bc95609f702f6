"""Demand of pools, and since when they have excess instances."""

import time

import pytest

from almondstack.capacity import Candidate, PoolNeed, PoolState, wanted_instances
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.planning import Planner
from almondstack.control.pool_balancer import PoolBalancer
from almondstack.control.pool_needs import PoolNeeds, add_need
from almondstack.placement import AccountPolicy, Policies, Resources
from almondstack.testing.job_builders import (
    assign,
    make_entitlements,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)


@pytest.fixture
def balancer():
    """Return the balancer of an owner that has seen no work yet."""
    table = make_table()
    return PoolBalancer(table, Planner(table, None, Policies), None, 1.5)


def _excess(balancer, now_s):
    idle = PoolState("p", PoolNeed(), [Candidate(f"m{n}", 16_000) for n in range(6)])
    return balancer._track_excess(balancer._excess_since_s, idle, 2, now_s)


def test_pools_keep_their_instances_until_the_first_burst(balancer):
    """Pools released instances in the 12 s between the start of a fleet and its first burst."""
    now_s = balancer._started_s + 12.0
    assert _excess(balancer, now_s) is None
    balancer.note_job(make_job(make_step(is_long_running=True)), now_s)
    assert _excess(balancer, now_s) is None
    balancer.note_job(make_job(), now_s)
    assert _excess(balancer, now_s) == now_s


def test_a_fleet_without_work_releases_instances_after_a_while(balancer):
    now_s = balancer._started_s + 3_600.0
    assert _excess(balancer, now_s) == now_s


def test_a_scheduled_job_adds_demand_once_it_is_due():
    job = make_job(make_step(3), occurrences=1, first_due_ms=1_000)
    early, due = PoolNeed(), PoolNeed()
    add_need(job, early, 999.0, is_late=False)
    add_need(job, due, 1_000.0, is_late=False)
    assert early.total_millis == 0 and due.total_millis == 3_000


def test_late_work_is_counted_separately():
    need = PoolNeed()
    add_need(make_job(make_step(2)), need, 0.0, is_late=True)
    assert need.total_millis == 0 and need.late_millis == 2_000


class _IdleInstanceManager:
    """An instance manager without orders in flight."""

    def can_order(self, instance, now_s):
        """Allow an order to any instance."""
        return True


def test_instances_in_an_unreachable_zone_count_for_no_pool():
    """Instances moving in an unreachable zone counted as coming, so a burst got no others."""
    table = make_table()
    for zone, answer_s, failure_s in (("a", 1.0, 3.0), ("a", 1.0, 3.0), ("b", 3.0, 0.0)):
        worker = make_worker(f"{zone}{len(table.workers)}", zone=zone)
        worker.last_answer_s, worker.last_failure_s = answer_s, failure_s
        table.workers[worker.id] = worker
    balancer = PoolBalancer(table, None, _IdleInstanceManager(), 1.5)
    listed = [
        InstanceInfo("m1", "p", InstanceState.MOVING, "a", "r", 4_000, ""),
        InstanceInfo("m2", "p", InstanceState.MOVING, "b", "r", 4_000, ""),
        InstanceInfo("m3", "off", InstanceState.UP, "a", "r", 4_000, ""),
        InstanceInfo("m4", "off", InstanceState.UP, "b", "r", 4_000, ""),
    ]
    assert _members(balancer, listed) == ([], 1)
    spares, _ = balancer.spares(listed, "off", set(), 4.0)
    assert [candidate.name for candidate in spares] == ["m4"]


def _members(balancer, instances):
    """Return the members of pool ``p`` among the instances."""
    return balancer._members(instances, "p", set(), balancer._unreachable(instances), 4.0)


def test_a_zone_without_registered_workers_provides_no_instances():
    """Registrations of an unreachable zone expired, and its instances were moved repeatedly."""
    table = make_table(workers=(make_worker("b1", zone="b"),))
    balancer = PoolBalancer(table, None, _IdleInstanceManager(), 1.5)
    up = [InstanceInfo(f"m{n}", "q", InstanceState.UP, "a", "r", 4_000, f"w{n}") for n in (1, 2)]
    moving = InstanceInfo("m3", "p", InstanceState.MOVING, "a", "r", 4_000, "")
    assert _members(balancer, [*up, moving]) == ([], 0)
    assert _members(balancer, [up[0], moving]) == ([], 1)


def _candidate(balancer, tasks, now_s, *, is_reserved=False):
    """Return the candidate of an instance of a short fleet on which tasks run since second 0."""
    worker = make_worker("w1")
    worker.is_reserved = is_reserved
    for task in tasks:
        assign(balancer._table, task, worker)
    info = InstanceInfo("m1", "p", InstanceState.UP, "a", "r", 4_000, "w1")
    return balancer._candidate(info, worker, now_s)


@pytest.fixture
def short_balancer(balancer):
    """Return the balancer of a fleet for which accounts compete."""
    balancer._needs._entitlements = make_entitlements({"a": 1_000}, {"a": 9_000, "b": 1_000})
    return balancer


def test_candidates_of_a_short_fleet_tell_whether_they_drain(short_balancer):
    assert _candidate(short_balancer, [], 1.0, is_reserved=True).is_draining
    assert not _candidate(short_balancer, [], 1.0).is_draining


def test_candidates_of_a_short_fleet_end_with_their_last_run(short_balancer):
    job = make_job(make_step(estimate_ms=2_000), make_step(estimate_ms=5_000))
    tasks = [step[0] for step in job.steps_of(0)]
    assert _candidate(short_balancer, tasks, 1.0).ends_in_s == pytest.approx(4.0)
    assert _candidate(short_balancer, [], 1.0).ends_in_s == 0.0


def test_the_end_of_a_run_goes_by_the_median_and_not_by_the_estimate(short_balancer):
    job = make_job(make_step(estimate_ms=60_000))
    job.predict([3_000.0], [3_000.0])
    assert _candidate(short_balancer, job.steps_of(0)[0], 1.0).ends_in_s == pytest.approx(2.0)


def test_an_overdue_run_does_not_seem_to_end_now(short_balancer):
    """Guards against taking a run just beyond its estimate for one that is about to end."""
    tasks = make_job(make_step(estimate_ms=3_000)).steps_of(0)[0]
    candidate = _candidate(short_balancer, tasks, 3.1)
    assert candidate.ends_in_s == pytest.approx(3.1)


def test_hot_account_at_its_ceiling_adds_no_demand():
    """The pool kept 173 instances, three quarters of them idle, for one account."""
    now_ms = int(time.time() * 1000)
    hot = make_job(make_step(40), account="hot", accepted_ms=now_ms)
    cold = make_job(make_step(3), id="b" * 16, accepted_ms=now_ms)
    table = make_table(hot, cold)
    policies = Policies(
        1,
        {"q": make_policy()},
        {"hot": AccountPolicy("hot", ceiling=Resources(4_000))},
        {"p": False},
    )
    needs = PoolNeeds(table, Planner(table, None, lambda: policies), 1.5)
    need = needs.needs(policies, 0.0)["p"]
    assert need.waiting_millis == 4_000 + 3_000 and need.late_millis == 0


def test_long_running_tasks_that_few_may_share_an_instance_keep_enough_instances():
    """At most two of 24 tasks may share an instance; a pool of ten let two wait for 20 s.

    It had enough free cores, so its demand in cores alone added no instances.
    """
    step = make_step(24, is_long_running=True, most_per_worker=2)
    table = make_table(make_job(step, accepted_ms=int(time.time() * 1000)))
    policies = Policies(1, {"q": make_policy()}, {}, {"p": False})
    for job in table.jobs.values():
        job.steps_of(0)
    need = PoolNeeds(table, Planner(table, None, lambda: policies), 1.5).needs(policies, 0.0)["p"]
    assert wanted_instances(PoolState("p", need, []), 32_000) == 13


def _need(*jobs, accounts=None):
    worker = make_worker("w1", capacity=Resources(16_000, 64_000))
    table = make_table(*jobs, workers=(worker,))
    policies = Policies(1, {"q": make_policy()}, accounts or {}, {"p": False})
    return PoolNeeds(table, Planner(table, None, lambda: policies), 1.5).needs(policies, 0.0)["p"]


def _lasting(count, memory_mb, id):
    return make_job(
        make_step(count, cpu_millis=500, memory_mb=memory_mb, is_long_running=True),
        id=id,
        accepted_ms=int(time.time() * 1000),
    )


def test_memory_that_is_asked_for_brings_instances():
    """Guards against a pool that is sized by processor time alone (review/7).

    Four tasks of 40 GB and two of 26 GB need five instances of 64 GB; the pool kept three
    while seven others stood in the spare pool.
    """
    need = _need(_lasting(4, 40_000, "a" * 16), _lasting(2, 26_000, "b" * 16))
    assert wanted_instances(PoolState("p", need, []), 16_000) == 5


def test_memory_beyond_the_ceiling_of_an_account_brings_no_instances():
    ceiling = AccountPolicy("a", ceiling=Resources(0, 80_000))
    need = _need(_lasting(10, 40_000, "a" * 16), accounts={"a": ceiling})
    assert wanted_instances(PoolState("p", need, []), 16_000) == 2


def test_tasks_that_fit_on_no_instance_bring_none():
    need = _need(_lasting(10, 70_000, "a" * 16))
    assert wanted_instances(PoolState("p", need, []), 16_000) == 2


def test_late_work_beyond_the_ceiling_of_an_account_holds_no_instances():
    """Guards against a schedule begun long ago that keeps all instances in use (review/8)."""
    ceiling = AccountPolicy("a", ceiling=Resources(4_000))
    late = make_job(make_step(400), accepted_ms=1)
    assert _need(late, accounts={"a": ceiling}).late_millis == 4_000


def test_lasting_work_beyond_the_ceiling_of_an_account_brings_no_instances():
    """Guards against a pool that grows as an account with a ceiling of 10 cores asks for 1,000."""
    ceiling = AccountPolicy("a", ceiling=Resources(10_000))
    assert _need(_lasting(2_000, 10, "a" * 16), accounts={"a": ceiling}).lasting_millis == 10_000


def test_lasting_work_that_runs_beyond_a_ceiling_keeps_its_instances():
    """The case of a ceiling that was lowered: what runs is not stopped."""
    lasting = _lasting(40, 10, "a" * 16)
    worker = make_worker("w1", cpu_millis=32_000)
    for task in lasting.steps_of(0)[0][:30]:
        assign(make_table(lasting, workers=(worker,)), task, worker)
    ceiling = AccountPolicy("a", ceiling=Resources(10_000))
    assert _need(lasting, accounts={"a": ceiling}).lasting_millis == 15_000


def test_lasting_work_beyond_a_ceiling_in_memory_is_no_floor():
    ceiling = AccountPolicy("a", ceiling=Resources(0, 80_000))
    need = _need(_lasting(10, 40_000, "a" * 16), accounts={"a": ceiling})
    assert need.lasting_filled_instances == 2.0


def test_a_negative_ceiling_does_not_end_the_owner():
    """Guards against a division by zero for an account that asks for no memory."""
    ceiling = AccountPolicy("a", ceiling=Resources(-1, -1))
    late = make_job(make_step(4), accepted_ms=1)
    need = _need(late, accounts={"a": ceiling})
    assert (need.late_millis, need.filled_instances) == (0, 0)
