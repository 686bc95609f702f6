"""HTTP client of the platform's metadata store, used as a log of keyed records."""

import base64
import binascii
import random
import time
from urllib.parse import quote

import msgspec

from almondstack.core import CodecError, decode_with
from almondstack.core.http_client import HttpClient, HttpReply, NoAnswerError, NotSentError
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
from almondstack.platform.wire import AppendReplyWire, NewestPageWire

__all__ = ["KeyedTopic", "StoreConnection"]

_OK = 200
_GONE = 410
_NOT_FOUND = 404
_CONFLICT = 409
_PRECONDITION_FAILED = 412
_NOT_STORED_STATUSES = frozenset({400, 403, 404, 413, 429, 503, 507})
"""Statuses which guarantee that nothing was stored."""

_TOO_MANY_REQUESTS = 429
_OVERLOADED_STATUSES = frozenset({_TOO_MANY_REQUESTS, 503})
"""Statuses of a store that is overloaded."""

_PRODUCER = "owner"
_OFFSET_BYTES = 8
_HEADER_BYTES = 2 * _OFFSET_BYTES
"""The answer to a read starts with the log's end offset and its oldest offset."""

_LENGTH_BYTES = 4
_READ_TIMEOUT_S = 0.8
_SNAPSHOT_TIMEOUT_S = 2.0
_CLAIM_TIMEOUT_S = 1.2

_PAGE_RETRIES_S = 3.0
"""Time for which refused pages of a snapshot are read again, in seconds."""

_PAGE_RETRY_PAUSE_S = 0.15
"""Mean pause before a refused page is read again, in seconds."""

_append_reply_decoder = msgspec.json.Decoder(AppendReplyWire)
_newest_page_decoder = msgspec.json.Decoder(NewestPageWire)


class StoreConnection:
    """Connections to the store, whose address may change when the settings are reloaded.

    Parameters
    ----------
    address : str
        Address of the store as ``IP:PORT``.

    Attributes
    ----------
    latency : StoreLatency
        Recent answer times of the store.
    read_backoff : ReadBackoff
        Factor by which reads are spaced out while the store rejects reads for its rate limit.
    """

    __slots__ = ("_caller", "latency", "read_backoff")

    _CONNECTIONS = 8

    def __init__(self, address: str) -> None:
        self._caller = HttpClient(address, self._CONNECTIONS)
        self.latency = StoreLatency()
        self.read_backoff = ReadBackoff()

    @property
    def address(self) -> str:
        """Address of the store as ``IP:PORT``."""
        return self._caller.address

    def close(self) -> None:
        """Close all connections."""
        self._caller.close()

    def use_address(self, address: str) -> None:
        """Send later calls to another address."""
        self._caller.use_address(address)

    def read(self, path: str, timeout_s: float, wait_s: float = 0.0) -> HttpReply:
        """Make a read call; the store may hold its answer for up to ``wait_s`` seconds.

        Returns replies with status 200, 404 (no such topic) and 410 (records expired).

        Raises
        ------
        StoreRefusedError
            The call failed or was answered with another status.
        """
        started_s = time.monotonic()
        try:
            reply = self._caller.call("GET", path, timeout_s)
        except (NotSentError, NoAnswerError) as error:
            raise StoreRefusedError(str(error)) from error
        self.latency.note_read(time.monotonic() - started_s, wait_s)
        if reply.status == _TOO_MANY_REQUESTS:
            self.read_backoff.note_refused()
        if reply.status not in (_OK, _GONE, _NOT_FOUND):
            raise StoreRefusedError(f"GET {path} was answered with status {reply.status}")
        self.read_backoff.note_answered()
        return reply

    def write(self, path: str, body: bytes, timeout_s: float) -> HttpReply:
        """Make a write call.

        Raises
        ------
        StoreRefusedError
            The store has not carried out the write.
        StoreUnclearError
            The store may have carried out the write, or may do so within seconds.
        """
        started_s = time.monotonic()
        try:
            reply = self._caller.call("POST", path, timeout_s, body)
        except NotSentError as error:
            raise StoreRefusedError(str(error)) from error
        except NoAnswerError as error:
            self.latency.note_unanswered(time.monotonic() - started_s)
            raise StoreUnclearError(str(error)) from error
        if reply.status in _OVERLOADED_STATUSES:
            self.latency.note_refused()
        else:
            self.latency.note_append(time.monotonic() - started_s)
        if reply.status in _NOT_STORED_STATUSES:
            raise StoreRefusedError(f"POST {path} was answered with status {reply.status}")
        if reply.status not in (_OK, _CONFLICT, _PRECONDITION_FAILED):
            raise StoreUnclearError(f"POST {path} was answered with status {reply.status}")
        return reply


