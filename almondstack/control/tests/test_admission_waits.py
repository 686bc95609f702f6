"""Waits of new work under contention, what the owner publishes of them, and a change of owner."""

import pytest

from almondstack.capacity import Candidate, PoolNeed, PoolState
from almondstack.control.admission_waits import AdmissionWaits
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.planning import Planner
from almondstack.control.published_admission import published_entitlements, published_waits_ms
from almondstack.intake import Receipt, Verdict
from almondstack.intake.direct import DirectStorage
from almondstack.jobs import Submission
from almondstack.jobs.admission_state import AdmissionState
from almondstack.ownership import StoreRefusedError
from almondstack.placement import Policies, RunTimes
from almondstack.placement.entitlements import Entitlements
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    make_entitlements,
    make_job,
    make_policy,
    make_step,
    make_table,
)
from almondstack.testing.owner_world import OwnerWorld

_MOVE_S = 1.5
_NOTHING_KNOWN = AdmissionState(known_s=0.0)
_FLOODED = AdmissionState({"p/flood": 14_000}, {"flood": 2_000})
"""An account waits for 14 s with the two cores to which it is entitled."""


class _Pools:
    """Two pools of 20 cores in which an account has more work than it is entitled to."""

    def __init__(self, last_state=_NOTHING_KNOWN, light_tasks=2):
        self.policies = Policies(
            1, {"q": make_policy(), "r": make_policy(name="r", pool="other")}, {}
        )
        jobs = [
            make_job(make_step(20), id="1", account="flood", pool="p"),
            make_job(make_step(20), id="2", account="flood", queue="r", pool="other"),
            make_job(make_step(light_tasks), id="3", account="light", pool="p"),
        ]
        self.table = make_table(*jobs)
        planner = Planner(self.table, AllowAllAdvisor(), lambda: self.policies)
        self.waits = AdmissionWaits(self.table, planner, last_state, RunTimes(), _MOVE_S)

    def update(self, entitlements, now_s=0.0, targets=None, coming=None, unix_ms=0.0):
        """Recompute the waits; return the state.

        With ``coming`` no instance of the first pool is usable, and so many are coming.
        """
        states = [PoolState(name, PoolNeed(), [Candidate("i", 20_000)]) for name in ("p", "other")]
        if coming is not None:
            states[0] = PoolState("p", PoolNeed(), [], coming)
        self.waits.update(states, self.policies, entitlements, now_s, unix_ms, targets)
        return self.waits.state


def _short(flood=4_000, light=4_000):
    return make_entitlements({"flood": flood, "light": light}, {"flood": 40_000, "light": 2_000})


def test_flood_in_two_pools_the_wait_is_that_of_all_its_work_at_its_entitlement():
    state = _Pools(light_tasks=300).update(_short())
    assert state.waits_ms["p/flood"] == 10_000
    assert state.beyond == {"flood": 4_000}


def test_flood_the_wait_is_no_longer_than_all_work_of_the_pool_takes():
    """Guards against rejecting callers while the pool is soon idle."""
    state = _Pools().update(_short())
    assert (state.waits_ms["p/flood"], state.waits_ms["other/flood"]) == (1_100, 1_000)
    assert state.waits_ms.get("p/light", 0) <= 1_100


def test_flood_the_wait_counts_the_instances_that_the_pool_is_to_get():
    """Guards against rejecting callers by the size that a pool has at the start of a burst."""
    pools = _Pools(light_tasks=180)
    assert pools.update(_short()).waits_ms["p/flood"] == 10_000
    waits_ms = pools.update(_short(), targets={"p": 4}).waits_ms
    assert waits_ms["p/flood"] == 3_600


@pytest.mark.parametrize(
    ("coming", "target", "wait_ms"), [(0, 0, 10_000), (0, 4, 3_900), (1, 0, 10_000), (1, 4, 3_600)]
)
def test_flood_instances_that_are_to_come_to_a_pool_without_usable_ones_count(
    coming, target, wait_ms
):
    """Of 20 cores each, the median of the fleet; 200 core-seconds wait in the pool."""
    pools = _Pools(light_tasks=180)
    state = pools.update(_short(), targets={"p": target}, coming=coming)
    assert state.waits_ms["p/flood"] == wait_ms


def test_without_a_shortage_the_waits_are_those_of_the_pools():
    state = _Pools().update(Entitlements())
    assert state.beyond == {}
    assert state.waits_ms == {"p/flood": 1_100, "other/flood": 1_000, "p/light": 200}


