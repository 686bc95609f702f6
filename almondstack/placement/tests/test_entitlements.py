"""Division of a short fleet between client accounts, by the load that each test names."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.placement import AccountPolicy, Resources, rank_of
from almondstack.placement.entitlements import AccountDemand, Entitlements, divide_fairly
from almondstack.placement.fairness import fair_order
from almondstack.placement.water_filling import Claim, fill
from almondstack.testing.job_builders import make_job, make_policy, make_step

_CAPACITY = Resources(100_000, 400_000)

_ROUNDING = 1.0
"""Granted amounts are whole thousandths of a core and megabytes, rounded down."""

_RELATIVE = 1e-6


def _demand(account, cpu=0, memory=0, *, lasting=0, running=0, lasting_running=0):
    return AccountDemand(
        account,
        Resources(lasting),
        Resources(running),
        Resources(cpu, memory),
        Resources(lasting_running),
    )


def _names(count):
    return [f"a{number}" for number in range(count)]


_amounts = st.integers(0, 300_000)
_demands = st.lists(
    st.tuples(
        _amounts, st.integers(0, 900_000), st.integers(0, 40_000), st.sampled_from([0, 0, 0.5, 1.0])
    ),
    min_size=2,
    max_size=8,
).map(
    lambda rows: [
        _demand(name, cpu, memory, lasting=lasting, lasting_running=int(part * lasting))
        for name, (cpu, memory, lasting, part) in zip(_names(len(rows)), rows, strict=True)
    ]
)
_weights = st.one_of(
    st.floats(0.1, 20.0),
    st.floats(0.0, 1e308),
    st.sampled_from([-1.0, 0.0, 1e-9, 1e-3, 1e6, 1e7, 1e9, 1e18, 1e50, 1e308]),
)
_policies = st.lists(
    st.tuples(_weights, st.sampled_from([0, 0, 5_000, 60_000])), min_size=8, max_size=8
).map(
    lambda rows: {
        name: AccountPolicy(name, weight, Resources(ceiling))
        for name, (weight, ceiling) in zip(_names(8), rows, strict=True)
    }
)


def _lasting(demands):
    return sum(demand.lasting.cpu_millis for demand in demands)


def test_flood_of_one_account_leaves_the_others_their_whole_demand():
    """One account sent half of all jobs, and small accounts fared no better than it."""
    light = [_demand(f"light{number}", 8_000) for number in range(5)]
    table = divide_fairly([*light, _demand("flood", 900_000)], _CAPACITY, {})
    assert table.is_short
    assert [table.covered_share(demand.account) for demand in light] == [1.0] * 5
    assert table.entitled("flood") == pytest.approx(60_000)
    assert table.is_beyond("flood", 60_001) and not table.is_beyond("light0", 8_000)


def test_quiet_fleet_limits_nobody():
    table = divide_fairly([_demand("a", 40_000), _demand("b", 60_000)], _CAPACITY, {})
    assert not table.is_short and table.entitled("a") == math.inf
    assert table.covered_share("a") == 1.0 and not table.is_beyond("a", 1e12)


def test_one_account_is_never_limited():
    idle = _demand("idle")
    assert not divide_fairly([_demand("flood", 900_000), idle], _CAPACITY, {}).is_short


def test_a_fleet_without_known_instances_limits_nobody():
    """A new owner has no list of instances yet."""
    demands = [_demand("a", 900_000), _demand("b", 900_000)]
    assert not divide_fairly(demands, Resources(), {}).is_short
    assert not Entitlements().is_short


def test_an_account_that_comes_back_gets_its_share_at_once():
    demands = [_demand("flood", 900_000), _demand("light", 1_000)]
    accounts = {
        "heavy": AccountPolicy("heavy", 2.0),
        "low": AccountPolicy("low", 1.0, Resources(9)),
    }
    table = divide_fairly(demands, _CAPACITY, accounts)
    assert table.entitled("back") == pytest.approx(99_000 / 2)
    assert table.entitled("heavy") == pytest.approx(99_000)
    assert table.entitled("low") == 9 and table.covered_share("back") == 1.0


def test_a_light_account_may_grow_to_its_share_before_the_next_round():
    table = divide_fairly([_demand("flood", 900_000), _demand("light", 1_000)], _CAPACITY, {})
    assert not table.is_beyond("light", 40_000)


def test_a_change_of_weights_is_followed_in_the_next_round():
    demands = [_demand("a", 900_000), _demand("b", 900_000)]
    before = divide_fairly(demands, _CAPACITY, {})
    after = divide_fairly(demands, _CAPACITY, {"a": AccountPolicy("a", 3.0)})
    assert (before.entitled("a"), after.entitled("a")) == (50_000, pytest.approx(75_000))
    assert after.entitled("b") == pytest.approx(25_000)


def test_a_change_of_ceilings_is_followed_in_the_next_round():
    demands = [_demand("a", 900_000), _demand("b", 900_000)]
    table = divide_fairly(demands, _CAPACITY, {"a": AccountPolicy("a", 1.0, Resources(10_000))})
    assert table.entitled("a") == pytest.approx(10_000)
    assert table.entitled("b") == pytest.approx(90_000)
    assert table.covered_share("a") == pytest.approx(1 / 90)


def test_a_zone_that_is_unreachable_shrinks_all_shares_alike():
    demands = [_demand("a", 900_000), _demand("b", 900_000)]
    table = divide_fairly(demands, Resources(66_000, 264_000), {})
    assert (table.entitled("a"), table.entitled("b")) == (33_000, 33_000)


def test_memory_that_runs_out_first_is_divided_by_it():
    """On a fleet whose tasks ask as large a part of its memory as of its cores."""
    demands = [_demand("cores", 200_000), _demand("memory", 1_000, 800_000)]
    table = divide_fairly(demands, _CAPACITY, {})
    assert table.shares["memory"].granted.memory_mb == pytest.approx(400_000, rel=0.02)
    assert table.shares["cores"].granted.cpu_millis == pytest.approx(99_500, rel=0.01)


def test_lasting_work_is_a_floor_that_counts_against_the_share():
    demands = [_demand("a", 900_000, lasting=30_000), _demand("b", 900_000)]
    table = divide_fairly(demands, _CAPACITY, {})
    assert (table.entitled("a"), table.entitled("b")) == (50_000, 50_000)
    demands = [_demand("a", 900_000, lasting=70_000), _demand("b", 900_000)]
    table = divide_fairly(demands, _CAPACITY, {})
    assert (table.entitled("a"), table.entitled("b")) == (70_000, pytest.approx(30_000))


def test_lasting_work_beyond_the_fleet_leaves_nothing_but_does_not_fail():
    demands = [_demand("a", 900_000, lasting=170_000), _demand("b", 900_000)]
    table = divide_fairly(demands, _CAPACITY, {})
    assert table.entitled("a") == 170_000 and table.covered_share("b") == 0.0


@pytest.mark.parametrize("large", [1e6, 1e7, 1e12, 1e18, 1e50, 1e308])
@pytest.mark.parametrize("small", [-1.0, 0.0, 1.0])
def test_weights_that_are_far_apart_leave_small_ones_what_is_over(small, large):
    """Guards against rounding of small weights: 74 of 90 cores, none, or more than the fleet."""
    accounts = {"large": AccountPolicy("large", large), "small": AccountPolicy("small", small)}
    demands = [_demand("large", 10_000), _demand("small", 900_000)]
    table = divide_fairly(demands, _CAPACITY, accounts)
    assert table.covered_share("large") == 1.0
    assert table.entitled("small") == pytest.approx(90_000)
    assert table.entitled("large") <= _CAPACITY.cpu_millis


@given(_demands, _policies, st.randoms())
def test_nobody_is_entitled_to_more_than_the_fleet_but_for_lasting_work(demands, policies, chance):
    chance.shuffle(demands)
    table = divide_fairly(demands, _CAPACITY, policies)
    for account in policies if table.is_short else ():
        most = max(_CAPACITY.cpu_millis, _lasting(demands))
        assert table.entitled(account) <= most * (1 + _RELATIVE)


def test_filling_sums_up_anew_once_a_far_larger_claim_is_met():
    """Guards against a sum of which only rounding errors of the larger claim are left."""
    large, small = Claim(1e7, (0.0,), (1e4,), (1e5,)), Claim(1e-9, (0.0,), (9e5,), (1e5,))
    fill([large, small], [1e5])
    assert (large.part, small.part) == (1.0, pytest.approx(0.1))


def _flooded_by_lasting(running):
    """Return the table of an account of which a ceiling of 10 cores bounds 1,000 lasting ones."""
    accounts = {"big": AccountPolicy("big", 1.0, Resources(10_000))}
    demands = [
        _demand("big", lasting=1_000_000, lasting_running=running),
        _demand("a", 60_000),
        _demand("b", 70_000),
    ]
    return divide_fairly(demands, _CAPACITY, accounts)


def test_ceiling_lasting_work_beyond_it_takes_nothing_from_the_others():
    """Guards against 1,000 cores of long-running tasks that leave the others no entitlement."""
    table = _flooded_by_lasting(0)
    assert table.entitled("big") == 10_000
    assert (table.entitled("a"), table.entitled("b")) == (45_000, 45_000)


def test_ceiling_lasting_work_that_runs_beyond_it_is_covered():
    """The case of a ceiling that was lowered: what runs is not stopped."""
    table = _flooded_by_lasting(30_000)
    assert table.entitled("big") == 30_000 and table.entitled("a") == 35_000


def test_a_weight_of_zero_and_a_negative_ceiling_do_not_end_the_owner():
    accounts = {"a": AccountPolicy("a", 0.0), "b": AccountPolicy("b", 1.0, Resources(-1, -1))}
    demands = [_demand("a", 900_000), _demand("b", 900_000), _demand("c", 60_000)]
    table = divide_fairly(demands, _CAPACITY, accounts)
    assert table.entitled("a") == pytest.approx(40_000, rel=1e-3)
    assert table.entitled("b") == 0 and table.covered_share("c") == 1.0


@given(_demands, _policies)
def test_the_capacity_is_never_exceeded_but_by_lasting_work(demands, policies):
    shares = divide_fairly(demands, _CAPACITY, policies).shares
    cpu = sum(share.granted.cpu_millis for share in shares.values())
    memory = sum(share.granted.memory_mb for share in shares.values())
    assert cpu <= max(_CAPACITY.cpu_millis, _lasting(demands)) * (1 + _RELATIVE)
    assert memory <= _CAPACITY.memory_mb * (1 + _RELATIVE)


@given(_demands, _policies)
def test_nobody_is_below_the_lesser_of_demand_and_weighted_share(demands, policies):
    """The guarantee of DRF, for accounts without lasting work and without a ceiling."""
    demands = [AccountDemand(demand.account, None, None, demand.waiting) for demand in demands]
    policies = {name: AccountPolicy(name, one.weight) for name, one in policies.items()}
    table = divide_fairly(demands, _CAPACITY, policies)
    largest = max(policies[demand.account].weight for demand in demands)
    weights = {
        demand.account: max(1e-6, policies[demand.account].weight / largest) for demand in demands
    }
    whole_weight = sum(weights.values())
    for demand in demands:
        share = table.shares.get(demand.account)
        if share is None or share.covered == 1.0:
            continue
        least = weights[demand.account] / whole_weight
        dominant = max(
            share.granted.cpu_millis / _CAPACITY.cpu_millis,
            share.granted.memory_mb / _CAPACITY.memory_mb,
        )
        assert dominant >= least - _ROUNDING / _CAPACITY.cpu_millis - _RELATIVE


@given(_demands, _policies, st.integers(0, 7), st.integers(2, 50))
def test_no_account_gains_by_asking_for_more_beyond_its_share(demands, policies, which, factor):
    account = demands[which % len(demands)].account
    before = divide_fairly(demands, _CAPACITY, policies)
    if before.covered_share(account) == 1.0:
        return
    greedy = [
        (
            _demand(
                demand.account,
                demand.waiting.cpu_millis * factor,
                demand.waiting.memory_mb * factor,
                lasting=demand.lasting.cpu_millis,
                lasting_running=demand.lasting_running.cpu_millis,
            )
            if demand.account == account
            else demand
        )
        for demand in demands
    ]
    after = divide_fairly(greedy, _CAPACITY, policies)
    for demand in demands:
        if demand.account not in before.shares:
            # It asks for nothing.
            continue
        first, second = (table.shares[demand.account].granted for table in (before, after))
        if demand.account == account:
            assert second.cpu_millis <= first.cpu_millis + _ROUNDING
        else:
            assert second.cpu_millis >= first.cpu_millis - _ROUNDING


@given(_demands, _policies)
def test_ceilings_hold_but_for_lasting_work_that_runs(demands, policies):
    table = divide_fairly(demands, _CAPACITY, policies)
    for demand in demands:
        ceiling = policies[demand.account].ceiling.cpu_millis
        if ceiling and table.is_short:
            bound = max(ceiling, demand.lasting_running.cpu_millis)
            assert table.entitled(demand.account) <= bound + _ROUNDING
            share = table.shares.get(demand.account)
            assert share is None or share.granted.cpu_millis <= share.asked.cpu_millis <= bound


@given(_demands, _policies)
def test_what_an_account_leaves_goes_to_the_others(demands, policies):
    """Work-conserving: whoever is not covered lacks a resource that has run out."""
    table = divide_fairly(demands, _CAPACITY, policies)
    if not table.is_short:
        return
    granted = [share.granted for share in table.shares.values()]
    cpu_left = _CAPACITY.cpu_millis - sum(one.cpu_millis for one in granted)
    memory_left = _CAPACITY.memory_mb - sum(one.memory_mb for one in granted)
    slack = len(demands) * (_ROUNDING + 1)
    for demand in demands:
        share = table.shares.get(demand.account)
        if share is None or share.asked.cpu_millis <= share.granted.cpu_millis + 1:
            continue
        lacks_memory = demand.waiting.memory_mb > 0 and memory_left <= slack
        assert cpu_left <= slack or lacks_memory


@given(_demands, _policies)
def test_the_entitlement_covers_what_is_granted(demands, policies):
    table = divide_fairly(demands, _CAPACITY, policies)
    for demand in demands:
        assert 0.0 <= table.covered_share(demand.account) <= 1.0
        share = table.shares.get(demand.account)
        assert share is None or table.entitled(demand.account) >= share.granted.cpu_millis
        lasting = demand.lasting.cpu_millis
        ceiling = policies[demand.account].ceiling.cpu_millis or lasting
        floor = max(demand.lasting_running.cpu_millis, min(lasting, ceiling))
        assert table.entitled(demand.account) >= floor


_POLICY = make_policy()


def _short_table():
    return divide_fairly([_demand("flood", 900_000), _demand("light", 90_000)], _CAPACITY, {})


def _ordered(jobs, now_ms, running=None):
    """Return the job and the number of tasks of each step, or part of one, in their order."""
    ready = [tasks for job in jobs for tasks in job.ready_steps(now_ms)]
    steps = [(rank_of(tasks, _POLICY, now_ms), tasks) for tasks in ready]
    ordered = [tasks for _, tasks in fair_order(steps, {}, {}, _short_table(), running or {})]
    placed = [task for tasks in ordered for task in tasks]
    assert len(placed) == len(set(placed)) == sum(map(len, ready))
    return [(tasks[0].job.id, len(tasks)) for tasks in ordered]


def _order(jobs, now_ms, running=None):
    return [job for job, _ in _ordered(jobs, now_ms, running)]


def test_order_an_account_that_runs_beyond_its_share_elsewhere_comes_last():
    """Guards against leaving out what an account runs in other pools."""
    jobs = [make_job(id=name, account=name, accepted_ms=n) for n, name in enumerate(["flood", "b"])]
    assert _order(jobs, 10.0) == ["flood", "b"]
    assert _order(jobs, 10.0, {"flood": 50_001}) == ["b", "flood"]


def test_order_what_is_ahead_in_line_counts():
    flood = [
        make_job(make_step(20), id=f"flood{n}", account="flood", accepted_ms=n) for n in range(4)
    ]
    light = make_job(id="light", account="light", accepted_ms=50)
    order = _ordered([*flood, light], 60.0)
    within = [("flood0", 20), ("flood1", 20), ("flood2", 11)]
    assert order == [*within, ("light", 1), ("flood2", 9), ("flood3", 20)]


def _giant(**fields):
    """Return the order of a step of 400 cores, of which 50 are within, and of a later one."""
    step = make_step(400, **fields)
    jobs = [make_job(step, id="giant", account="flood"), make_job(id="light", account="light")]
    return _ordered(jobs, 0.0, {"flood": 30_000, "light": 1_000})


def test_order_a_step_of_many_tasks_is_split_at_the_entitlement():
    """Guards against a whole step of 400 tasks before light accounts, as it begins within."""
    assert _giant() == [("giant", 21), ("light", 1), ("giant", 379)]


def test_order_gangs_and_long_running_steps_are_not_split():
    assert _giant(is_gang=True) == [("giant", 400), ("light", 1)]
    assert _giant(is_long_running=True) == [("giant", 400), ("light", 1)]


def test_order_of_a_split_step_only_waiting_tasks_count():
    job = make_job(make_step(100), id="half", account="flood")
    for task in job.steps_of(0)[0][:70]:
        job.assign([task], ["w"], [1], 0.0)
    (tasks,) = job.ready_steps(0.0)
    steps = [(rank_of(tasks, _POLICY, 0.0), tasks)]
    ordered = fair_order(steps, {}, {}, _short_table(), {"flood": 40_000})
    assert [len(part) for _, part in ordered] == [11, 19]


def test_order_late_work_within_its_share_comes_after_work_in_time():
    late = make_job(id="late", account="light", accepted_ms=0)
    in_time = make_job(id="in-time", account="flood", accepted_ms=5_000)
    assert _order([late, in_time], 5_000.0, {"flood": 90_000}) == ["in-time", "late"]


def test_order_long_running_tasks_come_first_whatever_runs():
    lasting = make_job(make_step(is_long_running=True), id="lasting", account="flood")
    short = make_job(id="short", account="light")
    assert _order([short, lasting], 0.0, {"flood": 90_000}) == ["lasting", "short"]


def test_order_long_running_tasks_are_never_beyond():
    """Guards against a long-running step that comes last as its account is beyond."""
    jobs = [
        make_job(make_step(is_long_running=True), id=account, account=account)
        for account in ("flood", "light")
    ]
    assert _order(jobs, 0.0, {"flood": 90_000}) == ["flood", "light"]


def test_order_without_a_shortage_is_that_of_shares_in_the_pool():
    jobs = [make_job(id=f"hot{n}", account="hot", accepted_ms=n) for n in range(20)]
    jobs.append(make_job(id="cold", account="cold", accepted_ms=100))
    ready = [tasks for job in jobs for tasks in job.ready_steps(200.0)]
    steps = [(rank_of(tasks, _POLICY, 200.0), tasks) for tasks in ready]
    before = [tasks[0].job.id for _, tasks in fair_order(steps, {"hot": 9_000}, {})]
    after = fair_order(steps, {"hot": 9_000}, {}, Entitlements(), {"hot": 9**9})
    assert [tasks[0].job.id for _, tasks in after] == before
