"""A background thread that repeats an action at a fixed interval."""

import threading
from collections.abc import Callable

from almondstack.core import PartLogger

__all__ = ["PeriodicThread"]

_STOP_TIMEOUT_S = 2.0
_log = PartLogger("dispatch")


class PeriodicThread:
    """Repeats an action until it is stopped; a failed run is logged and repeated.

    Parameters
    ----------
    name : str
        Name of the thread.
    interval_s : float
        Pause between two runs, in seconds.
    action : callable
        Action to repeat.
    """

    __slots__ = ("_action", "_interval_s", "_name", "_stopping", "_thread")

    def __init__(self, name: str, interval_s: float, action: Callable[[], None]) -> None:
        self._name = name
        self._interval_s = interval_s
        self._action = action
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; wait a limited time for a run in progress."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(_STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            try:
                self._action()
            except Exception as error:
                _log.error("%s failed: %r; it runs again after its interval", self._name, error)
