"""Faults put into the code on purpose, each of which the machine must catch."""

from collections.abc import Callable
from contextlib import suppress

import msgspec
import pytest

import almondstack.fold.config
import almondstack.fold.pruning
import almondstack.fold.transition
import almondstack.log.snapshots
import almondstack.note.validate
from almondstack.fold import Fold, Refusal
from almondstack.fold.apply import FoldContext, fold_body
from almondstack.log import Bootstrap, Follower, LogError, RecordWriter, SnapshotWriter
from almondstack.log.reorder import ReorderBuffer
from almondstack.model import FleetState, KeyGranted, KeyRevoked, LogEntry, ReleaseApplied


class Mutation(msgspec.Struct, frozen=True):
    """One fault, and the invariant that it breaks."""

    name: str
    invariant: str
    put_in: Callable[[pytest.MonkeyPatch], None]


def _repeats_are_taken(patch: pytest.MonkeyPatch) -> None:
    right = almondstack.fold.transition._check_envelope

    def wrong(state, offset, envelope):
        refusal = right(state, offset, envelope)
        return None if refusal is Refusal.REPEATED else refusal

    patch.setattr(almondstack.fold.transition, "_check_envelope", wrong)


def _old_records_are_taken(patch: pytest.MonkeyPatch) -> None:
    right = almondstack.fold.transition._check_envelope

    def wrong(state, offset, envelope):
        refusal = right(state, offset, envelope)
        return None if refusal is Refusal.TOO_OLD else refusal

    patch.setattr(almondstack.fold.transition, "_check_envelope", wrong)


def _authors_are_forgotten_early(patch: pytest.MonkeyPatch) -> None:
    right = almondstack.fold.pruning.prune

    def wrong(state, offset):
        right(state, offset)
        state.authors = {n: m for n, m in state.authors.items() if m.offset > offset - 3}

    patch.setattr(almondstack.fold.transition, "prune", wrong)


def _pruning_differs_between_readers(patch: pytest.MonkeyPatch) -> None:
    right = almondstack.fold.pruning.prune
    seen: list[FleetState] = []

    def wrong(state, offset):
        right(state, offset)
        if not any(state is other for other in seen):
            seen.append(state)
        if seen[0] is not state:
            state.authors = {n: m for n, m in state.authors.items() if m.offset > offset - 5}

    patch.setattr(almondstack.fold.transition, "prune", wrong)


def _notes_are_unconditional(patch: pytest.MonkeyPatch) -> None:
    right = fold_body.dispatch(ReleaseApplied)

    def wrong(body, state, context):
        right(msgspec.structs.replace(body, base_revision=state.revision), state, context)

    _replace_fold(patch, ReleaseApplied, wrong)


