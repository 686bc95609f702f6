"""Reads and writes snapshots of the folded state in the snapshot stream.

Explanation
-----------
A snapshot is the compressed state and its offset, split into chunks.  Chunks
with the same offset and digest form one snapshot whichever process wrote them,
because the state at an offset is the same for every writer.
"""

import hashlib
import zlib
from collections.abc import Iterator

import msgspec

from almondstack.core import CodecError, decode_msgpack, encode_msgpack
from almondstack.log.client import SNAPSHOTS, LogClient
from almondstack.model import FleetState

__all__ = ["Snapshot", "SnapshotChunk", "SnapshotStore", "decode_state"]

_ZLIB_LEVEL = 1
_FIRST_TAIL_RECORDS = 4


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """One record of the snapshot stream.

    Parameters
    ----------
    level : int
        Format level in force in the state.
    next_offset : int
        Offset of the first record that the state does not contain.
    digest : bytes
        SHA-256 of the whole compressed state.
    index, count : int
        Index of this chunk, from 0, and number of chunks of the snapshot.
    written_unix_s : float
        Time of writing on the writer's wall clock, in seconds; used only to decide
        when the next snapshot is due.
    data : bytes
        Part of the compressed state.
    """

    level: int
    next_offset: int
    digest: bytes
    index: int
    count: int
    written_unix_s: float
    data: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """A complete snapshot, still compressed, whose digest has been verified."""

    level: int
    next_offset: int
    written_unix_s: float
    data: bytes

    def decode(self) -> FleetState:
        """Return the state.

        Raises
        ------
        CodecError
            The data is not an encoded state.
        """
        try:
            return decode_state(zlib.decompress(self.data))
        except zlib.error as error:
            raise CodecError("zlib cannot decompress the snapshot") from error


def decode_state(data: bytes) -> FleetState:
    """Decode what :meth:`~almondstack.fold.Fold.encode_state` returned.

    Raises
    ------
    CodecError
        The bytes are not an encoded state.
    """
    return decode_msgpack(data, FleetState)


class SnapshotStore:
    """Reads and writes the snapshot stream.

    Parameters
    ----------
    client : LogClient
        The log service.
    """

    __slots__ = ("_client",)

    def __init__(self, client: LogClient) -> None:
        self._client = client

    def newest_first(self) -> Iterator[Snapshot]:
        """Yield the complete snapshots, the highest offset first.

        Explanation
        -----------
        Reads from the end of the stream backwards, four times as many records in
        each step; reads on only when the caller asks for an older snapshot.

        Raises
        ------
        LogError
            The log service failed.
        """
        bounds = self._client.bounds(SNAPSHOTS)
        seen: set[int] = set()
        tail = _FIRST_TAIL_RECORDS
        while bounds.oldest < bounds.next_offset:
            start = max(bounds.next_offset - tail, bounds.oldest)
            for snapshot in _complete_snapshots(self._read(start, bounds.next_offset)):
                if snapshot.next_offset not in seen:
                    seen.add(snapshot.next_offset)
                    yield snapshot
            if start == bounds.oldest:
                return
            tail *= 4

    def newest(self) -> Snapshot | None:
        """Return the complete snapshot with the highest offset, or None.

        Raises
        ------
        LogError
            The log service failed.
        """
        return next(self.newest_first(), None)

    def write(
        self, state: bytes, level: int, next_offset: int, unix_s: float, chunk_bytes: int
    ) -> int:
        """Append a snapshot and return its compressed size in bytes.

        Raises
        ------
        LogError
            The service did not append all chunks; readers ignore an incomplete snapshot.
        """
        data = zlib.compress(state, _ZLIB_LEVEL)
        digest = hashlib.sha256(data).digest()
        parts = [data[at : at + chunk_bytes] for at in range(0, len(data), chunk_bytes)]
        for index, part in enumerate(parts):
            chunk = SnapshotChunk(level, next_offset, digest, index, len(parts), unix_s, part)
            self._client.append(SNAPSHOTS, [encode_msgpack(chunk)])
        return len(data)

    def _read(self, start: int, end: int) -> list[SnapshotChunk]:
        chunks: list[SnapshotChunk] = []
        offset = start
        while offset < end:
            entries = self._client.read(SNAPSHOTS, offset)
            if not entries:
                break
            chunks.extend(_decode_chunks(entry.data for entry in entries))
            offset = entries[-1].offset + 1
        return chunks


def _decode_chunks(records: Iterator[bytes]) -> Iterator[SnapshotChunk]:
    for data in records:
        try:
            yield decode_msgpack(data, SnapshotChunk)
        except CodecError:
            continue


def _complete_snapshots(chunks: list[SnapshotChunk]) -> list[Snapshot]:
    groups: dict[tuple[int, bytes, int], dict[int, SnapshotChunk]] = {}
    for chunk in chunks:
        key = (chunk.next_offset, chunk.digest, chunk.count)
        groups.setdefault(key, {})[chunk.index] = chunk
    found = [snapshot for group in groups.values() if (snapshot := _assemble(group))]
    return sorted(found, key=lambda item: (item.next_offset, item.written_unix_s), reverse=True)


def _assemble(group: dict[int, SnapshotChunk]) -> Snapshot | None:
    last = next(reversed(group.values()))
    parts = [group[index].data for index in range(last.count) if index in group]
    data = b"".join(parts)
    if len(parts) != last.count or hashlib.sha256(data).digest() != last.digest:
        return None
    return Snapshot(last.level, last.next_offset, last.written_unix_s, data)
