"""Record of what was sent, answered and run in one play of a script."""

import threading
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Lines with the seconds since the start of the play, kept in memory and written at the end.

    Parameters
    ----------
    path : pathlib.Path
        File that :meth:`write` creates.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start of the play."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **fields: object) -> float:
        """Add one line and return its time in seconds since the start of the play."""
        now_s = self.now_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._lines.append(f"{now_s:8.3f} {event} {text}".rstrip())
        return now_s

    def write(self) -> None:
        """Write all lines to the file."""
        with self._lock:
            self._path.write_text("\n".join(self._lines) + "\n")
