"""Event journal of a stand-in, which the bench compares with what callers observed.

Explanation
-----------
Each event is one line of JSON.  It is written before the stand-in continues, so
that the journal is complete even if the stand-in is killed.  Times are seconds on
the machine's monotonic clock, which all processes of one machine share.
"""

import os
import threading
import time
from pathlib import Path

import msgspec

__all__ = [
    "ConnectionClosed",
    "ConnectionOpened",
    "Event",
    "Journal",
    "ProcessEnded",
    "RunEnded",
    "RunStarted",
    "record_process_end",
    "read_journal",
]


class RunStarted(msgspec.Struct, frozen=True, tag=True):
    """The header of a request for work was received.

    Parameters
    ----------
    run : int
        Number of the run, unique in its journal.
    work_id, team, key_id : str
        Values of the caller's ``Standin-*`` headers.
    is_idempotent : bool
        Whether the header ``Standin-Idempotent`` was ``yes``.
    at_s : float
        Monotonic time in seconds.
    """

    run: int
    work_id: str
    team: str
    key_id: str
    is_idempotent: bool
    at_s: float


class RunEnded(msgspec.Struct, frozen=True, tag=True):
    """A run ended; written before the response is sent."""

    run: int
    at_s: float


class ConnectionOpened(msgspec.Struct, frozen=True, tag=True):
    """A connection was accepted."""

    at_s: float


class ConnectionClosed(msgspec.Struct, frozen=True, tag=True):
    """A connection was closed."""

    at_s: float


class ProcessEnded(msgspec.Struct, frozen=True, tag=True):
    """The bench killed the stand-in, which ended all of its runs."""

    at_s: float


Event = RunStarted | RunEnded | ConnectionOpened | ConnectionClosed | ProcessEnded

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Event)


class Journal:
    """Records events in memory and, if a path is given, in a file.

    Parameters
    ----------
    path : pathlib.Path, optional
        File to which events are appended.
    """

    __slots__ = ("_events", "_file", "_lock")

    def __init__(self, path: Path | None = None) -> None:
        self._events: list[Event] = []
        self._lock = threading.Lock()
        self._file = path.open("ab", buffering=0) if path is not None else None

    def add(self, event: Event) -> None:
        """Record one event."""
        with self._lock:
            self._events.append(event)
            if self._file is not None:
                os.write(self._file.fileno(), _encoder.encode(event) + b"\n")

    def events(self) -> list[Event]:
        """Return a copy of the events recorded by this process."""
        with self._lock:
            return list(self._events)


def read_journal(path: Path) -> list[Event]:
    """Return the events of a journal file, without a last line that a kill left incomplete."""
    lines = path.read_bytes().split(b"\n")
    return [_decoder.decode(line) for line in lines[:-1]]


def record_process_end(path: Path) -> None:
    """Append to a killed stand-in's journal that its process has now ended."""
    with path.open("ab", buffering=0) as file:
        os.write(file.fileno(), _encoder.encode(ProcessEnded(time.monotonic())) + b"\n")
