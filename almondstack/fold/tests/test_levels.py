"""Processes of two versions fold the same log while the format level is raised."""

import msgspec
import pytest

from almondstack.fold import Fold, FoldOutdatedError, Refusal, fold_body
from almondstack.model import (
    EntryJoined,
    EntryLeft,
    FleetState,
    KeyRevoked,
    LevelRaised,
    RecordRegistry,
    ReleaseApplied,
    default_registry,
)
from almondstack.testing.builders import make_note

ADDRESS = "127.0.0.1:1"


class OperatorNamed(msgspec.Struct, frozen=True):
    """A record kind that only the newer version supports."""

    name: str


@fold_body.register
def _(body: OperatorNamed, state: FleetState, context: object) -> None:
    state.revision += 1


def _newer() -> RecordRegistry:
    registry = default_registry().extended(level=2)
    registry.add("operator-named", OperatorNamed, level=2)
    return registry


def _join(incarnation: str, level: int) -> EntryJoined:
    return EntryJoined(incarnation, incarnation, "a", "r", ADDRESS, ADDRESS, level)


class MixedLog:
    """A log that an older and a newer version fold in parallel."""

    def __init__(self) -> None:
        self._registry = _newer()
        self._sequence = 0
        self.older = Fold(registry=default_registry())
        self.newer = Fold(registry=self._registry)

    def append(self, body: object) -> Refusal | None:
        self._sequence += 1
        offset = self.newer.next_offset
        data = self._registry.encode("author", self._sequence, body)
        verdict = self.newer.apply(offset, data)
        assert self.older.apply(offset, data) == verdict
        assert self.older.encode_state() == self.newer.encode_state()
        assert verdict is not None
        return verdict.refusal


def test_older_and_newer_versions_give_equal_verdicts_and_states():
    log = MixedLog()
    assert log.append(ReleaseApplied(0, make_note())) is None
    assert log.append(_join("old", level=1)) is None
    assert log.append(OperatorNamed("too soon")) is Refusal.LEVEL_TOO_HIGH
    assert log.append(_join("new", level=2)) is None
    assert log.append(LevelRaised(2)) is Refusal.LEVEL_NOT_SUPPORTED
    assert log.append(KeyRevoked("k1")) is None
    assert log.append(EntryLeft("old")) is None
    assert log.append(LevelRaised(2)) is None


def test_older_version_folds_nothing_more_once_the_level_is_raised():
    log = MixedLog()
    assert log.append(LevelRaised(2)) is None
    record = _newer().encode("author", 2, OperatorNamed("ada"))
    assert log.newer.apply(1, record).is_accepted
    assert log.older.is_outdated
    with pytest.raises(FoldOutdatedError):
        log.older.apply(1, record)
    assert log.older.next_offset == 1


def test_state_of_a_higher_level_is_not_installed():
    log = MixedLog()
    log.append(LevelRaised(2))
    with pytest.raises(FoldOutdatedError):
        Fold(registry=default_registry()).install(log.newer.state, 1)


def test_entry_below_the_level_in_force_cannot_join():
    log = MixedLog()
    log.append(LevelRaised(2))
    record = _newer().encode("late", 1, _join("late", level=1))
    assert log.newer.apply(1, record).refusal is Refusal.LEVEL_NOT_SUPPORTED
