"""Stand-in for the platform's append-only log service.

Explanation
-----------
Streams keep a limited number of records.  ``POST /control/faults`` sets the
switches of :class:`LogFaults`.
"""

import threading
import time
from typing import Any

import msgspec

from almondstack.core import decode_msgpack, encode_msgpack
from almondstack.standin.web import Reply, StandinApp, read_body

__all__ = ["LogFaults", "LogServiceStandin"]


class LogFaults(msgspec.Struct):
    """Switches of the log stand-in.

    Parameters
    ----------
    is_down : bool
        Refuse every call.
    delay_s : float
        Wait before acting, in seconds.
    drop_replies : int
        Act on this many appends and break off instead of answering.
    cut_readers : list of str
        Names of readers that get no answer.
    """

    is_down: bool = False
    delay_s: float = 0.0
    drop_replies: int = 0
    cut_readers: list[str] = msgspec.field(default_factory=list)


class _Stream:
    """Records of one stream, of which the oldest are dropped."""

    def __init__(self, kept: int) -> None:
        self.records: list[bytes] = []
        self.oldest = 0
        self._kept = kept

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.oldest + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Add records; return the offset of the first."""
        first = self.next_offset
        self.records.extend(records)
        surplus = len(self.records) - self._kept
        if surplus > 0:
            del self.records[:surplus]
            self.oldest += surplus
        return first


class LogServiceStandin(StandinApp):
    """Keeps streams in memory and serves them over HTTP.

    Parameters
    ----------
    kept : int
        Records kept in each stream.
    """

    def __init__(self, kept: int = 1_000_000) -> None:
        self._kept = kept
        self._streams: dict[str, _Stream] = {}
        self._faults = LogFaults()
        self._grown = threading.Condition()
        self._append_count = 0

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the answer to one request."""
        parts = path.strip("/").split("/")
        if parts[0] == "control":
            return self._control(parts[-1], environ)
        if parts[:2] != ["v1", "streams"] or len(parts) != 4:
            return Reply(404)
        reader = environ.get("HTTP_ALMONDSTACK_READER", "")
        time.sleep(self._faults.delay_s)
        if self._faults.is_down or reader in self._faults.cut_readers:
            return Reply(503)
        return self._serve_stream(method, parts[2], parts[3], query, environ)

    def _serve_stream(
        self, method: str, name: str, what: str, query: dict[str, str], environ: Any
    ) -> Reply:
        if what == "bounds":
            with self._grown:
                stream = self._stream(name)
                return Reply(200, encode_msgpack([stream.oldest, stream.next_offset]))
        if method == "POST":
            return self._append(name, environ)
        return self._read(name, int(query["from"]), int(query.get("wait_ms", "0")) / 1000)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream(self._kept))

    def _append(self, name: str, environ: Any) -> Reply:
        records = decode_msgpack(read_body(environ), list[bytes])
        with self._grown:
            first = self._stream(name).append(records)
            self._append_count += 1
            self._grown.notify_all()
            is_lost = self._faults.drop_replies > 0
            self._faults.drop_replies -= is_lost
        if is_lost:
            raise ConnectionAbortedError("reply dropped on purpose")
        return Reply(200, encode_msgpack(first))

    def _read(self, name: str, offset: int, wait_s: float) -> Reply:
        with self._grown:
            stream = self._stream(name)
            if offset < stream.oldest:
                return Reply(410)
            self._grown.wait_for(lambda: stream.next_offset > offset, wait_s)
            if self._faults.is_down:
                return Reply(503)
            start = max(offset - stream.oldest, 0)
            records = stream.records[start : start + 1000]
        return Reply(200, encode_msgpack([[offset + i, data] for i, data in enumerate(records)]))

    def _control(self, what: str, environ: Any) -> Reply:
        if what == "faults":
            self._faults = msgspec.convert(_json(environ), LogFaults)
        with self._grown:
            lengths = {name: stream.next_offset for name, stream in self._streams.items()}
        return Reply.of_json({"appends": self._append_count, "next_offsets": lengths})


def _json(environ: Any) -> Any:
    return msgspec.json.decode(read_body(environ) or b"{}")
