"""Follows the records of jobs, and claims ownership when it is vacant."""

import random
import threading
import time
from collections.abc import Callable

from almondstack.core.events import EventLog
from almondstack.core.shared_call import CallNotSharedError, SharedCall
from almondstack.jobs import (
    JobBook,
    OwnerNotice,
    RecordError,
    RecordKind,
    encode_notice,
    record_key,
)
from almondstack.jobs.records import decode_notice, split_key
from almondstack.ownership.errors import HistoryLostError, StoreError, StoreRefusedError
from almondstack.ownership.owner_records import is_written_by_owner
from almondstack.ownership.ports import Record, RecordStore
from almondstack.ownership.preference import Preference, instance_of
from almondstack.ownership.settings import OwnershipSettings
from almondstack.ownership.silence import OwnerSilence
from almondstack.ownership.vacancy import Vacancy

__all__ = ["Follower"]

_MOST_SEQUENCE = 2**40
"""Claims begin at a random sequence: the store would take two claims of one token with one
sequence for a repeat, and answer both with success.  Different ones tell them apart, so that
the store takes the first of them only, however fast other records come."""


_SYNC_S = 1.0
"""A caller waits no longer for this process to read to the end of the log, in seconds."""


class Follower:
    """Keeps a job book up to date, and takes over when nobody owns the jobs.

    Parameters
    ----------
    store : RecordStore
        Where the records lie.
    book : JobBook
        Folds them.
    settings : OwnershipSettings
        Times.
    incarnation : str
        Names this process.
    address : str
        Numeric address at which this process listens for as long as it lives.
    events : EventLog
        Takes a line for each dependency lost or regained and each claim.
    take_over : callable
        Called with the token and the sequence of the claim once this process
        owns the jobs; must not block.
    cores : float
        Speed of this process's processor, in cores.
    """

    __slots__ = (
        "_address",
        "_book",
        "_contact_s",
        "_cores",
        "_current_s",
        "_events",
        "_incarnation",
        "_is_loaded",
        "_is_lost",
        "_is_owner",
        "_is_retiring",
        "_last_owner_record_s",
        "_lock",
        "_offset",
        "_preference",
        "_sequences",
        "_settings",
        "_silence",
        "_started_s",
        "_stop",
        "_store",
        "_sync",
        "_take_over",
        "_thread",
        "_vacancy",
    )

    def __init__(
        self,
        store: RecordStore,
        book: JobBook,
        settings: OwnershipSettings,
        incarnation: str,
        address: str,
        events: EventLog,
        take_over: Callable[[int, int], None],
        cores: float = 1.0,
    ) -> None:
        self._store = store
        self._book = book
        self._settings = settings
        self._incarnation = incarnation
        self._address = address
        self._events = events
        self._take_over = take_over
        self._cores = cores
        self._preference = Preference(cores, settings, instance_of(incarnation))
        self._offset = 0
        self._sequences: dict[int, int] = {}
        self._is_loaded = False
        self._is_lost = False
        self._is_owner = False
        self._is_retiring = False
        self._contact_s = time.monotonic()
        self._current_s = time.monotonic()
        self._last_owner_record_s = time.monotonic()
        self._sync = SharedCall(self._read_to_end)
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._vacancy = Vacancy(settings.silence_s + random.uniform(0, settings.stagger_s))
        self._silence = OwnerSilence(settings, incarnation, self._vacancy, self._preference)
        self._thread = threading.Thread(target=self._run, name="follower", daemon=True)

    @property
    def is_loaded(self) -> bool:
        """Whether the book was complete at some time."""
        return self._is_loaded

    @property
    def contact_age_s(self) -> float:
        """Seconds since the store last answered a read."""
        return time.monotonic() - self._contact_s

    @property
    def has_failed(self) -> bool:
        """Whether the last read failed."""
        return self._is_lost

    @property
    def lag_s(self) -> float:
        """Seconds since this process last knew all that the store held."""
        return time.monotonic() - self._current_s

    @property
    def read_gap_s(self) -> float:
        """How long it may be between two answers of a store that is well, in seconds."""
        pace_s = self._settings.pace_s * self._store.read_backoff.factor()
        return self._settings.wait_s + pace_s + self._store.latency.answer_s

    @property
    def last_owner_record_s(self) -> float:
        """Monotonic time at which the last record of an owner was read, in seconds.

        Explanation
        -----------
        Our own claim does not count.  All that the owner before has stored lies
        before the claim, so it has stored nothing after this time.
        """
        return self._last_owner_record_s

    @property
    def next_offset(self) -> int:
        """The offset up to which the log is folded into the book."""
        return self._offset

    def start(self) -> None:
        """Start to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to follow."""
        self._stop.set()

    def stop_claiming(self) -> None:
        """Claim ownership no more; the process is about to end."""
        self._is_retiring = True

    def step_down(self) -> None:
        """Follow as one of many again."""
        self._is_owner = False

    def sync(self) -> None:
        """Read to the present end of the log.

        Explanation
        -----------
        All threads that ask share one read at a time: a process that has fallen
        behind would fill its link with the same records over and over.

        Raises
        ------
        StoreError
            The store did not answer as it should, or holds too much for now.
        """
        try:
            self._sync.run(_SYNC_S)
        except CallNotSharedError as error:
            raise StoreRefusedError(str(error)) from error

    def _read_to_end(self) -> None:
        until_s = time.monotonic() + _SYNC_S
        while self._read(0.0):
            # One answer holds a bounded part of what is there.
            if time.monotonic() >= until_s:
                raise StoreRefusedError("the end of the log is too far ahead")

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.step()
            except StoreError as error:
                self._note_failure(error)
                pause_s = self._settings.retry_pause_s * random.uniform(0.8, 1.2)
                self._stop.wait(pause_s * self._store.read_backoff.factor())
            except Exception as error:
                # A fault of ours: a process that no longer follows would show old states.
                self._events.write("follower-failed", error=repr(error), offset=self._offset)
                self._stop.wait(self._settings.retry_pause_s)

    def step(self) -> None:
        """Read once, and claim ownership if it is vacant; what the thread does over and over.

        Raises
        ------
        StoreError
            The store did not answer as it should.
        """
        if not self._is_loaded:
            self._load()
        if self._read(self._settings.wait_s):
            # What one answer could not hold comes first: a claim needs all of it anyway.
            return
        self._find_own_claim()
        if self._is_owner:
            self._stop.wait(self._settings.owner_pace_s)
            return
        if self._may_claim():
            self._claim()
            return
        is_close = self._preference.is_standby
        pace_s = self._settings.owner_pace_s if is_close else self._settings.pace_s
        self._stop.wait(pace_s * self._store.read_backoff.factor())

    def _load(self) -> None:
        with self._lock:
            snapshot = self._store.snapshot()
            self._book.note_filling()
            for record in snapshot.records:
                self._book.apply(record.key, record.value)
            self._offset = snapshot.next_offset
            self._is_loaded = True
            self._last_owner_record_s = time.monotonic()
        self._note_contact()
        self._events.write("book-loaded", records=len(snapshot.records), offset=self._offset)

    def _read(self, wait_s: float) -> bool:
        """Read once; return whether the log had more than the answer could hold."""
        try:
            batch = self._store.read(self._offset, wait_s)
        except HistoryLostError:
            self._events.write("history-lost", offset=self._offset)
            self._is_loaded = False
            raise
        with self._lock:
            self._fold(batch.records, batch.next_offset)
        self._note_contact()
        signs = [record for record in batch.records if is_written_by_owner(record)]
        self._vacancy.note_read(time.monotonic(), has_sign=bool(signs))
        if not all(map(self._is_own_claim, signs)):
            self._last_owner_record_s = time.monotonic()
        notice = self._book.notice
        if notice is not None:
            self._preference.note_notice(notice, time.monotonic())
        if notice is not None and not notice.owner:
            self._vacancy.note_release()
        has_more = batch.next_offset < batch.end_offset
        if not has_more:
            self._current_s = time.monotonic()
        return has_more

    def _fold(self, records: list[Record], next_offset: int) -> None:
        """Fold what no other thread has folded in the meantime."""
        first = next_offset - len(records)
        for record in records[max(0, self._offset - first) :]:
            self._book.apply(record.key, record.value)
        self._offset = max(self._offset, next_offset)

    def _is_own_claim(self, record: Record) -> bool:
        if split_key(record.key)[0] is not RecordKind.OWNER:
            return False
        try:
            return decode_notice(record.value).owner == self._incarnation
        except RecordError:
            return False

    def _find_own_claim(self) -> None:
        """Own the jobs once the newest notice that was read is a claim of ours.

        Explanation
        -----------
        The reply to a claim is not trusted: it may be lost, and it may be the
        reply to another process that made the same claim.  A process that is
        about to end owns them too, since only the owner can give them back.
        """
        notice = self._book.notice
        if self._is_owner or notice is None:
            return
        if notice.owner != self._incarnation:
            return
        sequence = self._sequences.pop(notice.token, None)
        if sequence is not None:
            self._is_owner = True
            self._take_over(notice.token, sequence)

    def _may_claim(self) -> bool:
        if self._is_retiring:
            return False
        now_s = time.monotonic()
        is_new = now_s - self._started_s < self._settings.silence_s
        is_vacant = self._silence.is_vacant(self._book.notice, now_s, is_new=is_new)
        answer_s = self._store.latency.answer_s
        may_claim = self._preference.may_claim(
            now_s, is_vacant=is_vacant, is_new=is_new, answer_s=answer_s
        )
        # A slow store has better to do than to change an owner that lives.
        return may_claim or (not answer_s and self._preference.is_better(now_s))

    def _claim(self) -> None:
        before = self._book.notice
        token = before.token + 1 if before is not None else 1
        notice = encode_notice(
            OwnerNotice(self._incarnation, token, self._address, {}, self._cores)
        )
        sequence = self._sequences.setdefault(token, random.randrange(1, _MOST_SEQUENCE))
        is_taken = self._store.claim(token, Record(record_key(RecordKind.OWNER), notice), sequence)
        self._events.write("ownership-claimed", token=token, is_taken=is_taken)

    def _note_contact(self) -> None:
        self._contact_s = time.monotonic()
        if self._is_lost:
            self._is_lost = False
            self._events.write("store-regained")

    def _note_failure(self, error: StoreError) -> None:
        self._vacancy.note_failure()
        self._preference.note_failure(time.monotonic())
        if not self._is_lost:
            self._is_lost = True
            self._events.write("store-lost", error=str(error), age_s=round(self.contact_age_s, 2))