class KeyedTopic:
    """Partition 0 of a topic that retains the newest record of each key.

    Implements ``RecordStore``.

    Parameters
    ----------
    connection : StoreConnection
        The store.
    topic : str
        Name of the topic.
    max_read_kb : int, optional
        Size limit of the answer to a read, in kilobytes; by default the store's own limit.
    """

    __slots__ = ("_connection", "_partition_query", "_size_query")

    def __init__(
        self, connection: StoreConnection, topic: str, max_read_kb: int | None = None
    ) -> None:
        self._connection = connection
        self._size_query = f"&max-kb={max_read_kb}" if max_read_kb is not None else ""
        self._partition_query = f"topic={topic}&part=0"

    @property
    def latency(self) -> StoreLatency:
        """Recent answer times of the store."""
        return self._connection.latency

    @property
    def read_backoff(self) -> ReadBackoff:
        """Factor by which reads are spaced out; see ``StoreConnection``."""
        return self._connection.read_backoff

    def snapshot(self) -> Snapshot:
        """Read the newest record of each key; see ``RecordStore``.

        Explanation
        -----------
        A later page that the store refuses is read again: if all processes began again
        with the first page, a store that is short of reads would never serve them all.
        """
        records: list[Record] = []
        first_end_offset: int | None = None
        page_query = ""
        until_s = time.monotonic() + _PAGE_RETRIES_S
        while True:
            path = f"/almondstack/log-newest?{self._partition_query}{page_query}"
            reply = self._read_page(path, until_s if page_query else 0.0)
            if reply.status == _NOT_FOUND:
                return Snapshot([], 0)
            page = _decode(_newest_page_decoder, reply.body)
            records.extend(Record(item.key, _decode_value(item.value)) for item in page.items)
            # The pages are read at different times.  Reading continues at the end offset of the
            # first page, so that no record written in between is missed.
            first_end_offset = page.end_offset if first_end_offset is None else first_end_offset
            if not page.has_more or not page.items:
                return Snapshot(records, first_end_offset)
            page_query = f"&after={quote(page.items[-1].key, safe='')}"

    def _read_page(self, path: str, until_s: float) -> HttpReply:
        """Read one page; repeat a refused read until a monotonic time."""
        while True:
            try:
                return self._connection.read(path, _SNAPSHOT_TIMEOUT_S)
            except StoreRefusedError:
                pause_s = _PAGE_RETRY_PAUSE_S * random.uniform(0.5, 1.5)
                pause_s *= self._connection.read_backoff.factor()
                if time.monotonic() + pause_s >= until_s:
                    raise
                time.sleep(pause_s)

    def read(self, offset: int, wait_s: float) -> Batch:
        """Read records from an offset on; see ``RecordStore``."""
        path = f"/almondstack/log-read?{self._partition_query}&from={offset}{self._size_query}"
        if wait_s > 0:
            path += f"&wait-ms={int(wait_s * 1000)}"
        reply = self._connection.read(path, wait_s + _READ_TIMEOUT_S, wait_s)
        if reply.status == _GONE:
            raise HistoryLostError(f"records from offset {offset} on have expired")
        if reply.status == _NOT_FOUND:
            return Batch([], offset, offset)
        records = _parse_records(reply.body)
        end_offset = int.from_bytes(reply.body[:_OFFSET_BYTES], "big")
        return Batch(records, offset + len(records), end_offset)

    def append(self, records: list[Record], timeout_s: float) -> None:
        """Append records without fencing; see ``RecordStore``."""
        reply = self._append("", records, timeout_s)
        if reply.status != _OK:
            raise StoreRefusedError(f"append rejected with status {reply.status}")

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Append a record if the log ends at the offset; see ``RecordStore``."""
        reply = self._append(f"&at={offset}", [record], timeout_s)
        if reply.status == _PRECONDITION_FAILED:
            raise LogMovedError(f"the log does not end at offset {offset}; nothing was stored")
        if reply.status != _OK:
            raise StoreRefusedError(f"append rejected with status {reply.status}")

    def claim(self, token: int, record: Record, sequence: int) -> bool:
        """Append the first record of a new owner; see ``RecordStore``."""
        query = f"&producer-id={_PRODUCER}&epoch={token}&sequence={sequence}"
        return self._append(query, [record], _CLAIM_TIMEOUT_S).status == _OK

    def append_owned(
        self, records: list[Record], token: int, sequence: int, timeout_s: float
    ) -> int:
        """Append records of the owner, fenced by its token; see ``RecordStore``."""
        query = f"&producer-id={_PRODUCER}&epoch={token}&sequence={sequence}"
        reply = self._append(query, records, timeout_s)
        decoded = _decode(_append_reply_decoder, reply.body)
        if reply.status != _OK:
            raise FencedError(
                f"append with token {token} rejected: status {reply.status} {decoded.reason}"
            )
        return decoded.end_offset or 0

    def _append(self, query: str, records: list[Record], timeout_s: float) -> HttpReply:
        path = f"/almondstack/log-append?{self._partition_query}{query}"
        body = b"".join(map(_pack_record, records))
        return self._connection.write(path, body, timeout_s)


def _pack_record(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return len(content).to_bytes(_LENGTH_BYTES, "big") + content


def _parse_records(body: bytes) -> list[Record]:
    """Return the records in the answer to a read, which follow its header."""
    records = []
    position = _HEADER_BYTES
    while position + _LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[position : position + _LENGTH_BYTES], "big")
        position += _LENGTH_BYTES
        records.append(_parse_record(body[position : position + length]))
        position += length
    return records


def _parse_record(content: bytes) -> Record:
    key_length = content[0] if content else 0
    key = content[1 : 1 + key_length].decode("utf-8", errors="replace")
    return Record(key, content[1 + key_length :])


def _decode_value(value: str) -> bytes:
    try:
        return base64.b64decode(value)
    except (binascii.Error, ValueError) as error:
        raise StoreError(
            f"a record's value in the store's answer is not valid base64: {error}"
        ) from error


def _decode(decoder, body: bytes):
    try:
        return decode_with(decoder, body)
    except CodecError as error:
        raise StoreError(f"the store's answer cannot be decoded: {error}") from error
