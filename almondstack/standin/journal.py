"""What a stand-in saw, event by event, for the judge.

Explanation
-----------
Each event is one line of JSON that is written before the stand-in goes on, so
that a stand-in that is killed leaves the truth behind.  Times are seconds on
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
    """The head of a request for work arrived.

    Parameters
    ----------
    run : int
        Number of the run, unique in its journal.
    work_id, team, key_id : str
        As the caller named them in ``Standin-*`` headers.
    is_idempotent : bool
        As the caller marked the work in ``Standin-Idempotent``.
    at_s : float
        Monotonic seconds.
    """

    run: int
    work_id: str
    team: str
    key_id: str
    is_idempotent: bool
    at_s: float


class RunEnded(msgspec.Struct, frozen=True, tag=True):
    """A run ended; written before the answer is sent."""

    run: int
    at_s: float


class ConnectionOpened(msgspec.Struct, frozen=True, tag=True):
    """A connection was accepted."""

    at_s: float


class ConnectionClosed(msgspec.Struct, frozen=True, tag=True):
    """A connection ended."""

    at_s: float


class ProcessEnded(msgspec.Struct, frozen=True, tag=True):
    """The bench killed the stand-in; whatever ran there ended."""

    at_s: float


Event = RunStarted | RunEnded | ConnectionOpened | ConnectionClosed | ProcessEnded

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Event)


class Journal:
    """Keeps events in memory, and in a file if one is named.

    Parameters
    ----------
    path : pathlib.Path, optional
        The file; events are appended.
    """

    __slots__ = ("_events", "_file", "_lock")

    def __init__(self, path: Path | None = None) -> None:
        self._events: list[Event] = []
        self._lock = threading.Lock()
        self._file = path.open("ab", buffering=0) if path is not None else None

    def add(self, event: Event) -> None:
        """Write one event."""
        with self._lock:
            self._events.append(event)
            if self._file is not None:
                os.write(self._file.fileno(), _encoder.encode(event) + b"\n")

    def events(self) -> list[Event]:
        """Return a copy of the events of this process."""
        with self._lock:
            return list(self._events)


def read_journal(path: Path) -> list[Event]:
    """Return the events of a file; a line that was cut off by a kill is left out."""
    lines = path.read_bytes().split(b"\n")
    return [_decoder.decode(line) for line in lines[:-1]]


def record_process_end(path: Path) -> None:
    """Write into a killed stand-in's journal that it ended now."""
    with path.open("ab", buffering=0) as file:
        os.write(file.fileno(), _encoder.encode(ProcessEnded(time.monotonic())) + b"\n")
