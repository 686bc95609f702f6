"""Hypothesis state machine over the fold, follower, writer, snapshots and bootstrap.

Only the log service and the clock are replaced by fakes.  The rules cover
concurrent operators, lost replies, repeated and late records, relays out of
order, outages of the log, processes that are cut off or crash and are replaced,
truncation of the log before a snapshot, and corrupted snapshots.
"""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Any
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

import almondstack.fold.pruning
import almondstack.fold.transition
from almondstack.core import encode_msgpack
from almondstack.fold import Fold, Refusal
from almondstack.fold.tests.oracle import TEAM, Oracle, Projection
from almondstack.fold.tests.processes import Process, RecordingLog
from almondstack.log import FLEET, SNAPSHOTS, LogError, SnapshotStore
from almondstack.log.snapshots import SnapshotChunk
from almondstack.model import (
    Configured,
    EntryFenced,
    EntryJoined,
    KeyGranted,
    KeyRevoked,
    ReleaseApplied,
    ReleaseNote,
    Withdrawn,
    encode_record,
)
from almondstack.testing.builders import make_key, make_note, make_team

WINDOW_RECORDS = 8
PRUNE_EVERY_RECORDS = 2
PROCESSES = 3
KEYS = ("k1", "k2", "k3")

# Indexes of ``LogMachine.processes``; a replacement takes the same index.
slots = st.integers(0, PROCESSES - 1)
key_ids = st.sampled_from(KEYS)


@contextmanager
def small_windows() -> Iterator[None]:
    """Make the fold prune after a few records, so that short runs cover the pruning."""
    transition, pruning = almondstack.fold.transition, almondstack.fold.pruning
    with (
        mock.patch.object(transition, "REPEAT_WINDOW_RECORDS", WINDOW_RECORDS),
        mock.patch.object(pruning, "REPEAT_WINDOW_RECORDS", WINDOW_RECORDS),
        mock.patch.object(pruning, "PRUNE_EVERY_RECORDS", PRUNE_EVERY_RECORDS),
    ):
        yield


