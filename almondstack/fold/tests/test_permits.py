"""Drawing, return and settlement of permits in the fold."""

from typing import Any

from almondstack.fold import Fold, Refusal, debt_of, unallocated_count
from almondstack.model import (
    Configured,
    EntryEnded,
    EntryFenced,
    EntryJoined,
    EntryLeft,
    PermitCount,
    PermitsDrawn,
    PermitsReturned,
    PermitsSettled,
    ReleaseApplied,
    ReleaseNote,
    SettledCount,
    ceiling_resource,
    encode_record,
    slots_resource,
)
from almondstack.testing.builders import make_fold, make_note, make_team

NORTH = ceiling_resource("north")
U1 = slots_resource("u1")


def _append(fold: Fold, author: str, body: Any) -> Refusal | None:
    sequence = fold.state.last_sequence(author) + 1
    verdict = fold.apply(fold.next_offset, encode_record(author, sequence, body))
    assert verdict is not None
    return verdict.refusal


def _join(fold: Fold, name: str, zone: str = "a") -> None:
    address = "127.0.0.1:1"
    assert _append(fold, name, EntryJoined(name, name, zone, "r", address, address)) is None


def _draw(fold: Fold, author: str, count: int, resource: str = NORTH) -> Refusal | None:
    return _append(fold, author, PermitsDrawn((PermitCount(resource, count),)))


def _set_ceiling(fold: Fold, ceiling: int) -> None:
    team = make_team(ceiling=ceiling)
    note = ReleaseNote(changed=Configured(teams=(team,)))
    assert _append(fold, "operator", ReleaseApplied(fold.state.revision, note)) is None


def test_permits_drawn_never_exceed_the_bound():
    fold = make_fold()
    _join(fold, "e1")
    _join(fold, "e2")
    assert _draw(fold, "e1", 6) is None
    assert _draw(fold, "e2", 6) is None
    assert fold.state.permits[NORTH].drawn == {"e1": 6, "e2": 2}
    assert _draw(fold, "e2", 1) is Refusal.PERMITS_EXHAUSTED
    assert _draw(fold, "stranger", 1) is Refusal.NO_SUCH_ENTRY


def test_lowered_bound_is_a_debt_until_permits_are_returned():
    fold = make_fold()
    _join(fold, "e1")
    _draw(fold, "e1", 8)
    _set_ceiling(fold, 5)
    assert debt_of(fold.state, NORTH) == 3
    assert _draw(fold, "e1", 1) is Refusal.PERMITS_EXHAUSTED
    assert _append(fold, "e1", PermitsReturned((PermitCount(NORTH, 4),))) is None
    assert (debt_of(fold.state, NORTH), unallocated_count(fold.state, NORTH)) == (0, 1)
    assert (
        _append(fold, "e1", PermitsReturned((PermitCount(NORTH, 5),))) is Refusal.PERMITS_NOT_DRAWN
    )


def test_floors_are_reserved_for_other_zones():
    fold = make_fold(make_note(teams=(make_team(ceiling=24),)))
    _join(fold, "e1", "a")
    _join(fold, "e2", "b")
    _draw(fold, "e1", 24)
    assert fold.state.permits[NORTH].drawn == {"e1": 21}
    _draw(fold, "e2", 8, U1)
    assert fold.state.permits[U1].drawn == {"e2": 4}


def test_permits_of_a_fenced_entry_wait_for_its_end_and_for_every_settlement():
    fold = make_fold()
    for name in ("e1", "e2", "e3"):
        _join(fold, name)
    _draw(fold, "e1", 8)
    assert _append(fold, "e2", EntryFenced("e1", "gone")) is None
    assert _draw(fold, "e1", 1) is Refusal.ENTRY_NOT_LIVE
    _append(fold, "e2", PermitsSettled("e1", (SettledCount(NORTH, 0, 3),)))
    _append(fold, "e2", EntryEnded("e1", "run-time bound"))
    assert unallocated_count(fold.state, NORTH) == 0
    _append(fold, "e3", PermitsSettled("e1", ()))
    assert fold.state.permits[NORTH].drawn == {"e2": 3}
    assert not fold.state.settlements


def test_two_fenced_entries_that_may_share_transfers_are_released_together():
    fold = make_fold()
    for name in ("e1", "e2", "e3"):
        _join(fold, name)
    _draw(fold, "e1", 8)
    _append(fold, "e3", EntryFenced("e1", "gone"))
    _append(fold, "e3", EntryFenced("e2", "gone"))
    _append(fold, "e3", PermitsSettled("e1", ()))
    _append(fold, "e3", EntryEnded("e1", "run-time bound"))
    _append(fold, "e3", PermitsSettled("e2", (SettledCount(NORTH, 0, 2),)))
    assert fold.state.permits[NORTH].total == 8
    _append(fold, "e3", EntryEnded("e2", "run-time bound"))
    assert fold.state.permits[NORTH].drawn == {"e3": 2}


def test_permits_of_an_entry_that_left_are_released_without_an_end_record():
    fold = make_fold()
    _join(fold, "e1")
    _draw(fold, "e1", 8)
    _append(fold, "e1", EntryLeft("e1"))
    assert unallocated_count(fold.state, NORTH) == 8