def test_flood_what_lasting_work_uses_of_the_entitlement_serves_no_new_work():
    pools = _Pools()
    lasting = make_job(
        make_step(3, is_long_running=True), id="4", account="flood", queue="q", pool="p"
    )
    pools.table.jobs["4"] = lasting
    assert pools.update(_short()).beyond == {"flood": 1_000}


def test_flood_lasting_work_of_a_pool_that_is_off_uses_nothing_of_the_entitlement():
    pools = _Pools()
    pools.policies.queues["s"] = make_policy(name="s", pool="off")
    lasting = make_job(
        make_step(3, is_long_running=True), id="4", account="flood", queue="s", pool="off"
    )
    pools.table.jobs["4"] = lasting
    assert pools.update(_short()).beyond == {"flood": 4_000}


def test_flood_an_account_whose_demand_fell_to_its_entitlement_is_not_let_in_at_once():
    """Guards against letting a flood in every other round: its demand falls when it is rejected."""
    pools = _Pools()
    pools.update(_short())
    within = make_entitlements({"flood": 4_000}, {"flood": 3_000, "other": 1})
    covered = Entitlements()
    assert pools.update(within, 1.0).beyond == {"flood": 4_000}
    assert pools.update(covered, 1.9).beyond == {"flood": 4_000}
    assert pools.update(covered, 2.1).beyond == {}


@pytest.mark.parametrize("unix_ms", [-9_000.0, 9_000.0])
def test_a_clock_that_jumps_does_not_change_how_long_an_account_counts_as_beyond(unix_ms):
    """Guards against holding an account for as long as the clock was set back."""
    pools, covered = _Pools(), Entitlements()
    pools.update(_short(), 100.0)
    assert pools.update(covered, 101.9, unix_ms=unix_ms).beyond == {"flood": 4_000}
    assert pools.update(covered, 102.1, unix_ms=unix_ms).beyond == {}


def test_owner_lost_the_next_owner_holds_the_accounts_that_the_last_one_has_published():
    pools = _Pools(AdmissionState({"p/flood": 8_000}, {"flood": 4_000}, known_s=0.0))
    assert pools.update(Entitlements(), 1.0).beyond == {"flood": 4_000}


def test_owner_lost_the_next_owner_does_not_hold_accounts_of_a_state_that_it_goes_by_no_longer():
    pools = _Pools(AdmissionState({"p/flood": 8_000}, {"flood": 4_000}, known_s=0.0))
    assert pools.update(Entitlements(), 5.1).beyond == {}


def test_a_notice_is_bounded_and_names_the_longest_waits():
    waits_ms = {f"p/a{number}": number * 100 for number in range(1_000)}
    state = AdmissionState(waits_ms, {f"a{number}": number for number in range(1_000)})
    published = published_waits_ms(state)
    assert len(published) == 256 and min(published.values()) == 74_400
    assert len(published_entitlements(state)) == 256


def test_a_notice_has_no_wait_at_the_rate_of_an_entitlement_that_it_leaves_out():
    """Guards against rejecting an account as if it were within its entitlement."""
    waits_ms = {f"p/a{number}": 1_000_000 - number for number in range(300)}
    state = AdmissionState(waits_ms, {f"a{number}": number for number in range(300)})
    published = published_waits_ms(state)
    assert {key.removeprefix("p/") for key in published} == set(published_entitlements(state))


def test_a_state_that_was_only_read_is_not_published():
    """Guards against a state whose age starts anew with each owner."""
    state = AdmissionState({"p/a": 100}, {"a": 1}, known_s=1.0)
    assert published_waits_ms(state) == {} and published_entitlements(state) is None


@pytest.fixture
def world():
    """Return a simulation whose first process owns the jobs and has published a flood."""
    world = OwnerWorld()
    with world.patched():
        owner = world.processes[0]
        owner.claim()
        owner.owner.parts.fleet._admission.state = _FLOODED
        owner.round()
        for process in world.processes:
            process.follow()
        yield world


_JOBS = (f"{number:016x}" for number in range(1_000_000))


def _submit(world, process, account, job=None):
    submission = Submission("q", account, "spec", (make_step(1),), pool="p", max_attempts=2)
    return world.submit(world.processes[process], job or next(_JOBS), submission)


def _lose_owner(world):
    world.processes[0].restart()
    world.link.fault = "refused"


