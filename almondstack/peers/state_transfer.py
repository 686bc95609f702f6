"""Sends the folded state to starting entries, and fetches it from a peer at start."""

import threading
from collections.abc import Callable

from almondstack.core import Clock
from almondstack.fold import Fold
from almondstack.peers.messages import StatePart, StateRequest

__all__ = ["StateTransfer"]

_PART_BYTES = 256 * 1024
_MAX_PARTS = 256


class StateTransfer:
    """Splits the encoded state into parts to send, and assembles received parts.

    Parameters
    ----------
    fold : Fold
        Provides the state to send.
    """

    __slots__ = ("_fold", "_parts", "_parts_changed", "_transfer_key")

    def __init__(self, fold: Fold) -> None:
        self._fold = fold
        self._parts_changed = threading.Condition()
        self._transfer_key: tuple[str, int, int] | None = None
        self._parts: dict[int, bytes] = {}

    def parts(self) -> list[StatePart]:
        """Return the state of this entry in parts; empty if no record was folded."""
        data, next_offset = self._fold.encode_state()
        if not next_offset:
            return []
        pieces = [data[at : at + _PART_BYTES] for at in range(0, len(data), _PART_BYTES)]
        count = len(pieces)
        return [StatePart(next_offset, i, count, piece) for i, piece in enumerate(pieces)]

    def add_part(self, sender: str, part: StatePart) -> None:
        """Store a part of a state that a peer sends.

        Explanation
        -----------
        A part of a state with a higher offset discards the parts received so
        far.  A part with invalid numbers or of another state is ignored.
        """
        if not 0 < part.count <= _MAX_PARTS or not 0 <= part.index < part.count:
            return
        key = (sender, part.next_offset, part.count)
        with self._parts_changed:
            if self._transfer_key is None or part.next_offset > self._transfer_key[1]:
                self._transfer_key, self._parts = key, {}
            if key == self._transfer_key:
                self._parts[part.index] = part.data
                self._parts_changed.notify_all()

    def fetch(
        self, request: Callable[[StateRequest], None], address: str, clock: Clock, timeout_s: float
    ) -> tuple[bytes, int] | None:
        """Request a state and wait until all its parts have arrived.

        Parameters
        ----------
        request : callable
            Sends the request to peers; called again after each quarter of the time-out.
        address : str
            Peer address to which the parts are sent.
        clock : Clock
            Measures the time-out.
        timeout_s : float
            Time-out of the transfer, in seconds.

        Returns
        -------
        tuple of bytes and int, or None
            Encoded state and its next offset; None after a time-out.
        """
        with self._parts_changed:
            self._transfer_key, self._parts = None, {}
        deadline_s = clock.monotonic() + timeout_s
        while clock.monotonic() < deadline_s:
            request(StateRequest(address))
            with self._parts_changed:
                if self._parts_changed.wait_for(self._is_complete, timeout_s / 4):
                    return self._join_parts()
        return None

    def _is_complete(self) -> bool:
        return self._transfer_key is not None and len(self._parts) == self._transfer_key[2]

    def _join_parts(self) -> tuple[bytes, int]:
        assert self._transfer_key is not None
        data = b"".join(self._parts[index] for index in range(self._transfer_key[2]))
        return data, self._transfer_key[1]
