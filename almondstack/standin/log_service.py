"""Stand-in for the platform's append-only log service.

Explanation
-----------
Each stream keeps a limited number of records.  ``POST /control/faults`` replaces
the injected faults (:class:`LogFaults`).
"""

import threading
import time
from typing import Any

import msgspec

from almondstack.core import decode_msgpack, encode_msgpack
from almondstack.standin.web import Reply, StandinApp, drop_connection, read_body

__all__ = ["LogFaults", "LogServiceStandin"]


class LogFaults(msgspec.Struct):
    """Injected faults of the log stand-in.

    Parameters
    ----------
    is_down : bool
        Answer every call with 503, long polls at once.
    delay_s : float
        Delay before a call is processed, in seconds.
    drop_replies : int
        Number of following appends that are stored but whose connection is closed
        without a response.
    cut_readers : list of str
        Readers whose calls get 503, by their full name or by the part before the
        incarnation (``e1`` for ``e1~0123456789ab``).
    appends_per_s : int
        Maximum number of appends per second, beyond which they get 429; 0 means no limit.
    kept : int
        Records kept in each stream; 0 means the number passed to
        :class:`LogServiceStandin`.
    """

    is_down: bool = False
    delay_s: float = 0.0
    drop_replies: int = 0
    cut_readers: list[str] = msgspec.field(default_factory=list)
    appends_per_s: int = 0
    kept: int = 0

    def is_refused(self, reader: str) -> bool:
        """Return whether calls of ``reader`` are refused now."""
        name = reader.partition("~")[0]
        return self.is_down or reader in self.cut_readers or name in self.cut_readers


class _Stream:
    """Records of one stream, the oldest of which can be truncated."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.oldest = 0

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.oldest + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        first = self.next_offset
        self.records.extend(records)
        return first

    def truncate(self, kept: int) -> None:
        """Drop all except the newest ``kept`` records."""
        surplus = len(self.records) - kept
        if surplus > 0:
            del self.records[:surplus]
            self.oldest += surplus


class _AppendRate:
    """Counts the appends of the current second."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def is_over(self, bound: int) -> bool:
        """Count one append and return whether it exceeds ``bound`` in its second; 0 is no bound."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return 0 < bound < self._count


class LogServiceStandin(StandinApp):
    """Serves streams, kept in memory, over HTTP.

    Parameters
    ----------
    kept : int
        Records kept in each stream.
    """

    def __init__(self, kept: int = 1_000_000) -> None:
        self._kept = kept
        self._streams: dict[str, _Stream] = {}
        self._faults = LogFaults()
        self._changed = threading.Condition()
        self._rate = _AppendRate()
        self._append_count = 0
        self._append_bytes = 0
        self._read_bytes = 0
        self._request_count = 0

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        parts = path.strip("/").split("/")
        if parts[0] == "control":
            return self._control(parts[-1], environ)
        if parts[:2] != ["v1", "streams"] or len(parts) != 4:
            return Reply(404)
        reader = environ.get("HTTP_ALMONDSTACK_READER", "")
        body = read_body(environ)
        time.sleep(self._faults.delay_s)
        with self._changed:
            self._request_count += 1
            if self._faults.is_refused(reader):
                return Reply(503)
            return self._serve_stream(method, parts[2], parts[3], query, body, reader)

    def _serve_stream(
        self, method: str, name: str, resource: str, query: dict[str, str], body: bytes, reader: str
    ) -> Reply:
        stream = self._streams.setdefault(name, _Stream())
        if resource == "bounds":
            return Reply(200, encode_msgpack([stream.oldest, stream.next_offset]))
        if method == "POST":
            return self._append(stream, body)
        return self._read(stream, int(query["from"]), int(query.get("wait_ms", "0")) / 1000, reader)

    def _append(self, stream: _Stream, body: bytes) -> Reply:
        if self._rate.is_over(self._faults.appends_per_s):
            return Reply(429)
        first = stream.append(decode_msgpack(body, list[bytes]))
        stream.truncate(self._faults.kept or self._kept)
        self._append_count += 1
        self._append_bytes += len(body)
        self._changed.notify_all()
        if self._faults.drop_replies > 0:
            self._faults.drop_replies -= 1
            drop_connection()
        return Reply(200, encode_msgpack(first))

    def _read(self, stream: _Stream, offset: int, wait_s: float, reader: str) -> Reply:
        self._changed.wait_for(
            lambda: stream.next_offset > offset or self._faults.is_refused(reader), wait_s
        )
        if self._faults.is_refused(reader):
            return Reply(503)
        if offset < stream.oldest:
            return Reply(410)
        start = offset - stream.oldest
        records = stream.records[start : start + 1000]
        data = encode_msgpack([[offset + i, record] for i, record in enumerate(records)])
        self._read_bytes += len(data)
        return Reply(200, data)

    def _control(self, resource: str, environ: Any) -> Reply:
        body = read_body(environ)
        with self._changed:
            if resource == "faults":
                self._set_faults(msgspec.json.decode(body, type=LogFaults))
            lengths = {name: stream.next_offset for name, stream in self._streams.items()}
            counts = {
                "appends": self._append_count,
                "append_bytes": self._append_bytes,
                "read_bytes": self._read_bytes,
                "requests": self._request_count,
            }
        return Reply.of_json({**counts, "next_offsets": lengths})

    def _set_faults(self, faults: LogFaults) -> None:
        self._faults = faults
        for stream in self._streams.values():
            stream.truncate(faults.kept or self._kept)
        self._changed.notify_all()
