"""Refusal of conflicting, repeated and malformed records by the fold."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from almondstack.core import encode_msgpack
from almondstack.fold import Fold, Refusal
from almondstack.model import (
    FleetState,
    InstancePhase,
    InstanceStepped,
    KeyRevoked,
    LevelRaised,
    ReleaseApplied,
    default_registry,
    encode_record,
)
from almondstack.testing.builders import make_fold, make_note


def _step(fold: Fold, name: str, phase: InstancePhase, sequence: int):
    version = fold.state.instances[name].version
    record = encode_record("keeper", sequence, InstanceStepped(name, version, phase))
    return fold.apply(fold.next_offset, record)


def test_note_is_in_force_after_fold():
    fold = make_fold()
    assert fold.state.revision == 1
    assert fold.state.serving_count("score") == 3


def test_second_note_based_on_the_same_revision_is_refused():
    fold = make_fold()
    verdict = fold.apply(1, encode_record("other", 1, ReleaseApplied(0, make_note())))
    assert verdict.refusal is Refusal.REVISION_CONFLICT
    assert fold.state.revision == 1


def test_repeated_record_is_folded_once():
    fold = make_fold()
    record = encode_record("operator", 2, KeyRevoked("k1"))
    assert fold.apply(1, record).is_accepted
    assert fold.apply(2, record).refusal is Refusal.REPEATED
    assert fold.state.revision == 2


def test_step_that_breaks_the_budget_is_refused():
    fold = make_fold()
    assert _step(fold, "u1", InstancePhase.DRAINING, 1).is_accepted
    assert _step(fold, "u2", InstancePhase.DRAINING, 2).refusal is Refusal.BUDGET_BROKEN
    assert fold.state.serving_count("score") == 2


def test_revoked_key_is_removed_and_its_id_stays_revoked():
    fold = make_fold()
    fold.apply(1, encode_record("operator", 2, KeyRevoked("k1")))
    assert "k1" in fold.state.revoked
    assert "k1" not in fold.state.keys


_scalars = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=5)
_values = st.recursive(
    _scalars | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
_kinds = st.sampled_from(sorted(default_registry().kinds))
_bodies = _values.map(encode_msgpack).map(msgspec.Raw)
_sequences = st.integers(-1, 2**64 - 1)
_records = st.binary(max_size=60) | st.builds(
    lambda *fields: encode_msgpack(fields),
    st.integers(-1, 3),
    st.sampled_from(("", "operator", "x" * 300)),
    _sequences,
    _kinds,
    _bodies,
    st.integers(-1, 9),
)


@given(st.lists(_records, max_size=8))
def test_malformed_records_get_equal_verdicts_and_states_in_two_replicas(records):
    first, second = make_fold(), make_fold()
    for offset, data in enumerate(records, start=1):
        verdict = first.apply(offset, data)
        assert verdict == second.apply(offset, data)
    assert first.encode_state() == second.encode_state()
    assert Fold(msgspec.msgpack.decode(first.encode_state()[0], type=FleetState)).state


def test_level_is_raised_one_at_a_time():
    fold = make_fold()
    verdict = fold.apply(1, encode_record("operator", 2, LevelRaised(2**62)))
    assert verdict.refusal is Refusal.LEVEL_NOT_SUPPORTED
    assert not fold.is_outdated
