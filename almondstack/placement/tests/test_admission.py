"""Admission under contention: one account floods a pool while others send their usual jobs."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.jobs.admission_state import AdmissionState, state_after, wait_key
from almondstack.jobs.records import OwnerNotice
from almondstack.placement.admission import Decision, RejectionReason, judge
from almondstack.placement.backlog import excess_wait_ms
from almondstack.placement.order import LATE_FACTOR
from almondstack.placement.return_schedule import ReturnSchedule
from almondstack.testing.admission_load import AdmissionLoad, returns_when_told
from almondstack.testing.job_builders import make_job, make_policy, make_step

_LAST_USEFUL_S = 6.0
"""Of a job of one second by the policy of the tests: three times its objective."""

_ENTITLED_PER_S = 4.0
"""Jobs of one core and one second that the flooding account's entitlement carries."""

_KEY = wait_key("p", "a")

_REJECTED = Decision(
    RejectionReason.BEYOND_ENTITLEMENT, 500.0, entitled_millis=1_000.0, work_ms=1_000.0
)
"""Half a second late, of a job that takes the account's entitlement a second."""

_EARLY_S = (0.25, 0.5, 0.75, 1.0, 3.25)


def _state(wait_ms, entitled_millis=None, **fields):
    entitled = {} if entitled_millis is None else {"a": entitled_millis}
    return AdmissionState({_KEY: wait_ms}, entitled, **fields)


def _judge(state, *steps, now_s=0.0, **fields):
    submission = make_job(*(steps or (make_step(),)), **fields).submission
    return judge(state, submission, make_policy(), now_s)


def _rejected(calls):
    return [call for call in calls if not call.is_accepted]


def _flooded(rate, comes_back_s=returns_when_told, quiet_s=0.0):
    load = AdmissionLoad(comes_back_s=comes_back_s)
    load.play(10.0, rate)
    load.play(quiet_s, 0)
    return load, [call for call in load.calls if call.account == "flood"]


@pytest.mark.parametrize("rate", [1, 2, 5])
def test_flood_light_accounts_are_all_accepted_and_what_is_accepted_of_the_flood_is_of_use(rate):
    load, _ = _flooded(rate, quiet_s=10.0)
    assert _rejected([call for call in load.calls if call.account == "light"]) == []
    assert max(load.ends_s.values()) <= _LAST_USEFUL_S
    assert len(load.ends_s) >= 0.95 * 20.0 * _ENTITLED_PER_S


@pytest.mark.parametrize("rate", [1, 2, 5])
def test_flood_return_times_rise_in_the_order_in_which_the_calls_came(rate):
    told_s = [call.told_s for call in _rejected(_flooded(rate)[1]) if call.attempt == 0]
    assert told_s == sorted(told_s) and told_s[-1] > told_s[0] + 5.0


def test_flood_a_later_call_does_not_return_first_because_times_are_whole_seconds():
    """Guards against 2 s told at 0.0 for a time of 1.2 s, and 1 s told at 0.9 for 1.85 s."""
    schedule = ReturnSchedule()
    rejected = Decision(
        RejectionReason.BEYOND_ENTITLEMENT, 1_200.0, entitled_millis=1_000.0, work_ms=10.0
    )
    assert schedule.reserve("a", "1", rejected, 0.0).retry_s == 2
    assert schedule.reserve("a", "2", rejected._replace(late_ms=950.0), 0.9).retry_s == 2


def test_flood_rejected_callers_do_not_return_all_at_once():
    """Guards against all callers rejected in one round coming back within the same second."""
    told_s = [call.told_s for call in _rejected(_flooded(2)[1]) if call.attempt == 0]
    by_second = Counter(int(second) for second in told_s)
    assert max(by_second.values()) <= 2 * _ENTITLED_PER_S


@pytest.mark.parametrize("rate", [1, 2, 5])
def test_flood_callers_who_return_when_told_get_in_before_new_ones(rate):
    """New calls come first in each round of this play, so that only their place can help."""
    _, calls = _flooded(rate)
    later = [call for call in calls if call.at_s > 103.0]
    new = [call for call in later if call.attempt == 0]
    back = [call for call in later if call.attempt == 1]
    accepted = [call for call in back if call.is_accepted]
    assert len(accepted) >= 0.7 * len(back)
    assert sum(call.is_accepted for call in new) <= 0.1 * len(new)


@pytest.mark.parametrize("rate", [1, 5])
def test_flood_callers_who_never_return_leave_no_entitlement_idle(rate):
    load, _ = _flooded(rate, comes_back_s=lambda _call: None)
    assert len(load.ends_s) >= 0.95 * 10.0 * _ENTITLED_PER_S


def test_flood_a_caller_who_returns_early_keeps_its_place():
    load = AdmissionLoad()
    load.play(3.0, 2)
    first, later = _rejected([call for call in load.calls if call.attempt == 0])[-2:]
    early = load.call(first.job, "flood", 1)
    assert not early.is_accepted
    assert first.told_s <= early.told_s < first.told_s + 1.0 and early.told_s <= later.told_s + 1.0


