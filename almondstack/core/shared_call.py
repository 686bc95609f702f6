"""One call under way at a time, shared by all who ask for it."""

import threading
import time
from collections.abc import Callable

from almondstack.core.errors import AlmondError

__all__ = ["CallNotSharedError", "SharedCall"]


class CallNotSharedError(AlmondError):
    """The call of another thread did not end in time."""

    code = "call-not-shared"


class SharedCall:
    """Makes a call that changes nothing for any number of threads.

    Explanation
    -----------
    A thread needs a call that began after it asked.  So those that ask while one
    is under way wait for its end, one of them makes the next call, and all of them
    go by that one: two calls serve any number of threads.

    Parameters
    ----------
    call : callable
        What is called; its error goes to all whom it serves.

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
        """Return once a call has ended that began after this one.

        Raises
        ------
        CallNotSharedError
            Calls of other threads took longer than ``timeout_s``.
        Exception
            What the call raised.
        """
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            needed_count = self._started_count + 1
            while self._is_running and self._ended_count < needed_count:
                if not self._changed.wait(deadline_s - time.monotonic()):
                    raise CallNotSharedError(f"after {timeout_s:.2f} s")
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
