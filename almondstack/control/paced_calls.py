"""A thread pool that makes calls at a limited rate."""

import queue
import threading
import time
from collections.abc import Callable

from almondstack.core.supervision import report_error

__all__ = ["PacedCalls"]


class PacedCalls:
    """Makes queued calls in order, several at a time, at a limited rate.

    Explanation
    -----------
    Call starts are spaced evenly, so that a service which limits the number of calls
    per second accepts them in every window of a second.

    Parameters
    ----------
    name : str
        Name of the threads.
    threads : int
        Maximum number of concurrent calls.
    per_s : float
        Maximum number of calls started per second.
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
        """Queue a call."""
        self._calls.put(call)

    def close(self) -> None:
        """End the threads after the calls queued so far."""
        for _ in self._threads:
            self._calls.put(None)

    def run_next(self) -> bool:
        """Wait for the next call and make it in this thread; return False once closed."""
        call = self._calls.get()
        if call is None:
            return False
        time.sleep(self.reserve_s(time.monotonic()))
        call()
        return True

    def reserve_s(self, now_s: float) -> float:
        """Reserve the next start time, and return how many seconds remain until then.

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
        is_open = True
        while is_open:
            try:
                is_open = self.run_next()
            except Exception:
                # One call's error must not take a thread from the others.
                report_error()