def _notices(world):
    return sum(record.key == "o" for record in world.store.records)


def test_flood_the_owner_rejects_it_and_accepts_light_accounts(world):
    assert _submit(world, 1, "flood") is Verdict.FULL
    assert _submit(world, 1, "light") is Verdict.DONE


def _owner_returns(world):
    return world.processes[0].owner.parts.requests._returns._accounts["flood"].reservations


def test_flood_what_the_owner_accepts_between_two_computations_is_added_to_the_wait(world):
    _set_wait(world, 6_000)
    verdicts = [_submit(world, 0, "flood") for _ in range(10)]
    # The wait may be 7.7 s, and each job takes the two cores half a second.
    assert verdicts == [Verdict.DONE] * 4 + [Verdict.FULL] * 6


def test_flood_the_owner_holds_no_room_for_a_caller_whose_job_it_has_accepted(world):
    job = next(_JOBS)
    _set_wait(world, 7_800)
    assert _submit(world, 0, "flood", job) is Verdict.FULL
    _set_wait(world, 7_600)
    assert _submit(world, 0, "flood", next(_JOBS)) is Verdict.FULL
    world.pass_time(1.0)
    assert _submit(world, 0, "flood", job) is Verdict.DONE
    assert job not in _owner_returns(world)


def test_flood_the_waits_are_computed_with_the_instances_that_each_pool_is_to_have(
    world, monkeypatch
):
    updates = []
    monkeypatch.setattr(AdmissionWaits, "update", lambda _self, *given: updates.append(given))
    fleet = world.processes[0].owner.parts.fleet
    fleet._manager._instances = {
        name: InstanceInfo(name, "p", InstanceState.UP, "a", "r", 4_000, f"w{number}")
        for number, name in enumerate(["m", "n"], 1)
    }
    now_s = world.clock.now_s
    fleet._manager._listed_s = fleet._manager._list_requested_s = now_s
    fleet._balancer._targets = {"p": 7}
    fleet._decide(now_s)
    states, _, _, given_s, _, targets = updates[0]
    assert [state.name for state in states] == ["p"] and given_s == now_s
    assert targets == {"p": 7}


def test_flood_changed_entitlements_alone_cost_no_append(world):
    before = _notices(world)
    world.processes[0].owner.parts.fleet._admission.state = AdmissionState(
        _FLOODED.waits_ms, {"flood": 3_000}
    )
    world.processes[0].round()
    assert _notices(world) == before


def test_flood_a_repeat_of_a_stored_job_is_not_rejected(world):
    assert _submit(world, 1, "light", "f" * 16) is Verdict.DONE
    world.processes[0].owner.parts.fleet._admission.state = AdmissionState({"p/light": 60_000})
    world.processes[1].index._entries.clear()
    assert _submit(world, 1, "light", "f" * 16) is Verdict.KNOWN


def test_owner_lost_amid_a_flood_the_next_owner_begins_with_the_last_waits(world):
    """Guards against accepting every submission after a change of owner."""
    _lose_owner(world)
    world.pass_time(2.0)
    world.processes[1].claim()
    world.processes[1].round()
    assert _submit(world, 1, "flood") is Verdict.FULL
    assert _submit(world, 1, "light") is Verdict.DONE


def test_owner_lost_the_next_owner_without_a_list_of_instances_goes_by_the_last_waits_for_seconds(
    world,
):
    """Guards against holding an account by its old entitlement while there is no list."""
    _set_wait(world, 60_000)
    world.processes[0].round()
    world.processes[1].follow()
    _lose_owner(world)
    world.processes[1].claim()
    for _ in range(8):
        world.pass_time(0.5)
        world.processes[1].round()
        assert _submit(world, 1, "flood") is Verdict.FULL
    world.pass_time(1.0)
    assert _submit(world, 1, "flood") is Verdict.DONE


def test_owner_lost_amid_a_flood_a_process_without_owner_goes_on_by_the_last_waits(world):
    """Guards against accepting all after 2.5 s; what it answers concerns its own attempt."""
    _lose_owner(world)
    world.pass_time(4.0)
    assert _submit(world, 1, "flood") is Verdict.NOT_STORED
    assert _submit(world, 1, "light") is Verdict.DONE
    world.pass_time(4.0)
    # 6 s are left, and the wait may be 3 x 2.9 s less the run: four more of half a second each.
    verdicts = [_submit(world, 1, "flood") for _ in range(10)]
    assert 3 <= verdicts.count(Verdict.DONE) <= 5
    assert verdicts[0] is Verdict.DONE and verdicts[-1] is Verdict.NOT_STORED


