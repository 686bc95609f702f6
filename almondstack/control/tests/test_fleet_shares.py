"""Accounts that compete for a short fleet, computed round by round without a network."""

import random

import pytest

from almondstack.capacity import PoolNeed, held_need
from almondstack.control import pool_needs
from almondstack.control.account_demands import AccountDemands
from almondstack.control.entitlement_report import EntitlementReport
from almondstack.control.fleet_shares import FleetCapacity, FleetShares
from almondstack.core import LocalMetrics
from almondstack.placement import AccountPolicy, Policies, QueuePolicy, Resources
from almondstack.placement.entitlements import AccountDemand, Entitlements, divide_fairly
from almondstack.testing.job_builders import (
    assign,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)
from almondstack.testing.short_fleet import SettableTime, ShortFleet

_LIGHT = [f"light{number}" for number in range(4)]
_LEAST_SHARE = 0.9
"""Part of the jobs in time without the flood that other accounts keep in it."""


@pytest.fixture
def clock(monkeypatch):
    """Return the time of day that needs and lateness go by."""
    clock = SettableTime()
    monkeypatch.setattr(pool_needs, "time", clock)
    return clock


def _play(clock, flood_jobs, rounds=150):
    """Play a burst of four accounts in pool b, six seconds into a flood in pool a."""
    clock.now_s = 1_000.0
    fleet = ShortFleet({"a": 8, "b": 2}, 20, clock)
    chance = random.Random(7)
    for number in range(rounds):
        for account in _LIGHT if number < rounds - 40 else ():
            fleet.submit("a", account, chance.randint(600, 2_200), 2)
            if number >= 60:
                fleet.submit("b", account, chance.randint(800, 1_700), 4)
        for _ in range(flood_jobs if 20 <= number < rounds - 40 else 0):
            fleet.submit("a", "flood", chance.randint(1_500, 3_000), 2)
        fleet.run_round()
    return fleet


def _light_in_time(fleet):
    return sum(fleet.in_time[account] for account in _LIGHT)


@pytest.mark.parametrize("flood_jobs", [9, 16])
def test_flood_and_burst_the_other_accounts_keep_what_they_have_without_the_flood(
    clock, flood_jobs
):
    """One account sends half of all jobs while another pool's burst begins.

    Small accounts fared no better than the one that flooded.
    """
    quiet = _light_in_time(_play(clock, 0))
    flooded = _light_in_time(_play(clock, flood_jobs))
    assert flooded >= _LEAST_SHARE * quiet


def _light_beside(clock, giant_tasks):
    """Return the jobs in time of an account that uses a quarter of its pool, of 300.

    The other account's queue is more urgent.
    """
    clock.now_s = 1_000.0
    fleet = ShortFleet({"a": 10}, 0, clock)
    for urgency, queue in enumerate(["urgent", "a"]):
        policy = QueuePolicy(queue, "a", urgency=urgency, stretch=1.5, objective_ms=2_000)
        fleet.policies.queues[queue] = policy
    chance = random.Random(1)
    for number in range(150):
        for _ in range(2):
            fleet.submit("a", "light", chance.randint(600, 1_400), 2)
        if giant_tasks and number % 10 == 5:
            fleet.submit("urgent", "flood", 2_000, giant_tasks)
        fleet.run_round()
    return fleet.in_time["light"]


def test_flood_of_steps_with_many_tasks_leaves_light_accounts_their_share(clock):
    """Guards against 65 of 300 jobs in time of a light account beside steps of 400 tasks."""
    assert _light_beside(clock, 400) >= _LEAST_SHARE * _light_beside(clock, 0)


def test_quiet_fleet_takes_the_paths_without_entitlements(clock):
    fleet = _play(clock, 0, rounds=60)
    assert not fleet.balancer.entitlements.is_short
    needs = fleet.balancer._needs.needs(fleet.policies, clock.now_s)
    assert all(need.entitled is None for need in needs.values())


def _short_fleet(clock, **accounts):
    """Return a fleet of 8 instances on which two accounts ask for all of it."""
    fleet = ShortFleet({"a": 4, "b": 4}, 0, clock, accounts)
    for account, pool in (("first", "a"), ("second", "b")):
        for _ in range(30):
            fleet.submit(pool, account, 1_000, 8)
    return fleet


def test_a_change_of_weights_and_ceilings_is_followed_in_the_next_round(clock):
    fleet = _short_fleet(clock)
    fleet.run_round()
    before = fleet.balancer.entitlements
    assert before.entitled("first") == pytest.approx(before.entitled("second"))
    fleet.policies.accounts["first"] = AccountPolicy("first", 3.0)
    fleet.run_round()
    table = fleet.balancer.entitlements
    assert table.entitled("first") == pytest.approx(3 * table.entitled("second"), rel=1e-3)
    fleet.policies.accounts["first"] = AccountPolicy("first", 3.0, Resources(8_000))
    fleet.run_round()
    assert fleet.balancer.entitlements.entitled("first") == pytest.approx(8_000)


def test_instances_that_are_lost_shrink_the_table_in_the_next_round(clock):
    fleet = _short_fleet(clock)
    fleet.run_round()
    before = fleet.balancer.entitlements.capacity.cpu_millis
    fleet.lose(4)
    fleet.run_round()
    assert fleet.balancer.entitlements.capacity.cpu_millis == pytest.approx(before / 2, rel=0.01)


