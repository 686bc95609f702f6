"""The fold: the one judge of every record.

Explanation
-----------
All processes fold the records of the fleet stream in offset order with one
deterministic function, as in state machine replication (Schneider 1990).  A
record whose condition no longer holds is refused by every reader alike.
"""

import threading
from typing import Any

import msgspec

from almondstack.core import AlmondError, PartLogger
from almondstack.fold.listeners import FoldDelta, FoldListener
from almondstack.fold.refusals import Verdict
from almondstack.fold.transition import apply_record
from almondstack.fold.verdicts import VerdictMemory
from almondstack.fold.window import RecordWindow
from almondstack.model import FleetState, LogEntry, RecordRegistry, default_registry

__all__ = ["Fold", "FoldGapError", "FoldOutdatedError"]

_WINDOW_READ_RECORDS = 500

_log = PartLogger("fold")


class FoldGapError(AlmondError):
    """A record was offered whose predecessor has not been folded."""

    code = "fold-gap"


class FoldOutdatedError(AlmondError):
    """The format level in force is above what this process can judge."""

    code = "fold-outdated"


class Fold:
    """Folded state of the fleet stream, and the verdict on each record.

    Parameters
    ----------
    state : FleetState, optional
        State to start from, for instance of a snapshot.
    next_offset : int, optional
        Offset of the first record that ``state`` does not contain.
    registry : RecordRegistry, optional
        The kinds of records that this process knows.

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
        self._verdicts = VerdictMemory()
        self._window = RecordWindow()
        self._listeners: list[FoldListener] = []

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

    @property
    def is_outdated(self) -> bool:
        """True if this process cannot judge the format level in force."""
        return self._state.level > self._registry.level

    @property
    def oldest_record(self) -> int:
        """Least offset that :meth:`records_since` can start from."""
        oldest = self._window.oldest
        return self._next_offset if oldest is None else oldest

    def add_listener(self, listener: FoldListener) -> None:
        """Call ``listener`` after each step, in order and under :attr:`lock`.

        Explanation
        -----------
        It must return quickly and must not apply records.
        """
        with self._lock:
            self._listeners.append(listener)

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
        FoldOutdatedError
            The format level in force is too high; nothing more is folded.
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
        """Go forward to a snapshot; False if that would go back.

        Raises
        ------
        FoldOutdatedError
            The format level of ``state`` is too high.
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

    def records_since(self, offset: int, most: int = _WINDOW_READ_RECORDS) -> list[LogEntry]:
        """Return up to ``most`` raw records from ``offset`` on.

        Explanation
        -----------
        Only a bounded run of the newest records is kept; the list is empty if
        ``offset`` is older than :attr:`oldest_record`, and a peer that lags so
        far needs :meth:`encode_state`.
        """
        with self._lock:
            return self._window.since(offset, most)

    def wait_for_offset(self, next_offset: int, timeout_s: float) -> bool:
        """Wait until ``next_offset`` is reached; False after ``timeout_s`` seconds."""
        with self._changed:
            return self._changed.wait_for(lambda: self._next_offset >= next_offset, timeout_s)

    def wait_for_verdict(self, author: str, sequence: int, timeout_s: float) -> Verdict | None:
        """Wait for the verdict on a record; None after ``timeout_s`` seconds."""
        with self._changed:
            self._changed.wait_for(lambda: self._verdicts.find(author, sequence), timeout_s)
            return self._verdicts.find(author, sequence)

    def verdicts(self, subject: str = "") -> list[Verdict]:
        """Return the remembered verdicts, newest last; only those on ``subject`` if given."""
        with self._lock:
            return self._verdicts.on_subject(subject)

    def encode_state(self) -> tuple[bytes, int]:
        """Return the state as MessagePack, and the next offset it stands for."""
        with self._lock:
            return msgspec.msgpack.encode(self._state), self._next_offset

    def _check_level(self, state: FleetState) -> None:
        if state.level > self._registry.level:
            raise FoldOutdatedError(f"level {state.level} is in force")

    def _notify(self, delta: FoldDelta) -> None:
        self._changed.notify_all()
        for listener in self._listeners:
            self._tell(listener, delta)

    @staticmethod
    def _tell(listener: Any, delta: FoldDelta) -> None:
        try:
            listener(delta)
        except Exception as error:
            _log.error("A listener failed with %s.", type(error).__name__)
