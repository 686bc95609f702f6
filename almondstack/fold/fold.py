"""The fold: the one judge of every record.

Explanation
-----------
All processes fold the records of the fleet stream in offset order with one
deterministic function, as in state machine replication (Schneider 1990).  A
record whose condition no longer holds is refused by every reader alike.
"""

import threading
from collections import deque

import msgspec

from almondstack.core import AlmondError, CodecError
from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.refusals import Refusal, RefusedError, Verdict
from almondstack.model import FleetState, decode_body, decode_envelope

__all__ = ["Fold", "FoldGapError"]

_VERDICTS_KEPT = 20_000


class FoldGapError(AlmondError):
    """A record was offered whose predecessor has not been folded."""

    code = "fold-gap"


class Fold:
    """Folded state of the fleet stream, and the verdict on each record.

    Parameters
    ----------
    state : FleetState, optional
        State to start from, for instance of a snapshot.
    next_offset : int, optional
        Offset of the first record that ``state`` does not contain.

    Examples
    --------
    >>> from almondstack.fold import Fold
    >>> from almondstack.model import EntryLeft, encode_record
    >>> verdict = Fold().apply(0, encode_record("me", 1, EntryLeft("nobody")))
    >>> verdict.refusal.value
    'no-such-entry'
    """

    __slots__ = ("_changed", "_lock", "_next_offset", "_state", "_verdicts", "_verdicts_by_record")

    def __init__(self, state: FleetState | None = None, next_offset: int = 0) -> None:
        self._state = state if state is not None else FleetState()
        self._next_offset = next_offset
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._verdicts: deque[Verdict] = deque(maxlen=_VERDICTS_KEPT)
        self._verdicts_by_record: dict[tuple[str, int], Verdict] = {}

    @property
    def state(self) -> FleetState:
        """The folded state; to be read only."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Offset of the next record to fold."""
        return self._next_offset

    @property
    def lock(self) -> threading.RLock:
        """Held while a record is applied; hold it to read several tables together."""
        return self._lock

    def apply(self, offset: int, data: bytes) -> Verdict | None:
        """Fold the record at ``offset``.

        Returns
        -------
        Verdict or None
            None if the offset was folded before.

        Raises
        ------
        FoldGapError
            Records before ``offset`` are missing.
        """
        with self._lock:
            if offset < self._next_offset:
                return None
            if offset > self._next_offset:
                raise FoldGapError(f"expected offset {self._next_offset}, got {offset}")
            verdict = self._judge(offset, data)
            self._next_offset = offset + 1
            self._remember(verdict)
            self._changed.notify_all()
            return verdict

    def install(self, state: FleetState, next_offset: int) -> bool:
        """Go forward to a snapshot; False if that would go back."""
        with self._lock:
            if next_offset <= self._next_offset:
                return False
            self._state = state
            self._next_offset = next_offset
            self._changed.notify_all()
            return True

    def wait_for_offset(self, next_offset: int, timeout_s: float) -> bool:
        """Wait until ``next_offset`` is reached; False after ``timeout_s`` seconds."""
        with self._changed:
            return self._changed.wait_for(lambda: self._next_offset >= next_offset, timeout_s)

    def wait_for_verdict(self, author: str, sequence: int, timeout_s: float) -> Verdict | None:
        """Wait for the verdict on a record; None after ``timeout_s`` seconds."""
        record = (author, sequence)
        with self._changed:
            self._changed.wait_for(lambda: record in self._verdicts_by_record, timeout_s)
            return self._verdicts_by_record.get(record)

    def verdicts(self, subject: str = "") -> list[Verdict]:
        """Return the remembered verdicts, newest last; only those on ``subject`` if given."""
        with self._lock:
            return [item for item in self._verdicts if not subject or item.subject == subject]

    def encode_state(self) -> tuple[bytes, int]:
        """Return the state as MessagePack, and the next offset it stands for."""
        with self._lock:
            return msgspec.msgpack.encode(self._state), self._next_offset

    def _remember(self, verdict: Verdict) -> None:
        if len(self._verdicts) == _VERDICTS_KEPT:
            oldest = self._verdicts[0]
            self._verdicts_by_record.pop((oldest.author, oldest.sequence), None)
        self._verdicts.append(verdict)
        if verdict.refusal is not Refusal.REPEATED:
            self._verdicts_by_record[(verdict.author, verdict.sequence)] = verdict

    def _judge(self, offset: int, data: bytes) -> Verdict:
        try:
            envelope = decode_envelope(data)
        except CodecError as error:
            return Verdict(offset, "", 0, "", Refusal.MALFORMED, error.detail)
        author, sequence, kind = envelope.author, envelope.sequence, envelope.kind
        if sequence <= self._state.sequences.get(author, 0):
            return Verdict(offset, author, sequence, kind, Refusal.REPEATED)
        self._state.sequences[author] = sequence
        subject = ""
        try:
            if envelope.level > self._state.level:
                raise RefusedError(Refusal.LEVEL_TOO_HIGH)
            body = decode_body(envelope)
            if body is None:
                raise RefusedError(Refusal.UNKNOWN_KIND, kind)
            subject = subject_of(body)
            fold_body(body, self._state, FoldContext(offset, envelope))
        except RefusedError as error:
            return Verdict(offset, author, sequence, kind, error.refusal, error.detail, subject)
        except CodecError as error:
            return Verdict(offset, author, sequence, kind, Refusal.MALFORMED, error.detail)
        return Verdict(offset, author, sequence, kind, subject=subject)
