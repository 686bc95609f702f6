"""Replicates the log of job records into a job index, and claims ownership of the jobs."""

import random
import threading
import time
from collections.abc import Callable

from almondstack.core.events import EventLog
from almondstack.core.shared_call import CallNotSharedError, SharedCall
from almondstack.core.supervision import report_error
from almondstack.jobs import (
    JobIndex,
    OwnerNotice,
    RecordError,
    RecordKind,
    encode_notice,
    record_key,
)
from almondstack.jobs.records import decode_notice, split_key
from almondstack.ownership.claim_priority import ClaimPriority, instance_of
from almondstack.ownership.errors import HistoryLostError, StoreError, StoreRefusedError
from almondstack.ownership.failure_detector import OwnerFailureDetector
from almondstack.ownership.owner_records import is_written_by_owner
from almondstack.ownership.ports import MAX_FIRST_SEQUENCE, Record, RecordStore
from almondstack.ownership.settings import OwnershipSettings
from almondstack.ownership.silence_timer import SilenceTimer

__all__ = ["Follower"]

_SYNC_TIMEOUT_S = 1.0
"""Limit on the time that a caller waits for a read to the end of the log."""


class Follower:
    """Keeps a job index up to date with the log, and takes over the jobs when they need an owner.

    Explanation
    -----------
    The process claims ownership when no process owns the jobs, when the owner counts as
    failed, or when the owner's processor is much slower than that of this process.

    Parameters
    ----------
    store : RecordStore
        Log of the job records.
    index : JobIndex
        State to which the records are applied.
    settings : OwnershipSettings
        Time-outs and intervals.
    incarnation : str
        Unique name of this process.
    address : str
        Numeric address of this process's status server, which runs until the process exits.
    events : EventLog
        Receives an event for each claim, and when the store becomes unavailable or
        available again.
    take_over : callable
        Called with the fencing token and the sequence number of the claim once this
        process owns the jobs; must not block.
    cores : float
        Speed of this process's processor, in cores.
    """

    __slots__ = (
        "_address",
        "_caught_up_s",
        "_claim_priority",
        "_contact_s",
        "_cores",
        "_events",
        "_failure_detector",
        "_has_stopped_claiming",
        "_incarnation",
        "_index",
        "_is_loaded",
        "_is_owner",
        "_is_store_lost",
        "_last_owner_record_s",
        "_lock",
        "_offset",
        "_sequences",
        "_settings",
        "_silence_timer",
        "_started_s",
        "_stop",
        "_store",
        "_sync",
        "_take_over",
        "_thread",
    )

    def __init__(
        self,
        store: RecordStore,
        index: JobIndex,
        settings: OwnershipSettings,
        incarnation: str,
        address: str,
        events: EventLog,
        take_over: Callable[[int, int], None],
        cores: float = 1.0,
    ) -> None:
        self._store = store
        self._index = index
        self._settings = settings
        self._incarnation = incarnation
        self._address = address
        self._events = events
        self._take_over = take_over
        self._cores = cores
        self._claim_priority = ClaimPriority(cores, settings, instance_of(incarnation))
        self._offset = 0
        self._sequences: dict[int, int] = {}
        self._is_loaded = False
        self._is_store_lost = False
        self._is_owner = False
        self._has_stopped_claiming = False
        self._contact_s = time.monotonic()
        self._caught_up_s = time.monotonic()
        self._last_owner_record_s = time.monotonic()
        self._sync = SharedCall(self._read_to_end)
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._silence_timer = SilenceTimer(
            settings.silence_s + random.uniform(0, settings.stagger_s)
        )
        self._failure_detector = OwnerFailureDetector(
            settings, incarnation, self._silence_timer, self._claim_priority
        )
        self._thread = threading.Thread(target=self._run, name="follower", daemon=True)

    @property
    def is_loaded(self) -> bool:
        """Whether the snapshot was loaded and reading has continued from it without a gap."""
        return self._is_loaded

    @property
    def contact_age_s(self) -> float:
        """Seconds since the store last answered a read."""
        return time.monotonic() - self._contact_s

    @property
    def has_failed(self) -> bool:
        """Whether the last read failed."""
        return self._is_store_lost

    @property
    def lag_s(self) -> float:
        """Seconds since this process last read up to the end of the log."""
        return time.monotonic() - self._caught_up_s

    @property
    def read_gap_s(self) -> float:
        """Longest interval between two answers of a healthy store, in seconds."""
        pace_s = self._settings.pace_s * self._store.read_backoff.factor()
        return self._settings.wait_s + pace_s + self._store.latency.answer_s

    @property
    def last_owner_record_s(self) -> float:
        """Monotonic time at which the last record of another owner was read, in seconds.

        Explanation
        -----------
        The claims of this process are excluded.  Every record of the previous owner
        precedes the claim in the log, so that owner has stored nothing after this time.
        """
        return self._last_owner_record_s

    @property
    def next_offset(self) -> int:
        """Offset up to which the log is applied to the index."""
        return self._offset

    def start(self) -> None:
        """Start the thread that reads the log."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread that reads the log to end."""
        self._stop.set()

    def stop_claiming(self) -> None:
        """Stop claiming ownership, because the process is about to exit."""
        self._has_stopped_claiming = True

    def step_down(self) -> None:
        """Go on as a follower after this process has lost ownership."""
        self._is_owner = False

    def sync(self) -> None:
        """Read to the present end of the log.

        Explanation
        -----------
        Concurrent calls share one read.  Otherwise a process that lags would fill its
        link with repeated transfers of the same records.

        Raises
        ------
        StoreError
            The store failed or gave a malformed answer, or the end of the log was not
            reached in time.
        """
        try:
            self._sync.run(_SYNC_TIMEOUT_S)
        except CallNotSharedError as error:
            raise StoreRefusedError(str(error)) from error

    def _read_to_end(self) -> None:
        until_s = time.monotonic() + _SYNC_TIMEOUT_S
        while self._read(0.0):
            # The size of one answer is limited, so that several reads may be needed.
            if time.monotonic() >= until_s:
                raise StoreRefusedError(
                    f"the end of the log is too far ahead to read within {_SYNC_TIMEOUT_S} s"
                )

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.step()
            except StoreError as error:
                self._note_failure(error)
                pause_s = self._settings.retry_pause_s * random.uniform(0.8, 1.2)
                self._stop.wait(pause_s * self._store.read_backoff.factor())
            except Exception as error:
                # A bug in this process must not end the thread: the process would serve stale
                # job states from then on.
                report_error()
                self._events.write("follower-failed", error=repr(error), offset=self._offset)
                self._stop.wait(self._settings.retry_pause_s)

    def step(self) -> None:
        """Read once, and claim ownership if this process may; one iteration of the thread's loop.

        Raises
        ------
        StoreError
            The store failed or gave a malformed answer.
        """
        if not self._is_loaded:
            self._load()
        if self._read(self._failure_detector.read_wait_s(self._index.notice, time.monotonic())):
            # A claim needs the whole log; read the rest of it without a pause.
            return
        self._detect_own_claim()
        if self._is_owner:
            self._stop.wait(self._settings.owner_pace_s)
            return
        if self._may_claim():
            self._claim()
            return
        is_standby = self._claim_priority.is_standby
        pace_s = self._settings.owner_pace_s if is_standby else self._settings.pace_s
        self._stop.wait(pace_s * self._store.read_backoff.factor())

    def _load(self) -> None:
        with self._lock:
            snapshot = self._store.snapshot()
            self._index.note_resync()
            for record in snapshot.records:
                self._apply(record)
            if not self._is_owner:
                # Only an owner removes jobs, so it has none that others have removed; those that
                # it has just stored may be missing in the snapshot.
                self._index.retain({record.key for record in snapshot.records})
            self._offset = snapshot.next_offset
            self._is_loaded = True
            self._last_owner_record_s = time.monotonic()
        self._note_contact()
        self._events.write("book-loaded", records=len(snapshot.records), offset=self._offset)

    def _read(self, wait_s: float) -> bool:
        """Read once; return whether the log continues beyond the records of the answer."""
        try:
            batch = self._store.read(self._offset, wait_s)
        except HistoryLostError:
            self._events.write("history-lost", offset=self._offset)
            self._is_loaded = False
            raise
        with self._lock:
            self._apply_new(batch.records, batch.next_offset)
        self._note_contact()
        owner_records = [record for record in batch.records if is_written_by_owner(record)]
        self._silence_timer.note_read(time.monotonic(), has_owner_record=bool(owner_records))
        self._failure_detector.note_read(has_owner_record=bool(owner_records))
        if not all(map(self._is_own_claim, owner_records)):
            self._last_owner_record_s = time.monotonic()
        notice = self._index.notice
        if notice is not None:
            self._claim_priority.note_notice(notice, time.monotonic())
        if notice is not None and not notice.owner:
            self._silence_timer.note_release()
        has_more = batch.next_offset < batch.end_offset
        if not has_more:
            self._caught_up_s = time.monotonic()
        return has_more

    def _apply_new(self, records: list[Record], next_offset: int) -> None:
        """Apply the records that no other thread has applied in the meantime."""
        first = next_offset - len(records)
        for record in records[max(0, self._offset - first) :]:
            self._apply(record)
        self._offset = max(self._offset, next_offset)

    def _apply(self, record: Record) -> None:
        """Apply a record; one for which the code has a bug must not hide those after it."""
        try:
            self._index.apply(record.key, record.value)
        except Exception as error:
            report_error()
            self._events.write("record-failed", topic="jobs", key=record.key, error=repr(error))

    def _is_own_claim(self, record: Record) -> bool:
        if split_key(record.key)[0] is not RecordKind.OWNER:
            return False
        try:
            return decode_notice(record.value).owner == self._incarnation
        except RecordError:
            return False

    def _detect_own_claim(self) -> None:
        """Take ownership if the newest notice that was read is a claim of this process.

        Explanation
        -----------
        The reply to a claim does not decide: it may be lost, and it may be the reply to
        another process that made the same claim.  A process that is about to exit takes
        ownership as well, since only the owner can release the jobs.
        """
        notice = self._index.notice
        if self._is_owner or notice is None:
            return
        if notice.owner != self._incarnation:
            return
        sequence = self._sequences.pop(notice.token, None)
        if sequence is not None:
            self._is_owner = True
            self._take_over(notice.token, sequence)

    def _may_claim(self) -> bool:
        if self._has_stopped_claiming:
            return False
        now_s = time.monotonic()
        is_new = now_s - self._started_s < self._settings.silence_s
        is_vacant = self._failure_detector.is_vacant(self._index.notice, now_s, is_new=is_new)
        answer_s = self._store.latency.answer_s
        may_claim = self._claim_priority.may_claim(
            now_s, is_vacant=is_vacant, is_new=is_new, answer_s=answer_s
        )
        # While the store is slow, a live owner is not replaced: a claim adds load.
        return may_claim or (not answer_s and self._claim_priority.should_preempt(now_s))

    def _claim(self) -> None:
        before = self._index.notice
        token = before.token + 1 if before is not None else 1
        notice = encode_notice(
            OwnerNotice(self._incarnation, token, self._address, {}, self._cores),
            has_ranges=self._index.needs_ranges,
        )
        sequence = self._sequences.setdefault(token, random.randrange(1, MAX_FIRST_SEQUENCE))
        is_taken = self._store.claim(token, Record(record_key(RecordKind.OWNER), notice), sequence)
        self._events.write("ownership-claimed", token=token, is_taken=is_taken)

    def _note_contact(self) -> None:
        self._contact_s = time.monotonic()
        if self._is_store_lost:
            self._is_store_lost = False
            self._events.write("store-regained")

    def _probe_owner(self) -> None:
        """Probe the owner while reads fail; an unforeseen error must not end the thread."""
        try:
            self._failure_detector.note_failed_read(self._index.notice, time.monotonic())
        except Exception:
            report_error()

    def _note_failure(self, error: StoreError) -> None:
        self._silence_timer.note_failure()
        self._claim_priority.note_failure(time.monotonic())
        if not self._is_owner:
            self._probe_owner()
        if not self._is_store_lost:
            self._is_store_lost = True
            self._events.write("store-lost", error=str(error), age_s=round(self.contact_age_s, 2))
