"""Coalesces concurrent calls of one function, such as a read of a store."""

import threading
import time
from collections.abc import Callable

from almondstack.core.errors import AlmondError

__all__ = ["CallNotSharedError", "SharedCall"]


class CallNotSharedError(AlmondError):
    """The calls of other threads did not end in time."""

    code = "call-not-shared"


class SharedCall:
    """Runs a call without side effects once for any number of concurrent threads.

    Explanation
    -----------
    A thread needs the result of a call that started after its own request.  Threads
    that request a call while one is running wait for its end; then one of them makes
    the next call, and all of them use its result.  So two calls serve any number of
    threads.

    Parameters
    ----------
    call : callable
        The function to call; its exception is raised in all threads that it serves.

    Examples
    --------
    >>> calls = []
    >>> shared = SharedCall(lambda: calls.append(1))
    >>> shared.run(timeout_s=1.0)
    >>> len(calls)
    1
    """

    __slots__ = ("_call", "_changed", "_ended_count", "_error", "_is_running", "_started_count")

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._changed = threading.Condition()
        self._is_running = False
        self._started_count = 0
        self._ended_count = 0
        self._error: Exception | None = None

    def run(self, timeout_s: float) -> None:
        """Return once a call that started after this request has ended.

        Raises
        ------
        CallNotSharedError
            Calls of other threads took longer than ``timeout_s``.
        Exception
            The exception that the call raised.
        """
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            needed_count = self._started_count + 1
            while self._is_running and self._ended_count < needed_count:
                if not self._changed.wait(deadline_s - time.monotonic()):
                    raise CallNotSharedError(
                        f"calls of other threads took longer than {timeout_s:.2f} s"
                    )
            if self._ended_count >= needed_count:
                self._raise_error()
                return
            self._is_running = True
            self._started_count += 1
        self._make_call()

    def _make_call(self) -> None:
        error: Exception | None = None
        try:
            self._call()
        except Exception as caught:
            error = caught
            raise
        finally:
            with self._changed:
                self._error = error
                self._ended_count = self._started_count
                self._is_running = False
                self._changed.notify_all()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error