def _note_takes_a_revoked_key(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(almondstack.note.validate, "_check_revoked", lambda state, note: [])


def _grant_takes_a_revoked_key(patch: pytest.MonkeyPatch) -> None:
    def wrong(body: KeyGranted, state: FleetState, context: FoldContext) -> None:
        state.keys[body.key.id] = body.key
        state.revision += 1

    _replace_fold(patch, KeyGranted, wrong)


def _revocation_leaves_the_key(patch: pytest.MonkeyPatch) -> None:
    def wrong(body: KeyRevoked, state: FleetState, context: FoldContext) -> None:
        if body.key_id not in state.revoked:
            state.revoked[body.key_id] = context.offset
            state.revision += 1

    _replace_fold(patch, KeyRevoked, wrong)


def _revision_counts_down(patch: pytest.MonkeyPatch) -> None:
    def wrong(body: KeyRevoked, state: FleetState, context: FoldContext) -> None:
        if body.key_id not in state.revoked:
            state.revoked[body.key_id] = context.offset
            state.keys.pop(body.key_id, None)
            state.revision -= 1

    _replace_fold(patch, KeyRevoked, wrong)


def _snapshot_goes_back(patch: pytest.MonkeyPatch) -> None:
    def wrong(self, state, next_offset):
        with self._lock:
            self._state = state
            self._next_offset = next_offset
            return True

    patch.setattr(Fold, "install", wrong)
    patch.setattr(Bootstrap, "_install_snapshot", _install_any)


def _install_any(self, bounds) -> bool:
    for snapshot in self._store.newest_first():
        return self._fold.install(snapshot.decode(), snapshot.next_offset)
    return False


def _snapshot_names_a_later_offset(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SnapshotWriter, "_write", _write_ahead)


def _write_ahead(self) -> None:
    state, next_offset = self._fold.encode_state()
    self._store.write(state, 1, next_offset + 1, self._clock.unix(), 1 << 18)


def _digest_is_not_checked(patch: pytest.MonkeyPatch) -> None:
    def wrong(group):
        last = next(reversed(group.values()))
        data = b"".join(group[index].data for index in sorted(group))
        return almondstack.log.snapshots.Snapshot(
            last.level, last.next_offset, last.written_unix_s, data
        )

    patch.setattr(almondstack.log.snapshots, "_joined", wrong)


def _early_records_are_folded(patch: pytest.MonkeyPatch) -> None:
    def wrong(self, entries: list[LogEntry]) -> int:
        for entry in entries:
            self._fold._next_offset = max(self._fold._next_offset, entry.offset)
            self._fold.apply(entry.offset, entry.data)
        return len(entries)

    patch.setattr(Follower, "take", wrong)


def _early_records_are_dropped_for_ever(patch: pytest.MonkeyPatch) -> None:
    right = ReorderBuffer.add
    dropped: set[int] = set()

    def wrong(self, entries, next_offset):
        late = {entry.offset for entry in entries if entry.offset > next_offset + 1}
        dropped.update((id(self), offset) for offset in late)
        kept = [entry for entry in entries if (id(self), entry.offset) not in dropped]
        right(self, kept, next_offset)

    patch.setattr(ReorderBuffer, "add", wrong)


def _gap_is_skipped(patch: pytest.MonkeyPatch) -> None:
    def wrong(self) -> None:
        self._fold._next_offset = max(self._client.bounds("fleet").oldest, self._fold.next_offset)

    patch.setattr(Follower, "bootstrap", wrong)


def _gap_is_not_said(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Follower, "_note_gap", lambda self: None)


def _lost_reply_gets_a_new_sequence(patch: pytest.MonkeyPatch) -> None:
    right = RecordWriter._count_failure

    def wrong(self, error) -> None:
        right(self, error)
        for pending in self._pending:
            self._sequence += 1
            pending.sequence = self._sequence
            pending.data = None

    patch.setattr(RecordWriter, "_count_failure", wrong)


def _failed_append_counts_as_done(patch: pytest.MonkeyPatch) -> None:
    def wrong(self) -> bool:
        batch = self._next_batch()
        with suppress(LogError):
            self._client.append(self._stream, batch)
        self._forget(len(batch))
        return True

    patch.setattr(RecordWriter, "append_once", wrong)


def _newest_record_goes_first(patch: pytest.MonkeyPatch) -> None:
    right = RecordWriter._next_batch
    patch.setattr(RecordWriter, "_next_batch", lambda self: right(self)[::-1])


def _pending_has_no_bound(patch: pytest.MonkeyPatch) -> None:
    right = RecordWriter.submit

    def wrong(self, body):
        self._most_pending -= 1
        return right(self, body)

    patch.setattr(RecordWriter, "submit", wrong)


def _replace_fold(patch: pytest.MonkeyPatch, type_: type, wrong: Callable[..., None]) -> None:
    right = fold_body.dispatch(type_)
    fold_body.register(type_, wrong)
    patch.setattr(_Undo, "undo", lambda: fold_body.register(type_, right), raising=False)


class _Undo:
    """Holds what puts the right fold function back."""

    undo = staticmethod(lambda: None)


def undo_folds() -> None:
    """Put the right fold functions back; to be called before the patches are undone."""
    _Undo.undo()


MUTATIONS = (
    Mutation("repeats-are-taken", "a record takes effect once", _repeats_are_taken),
    Mutation("old-records-are-taken", "a record takes effect once", _old_records_are_taken),
    Mutation("authors-forgotten-early", "a record takes effect once", _authors_are_forgotten_early),
    Mutation("pruning-differs", "two readers are equal", _pruning_differs_between_readers),
    Mutation("note-unconditional", "accepted stays in force", _notes_are_unconditional),
    Mutation("note-takes-revoked-key", "revoked never returns", _note_takes_a_revoked_key),
    Mutation("grant-takes-revoked-key", "revoked never returns", _grant_takes_a_revoked_key),
    Mutation("revocation-leaves-key", "revoked never returns", _revocation_leaves_the_key),
    Mutation("revision-counts-down", "revision is monotone", _revision_counts_down),
    Mutation("snapshot-goes-back", "no offset goes back", _snapshot_goes_back),
    Mutation("snapshot-offset-ahead", "two readers are equal", _snapshot_names_a_later_offset),
    Mutation("digest-not-checked", "two readers are equal", _digest_is_not_checked),
    Mutation("early-records-folded", "two readers are equal", _early_records_are_folded),
    Mutation("early-records-lost", "every reader gets on", _early_records_are_dropped_for_ever),
    Mutation("gap-skipped", "two readers are equal", _gap_is_skipped),
    Mutation("gap-not-said", "a gap is said", _gap_is_not_said),
    Mutation("new-sequence-on-retry", "sequences in order", _lost_reply_gets_a_new_sequence),
    Mutation("failure-counts-as-done", "no record is lost", _failed_append_counts_as_done),
    Mutation("newest-record-first", "sequences in order", _newest_record_goes_first),
    Mutation("pending-bound-moves", "the bound holds", _pending_has_no_bound),
)
