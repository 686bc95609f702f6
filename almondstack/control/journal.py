"""Appends of the owner to the record store, each stored exactly once and in sequence."""

import random
import threading
import time

from almondstack.control.published_admission import published_entitlements, published_waits_ms
from almondstack.control.services import OwnerServices
from almondstack.jobs import OwnerNotice, RecordKind, encode_notice, record_key
from almondstack.jobs.admission_state import AdmissionState
from almondstack.ownership import (
    MAX_FIRST_SEQUENCE,
    FencedError,
    Record,
    StoreError,
    StoreRefusedError,
)
from almondstack.ownership.owner_records import is_written_by_owner

__all__ = ["OwnerJournal"]

_RETRY_PAUSE_S = 0.05

_MAX_APPEND_BYTES = 1_000_000
"""Maximum size of one append, in bytes; half of what the store accepts in one call."""


class OwnerJournal:
    """Writes the owner's records, from its claim of ownership to its release or loss.

    Parameters
    ----------
    services : OwnerServices
        The record store, events, metrics and settings.
    incarnation : str
        Unique name of this process.
    token : int
        The owner's fencing token.
    sequence : int
        Sequence number of the append that claimed ownership.
    """

    __slots__ = (
        "_has_ranges",
        "_heartbeat_s",
        "_incarnation",
        "_is_closed",
        "_is_token_due",
        "_notice",
        "_refused_since_s",
        "_sequence",
        "_services",
        "_token",
        "_written_s",
    )

    def __init__(
        self, services: OwnerServices, incarnation: str, token: int, sequence: int
    ) -> None:
        self._services = services
        self._incarnation = incarnation
        self._token = token
        self._is_token_due = False
        self._sequence = sequence
        self._written_s = _since_boot_s()
        self._heartbeat_s = self._written_s
        self._refused_since_s: float | None = None
        self._has_ranges = services.index.notice_has_ranges
        self._notice = self._make_notice(AdmissionState(known_s=0.0))
        self._is_closed = threading.Event()

    @property
    def token(self) -> int:
        """Highest fencing token that this owner has claimed."""
        return self._token

    @property
    def written_s(self) -> float:
        """Start of the last successful append, in seconds since the instance was booted."""
        return self._written_s

    @property
    def has_ranges(self) -> bool:
        """Whether the claim of this owner lets it write progress records in the ranged form."""
        return self._has_ranges

    @property
    def turned_away_s(self) -> float:
        """Seconds for which the store has refused each append; 0 if the last one succeeded."""
        refused_s = self._refused_since_s
        return 0.0 if refused_s is None else _since_boot_s() - refused_s

    def close(self) -> None:
        """Reject further appends and abort an append that is being retried."""
        self._is_closed.set()

    def may_extend(self) -> bool:
        """Whether this owner may still extend leases, also while the store is unavailable."""
        if self._is_closed.is_set():
            return False
        return _since_boot_s() - self._written_s < self._services.ownership.unsure_s

    def request_token(self) -> int:
        """Claim the next fencing token with the next append; return it.

        Explanation
        -----------
        The owner and its incarnation stay the same.  The append is refused, and ends this
        ownership, if another process has claimed that token.
        """
        self._is_token_due = True
        return self._token + 1

    def write(self, records: list[Record], admission: AdmissionState) -> int:
        """Append records, and a heartbeat notice if one is due or the waits have changed.

        Parameters
        ----------
        records : list of Record
            The records to append.
        admission : AdmissionState
            The waits that the owner announces; see :class:`OwnerNotice`.  A state that it has not
            computed is not announced: other processes know the age of the one before.

        Returns
        -------
        int
            The offset after the last record; 0 if there was nothing to append.

        Raises
        ------
        FencedError
            Another process owns the jobs, or the journal was closed.
        """
        if self._is_token_due:
            self._begin_token()
            self._notice = self._make_notice(admission)
            records = [self._notice_record(self._notice), *records]
        elif self._needs_heartbeat(admission):
            self._notice = self._make_notice(admission)
            records = [*records, self._notice_record(self._notice)]
        return self._write(records)

    def _begin_token(self) -> None:
        """Number the next appends anew, under the next token."""
        self._is_token_due = False
        self._token += 1
        # As in a claim: of two processes that begin with the same token only one is accepted.
        self._sequence = random.randrange(MAX_FIRST_SEQUENCE)

    def _write(self, records: list[Record]) -> int:
        has_heartbeat = any(map(is_written_by_owner, records))
        end_offset = 0
        while records:
            part, records = _split(records)
            end_offset = self._append(part)
        if has_heartbeat:
            self._heartbeat_s = self._written_s
        return end_offset

    def write_last(self, records: list[Record], admission: AdmissionState) -> int:
        """Append records and a release of ownership, which carries no waits; see :meth:`write`."""
        notice = OwnerNotice("", self._token, standby=self._services.requests.standby)
        return self._write([*records, self._notice_record(notice)])

    def _needs_heartbeat(self, admission: AdmissionState) -> bool:
        age_s = _since_boot_s() - self._heartbeat_s
        return age_s >= self._services.ownership.sign_interval_s or (
            published_waits_ms(admission) != self._notice.waits_ms
        )

    def _make_notice(self, admission: AdmissionState) -> OwnerNotice:
        return OwnerNotice(
            self._incarnation,
            self._token,
            self._services.address,
            published_waits_ms(admission),
            self._services.cores,
            self._services.requests_address,
            self._services.requests.standby,
            self._services.policies().version,
            published_entitlements(admission),
            int(time.time() * 1000),
        )

    def _notice_record(self, notice: OwnerNotice) -> Record:
        return Record(
            record_key(RecordKind.OWNER), encode_notice(notice, has_ranges=self._has_ranges)
        )

    def _append(self, records: list[Record]) -> int:
        self._sequence += 1
        began_s = _since_boot_s()
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
            # Other processes may have read the record since the first attempt, and measure the
            # owner's silence from that time.
            self._written_s = began_s
            self._refused_since_s = None
            took_ms = (_since_boot_s() - began_s) * 1000.0
            self._services.metrics.timing_ms("append.owned", took_ms)
            return end_offset
        raise FencedError("the journal is closed")

    def _note_refusal(self, error: StoreError) -> None:
        """Record since when the store refuses; an append without a reply may have been stored."""
        if not isinstance(error, StoreRefusedError):
            self._refused_since_s = None
        elif self._refused_since_s is None:
            self._refused_since_s = _since_boot_s()


def _since_boot_s() -> float:
    """Return the time since the instance was booted, in seconds.

    Explanation
    -----------
    Unlike the monotonic clock it advances while the instance is suspended, so that a
    resumed process does not extend leases after its right to do so has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _split(records: list[Record]) -> tuple[list[Record], list[Record]]:
    """Split off the records that fit into one append; return them and the rest."""
    size = 0
    for number, record in enumerate(records):
        size += len(record.key) + len(record.value)
        if number and size > _MAX_APPEND_BYTES:
            return records[:number], records[number:]
    return records, []
