"""Hands the folded state to newcomers, and fetches it as one."""

import threading
from collections.abc import Callable

from almondstack.core import Clock
from almondstack.fold import Fold
from almondstack.peers.messages import StateAsk, StatePart

__all__ = ["StateTransfer"]

_PART_BYTES = 256 * 1024
_MOST_PARTS = 256


class StateTransfer:
    """Parts of an encoded state, coming and going.

    Parameters
    ----------
    fold : Fold
        Whose state is handed over.
    """

    __slots__ = ("_changed", "_fold", "_key", "_parts")

    def __init__(self, fold: Fold) -> None:
        self._fold = fold
        self._changed = threading.Condition()
        self._key: tuple[str, int, int] | None = None
        self._parts: dict[int, bytes] = {}

    def parts(self) -> list[StatePart]:
        """Return the own state in parts; nothing if none was folded."""
        data, next_offset = self._fold.encode_state()
        if not next_offset:
            return []
        pieces = [data[at : at + _PART_BYTES] for at in range(0, len(data), _PART_BYTES)]
        count = len(pieces)
        return [StatePart(next_offset, i, count, piece) for i, piece in enumerate(pieces)]

    def take(self, sender: str, part: StatePart) -> None:
        """Take a part; a state that is further on replaces one that is not whole."""
        if not 0 < part.count <= _MOST_PARTS or not 0 <= part.index < part.count:
            return
        key = (sender, part.next_offset, part.count)
        with self._changed:
            if self._key is None or part.next_offset > self._key[1]:
                self._key, self._parts = key, {}
            if key == self._key:
                self._parts[part.index] = part.data
                self._changed.notify_all()

    def fetch(
        self, ask: Callable[[StateAsk], None], address: str, clock: Clock, timeout_s: float
    ) -> tuple[bytes, int] | None:
        """Ask for a state and wait for it; None after ``timeout_s`` seconds."""
        with self._changed:
            self._key, self._parts = None, {}
        deadline_s = clock.monotonic() + timeout_s
        while clock.monotonic() < deadline_s:
            ask(StateAsk(address))
            with self._changed:
                if self._changed.wait_for(self._is_whole, timeout_s / 4):
                    return self._joined()
        return None

    def _is_whole(self) -> bool:
        return self._key is not None and len(self._parts) == self._key[2]

    def _joined(self) -> tuple[bytes, int]:
        assert self._key is not None
        data = b"".join(self._parts[index] for index in range(self._key[2]))
        return data, self._key[1]
