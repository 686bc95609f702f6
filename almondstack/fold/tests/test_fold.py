from almondstack.fold import Fold, Refusal
from almondstack.model import (
    InstancePhase,
    InstanceStepped,
    KeyRevoked,
    ReleaseApplied,
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


def test_second_note_upon_the_same_revision_is_refused():
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


def test_revoked_key_never_comes_back():
    fold = make_fold()
    fold.apply(1, encode_record("operator", 2, KeyRevoked("k1")))
    assert "k1" in fold.state.revoked
    assert "k1" not in fold.state.keys
