"""Withdrawn configuration is removed in steps, and old values are pruned from the state."""

from almondstack.fold import Fold, Refusal
from almondstack.model import (
    REPEAT_WINDOW_RECORDS,
    Configured,
    EntryJoined,
    EntryLeft,
    InstanceMoved,
    InstancePhase,
    InstanceRemoved,
    InstanceStepped,
    KeyRevoked,
    Queue,
    ReleaseApplied,
    ReleaseNote,
    Withdrawn,
    encode_record,
)
from almondstack.testing.builders import make_fold, make_instance, make_note, make_pool, make_team


class Author:
    """Appends records of one author to a fold."""

    def __init__(self, fold: Fold) -> None:
        self._fold = fold
        self._sequence = 0

    def append(self, body: object) -> Refusal | None:
        self._sequence += 1
        offset = self._fold.next_offset
        record = encode_record("author", self._sequence, body, base=offset)
        verdict = self._fold.apply(offset, record)
        assert verdict is not None
        return verdict.refusal

    def step(self, name: str, phase: InstancePhase, target: str | None = None) -> Refusal | None:
        version = self._fold.state.instances[name].version
        return self.append(InstanceStepped(name, version, phase, target_pool=target))

    def note(self, **sections) -> Refusal | None:
        return self.append(ReleaseApplied(self._fold.state.revision, ReleaseNote(**sections)))


def test_withdrawn_pool_stays_until_its_last_instance_is_removed():
    extra = (make_pool("extra", min_serving=1, size=1),)
    names = ("u1", "u2", "u3")
    instances = (*map(make_instance, names), make_instance("u9", pool="extra"))
    fold = make_fold(make_note(pools=(make_pool(), *extra), instances=instances))
    author = Author(fold)
    withdrawn = Withdrawn(pools=("extra",), instances=("u9",))
    assert author.note(withdrawn=withdrawn) is None
    assert fold.state.pools["extra"].min_serving == 0
    assert fold.state.instances["u9"].is_withdrawn
    assert author.step("u1", InstancePhase.DRAINING, "extra") is Refusal.NO_SUCH_POOL
    assert author.step("u9", InstancePhase.DRAINING) is None
    assert author.step("u9", InstancePhase.DRAINED) is None
    assert "extra" in fold.state.pools
    assert author.append(InstanceRemoved("u9", fold.state.instances["u9"].version)) is None
    assert "extra" not in fold.state.pools and not fold.state.leaving_pools


def test_instance_with_a_changed_pool_keeps_its_owner_until_the_move():
    pools = (make_pool(), make_pool("extra", min_serving=0, size=0))
    instances = tuple(make_instance(f"u{number}") for number in range(1, 5))
    fold = make_fold(make_note(pools=pools, instances=instances))
    author = Author(fold)
    moved = Configured(instances=(make_instance("u4", pool="extra"),))
    assert author.note(changed=moved) is None
    assert fold.state.instances["u4"].pool == "score"
    assert author.step("u4", InstancePhase.DRAINING, "extra") is None
    assert author.step("u4", InstancePhase.DRAINED) is None
    assert author.append(InstanceMoved("u4", fold.state.instances["u4"].version, "extra")) is None
    assert fold.state.instances["u4"].pool == "extra"


def test_withdrawn_team_and_queue_are_removed_but_kept_for_running_work():
    queues = (Queue(name="invoices", pool="score"), Queue(name="urgent", pool="score"))
    teams = (make_team(), make_team("east", ceiling=3))
    fold = make_fold(make_note(teams=teams, queues=queues))
    author = Author(fold)
    assert author.note(withdrawn=Withdrawn(teams=("east",), queues=("urgent",))) is None
    state = fold.state
    assert "east" not in state.teams and "urgent" not in state.queues
    assert state.find_team("east").ceiling == 3
    assert state.find_queue("urgent").pool == "score"
    assert author.note(added=Configured(teams=(make_team("east", ceiling=4),))) is None
    assert not state.leaving_teams and state.find_team("east").ceiling == 4


def test_old_values_are_pruned_by_log_distance_and_a_late_repeat_is_refused():
    fold = make_fold(make_note(teams=(make_team(), make_team("east"))))
    address = "127.0.0.1:1"
    joined = EntryJoined("e1", "e1", "a", "r", address, address)
    late = encode_record("e1", 1, joined, base=1)
    fold.apply(1, late)
    author = Author(fold)
    assert author.append(EntryLeft("e1")) is None
    assert author.note(withdrawn=Withdrawn(teams=("east",))) is None
    assert author.append(KeyRevoked("k1")) is None
    for _ in range(REPEAT_WINDOW_RECORDS + 512):
        author.append(KeyRevoked("k1"))
    state = fold.state
    assert "e1" not in state.entries and "e1" not in state.authors
    assert not state.leaving_teams
    assert set(state.revoked) == {"k1"}
    assert fold.apply(fold.next_offset, late).refusal is Refusal.TOO_OLD
