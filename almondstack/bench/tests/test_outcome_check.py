"""Each violation count of the outcome check has a case that raises it."""

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
_ANSWERED = CallerRecord(work_id="1", team="north", end=CallerEnd.ANSWERED, status=200)


def _start(run: int, work_id: str, at_s: float = 0.0, **fields):
    defaults = {"team": "north", "key_id": "k0", "is_idempotent": False}
    return RunStarted(run=run, work_id=work_id, at_s=at_s, **{**defaults, **fields})


def _violations(callers=(_ANSWERED,), rules=_RULES, **journals):
    return check_outcomes(callers, journals, rules).violations


def _records(end: CallerEnd, **fields) -> tuple[CallerRecord]:
    return (msgspec.structs.replace(_ANSWERED, end=end, **fields),)


def test_one_run_with_its_answer_has_no_violations():
    assert _violations(u1=[ConnectionOpened(0.0), _start(1, "1"), RunEnded(1, 1.0)]) == {}


def test_caller_without_outcome_is_lost():
    assert _violations(_records(CallerEnd.NONE)) == {"lost": 1}


def test_second_start_on_another_upstream_is_a_violation():
    assert _violations(u1=[_start(1, "1")], u2=[_start(1, "1")]) == {"doubled": 1}


def test_second_start_of_idempotent_work_is_allowed():
    first, second = (_start(1, "1", is_idempotent=True) for _ in range(2))
    assert _violations(u1=[first], u2=[second]) == {}


def test_ceiling_is_checked_over_all_upstreams():
    journals = {f"u{i}": [_start(1, str(i), at_s=float(i)), RunEnded(1, 9.0)] for i in (1, 2, 3)}
    assert _violations(**journals) == {"above_ceiling": 1}


def test_end_at_the_time_of_a_start_is_counted_first():
    journal = [_start(1, "1"), _start(2, "2"), RunEnded(1, 5.0), _start(3, "3", at_s=5.0)]
    assert _violations(u1=journal) == {}


def test_run_ends_with_the_killed_process():
    killed = [_start(1, "1"), _start(2, "2"), ProcessEnded(4.0)]
    assert _violations(u1=killed, u2=[_start(1, "3", at_s=5.0)]) == {}
    assert [run.ended_s for run in runs_of("u1", killed)] == [4.0, 4.0]


def test_outcome_not_run_of_work_that_ran_is_a_violation():
    assert _violations(_records(CallerEnd.NOT_RUN), u1=[_start(1, "1")]) == {"false_not_run": 1}


@pytest.mark.parametrize("journal", [[], [_start(1, "other")]])
def test_answer_without_a_run_is_wrong(journal):
    assert _violations(u1=journal) == {"wrong_answer": 1}


def test_incomplete_answer_or_answer_to_another_request_is_wrong():
    records = _records(CallerEnd.ANSWERED, is_right=False)
    assert _violations(records, u1=[_start(1, "1")]) == {"wrong_answer": 1}


def test_start_later_than_the_revocation_bound_is_a_violation():
    journal = [_start(1, "1", at_s=13.1, key_id="k1")]
    assert _violations(u1=journal) == {"revoked_accepted": 1}
    assert _violations(u1=[_start(1, "1", at_s=12.9, key_id="k1")]) == {}


def test_slots_and_connections_are_bounded_per_upstream():
    rules = msgspec.structs.replace(_RULES, ceilings={})
    runs = [_start(number, str(number)) for number in range(1, 5)]
    assert _violations(rules=rules, u1=runs) == {"slots_exceeded": 1}
    connections = [ConnectionOpened(0.0), ConnectionOpened(0.1)]
    assert _violations((), u1=connections) == {"connections_exceeded": 1}


def test_rule_violations_of_the_platform_stand_in_are_counted():
    broken = [Violation(act=str(number), rule=rule) for number, rule in enumerate(_PLATFORM_RULES)]
    assert check_outcomes((), {}, _RULES, broken).violations == {
        "pool_below_budget": 1,
        "hard_stops": 2,
    }


_PLATFORM_RULES = ("budget", "not-drained", "not-empty")
