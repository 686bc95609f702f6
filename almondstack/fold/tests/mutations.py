"""Deliberate faults in the code, each of which the state machine must detect."""

from collections.abc import Callable
from contextlib import suppress

import msgspec
import pytest

import almondstack.fold.config
import almondstack.fold.pruning
import almondstack.fold.transition
import almondstack.log.snapshots
import almondstack.release_note.validate
from almondstack.fold import Fold, Refusal
from almondstack.fold.apply import FoldContext, fold_body
from almondstack.log import Bootstrap, Follower, LogError, RecordWriter, SnapshotWriter
from almondstack.log.reorder import ReorderBuffer
from almondstack.model import FleetState, KeyGranted, KeyRevoked, LogEntry, ReleaseApplied


class Mutation(msgspec.Struct, frozen=True):
    """A fault and the invariant that it violates; ``apply`` patches it into the code."""

    name: str
    invariant: str
    apply: Callable[[pytest.MonkeyPatch], None]


def _repeats_are_accepted(patch: pytest.MonkeyPatch) -> None:
    original = almondstack.fold.transition._check_envelope

    def mutant(state, offset, envelope):
        refusal = original(state, offset, envelope)
        return None if refusal is Refusal.REPEATED else refusal

    patch.setattr(almondstack.fold.transition, "_check_envelope", mutant)


def _old_records_are_accepted(patch: pytest.MonkeyPatch) -> None:
    original = almondstack.fold.transition._check_envelope

    def mutant(state, offset, envelope):
        refusal = original(state, offset, envelope)
        return None if refusal is Refusal.TOO_OLD else refusal

    patch.setattr(almondstack.fold.transition, "_check_envelope", mutant)


def _authors_are_pruned_early(patch: pytest.MonkeyPatch) -> None:
    original = almondstack.fold.pruning.prune

    def mutant(state, offset):
        original(state, offset)
        state.authors = {n: m for n, m in state.authors.items() if m.offset > offset - 3}

    patch.setattr(almondstack.fold.transition, "prune", mutant)


def _pruning_differs_between_replicas(patch: pytest.MonkeyPatch) -> None:
    original = almondstack.fold.pruning.prune
    seen: list[FleetState] = []

    def mutant(state, offset):
        original(state, offset)
        if not any(state is other for other in seen):
            seen.append(state)
        if seen[0] is not state:
            state.authors = {n: m for n, m in state.authors.items() if m.offset > offset - 5}

    patch.setattr(almondstack.fold.transition, "prune", mutant)


def _notes_are_unconditional(patch: pytest.MonkeyPatch) -> None:
    original = fold_body.dispatch(ReleaseApplied)

    def mutant(body, state, context):
        original(msgspec.structs.replace(body, base_revision=state.revision), state, context)

    _replace_fold(patch, ReleaseApplied, mutant)


