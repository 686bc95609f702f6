"""Reports unforeseen errors of threads, so that none ends without a stated outcome."""

import sys
import threading
import traceback
from collections.abc import Callable
from types import TracebackType

__all__ = ["SupervisedThread", "frames_of", "report_error"]

_MAX_FRAMES = 8
"""Innermost frames of a traceback in one event."""


class SupervisedThread(threading.Thread):
    """A daemon thread whose unforeseen error is reported and has a stated outcome.

    Parameters
    ----------
    name : str
        Name of the thread.
    run : callable
        What the thread does.
    on_failure : callable
        Called in the thread after an error has been reported.
    """

    def __init__(self, name: str, run: Callable[[], None], on_failure: Callable[[], None]) -> None:
        super().__init__(name=name, daemon=True)
        self._supervised_run = run
        self._on_failure = on_failure

    def run(self) -> None:
        """Run until the end, or until an error."""
        try:
            self._supervised_run()
        except Exception:
            report_error()
            self._on_failure()


def report_error() -> None:
    """Report the error that is being handled as an uncaught one of this thread.

    Explanation
    -----------
    Goes to ``threading.excepthook``, like the error of a thread that has ended.
    """
    kind, error, trace = sys.exc_info()
    if kind is not None:
        thread = threading.current_thread()
        threading.excepthook(threading.ExceptHookArgs((kind, error, trace, thread)))


def frames_of(trace: TracebackType | None) -> list[str]:
    """Return the innermost frames of a traceback, as file, line and function.

    Examples
    --------
    >>> frames_of(None)
    []
    """
    frames = traceback.extract_tb(trace)[-_MAX_FRAMES:]
    return [f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno} {frame.name}" for frame in frames]