def test_owner_lost_what_other_processes_have_stored_counts_as_well(world):
    _lose_owner(world)
    world.pass_time(8.0)
    verdicts = [_submit(world, number % 2, "flood") for number in range(20)]
    # Four fit into what is left; if each process counted its own alone, eight would.
    assert 3 <= verdicts.count(Verdict.DONE) <= 6


def _leave_an_unread_job(world):
    """Have the owner store a job, and lose it before the second process has read that."""
    job = next(_JOBS)
    _set_wait(world, 100)
    assert _submit(world, 0, "flood", job) is Verdict.DONE
    assert world.processes[1].index.entry(job) is None
    _lose_owner(world)
    return job


def _set_wait(world, wait_ms):
    """Let the flood wait so long for the owner, which does not publish it yet."""
    state = AdmissionState({"p/flood": wait_ms}, {"flood": 2_000})
    world.processes[0].owner.parts.fleet._admission.state = state


def test_owner_lost_a_repeat_of_a_stored_job_is_not_rejected(world):
    """Guards against a 503 from a process that has not read the job yet."""
    job = _leave_an_unread_job(world)
    assert _submit(world, 1, "flood", job) is Verdict.KNOWN
    assert world.processes[1].service._metrics.total("admission.beyond-entitlement") == 0


def test_owner_lost_another_accounts_repeat_of_a_stored_job_conflicts(world):
    job = _leave_an_unread_job(world)
    world.oracle.submissions.pop(job)
    other = Submission("q", "flood2", "spec", (make_step(1),), pool="p", max_attempts=2)
    world.processes[1].index._admission = AdmissionState(
        {"p/flood2": 14_000}, {"flood2": 2_000}, known_s=world.clock.now_s
    )
    assert world.submit(world.processes[1], job, other) is Verdict.CONFLICT


def test_owner_lost_a_rejection_that_can_not_read_the_log_tells_no_time(world, monkeypatch):
    """It answers as a process that is behind does: for its own attempt alone."""
    process, job = world.processes[1], _leave_an_unread_job(world)

    def fail(*_arguments):
        raise StoreRefusedError("store unavailable")

    monkeypatch.setattr(world.store, "read", fail)
    receipt = process.service.submit(
        job, world.oracle.submissions[job], world.policies.queues["q"], world.caller_timeout_s
    )
    assert receipt == Receipt(Verdict.NOT_STORED)


def test_owner_lost_a_caller_keeps_its_place_until_its_job_is_stored(world, monkeypatch):
    """Guards against losing the place of a caller that returns in time while the store fails."""
    _lose_owner(world)
    process, job = world.processes[1], next(_JOBS)
    returns = process.service._admission._returns
    assert _submit(world, 1, "flood", job) is Verdict.NOT_STORED
    process.index._admission = AdmissionState(
        {"p/flood": 100}, {"flood": 2_000}, known_s=world.clock.now_s
    )
    with monkeypatch.context() as patches:
        patches.setattr(DirectStorage, "submit", lambda *_given: Verdict.NOT_STORED)
        assert _submit(world, 1, "flood", job) is Verdict.NOT_STORED
    assert job in returns._accounts["flood"].reservations
    assert _submit(world, 1, "flood", job) is Verdict.DONE
    assert job not in returns._accounts["flood"].reservations


def test_owner_lost_an_attempt_that_may_be_stored_is_not_answered_as_not_run(world):
    job = next(_JOBS)
    world.caller_timeout_s = 0.2
    world.link.fault = "refused"
    world.store.is_delaying = True
    assert _submit(world, 1, "light", job) is Verdict.UNCLEAR
    world.store.is_delaying = False
    world.processes[1].index._admission = AdmissionState({"p/light": 60_000}, known_s=10_000.0)
    assert _submit(world, 1, "light", job) is Verdict.UNCLEAR


def test_no_store_a_process_rejects_what_it_can_not_store(world, monkeypatch):
    _lose_owner(world)
    monkeypatch.setattr(type(world.processes[1]), "lag_s", 10.0)
    assert _submit(world, 1, "light") is Verdict.NOT_STORED


def test_rejections_are_counted_by_reason(world):
    _submit(world, 0, "flood")
    metrics = world.processes[0].owner._services.metrics
    assert metrics.total("admission.beyond-entitlement") == 1