def _note_adds_a_revoked_key(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(almondstack.release_note.validate, "_check_revoked", lambda state, note: [])


def _grant_adds_a_revoked_key(patch: pytest.MonkeyPatch) -> None:
    def mutant(body: KeyGranted, state: FleetState, context: FoldContext) -> None:
        state.keys[body.key.id] = body.key
        state.revision += 1

    _replace_fold(patch, KeyGranted, mutant)


def _revocation_leaves_the_key(patch: pytest.MonkeyPatch) -> None:
    def mutant(body: KeyRevoked, state: FleetState, context: FoldContext) -> None:
        if body.key_id not in state.revoked:
            state.revoked[body.key_id] = context.offset
            state.revision += 1

    _replace_fold(patch, KeyRevoked, mutant)


def _revision_decreases(patch: pytest.MonkeyPatch) -> None:
    def mutant(body: KeyRevoked, state: FleetState, context: FoldContext) -> None:
        if body.key_id not in state.revoked:
            state.revoked[body.key_id] = context.offset
            state.keys.pop(body.key_id, None)
            state.revision -= 1

    _replace_fold(patch, KeyRevoked, mutant)


def _older_snapshot_is_installed(patch: pytest.MonkeyPatch) -> None:
    def mutant(self, state, next_offset):
        with self._lock:
            self._state = state
            self._next_offset = next_offset
            return True

    patch.setattr(Fold, "install", mutant)
    patch.setattr(Bootstrap, "_install_snapshot", _install_any)


def _install_any(self, bounds) -> bool:
    for snapshot in self._store.newest_first():
        return self._fold.install(snapshot.decode(), snapshot.next_offset)
    return False


def _snapshot_names_a_later_offset(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SnapshotWriter, "_write", _write_later_offset)


def _write_later_offset(self) -> None:
    state, next_offset = self._fold.encode_state()
    self._store.write(state, 1, next_offset + 1, self._clock.unix(), 1 << 18)


def _digest_is_not_checked(patch: pytest.MonkeyPatch) -> None:
    def mutant(group):
        last = next(reversed(group.values()))
        data = b"".join(group[index].data for index in sorted(group))
        return almondstack.log.snapshots.Snapshot(
            last.level, last.next_offset, last.written_unix_s, data
        )

    patch.setattr(almondstack.log.snapshots, "_assemble", mutant)


def _early_records_are_folded(patch: pytest.MonkeyPatch) -> None:
    def mutant(self, entries: list[LogEntry]) -> int:
        for entry in entries:
            self._fold._next_offset = max(self._fold._next_offset, entry.offset)
            self._fold.apply(entry.offset, entry.data)
        return len(entries)

    patch.setattr(Follower, "fold_entries", mutant)


def _early_records_are_dropped_permanently(patch: pytest.MonkeyPatch) -> None:
    original = ReorderBuffer.add
    dropped: set[int] = set()

    def mutant(self, entries, next_offset):
        late = {entry.offset for entry in entries if entry.offset > next_offset + 1}
        dropped.update((id(self), offset) for offset in late)
        kept = [entry for entry in entries if (id(self), entry.offset) not in dropped]
        original(self, kept, next_offset)

    patch.setattr(ReorderBuffer, "add", mutant)


def _gap_is_skipped(patch: pytest.MonkeyPatch) -> None:
    def mutant(self) -> None:
        self._fold._next_offset = max(self._client.bounds("fleet").oldest, self._fold.next_offset)

    patch.setattr(Follower, "bootstrap", mutant)


def _gap_is_not_reported(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Follower, "_mark_gap", lambda self: None)


def _lost_reply_gets_a_new_sequence(patch: pytest.MonkeyPatch) -> None:
    original = RecordWriter._count_failure

    def mutant(self, error) -> None:
        original(self, error)
        for pending in self._pending:
            self._sequence += 1
            pending.sequence = self._sequence
            pending.data = None

    patch.setattr(RecordWriter, "_count_failure", mutant)


def _failed_append_counts_as_successful(patch: pytest.MonkeyPatch) -> None:
    def mutant(self) -> bool:
        batch = self._next_batch()
        with suppress(LogError):
            self._client.append(self._stream, batch)
        self._remove_confirmed(len(batch))
        return True

    patch.setattr(RecordWriter, "append_once", mutant)


def _newest_record_is_appended_first(patch: pytest.MonkeyPatch) -> None:
    original = RecordWriter._next_batch
    patch.setattr(RecordWriter, "_next_batch", lambda self: original(self)[::-1])


def _pending_bound_decreases(patch: pytest.MonkeyPatch) -> None:
    original = RecordWriter.submit

    def mutant(self, body):
        self._max_pending -= 1
        return original(self, body)

    patch.setattr(RecordWriter, "submit", mutant)


def _replace_fold(patch: pytest.MonkeyPatch, type_: type, mutant: Callable[..., None]) -> None:
    original = fold_body.dispatch(type_)
    fold_body.register(type_, mutant)
    patch.setattr(_Undo, "undo", lambda: fold_body.register(type_, original), raising=False)


class _Undo:
    """Holds the function that registers the original fold function again."""

    undo = staticmethod(lambda: None)


def restore_fold_functions() -> None:
    """Register the original fold function again; call it before the patches are undone."""
    _Undo.undo()


MUTATIONS = (
    Mutation("repeats-accepted", "a record takes effect once", _repeats_are_accepted),
    Mutation("old-records-accepted", "a record takes effect once", _old_records_are_accepted),
    Mutation("authors-pruned-early", "a record takes effect once", _authors_are_pruned_early),
    Mutation("pruning-differs", "two replicas are equal", _pruning_differs_between_replicas),
    Mutation(
        "note-unconditional", "accepted configuration stays in force", _notes_are_unconditional
    ),
    Mutation("note-adds-revoked-key", "a revoked key stays revoked", _note_adds_a_revoked_key),
    Mutation("grant-adds-revoked-key", "a revoked key stays revoked", _grant_adds_a_revoked_key),
    Mutation("revocation-leaves-key", "a revoked key stays revoked", _revocation_leaves_the_key),
    Mutation("revision-decreases", "revision is monotone", _revision_decreases),
    Mutation("older-snapshot-installed", "offsets never decrease", _older_snapshot_is_installed),
    Mutation("snapshot-offset-ahead", "two replicas are equal", _snapshot_names_a_later_offset),
    Mutation("digest-not-checked", "two replicas are equal", _digest_is_not_checked),
    Mutation("early-records-folded", "two replicas are equal", _early_records_are_folded),
    Mutation(
        "early-records-lost", "every replica makes progress", _early_records_are_dropped_permanently
    ),
    Mutation("gap-skipped", "two replicas are equal", _gap_is_skipped),
    Mutation("gap-not-reported", "a gap is reported", _gap_is_not_reported),
    Mutation("new-sequence-on-retry", "sequences in order", _lost_reply_gets_a_new_sequence),
    Mutation(
        "failed-append-counts-as-successful",
        "no record is lost",
        _failed_append_counts_as_successful,
    ),
    Mutation("newest-record-first", "sequences in order", _newest_record_is_appended_first),
    Mutation(
        "pending-bound-lowered", "the bound on pending records holds", _pending_bound_decreases
    ),
)
