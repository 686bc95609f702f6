"""The owner's appends: in one sequence, each taken once, or the ownership is over."""

import threading
import time

from almondstack.control.services import OwnerServices
from almondstack.jobs import OwnerNotice, RecordKind, encode_notice, record_key
from almondstack.ownership import (
    FencedError,
    Record,
    StoreError,
    StoreRefusedError,
)
from almondstack.ownership.owner_records import is_written_by_owner

__all__ = ["OwnerJournal"]

_RETRY_PAUSE_S = 0.05

_MOST_BYTES = 1_000_000
"""Bound on the records of one append; half of what the store takes in one call."""


class OwnerJournal:
    """Writes the records of one ownership.

    Parameters
    ----------
    services : OwnerServices
        The store, and where lines go.
    incarnation : str
        Names this process.
    token : int
        The owner's fencing token.
    sequence : int
        Number of the append by which it claimed the jobs.
    """

    __slots__ = (
        "_incarnation",
        "_is_closed",
        "_notice",
        "_refused_s",
        "_sequence",
        "_services",
        "_signed_s",
        "_token",
        "_written_s",
    )

    def __init__(
        self, services: OwnerServices, incarnation: str, token: int, sequence: int
    ) -> None:
        self._services = services
        self._incarnation = incarnation
        self._token = token
        self._sequence = sequence
        self._written_s = _elapsed_s()
        self._signed_s = self._written_s
        self._refused_s: float | None = None
        self._notice = self._make_notice({})
        self._is_closed = threading.Event()

    @property
    def written_s(self) -> float:
        """When the store last took a record, in seconds of :func:`_elapsed_s`."""
        return self._written_s

    @property
    def turned_away_s(self) -> float:
        """Seconds for which the store has refused each append; 0 if it took the last one."""
        refused_s = self._refused_s
        return 0.0 if refused_s is None else _elapsed_s() - refused_s

    def close(self) -> None:
        """Give up on an append that is being repeated."""
        self._is_closed.set()

    def may_extend(self) -> bool:
        """Whether this owner may still extend leases although the store may be away."""
        if self._is_closed.is_set():
            return False
        return _elapsed_s() - self._written_s < self._services.ownership.unsure_s

    def write(self, records: list[Record], waits_ms: dict[str, int]) -> int:
        """Append records, and a sign of the owner when one is due or has changed.

        Returns
        -------
        int
            The offset behind the last of them; 0 if there was nothing to append.

        Raises
        ------
        FencedError
            Another process owns the jobs, or the journal was closed.
        """
        if self._needs_sign(waits_ms):
            self._notice = self._make_notice(waits_ms)
            records = [*records, self._sign(self._notice)]
        return self._write(records)

    def _write(self, records: list[Record]) -> int:
        has_sign = any(map(is_written_by_owner, records))
        end_offset = 0
        while records:
            part, records = _split(records)
            end_offset = self._append(part)
        if has_sign:
            self._signed_s = self._written_s
        return end_offset

    def write_last(self, records: list[Record], waits_ms: dict[str, int]) -> int:
        """Append records and give ownership back with them; see :meth:`write`."""
        notice = OwnerNotice("", self._token, standby=self._services.requests.standby)
        return self._write([*records, self._sign(notice)])

    def _needs_sign(self, waits_ms: dict[str, int]) -> bool:
        age_s = _elapsed_s() - self._signed_s
        return age_s >= self._services.ownership.sign_interval_s or (
            waits_ms != self._notice.waits_ms
        )

    def _make_notice(self, waits_ms: dict[str, int]) -> OwnerNotice:
        return OwnerNotice(
            self._incarnation,
            self._token,
            self._services.address,
            waits_ms,
            self._services.cores,
            self._services.requests_address,
            self._services.requests.standby,
            self._services.policies().version,
        )

    def _sign(self, notice: OwnerNotice) -> Record:
        return Record(record_key(RecordKind.OWNER), encode_notice(notice))

    def _append(self, records: list[Record]) -> int:
        self._sequence += 1
        began_s = _elapsed_s()
        is_reported = False
        for timeout_s in self._services.store.latency.timeouts_s():
            if self._is_closed.is_set():
                break
            try:
                end_offset = self._services.store.append_owned(
                    records, self._token, self._sequence, timeout_s
                )
            except FencedError:
                raise
            except StoreError as error:
                if not is_reported:
                    self._services.events.write("append-retried", error=str(error))
                is_reported = True
                self._note_refusal(error)
                self._is_closed.wait(_RETRY_PAUSE_S)
                continue
            # Others may have read the record since the first try, and count from then.
            self._written_s = began_s
            self._refused_s = None
            took_ms = (_elapsed_s() - began_s) * 1000.0
            self._services.metrics.timing_ms("append.owned", took_ms)
            return end_offset
        raise FencedError("the journal is closed")

    def _note_refusal(self, error: StoreError) -> None:
        """Note since when the store refuses; an append without an answer may be stored."""
        if not isinstance(error, StoreRefusedError):
            self._refused_s = None
        elif self._refused_s is None:
            self._refused_s = _elapsed_s()


def _elapsed_s() -> float:
    """Return seconds that go on while the instance is suspended, unlike the monotonic clock.

    Explanation
    -----------
    A process that wakes must know that its right to extend leases is over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _split(records: list[Record]) -> tuple[list[Record], list[Record]]:
    """Return the records that go into one append, and the rest."""
    size = 0
    for number, record in enumerate(records):
        size += len(record.key) + len(record.value)
        if number and size > _MOST_BYTES:
            return records[:number], records[number:]
    return records, []