class LogMachine(RuleBasedStateMachine):
    """State machine of several processes on one log; see the module's docstring."""

    def __init__(self) -> None:
        super().__init__()
        self._window_patches = small_windows()
        self._window_patches.__enter__()
        self.log = RecordingLog()
        self.reference = Fold()
        self.oracle = Oracle(WINDOW_RECORDS)
        self.states: list[bytes] = [self.reference.encode_state()[0]]
        self.processes: list[Process] = []
        self.all_writers: list[Process] = []
        self._incarnation_count = 0

    @initialize()
    def start_processes(self) -> None:
        initial_note = ReleaseApplied(0, make_note(keys=()))
        self.log.append(FLEET, [encode_record("founder", 1, initial_note)])
        for _ in range(PROCESSES):
            self.processes.append(self._new_process())
        self.run_all_processes()

    def teardown(self) -> None:
        try:
            if self.processes:
                self._end_faults_and_catch_up()
                self._check_end()
        finally:
            self._window_patches.__exit__(None, None, None)

    def _new_process(self) -> Process:
        self._incarnation_count += 1
        incarnation = f"e{self._incarnation_count}"
        process = Process(self.log, incarnation, self.processes)
        process.start()
        address = "127.0.0.1:1"
        process.submit(EntryJoined(incarnation, incarnation, "a", "r", address, address))
        self.all_writers.append(process)
        return process

    # Operators.

    @rule(slot=slots, ceiling=st.integers(1, 5), is_sent=st.booleans())
    def plan_ceiling(self, slot: int, ceiling: int, is_sent: bool) -> None:
        note = ReleaseNote(changed=Configured(teams=(make_team(TEAM, ceiling=ceiling),)))
        self._plan(slot, note, is_sent)

    @rule(slot=slots, key_id=key_ids, is_sent=st.booleans())
    def plan_key(self, slot: int, key_id: str, is_sent: bool) -> None:
        self._plan(slot, ReleaseNote(added=Configured(keys=(make_key(key_id),))), is_sent)

    @rule(slot=slots, key_id=key_ids, is_sent=st.booleans())
    def plan_withdrawal(self, slot: int, key_id: str, is_sent: bool) -> None:
        self._plan(slot, ReleaseNote(withdrawn=Withdrawn(keys=(key_id,))), is_sent)

    @rule(slot=slots, key_id=key_ids, is_sent=st.booleans())
    def grant(self, slot: int, key_id: str, is_sent: bool) -> None:
        self._submit(slot, KeyGranted(make_key(key_id)), is_sent)

    @rule(slot=slots, key_id=key_ids, is_sent=st.booleans())
    def revoke(self, slot: int, key_id: str, is_sent: bool) -> None:
        self._submit(slot, KeyRevoked(key_id), is_sent)

    def _plan(self, slot: int, note: ReleaseNote, is_sent: bool) -> None:
        process = self.processes[slot]
        if process.follower.may_decide:
            self._submit(slot, ReleaseApplied(process.fold.state.revision, note), is_sent)

    def _submit(self, slot: int, body: Any, is_sent: bool) -> None:
        process = self.processes[slot]
        process.submit(body)
        if is_sent:
            process.writer.append_once()

    # Progress.

    @rule()
    def run_all_processes(self) -> None:
        for process in self.processes:
            process.follow()
            process.writer.append_once()
        for process in self.processes:
            process.follow()

    @rule(slot=slots)
    def append(self, slot: int) -> None:
        self.processes[slot].writer.append_once()

    @rule(slot=slots)
    def follow(self, slot: int) -> None:
        self.processes[slot].follow()

    @rule(slot=slots)
    def bootstrap_again(self, slot: int) -> None:
        """Bootstrap a process that already has a state, as after a race with relays."""
        self.processes[slot].start()

    @rule(origin=slots, receiver=slots, data=st.data())
    def relay(self, origin: int, receiver: int, data: st.DataObject) -> None:
        fold = self.processes[origin].fold
        entries = fold.records_since(fold.oldest_record)
        chosen = data.draw(st.lists(st.sampled_from(entries), max_size=8)) if entries else []
        self.processes[receiver].follower.fold_entries(chosen)

    @rule(slot=slots, seconds=st.integers(0, 5))
    def snapshot(self, slot: int, seconds: int) -> None:
        process = self.processes[slot]
        process.clock.advance(seconds)
        with suppress(LogError):
            process.snapshots.check()

    # Faults.

    @rule(slot=slots, fault=st.sampled_from(("reply", "log", "link")))
    def inject_fault(self, slot: int, fault: str) -> None:
        if fault == "reply":
            self.log.lost_replies += 1
        elif fault == "log":
            self.log.is_down = True
        else:
            self.processes[slot].client.is_cut_off = True

    @rule()
    def end_outages(self) -> None:
        self.log.is_down = False
        for process in self.processes:
            process.client.is_cut_off = False

    @rule(back=st.integers(1, 2 * WINDOW_RECORDS))
    def duplicate_record(self, back: int) -> None:
        index = max(len(self.log.history) - back, 0)
        self.log.append(FLEET, [self.log.history[index]])

    @rule(slot=slots)
    def replace_process(self, slot: int) -> None:
        crashed = self.processes[slot]
        self.processes[slot] = self._new_process()
        self.processes[(slot + 1) % PROCESSES].submit(EntryFenced(crashed.incarnation, "crashed"))

    @rule(slot=slots, behind=st.integers(0, 3))
    def truncate(self, slot: int, behind: int) -> None:
        """Truncate the log before the newest snapshot, as if its retention had ended."""
        self.snapshot(slot, seconds=30)
        self.snapshot(slot, seconds=30)
        if self.log.is_down:
            return
        newest = SnapshotStore(self.log.client()).newest()
        if newest is not None:
            self.log.truncate(FLEET, newest.next_offset - behind)

    @rule(ahead=st.integers(0, 4))
    def damage_snapshot(self, ahead: int) -> None:
        """Append a snapshot that decodes but does not match its digest."""
        if self.log.is_down:
            return
        newest = SnapshotStore(self.log.client()).newest()
        if newest is None:
            return
        offset = min(newest.next_offset + ahead, len(self.log.history))
        digest = bytes(32)
        chunk = SnapshotChunk(1, offset, digest, 0, 1, 0.0, newest.data)
        self.log.append(SNAPSHOTS, [encode_msgpack(chunk)])

    # Invariants.

    @invariant()
    def all_invariants_hold(self) -> None:
        self.check_reference_matches_oracle()
        self.check_replicas_are_equal()
        self.check_offsets_and_revisions_never_decrease()
        self.check_no_revoked_key_is_in_force()

    def check_reference_matches_oracle(self) -> None:
        for offset in range(self.reference.next_offset, len(self.log.history)):
            data = self.log.history[offset]
            verdict = self.reference.apply(offset, data)
            self.oracle.add(offset, data)
            self.states.append(self.reference.encode_state()[0])
            assert verdict is not None
            is_folded = verdict.refusal not in (Refusal.REPEATED, Refusal.TOO_OLD)
            assert is_folded == self.oracle.folded[offset], ("folded once", verdict)
            assert verdict.is_accepted == self.oracle.accepted[offset], ("accepted", verdict)
            assert (
                Projection.of(self.reference.state) == self.oracle.projections[offset]
            ), "state differs from the model"

    def check_replicas_are_equal(self) -> None:
        for process in self.processes:
            state, offset = process.fold.encode_state()
            assert state == self.states[offset], f"replica differs at offset {offset}"

    def check_offsets_and_revisions_never_decrease(self) -> None:
        for process in self.processes:
            assert process.fold.next_offset >= process.highest_offset, "offset decreased"
            assert process.fold.state.revision >= process.highest_revision, "revision decreased"
            process.highest_offset = process.fold.next_offset
            process.highest_revision = process.fold.state.revision

    def check_no_revoked_key_is_in_force(self) -> None:
        for process in self.processes:
            state = process.fold.state
            offset = process.fold.next_offset
            revoked = self.oracle.projections[offset - 1].revoked if offset else frozenset()
            assert not revoked & set(state.keys), "revoked key is in force"

    # Checks at the end of each run.

    def _end_faults_and_catch_up(self) -> None:
        self.log.lost_replies = 0
        self.end_outages()
        for _ in range(4):
            self.run_all_processes()
        self.all_invariants_hold()

    def _check_end(self) -> None:
        end = len(self.log.history)
        for process in self.processes:
            assert process.fold.next_offset == end, "a replica did not catch up"
            assert not process.follower.has_gap
            assert process.writer.pending_count == 0
        logged = set(self.log.history)
        for process in self.all_writers:
            self._check_writer(process, logged)

    def _check_writer(self, process: Process, logged: set[bytes]) -> None:
        first_seen: list[int] = []
        for data in self.log.history:
            envelope = almondstack.fold.transition.decode_envelope(data)
            if envelope.author == process.incarnation and envelope.sequence not in first_seen:
                first_seen.append(envelope.sequence)
        assert first_seen == list(range(1, len(first_seen) + 1)), "sequence numbers out of order"
        if process in self.processes:
            assert len(first_seen) == len(process.submitted), "a record was lost"