def _full_schedule(works_ms, now_s=0.0):
    """Return a schedule in which one job after the other was rejected, half a second late."""
    schedule = ReturnSchedule()
    for number, work_ms in enumerate(works_ms):
        schedule.reserve("a", str(number), _REJECTED._replace(work_ms=work_ms), now_s)
    return schedule


def test_flood_a_caller_who_keeps_returning_early_keeps_its_place():
    """Guards against an early call that moves its own place behind later ones."""
    schedule = _full_schedule([3_000.0, 1_000.0])
    told_s = [now_s + schedule.reserve("a", "1", _REJECTED, now_s).retry_s for now_s in _EARLY_S]
    assert told_s == [4.25, 4.5, 4.75, 4.0, 4.25]
    assert schedule.held_ms("a", "1", 4.0) == 0.0


def test_flood_the_virtual_queue_ends_with_its_callers():
    """Guards against return times of a minute once all callers have left or were accepted."""
    accepted, left = _full_schedule([50_000.0]), _full_schedule([50_000.0])
    accepted.release("a", "0")
    assert accepted.reserve("a", "new", _REJECTED, 0.5).retry_s == 1
    assert left.reserve("a", "new", _REJECTED, 2.0).retry_s == 49
    assert _full_schedule([50_000.0]).reserve("a", "new", _REJECTED, 3.5).retry_s == 1


def test_flood_no_room_is_held_for_a_renewed_place_that_has_lapsed():
    """It stands behind later ones that have not lapsed yet."""
    schedule = _full_schedule([9_000.0, 1_000.0])
    renewed = schedule.reserve("a", "0", _REJECTED._replace(work_ms=9_000.0), 1.0)
    assert renewed.retry_s == 1
    assert schedule.held_ms("a", "new", 3.9) == 9_000.0
    assert schedule.held_ms("a", "new", 4.5) == 0.0
    assert schedule.held_ms("a", "0", 9.5) == 1_000.0


def test_flood_the_account_that_was_least_recently_rejected_is_forgotten_first():
    schedule = ReturnSchedule()
    for number in range(256):
        schedule.reserve(f"a{number}", "j", _REJECTED, 0.0)
    schedule.reserve("a0", "j", _REJECTED, 0.1)
    schedule.reserve("new", "j", _REJECTED, 0.2)
    assert "a0" in schedule._accounts and "a1" not in schedule._accounts


def test_a_job_larger_than_the_entitlement_is_accepted_where_others_leave_room():
    """Its work takes the entitlement longer than its objective, but the pool has no backlog."""
    assert _judge(_state(0, 4_000), make_step(20)).is_accepted


def test_a_large_job_is_accepted_where_the_fleet_covers_it():
    assert _judge(_state(0), make_step(20)).is_accepted


@pytest.mark.parametrize(("wait_ms", "is_accepted"), [(0, True), (5_000, True), (5_100, False)])
def test_beyond_its_entitlement_an_account_is_accepted_while_its_jobs_end_is_of_use(
    wait_ms, is_accepted
):
    assert _judge(_state(wait_ms, 4_000)).is_accepted is is_accepted


@given(st.integers(0, 20_000), st.integers(1, 4), st.integers(1, 3_000))
def test_within_its_entitlement_an_account_is_accepted_as_without_a_shortage(
    wait_ms, count, estimate_ms
):
    submission = make_job(make_step(count, estimate_ms=estimate_ms)).submission
    for others in ({}, {"flood": 4_000}):
        decision = judge(AdmissionState({_KEY: wait_ms}, others), submission, make_policy(), 0.0)
        assert decision.late_ms == excess_wait_ms({_KEY: wait_ms}, submission, make_policy())
        assert decision.is_accepted == (decision.late_ms == 0) and decision.retry_s == 0


@pytest.mark.parametrize(
    ("step", "fields"), [(make_step(), {"occurrences": 2}), (make_step(is_long_running=True), {})]
)
def test_scheduled_and_long_running_jobs_are_never_rejected_for_waits(step, fields):
    assert _judge(_state(60_000, 1), step, **fields).is_accepted


def test_a_queue_whose_runs_take_longer_than_their_objective_is_not_shut_out():
    """No end would be in time there: the last useful end counts."""
    state = _state(1_000, 4_000, expected_ms=lambda _queue, declared_ms: 3.0 * declared_ms)
    assert _judge(state).is_accepted
    assert not _judge(_state(6_000, 4_000, expected_ms=lambda _queue, ms: 3.0 * ms)).is_accepted


def _root_ms(_queue, declared_ms):
    """Tasks that declare a hundred times as much take ten times as long; without, 400 ms."""
    return 30.0 * declared_ms**0.5 if declared_ms else 400.0


def test_a_jobs_expected_work_is_the_sum_of_that_of_its_tasks():
    steps = make_step(10, estimate_ms=100), make_step(2, estimate_ms=900, cpu_millis=500)
    state = _state(1_000, 1_000, expected_ms=_root_ms)
    assert _judge(state, *steps).work_ms == 10 * 300.0 + 2 * 900.0 * 0.5
    state.note_accepted(make_job(*steps).submission)
    assert state.wait_ms("p", "a", 0.0) == 1_000.0 + 3_900.0


