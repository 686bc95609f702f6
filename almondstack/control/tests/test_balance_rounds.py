"""What a pool is asked for, and since when it has too much."""

import time

import pytest

from almondstack.capacity import Candidate, PoolNeed, PoolState, wanted_instances
from almondstack.control.balance_rounds import BalanceRounds
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.planning import Planner
from almondstack.control.pool_needs import PoolNeeds, add_need
from almondstack.placement import AccountPolicy, Policies, Resources
from almondstack.testing.job_builders import (
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)


@pytest.fixture
def rounds():
    """Return the rounds of an owner that knows of no work yet."""
    table = make_table()
    return BalanceRounds(table, Planner(table, None, Policies), None, 1.5)


def _excess(rounds, now_s):
    idle = PoolState("p", PoolNeed(), [Candidate(f"m{n}", 16_000) for n in range(6)])
    return rounds._note_excess(rounds._excess_since_s, idle, 2, now_s)


def test_first_burst_finds_the_pools_as_they_were(rounds):
    """A fleet is started, and its first burst comes 12 s later (quiet-1 of the grown sites)."""
    now_s = rounds._started_s + 12.0
    assert _excess(rounds, now_s) is None
    rounds.note_job(make_job(make_step(is_long_running=True)), now_s)
    assert _excess(rounds, now_s) is None
    rounds.note_job(make_job(), now_s)
    assert _excess(rounds, now_s) == now_s


def test_a_fleet_without_work_gives_instances_away_after_a_while(rounds):
    now_s = rounds._started_s + 3_600.0
    assert _excess(rounds, now_s) == now_s


def test_a_scheduled_job_asks_for_room_once_it_is_due():
    job = make_job(make_step(3), occurrences=1, first_due_ms=1_000)
    early, due = PoolNeed(), PoolNeed()
    add_need(job, early, 999.0, is_late=False)
    add_need(job, due, 1_000.0, is_late=False)
    assert early.total_millis == 0 and due.total_millis == 3_000


def test_late_work_is_counted_apart():
    need = PoolNeed()
    add_need(make_job(make_step(2)), need, 0.0, is_late=True)
    assert need.total_millis == 0 and need.late_millis == 2_000


class _FreeDesk:
    """A desk with no order under way."""

    def is_free(self, instance, now_s):
        """Any instance may get an order."""
        return True


def test_instances_in_a_zone_that_can_not_be_reached_count_for_no_pool():
    """A cut zone's instances counted as coming, and a burst got no others (trouble-1, 37 s)."""
    table = make_table()
    for zone, heard_s, failed_s in (("a", 1.0, 3.0), ("a", 1.0, 3.0), ("b", 3.0, 0.0)):
        worker = make_worker(f"{zone}{len(table.workers)}", zone=zone)
        worker.last_answer_s, worker.last_failure_s = heard_s, failed_s
        table.workers[worker.id] = worker
    rounds = BalanceRounds(table, None, _FreeDesk(), 1.5)
    listed = [
        InstanceInfo("m1", "p", InstanceState.MOVING, "a", "r", 4_000, ""),
        InstanceInfo("m2", "p", InstanceState.MOVING, "b", "r", 4_000, ""),
        InstanceInfo("m3", "off", InstanceState.UP, "a", "r", 4_000, ""),
        InstanceInfo("m4", "off", InstanceState.UP, "b", "r", 4_000, ""),
    ]
    assert rounds._members(listed, "p", set(), 4.0) == ([], 1)
    spares, _ = rounds.spares(listed, "off", set(), 4.0)
    assert [candidate.name for candidate in spares] == ["m4"]


def test_a_zone_of_which_no_worker_is_registered_offers_nothing():
    """Entries of a cut zone lapsed, and its instances were moved again and again (trouble-1)."""
    table = make_table(workers=(make_worker("b1", zone="b"),))
    rounds = BalanceRounds(table, None, _FreeDesk(), 1.5)
    up = [InstanceInfo(f"m{n}", "q", InstanceState.UP, "a", "r", 4_000, f"w{n}") for n in (1, 2)]
    moving = InstanceInfo("m3", "p", InstanceState.MOVING, "a", "r", 4_000, "")
    assert rounds._members([*up, moving], "p", set(), 4.0) == ([], 0)
    assert rounds._members([up[0], moving], "p", set(), 4.0) == ([], 1)


def test_hot_account_at_its_ceiling_asks_for_no_more_instances():
    """The pool kept 173 instances, three quarters of them idle, for one account (trouble-3)."""
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


def test_lasting_tasks_of_which_few_may_share_an_instance_keep_enough_of_them():
    """Two of 24 might share one; a pool of ten let two wait for 20 s beside free room (LOST).

    lbna-almond-grown quiet-1 --seed 745141816802, twice.
    """
    step = make_step(24, is_long_running=True, most_per_worker=2)
    table = make_table(make_job(step, accepted_ms=int(time.time() * 1000)))
    policies = Policies(1, {"q": make_policy()}, {}, {"p": False})
    for job in table.jobs.values():
        job.steps_of(0)
    need = PoolNeeds(table, Planner(table, None, lambda: policies), 1.5).needs(policies, 0.0)["p"]
    assert wanted_instances(PoolState("p", need, []), 32_000) == 13