def test_a_new_owner_has_the_table_after_its_first_round(clock):
    """The next owner begins without a table, and limits nobody until it knows instances."""
    fleet = _short_fleet(clock)
    assert not fleet.planner.entitlements.is_short
    fleet.run_round()
    assert fleet.balancer.entitlements.is_short


def test_work_that_is_late_asks_for_no_share(clock):
    fleet = _short_fleet(clock)
    clock.now_s += 60.0
    fleet.run_round()
    assert not fleet.balancer.entitlements.is_short


def test_lasting_work_that_runs_is_part_of_all_lasting_work():
    job = make_job(make_step(3, is_long_running=True))
    worker = make_worker()
    assign(make_table(job, workers=(worker,)), job.steps_of(0)[0][0], worker)
    demands = AccountDemands({"a", "b"}, Resources())
    demands.add(job, make_policy(), 0.0, is_late=False)
    (demand,) = demands.all()
    assert (demand.lasting.cpu_millis, demand.lasting_running.cpu_millis) == (3_000, 1_000)
    assert demand.running.cpu_millis == demand.waiting.cpu_millis == 0


def _entitled_need(off_millis=0, arriving_millis=0.0):
    """Return the part of pool p's need to which its accounts are entitled, and the table."""
    policies = Policies(1, {"q": make_policy()}, {}, {"p": False, "off": True})
    demands = AccountDemands({"a", "flood"}, Resources())
    for account, tasks in (("a", 10), ("flood", 200)):
        job = make_job(make_step(tasks, estimate_ms=1_000), account=account)
        demands.add(job, make_policy(), -3_000.0, is_late=False)
    by_account = {
        ("p", "flood"): PoolNeed(waiting_millis=200_000),
        ("p", "a"): PoolNeed(waiting_millis=10_000),
        ("off", "flood"): PoolNeed(waiting_millis=off_millis),
        ("off", "standby"): PoolNeed(waiting_millis=off_millis),
    }
    needs = {"p": PoolNeed(waiting_millis=210_000), "off": PoolNeed()}
    shares = FleetShares()
    shares.note_job("q", "a", 1_000.0)
    capacity = FleetCapacity(7, Resources(112_000))
    table = shares.divide(needs, by_account, demands, {"q": arriving_millis}, policies, capacity)
    return needs["p"].entitled, table


def test_jobs_that_are_forecast_are_part_of_the_demand_that_is_divided():
    _, present = _entitled_need()
    _, table = _entitled_need(arriving_millis=50_000.0)
    assert present.shares["a"].asked.cpu_millis == 10_000
    assert table.shares["a"].asked.cpu_millis == 50_000


def _states(fleet, now_s):
    instances = list(fleet._instances.values())
    return {
        state.name: state for state in fleet.balancer.pools(instances, fleet.policies, set(), now_s)
    }


def test_needs_of_pools_are_held_for_a_moment(clock):
    """Guards against a short fall of a forecast that takes instances which go back at once."""
    fleet = _short_fleet(clock)
    fleet.run_round()
    before = _states(fleet, clock.now_s)["a"].held.kept
    first = [job for job in fleet.table.jobs.values() if job.submission.account == "first"]
    for job in first[2:]:
        fleet.table.remove_job(job)
    fleet.balancer._needs._forecasts.clear()
    state = _states(fleet, clock.now_s + 0.1)["a"]
    assert fleet.balancer.entitlements.is_short
    assert held_need(state.need, 16_000).kept < before == state.held.kept
    assert _states(fleet, clock.now_s + 0.5)["a"].held.kept < before


def test_demand_in_pools_that_are_off_dilutes_no_part():
    """Guards against demand in a standby pool that halves what the account's other pool is owed."""
    with_off, _ = _entitled_need(1_000_000)
    without, _ = _entitled_need()
    assert with_off.total_millis == without.total_millis > 0


class _Events:
    """Keeps the events that are written."""

    def __init__(self):
        self.written = []

    def write(self, name, **fields):
        """Keep an event."""
        self.written.append((name, fields))


def _table(accounts=2):
    demands = [
        AccountDemand(f"a{number}", waiting=Resources(90_000 + number))
        for number in range(accounts)
    ]
    return divide_fairly(demands, Resources(100_000), {})


def test_the_report_is_written_on_notable_changes_and_at_most_once_a_second():
    events, metrics = _Events(), LocalMetrics()
    report = EntitlementReport(events, metrics)
    report.note(Entitlements(), 1.0)
    assert events.written == []
    report.note(_table(), 1.1)
    report.note(_table(), 3.0)
    assert [fields["is_short"] for _, fields in events.written] == [True]
    report.note(Entitlements(), 3.1)
    report.note(_table(), 3.2)
    report.note(Entitlements(), 3.3)
    assert [fields["is_short"] for _, fields in events.written] == [True, False]
    assert metrics.total("entitlements.shortages") == 2


def test_the_report_names_the_largest_accounts_only():
    events = _Events()
    EntitlementReport(events, LocalMetrics()).note(_table(40), 1.0)
    fields = events.written[0][1]
    assert fields["count"] == 40 and len(fields["accounts"]) == 10
    assert fields["accounts"]["a39"]["is_beyond"]