def test_a_jobs_expected_chain_is_the_sum_of_that_of_its_steps():
    """Four steps of a declared 100 ms take 300 ms each, not 600 ms together."""
    chain = [
        make_step(estimate_ms=100, after=(number - 1,) if number else ()) for number in range(4)
    ]
    # The last useful end is LATE_FACTOR times 1.5 x 400 ms + 500 ms.
    last_ms = LATE_FACTOR * 1_100.0
    assert _judge(_state(last_ms - 1_200.0, 4_000, expected_ms=_root_ms), *chain).is_accepted
    late = _judge(_state(last_ms - 1_150.0, 4_000, expected_ms=_root_ms), *chain)
    assert late.late_ms == pytest.approx(50.0)


def test_the_expected_work_of_tasks_without_a_declaration_counts():
    state = _state(1_000, 1_000, expected_ms=_root_ms)
    assert _judge(state, make_step(3, estimate_ms=0)).work_ms == 1_200.0
    filler = make_step(3, estimate_ms=0, is_filler=True)
    assert _judge(state, filler).work_ms == 0.0


def test_owner_lost_a_wait_shrinks_with_its_age_and_rises_with_what_is_accepted():
    state, submission = _state(3_000, 4_000, known_s=10.0), make_job().submission
    assert state.wait_ms("p", "a", 11.0) == 2_000.0
    for _ in range(4):
        state.note_accepted(submission)
    assert state.wait_ms("p", "a", 11.0) == 3_000.0
    assert state.wait_ms("p", "a", 99.0) == 0.0


def test_owner_lost_a_flood_is_accepted_at_the_rate_of_its_entitlement_however_old_the_state():
    """Guards against accepting all once the notice is 2.5 s old.

    The wait is at its bound at first, so that no filling of the queue adds to the rate.
    """
    state, submission = _state(5_000, 4_000, known_s=0.0), make_job().submission
    accepted = 0
    for number in range(200):
        decision = judge(state, submission, make_policy(), number / 10.0)
        if decision.is_accepted:
            state.note_accepted(submission)
            accepted += 1
    assert 0.7 * 20 * _ENTITLED_PER_S <= accepted <= 1.05 * 20 * _ENTITLED_PER_S


@pytest.mark.parametrize(("now_s", "is_accepted"), [(0.0, False), (2.5, False), (2.6, True)])
def test_owner_lost_an_aged_state_says_nothing_of_accounts_within_their_entitlement(
    now_s, is_accepted
):
    """Guards against rejecting them for a minute by waits that nobody computes anew."""
    decision = _judge(_state(60_000, known_s=0.0), now_s=now_s)
    assert decision.is_accepted is is_accepted
    assert not _judge(_state(60_000, 4_000, known_s=0.0), now_s=now_s).is_accepted


def test_within_its_entitlement_the_state_that_the_owner_has_computed_does_not_age():
    assert not _judge(_state(60_000), now_s=99.0).is_accepted


def test_owner_lost_an_account_that_the_state_does_not_name_is_accepted():
    assert _judge(_state(60_000, 1, known_s=0.0), account="light").is_accepted


def test_a_claim_a_release_and_an_earlier_owner_without_waits_leave_the_known_state():
    known = state_after(None, OwnerNotice("o", 1, "", {_KEY: 5_000}, entitled_millis={}), 1.0, 1.0)
    for notice in (OwnerNotice("n", 2), OwnerNotice("", 2), OwnerNotice("old", 3, "127.0.0.1:1")):
        assert state_after(known, notice, 2.0, 2.0) is known
    empty = OwnerNotice("n", 2, entitled_millis={})
    assert state_after(known, empty, 2.0, 2.0).waits_ms == {}


def test_a_notice_of_an_earlier_build_is_judged_as_within_the_entitlement():
    state = state_after(None, OwnerNotice("old", 1, "", {_KEY: 5_000}), 1.0, 1.0)
    assert _judge(state, now_s=1.0).is_accepted
    assert _judge(state_after(None, OwnerNotice("old", 1, "", {_KEY: 9_000}), 1.0, 1.0)).reason


def test_a_process_that_starts_counts_the_age_of_the_first_notice_that_it_reads():
    notice = OwnerNotice("o", 1, "", {_KEY: 9_000}, entitled_millis={}, written_unix_ms=50_000)
    first = state_after(None, notice, 1.0, 58.0)
    assert first.wait_ms("p", "a", 1.0) == 1_000.0
    assert state_after(first, notice, 1.0, 58.0).wait_ms("p", "a", 1.0) == 9_000.0


def test_the_schedule_keeps_bounded_state():
    schedule = ReturnSchedule()
    for account in range(600):
        schedule.reserve(f"a{account}", "j", _REJECTED, 0.0)
    retries_s = [schedule.reserve("a", str(job), _REJECTED, 0.0).retry_s for job in range(2_000)]
    assert retries_s == sorted(retries_s) and retries_s[-1] == 60
    assert len(schedule._accounts) <= 256 and len(schedule._accounts["a"].reservations) <= 128
