"""The platform's metadata store as a log of keyed records."""

import base64
import binascii
import time
from urllib.parse import quote

import msgspec

from almondstack.core.http_client import HttpCaller, HttpReply, NoAnswerError, NotSentError
from almondstack.ownership import (
    Batch,
    FencedError,
    HistoryLostError,
    LogMovedError,
    ReadBackoff,
    Record,
    Snapshot,
    StoreError,
    StoreLatency,
    StoreRefusedError,
    StoreUnclearError,
)
from almondstack.platform.wire import AppendReplyWire, NewestWire

__all__ = ["KeyedTopic", "StoreConnection"]

_OK = 200
_GONE = 410
_NOT_FOUND = 404
_CONFLICT = 409
_CONDITION_FAILED = 412
_NOTHING_DONE = frozenset({400, 403, 404, 413, 429, 503, 507})
"""Statuses that say that nothing was stored."""

_TOO_MANY = 429
_BUSY = frozenset({_TOO_MANY, 503})
"""Statuses of a store that takes no more for now."""

_PRODUCER = "owner"
_OFFSET_BYTES = 8
_HEAD_BYTES = 2 * _OFFSET_BYTES
"""A read begins with the end of the log and with the first offset that is kept."""

_LENGTH_BYTES = 4
_READ_TIMEOUT_S = 0.8
_SNAPSHOT_TIMEOUT_S = 2.0
_CLAIM_TIMEOUT_S = 1.2

_appended = msgspec.json.Decoder(AppendReplyWire)
_newest = msgspec.json.Decoder(NewestWire)


class StoreConnection:
    """The address of the store, which a reload of the settings may change.

    Parameters
    ----------
    address : str
        Numeric address.

    Attributes
    ----------
    latency : StoreLatency
        How fast it has answered lately.
    read_backoff : ReadBackoff
        How far apart reads should be.
    """

    __slots__ = ("_caller", "latency", "read_backoff")

    _CONNECTIONS = 8

    def __init__(self, address: str) -> None:
        self._caller = HttpCaller(address, self._CONNECTIONS)
        self.latency = StoreLatency()
        self.read_backoff = ReadBackoff()

    @property
    def address(self) -> str:
        """The address that is called."""
        return self._caller.address

    def close(self) -> None:
        """Close all connections."""
        self._caller.close()

    def use_address(self, address: str) -> None:
        """Call another address from now on."""
        self._caller.use_address(address)

    def read(self, path: str, timeout_s: float, wait_s: float = 0.0) -> HttpReply:
        """Make a call that changes nothing, and that is answered after ``wait_s`` at the latest.

        Raises
        ------
        StoreRefusedError
            The store did not answer with success, nor that records are gone.
        """
        began_s = time.monotonic()
        try:
            reply = self._caller.call("GET", path, timeout_s)
        except (NotSentError, NoAnswerError) as error:
            raise StoreRefusedError(str(error)) from error
        self.latency.note_read(time.monotonic() - began_s, wait_s)
        if reply.status == _TOO_MANY:
            self.read_backoff.note_refused()
        if reply.status not in (_OK, _GONE, _NOT_FOUND):
            raise StoreRefusedError(f"status {reply.status}")
        self.read_backoff.note_answered()
        return reply

    def write(self, path: str, body: bytes, timeout_s: float) -> HttpReply:
        """Make a call that may change something.

        Raises
        ------
        StoreRefusedError
            Nothing was done.
        StoreUnclearError
            It may have been done, or may be within seconds.
        """
        began_s = time.monotonic()
        try:
            reply = self._caller.call("POST", path, timeout_s, body)
        except NotSentError as error:
            raise StoreRefusedError(str(error)) from error
        except NoAnswerError as error:
            self.latency.note_unanswered(time.monotonic() - began_s)
            raise StoreUnclearError(str(error)) from error
        if reply.status in _BUSY:
            self.latency.note_refused()
        else:
            self.latency.note_append(time.monotonic() - began_s)
        if reply.status in _NOTHING_DONE:
            raise StoreRefusedError(f"status {reply.status}")
        if reply.status not in (_OK, _CONFLICT, _CONDITION_FAILED):
            raise StoreUnclearError(f"status {reply.status}")
        return reply


