"""Stand-in for the users' metadata store, with one partition of each keyed topic.

Explanation
-----------
Implements the documented calls for appends, reads and newest records, with
conditions, producer epochs and sequence numbers.  Tests inject faults by setting
attributes.
"""

import base64
import threading
import time
from typing import Any
from urllib.parse import unquote

from almondstack.core import encode_json
from almondstack.standin.web import Reply, StandinApp, drop_connection, read_body

__all__ = ["KeyedStoreStandin"]

_MAX_PAGE_KEYS = 500
_POLL_S = 0.005
_DEFAULT_MAX_KB = 1_024
_KEPT_REPLIES = 5


class _Producer:
    """Epoch, last sequence number and recent replies of one producer of a partition."""

    def __init__(self) -> None:
        self.epoch = -1
        self.sequence = -1
        self.replies: dict[int, dict[str, int]] = {}

    def record_append(self, epoch: int, sequence: int, answer: dict[str, int]) -> None:
        """Record the reply to a completed append, for repetitions of the same sequence number."""
        if epoch != self.epoch:
            self.replies.clear()
        self.epoch, self.sequence = epoch, sequence
        self.replies[sequence] = answer
        for old in [number for number in self.replies if number <= sequence - _KEPT_REPLIES]:
            del self.replies[old]


class _Topic:
    """Records and producers of one partition."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.first_offset = 0
        self.producers: dict[str, _Producer] = {}


class KeyedStoreStandin(StandinApp):
    """Serves the store's calls from memory, with injected faults.

    Attributes
    ----------
    is_unavailable : bool
        Whether every call gets 503.
    append_replies_to_drop : int
        Number of following appends that are stored but whose connection is closed
        without a reply.
    answer_delay_s : float
        Delay of every reply, in seconds.
    """

    def __init__(self) -> None:
        self.is_unavailable = False
        self.answer_delay_s = 0.0
        self.append_replies_to_drop = 0
        self._topics: dict[str, _Topic] = {}
        self._lock = threading.Lock()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one record, as the platform itself does."""
        with self._lock:
            self._topic(topic).records.append((key, value))

    def records(self, topic: str) -> list[tuple[str, bytes]]:
        """Return all records of a topic."""
        with self._lock:
            return list(self._topic(topic).records)

    def expire(self, topic: str) -> None:
        """Expire all present records of a topic: reads of their offsets get 410."""
        with self._lock:
            expired_topic = self._topic(topic)
            expired_topic.first_offset = len(expired_topic.records)

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        if self.is_unavailable:
            return Reply(503)
        time.sleep(self.answer_delay_s)
        if path == "/almondstack/log-append":
            return self._append(query, read_body(environ))
        if path == "/almondstack/log-read":
            return self._read(query)
        if path == "/almondstack/log-newest":
            return self._newest(query)
        return Reply(404)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, query: dict[str, str], body: bytes) -> Reply:
        with self._lock:
            reply = self._append_locked(self._topic(query["topic"]), query, _decode_records(body))
            if reply.status == 200 and self.append_replies_to_drop:
                self.append_replies_to_drop -= 1
                drop_connection()
            return reply

    def _append_locked(
        self, topic: _Topic, query: dict[str, str], records: list[tuple[str, bytes]]
    ) -> Reply:
        end = len(topic.records)
        producer = None
        if "producer-id" in query:
            producer = topic.producers.setdefault(query["producer-id"], _Producer())
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < producer.epoch:
                return _conflict("fenced", end)
            if epoch == producer.epoch and sequence in producer.replies:
                return Reply.of_json(producer.replies[sequence])
            if epoch == producer.epoch and sequence != producer.sequence + 1:
                return _conflict("seq", end)
        if "at" in query and int(query["at"]) != end:
            return Reply(412, encode_json({"end-offset": end}), "application/json")
        topic.records.extend(records)
        answer = {"offset": end, "end-offset": len(topic.records)}
        if producer is not None:
            producer.record_append(epoch, sequence, answer)
        return Reply.of_json(answer)

    def _read(self, query: dict[str, str]) -> Reply:
        start = int(query["from"])
        deadline_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000.0
        while True:
            with self._lock:
                topic = self._topic(query["topic"])
                if start < topic.first_offset:
                    body = encode_json({"first-offset": topic.first_offset})
                    return Reply(410, body, "application/json")
                records = _limit_size(topic.records[start:], query)
                head = len(topic.records).to_bytes(8, "big") + topic.first_offset.to_bytes(8, "big")
            if records or time.monotonic() >= deadline_s:
                return Reply(
                    200, head + b"".join(map(_encode_record, records)), "application/octet-stream"
                )
            time.sleep(_POLL_S)

    def _newest(self, query: dict[str, str]) -> Reply:
        after = unquote(query.get("after", ""))
        with self._lock:
            topic = self._topic(query["topic"])
            newest = {key: value for key, value in topic.records}
            end = len(topic.records)
        keys = sorted(key for key, value in newest.items() if value and key > after)
        items = [
            {"key": key, "value": base64.b64encode(newest[key]).decode(), "offset": 0}
            for key in keys[:_MAX_PAGE_KEYS]
        ]
        return Reply.of_json(
            {"items": items, "has-more": len(keys) > _MAX_PAGE_KEYS, "end-offset": end}
        )


def _limit_size(records: list[tuple[str, bytes]], query: dict[str, str]) -> list[tuple[str, bytes]]:
    """Return the leading records that fit into ``max-kb`` kibibytes, and at least one."""
    remaining = int(query.get("max-kb", _DEFAULT_MAX_KB)) * 1024
    count = 0
    for key, value in records:
        remaining -= len(key) + len(value)
        if count and remaining < 0:
            break
        count += 1
    return records[:count]


def _conflict(reason: str, end: int) -> Reply:
    body = encode_json({"reason": reason, "end-offset": end})
    return Reply(409, body, "application/json")


def _decode_records(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    position = 0
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        content = body[position + 4 : position + 4 + length]
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
        position += 4 + length
    return records


def _encode_record(record: tuple[str, bytes]) -> bytes:
    key = record[0].encode()
    content = bytes((len(key),)) + key + record[1]
    return len(content).to_bytes(4, "big") + content
