"""Calls that a few threads make side by side, at a bounded rate."""

import queue
import threading
import time
from collections.abc import Callable

__all__ = ["PacedCalls"]


class PacedCalls:
    """Carries out calls in the order in which they come, several at a time.

    Explanation
    -----------
    The rate is kept by spacing the starts evenly, so that a service which counts
    calls within a second never sees more than it takes.

    Parameters
    ----------
    name : str
        Names the threads.
    threads : int
        Calls under way at one time.
    per_s : float
        Most calls that are begun in a second.
    """

    __slots__ = ("_calls", "_gap_s", "_lock", "_next_s", "_threads")

    def __init__(self, name: str, threads: int, per_s: float) -> None:
        self._gap_s = 1.0 / per_s
        self._next_s = 0.0
        self._lock = threading.Lock()
        self._calls: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._threads = [
            threading.Thread(target=self._run, name=name, daemon=True) for _ in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def put(self, call: Callable[[], None]) -> None:
        """Have a call made when its turn comes."""
        self._calls.put(call)

    def close(self) -> None:
        """End the threads after the calls that were put before."""
        for _ in self._threads:
            self._calls.put(None)

    def run_next(self) -> bool:
        """Wait for the next call and make it here; return whether more may follow."""
        call = self._calls.get()
        if call is None:
            return False
        time.sleep(self.reserve_s(time.monotonic()))
        call()
        return True

    def reserve_s(self, now_s: float) -> float:
        """Take the next start, and return how many seconds it is away.

        Examples
        --------
        >>> calls = PacedCalls("x", threads=1, per_s=10.0)
        >>> calls.reserve_s(5.0), calls.reserve_s(5.0), calls.reserve_s(7.0)
        (0.0, 0.1, 0.0)
        """
        with self._lock:
            start_s = max(now_s, self._next_s)
            self._next_s = start_s + self._gap_s
            return round(start_s - now_s, 6)

    def _run(self) -> None:
        while self.run_next():
            continue
