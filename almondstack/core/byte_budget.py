"""Upper bound of the bytes that all unfinished requests of a process hold together."""

import threading

__all__ = ["ByteBudget"]


class ByteBudget:
    """Counts bytes that are held, up to a limit.

    Parameters
    ----------
    limit_bytes : int
        Upper bound of the bytes held at one time.

    Examples
    --------
    >>> budget = ByteBudget(10)
    >>> budget.reserve(8), budget.reserve(3)
    (True, False)
    >>> budget.release(8)
    >>> budget.held_bytes
    0
    """

    __slots__ = ("_held_bytes", "_limit_bytes", "_lock")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Bytes held at present."""
        return self._held_bytes

    def reserve(self, size: int) -> bool:
        """Count ``size`` more bytes as held; return False, and count none, beyond the limit."""
        with self._lock:
            if self._held_bytes + size > self._limit_bytes:
                return False
            self._held_bytes += size
            return True

    def release(self, size: int) -> None:
        """Count ``size`` bytes as held no longer."""
        with self._lock:
            self._held_bytes -= size
