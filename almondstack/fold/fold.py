"""State machine replica that applies the fleet stream and keeps the verdicts.

Explanation
-----------
All processes apply the records of the fleet stream in offset order with one
deterministic function, as in state machine replication (Schneider 1990).  A
record whose precondition no longer holds is refused by every replica alike.
"""

import threading
from typing import Any

import msgspec

from almondstack.core import AlmondError, PartLogger
from almondstack.fold.listeners import FoldDelta, FoldListener
from almondstack.fold.refusals import Verdict
from almondstack.fold.transition import apply_record
from almondstack.fold.verdicts import VerdictHistory
from almondstack.fold.window import RecordWindow
from almondstack.model import FleetState, LogEntry, RecordRegistry, default_registry

__all__ = ["Fold", "FoldGapError", "FoldOutdatedError"]

_WINDOW_READ_RECORDS = 500

_log = PartLogger("fold")


class FoldGapError(AlmondError):
    """A record was passed to the fold before its predecessor."""

    code = "fold-gap"


class FoldOutdatedError(AlmondError):
    """The format level in force is above the highest level that this process supports."""

    code = "fold-outdated"


class Fold:
    """Folded state of the fleet stream, and the verdict on each record.

    Parameters
    ----------
    state : FleetState, optional
        Initial state, for instance from a snapshot; empty by default.
    next_offset : int, optional
        Offset of the first record that ``state`` does not include.
    registry : RecordRegistry, optional
        Kinds of records that this process can decode.

    Examples
    --------
    >>> from almondstack.fold import Fold
    >>> from almondstack.model import EntryLeft, encode_record
    >>> verdict = Fold().apply(0, encode_record("me", 1, EntryLeft("nobody")))
    >>> verdict.refusal.value
    'no-such-entry'
    """

    __slots__ = (
        "_changed",
        "_listeners",
        "_lock",
        "_next_offset",
        "_registry",
        "_state",
        "_verdicts",
        "_window",
    )

    def __init__(
        self,
        state: FleetState | None = None,
        next_offset: int = 0,
        registry: RecordRegistry | None = None,
    ) -> None:
        self._state = state if state is not None else FleetState()
        self._next_offset = next_offset
        self._registry = registry if registry is not None else default_registry()
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._verdicts = VerdictHistory()
        self._window = RecordWindow()
        self._listeners: list[FoldListener] = []

    @property
    def state(self) -> FleetState:
        """Folded state; callers must not modify it."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Offset of the next record to fold."""
        return self._next_offset

    @property
    def lock(self) -> threading.RLock:
        """Lock held while a record is applied; hold it to read several tables consistently."""
        return self._lock

    @property
    def is_outdated(self) -> bool:
        """True if this process does not support the format level in force."""
        return self._state.level > self._registry.level

    @property
    def oldest_record(self) -> int:
        """Lowest offset from which :meth:`records_since` returns records."""
        oldest = self._window.oldest
        return self._next_offset if oldest is None else oldest

    def add_listener(self, listener: FoldListener) -> None:
        """Call ``listener`` after each step, in offset order and under :attr:`lock`.

        Explanation
        -----------
        The listener must return quickly and must not apply records.
        """
        with self._lock:
            self._listeners.append(listener)

    def apply(self, offset: int, data: bytes) -> Verdict | None:
        """Apply the record at ``offset``.

        Returns
        -------
        Verdict or None
            None if the offset was applied before.

        Raises
        ------
        FoldGapError
            Records before ``offset`` are missing.
        FoldOutdatedError
            The format level in force is not supported; the record is not applied.
        """
        with self._lock:
            if offset < self._next_offset:
                return None
            if offset > self._next_offset:
                raise FoldGapError(f"expected offset {self._next_offset}, got {offset}")
            self._check_level(self._state)
            transition = apply_record(self._state, self._registry, offset, data)
            verdict = transition.verdict
            self._next_offset = offset + 1
            self._window.add(offset, data)
            self._verdicts.add(verdict)
            self._notify(FoldDelta(self._next_offset, verdict, transition.body))
            return verdict

    def install(self, state: FleetState, next_offset: int) -> bool:
        """Replace the state by that of a snapshot, if the snapshot is newer.

        Returns
        -------
        bool
            False if ``next_offset`` is not above that of the fold; nothing is
            changed then.

        Raises
        ------
        FoldOutdatedError
            The format level of ``state`` is not supported.
        """
        with self._lock:
            if next_offset <= self._next_offset:
                return False
            self._check_level(state)
            self._state = state
            self._next_offset = next_offset
            self._window.clear()
            self._notify(FoldDelta(next_offset))
            return True

    def records_since(self, offset: int, max_records: int = _WINDOW_READ_RECORDS) -> list[LogEntry]:
        """Return up to ``max_records`` raw records from ``offset`` on.

        Explanation
        -----------
        Only a bounded number of the newest records is kept.  The list is empty
        if ``offset`` is older than :attr:`oldest_record`; a peer that lags that
        far needs :meth:`encode_state`.
        """
        with self._lock:
            return self._window.since(offset, max_records)

    def wait_for_offset(self, next_offset: int, timeout_s: float) -> bool:
        """Wait until the fold reaches ``next_offset``; False after ``timeout_s`` seconds."""
        with self._changed:
            return self._changed.wait_for(lambda: self._next_offset >= next_offset, timeout_s)

    def wait_for_verdict(self, author: str, sequence: int, timeout_s: float) -> Verdict | None:
        """Wait for the verdict on a record; None after ``timeout_s`` seconds."""
        with self._changed:
            self._changed.wait_for(lambda: self._verdicts.find(author, sequence), timeout_s)
            return self._verdicts.find(author, sequence)

    def verdicts(self, subject: str = "") -> list[Verdict]:
        """Return the kept verdicts, newest last; only those on ``subject`` if given."""
        with self._lock:
            return self._verdicts.on_subject(subject)

    def encode_state(self) -> tuple[bytes, int]:
        """Return the state as MessagePack, and the offset of the first record it excludes."""
        with self._lock:
            return msgspec.msgpack.encode(self._state), self._next_offset

    def _check_level(self, state: FleetState) -> None:
        if state.level > self._registry.level:
            raise FoldOutdatedError(
                f"format level {state.level} is in force;"
                f" this process supports up to {self._registry.level}"
            )

    def _notify(self, delta: FoldDelta) -> None:
        self._changed.notify_all()
        for listener in self._listeners:
            self._call_listener(listener, delta)

    @staticmethod
    def _call_listener(listener: Any, delta: FoldDelta) -> None:
        try:
            listener(delta)
        except Exception as error:
            _log.error(
                "A fold listener raised %s; the next listener is called.", type(error).__name__
            )
