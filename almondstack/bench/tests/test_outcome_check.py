"""The judge must be able to fail: each count has a case that raises it."""

import msgspec
import pytest

from almondstack.bench.outcome_check import (
    CallerEnd,
    CallerRecord,
    OutcomeRules,
    check_outcomes,
    runs_of,
)
from almondstack.standin.journal import (
    ConnectionOpened,
    ProcessEnded,
    RunEnded,
    RunStarted,
)
from almondstack.standin.platform_recount import Violation

_RULES = OutcomeRules(
    ceilings={"north": 2},
    revoked_s={"k1": 10.0},
    slots=3,
    connections=1,
)
_RIGHT = CallerRecord(work_id="1", team="north", end=CallerEnd.ANSWERED, status=200)


def _start(run: int, work_id: str, at_s: float = 0.0, **fields):
    defaults = {"team": "north", "key_id": "k0", "is_idempotent": False}
    return RunStarted(run=run, work_id=work_id, at_s=at_s, **{**defaults, **fields})


def _judged(callers=(_RIGHT,), rules=_RULES, **journals):
    return check_outcomes(callers, journals, rules).violations


def _told(end: CallerEnd, **fields) -> tuple[CallerRecord]:
    return (msgspec.structs.replace(_RIGHT, end=end, **fields),)


def test_one_run_and_its_answer_are_clean():
    assert _judged(u1=[ConnectionOpened(0.0), _start(1, "1"), RunEnded(1, 1.0)]) == {}


def test_caller_without_end_is_lost():
    assert _judged(_told(CallerEnd.NONE)) == {"lost": 1}


def test_second_start_on_another_upstream_is_doubled():
    assert _judged(u1=[_start(1, "1")], u2=[_start(1, "1")]) == {"doubled": 1}


def test_second_start_of_idempotent_work_is_clean():
    first, second = (_start(1, "1", is_idempotent=True) for _ in range(2))
    assert _judged(u1=[first], u2=[second]) == {}


def test_ceiling_counts_over_all_upstreams():
    spread = {f"u{i}": [_start(1, str(i), at_s=float(i)), RunEnded(1, 9.0)] for i in (1, 2, 3)}
    assert _judged(**spread) == {"above_ceiling": 1}


def test_end_at_the_moment_of_a_start_frees_its_place():
    turns = [_start(1, "1"), _start(2, "2"), RunEnded(1, 5.0), _start(3, "3", at_s=5.0)]
    assert _judged(u1=turns) == {}


def test_run_ends_with_the_killed_process():
    killed = [_start(1, "1"), _start(2, "2"), ProcessEnded(4.0)]
    assert _judged(u1=killed, u2=[_start(1, "3", at_s=5.0)]) == {}
    assert [run.ended_s for run in runs_of("u1", killed)] == [4.0, 4.0]


def test_not_run_of_work_that_ran_is_false():
    assert _judged(_told(CallerEnd.NOT_RUN), u1=[_start(1, "1")]) == {"false_not_run": 1}


@pytest.mark.parametrize("journal", [[], [_start(1, "other")]])
def test_answer_without_a_run_is_wrong(journal):
    assert _judged(u1=journal) == {"wrong_answer": 1}


def test_broken_or_foreign_answer_is_wrong():
    told = _told(CallerEnd.ANSWERED, is_right=False)
    assert _judged(told, u1=[_start(1, "1")]) == {"wrong_answer": 1}


def test_start_long_after_the_revocation_is_counted():
    journal = [_start(1, "1", at_s=13.1, key_id="k1")]
    assert _judged(u1=journal) == {"revoked_accepted": 1}
    assert _judged(u1=[_start(1, "1", at_s=12.9, key_id="k1")]) == {}


def test_slots_and_connections_are_bounded_per_upstream():
    rules = msgspec.structs.replace(_RULES, ceilings={})
    runs = [_start(number, str(number)) for number in range(1, 5)]
    assert _judged(rules=rules, u1=runs) == {"slots_exceeded": 1}
    connections = [ConnectionOpened(0.0), ConnectionOpened(0.1)]
    assert _judged((), u1=connections) == {"connections_exceeded": 1}


def test_acts_that_the_platform_held_against_us_are_counted():
    broken = [Violation(act=str(number), rule=rule) for number, rule in enumerate(_PLATFORM_RULES)]
    assert check_outcomes((), {}, _RULES, broken).violations == {
        "pool_below_budget": 1,
        "hard_stops": 2,
    }


_PLATFORM_RULES = ("budget", "not-drained", "not-empty")