class KeyedTopic:
    """Partition 0 of a topic that keeps the newest record of each key; a ``RecordStore``.

    Parameters
    ----------
    connection : StoreConnection
        The store.
    topic : str
        The topic's name.
    most_kb : int, optional
        Bound on what one read brings, in kilobytes; by default the store's own.
    """

    __slots__ = ("_bound", "_connection", "_place")

    def __init__(self, connection: StoreConnection, topic: str, most_kb: int | None = None) -> None:
        self._connection = connection
        self._bound = f"&max-kb={most_kb}" if most_kb is not None else ""
        self._place = f"topic={topic}&part=0"

    @property
    def latency(self) -> StoreLatency:
        """How fast the store has answered lately."""
        return self._connection.latency

    @property
    def read_backoff(self) -> ReadBackoff:
        """How far apart reads should be."""
        return self._connection.read_backoff

    def snapshot(self) -> Snapshot:
        """Read the newest record of each key; see ``RecordStore``."""
        records: list[Record] = []
        first_end: int | None = None
        after = ""
        while True:
            path = f"/almondstack/log-newest?{self._place}{after}"
            reply = self._connection.read(path, _SNAPSHOT_TIMEOUT_S)
            if reply.status == _NOT_FOUND:
                return Snapshot([], 0)
            page = _decode(_newest, reply.body)
            records.extend(Record(item.key, _unpack(item.value)) for item in page.items)
            # Pages are not taken at one moment, so reading goes on where the first one ended.
            first_end = page.end_offset if first_end is None else first_end
            if not page.has_more or not page.items:
                return Snapshot(records, first_end)
            after = f"&after={quote(page.items[-1].key, safe='')}"

    def read(self, offset: int, wait_s: float) -> Batch:
        """Read on from an offset; see ``RecordStore``."""
        path = f"/almondstack/log-read?{self._place}&from={offset}{self._bound}"
        if wait_s > 0:
            path += f"&wait-ms={int(wait_s * 1000)}"
        reply = self._connection.read(path, wait_s + _READ_TIMEOUT_S, wait_s)
        if reply.status == _GONE:
            raise HistoryLostError(f"offset {offset}")
        if reply.status == _NOT_FOUND:
            return Batch([], offset, offset)
        records = _split_records(reply.body)
        end_offset = int.from_bytes(reply.body[:_OFFSET_BYTES], "big")
        return Batch(records, offset + len(records), end_offset)

    def append(self, records: list[Record], timeout_s: float) -> None:
        """Append records of any process; see ``RecordStore``."""
        reply = self._append("", records, timeout_s)
        if reply.status != _OK:
            raise StoreRefusedError(f"status {reply.status}")

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Append a record at the end of the log; see ``RecordStore``."""
        reply = self._append(f"&at={offset}", [record], timeout_s)
        if reply.status == _CONDITION_FAILED:
            raise LogMovedError(f"it does not end at {offset}")
        if reply.status != _OK:
            raise StoreRefusedError(f"status {reply.status}")

    def claim(self, token: int, record: Record, sequence: int) -> bool:
        """Append an owner's first record; see ``RecordStore``."""
        query = f"&producer-id={_PRODUCER}&epoch={token}&sequence={sequence}"
        return self._append(query, [record], _CLAIM_TIMEOUT_S).status == _OK

    def append_owned(
        self, records: list[Record], token: int, sequence: int, timeout_s: float
    ) -> int:
        """Append records of the owner; see ``RecordStore``."""
        query = f"&producer-id={_PRODUCER}&epoch={token}&sequence={sequence}"
        reply = self._append(query, records, timeout_s)
        answer = _decode(_appended, reply.body)
        if reply.status != _OK:
            raise FencedError(f"status {reply.status} {answer.reason}")
        return answer.end_offset or 0

    def _append(self, query: str, records: list[Record], timeout_s: float) -> HttpReply:
        path = f"/almondstack/log-append?{self._place}{query}"
        body = b"".join(map(_pack_record, records))
        return self._connection.write(path, body, timeout_s)


def _pack_record(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return len(content).to_bytes(_LENGTH_BYTES, "big") + content


def _split_records(body: bytes) -> list[Record]:
    """Return the records of a read, behind its head."""
    records = []
    position = _HEAD_BYTES
    while position + _LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[position : position + _LENGTH_BYTES], "big")
        position += _LENGTH_BYTES
        records.append(_read_record(body[position : position + length]))
        position += length
    return records


def _read_record(content: bytes) -> Record:
    key_length = content[0] if content else 0
    key = content[1 : 1 + key_length].decode("utf-8", errors="replace")
    return Record(key, content[1 + key_length :])


def _unpack(value: str) -> bytes:
    try:
        return base64.b64decode(value)
    except (binascii.Error, ValueError) as error:
        raise StoreError(f"a value is not in base64: {error}") from error


def _decode(decoder, body: bytes):
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise StoreError(f"the store's answer does not decode: {error}") from error
