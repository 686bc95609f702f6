"""Handing jobs in at the store itself, where the owner can't be asked."""

import random
import time
from collections.abc import Callable

from almondstack.intake.appends import PatientAppends
from almondstack.intake.ports import StoreReader
from almondstack.intake.verdicts import Verdict
from almondstack.jobs import (
    JobEntry,
    JobIndex,
    RecordKind,
    Submission,
    encode_submission,
    record_key,
)
from almondstack.jobs.job_index import RefusalMark
from almondstack.ownership import LogMovedError, Record, RecordStore, StoreRefusedError

__all__ = ["DirectStorage", "DirectSubmission"]


_PAUSE_S, _MOST_PAUSE_S = 0.02, 0.3
"""First and longest pause before a submission that others overtook is appended again, in seconds
and on average; each try is a read and an append, of which the store takes so many for all."""


class DirectSubmission:
    """A job to store.

    Parameters
    ----------
    job : str
        Its id.
    submission : Submission
        What the caller asks for.
    mark : RefusalMark
        What the book knew of refusals of the job when the request came.
    known : callable
        Returns the verdict for a job that is stored already.
    """

    __slots__ = ("job", "known", "mark", "record")

    def __init__(
        self,
        job: str,
        submission: Submission,
        mark: RefusalMark,
        known: Callable[[JobEntry], Verdict],
    ) -> None:
        self.job = job
        self.mark = mark
        self.known = known
        self.record = Record(record_key(RecordKind.SUBMISSION, job), encode_submission(submission))


class _SettledError(Exception):
    """The job needs no append any more; carries what the caller hears."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict)
        self.verdict = verdict


class DirectStorage:
    """Appends submissions at the end of the log, each behind all that this process has read.

    Explanation
    -----------
    The store takes such an append only while the log ends where this process has
    read to.  So no submission comes behind a refusal of its job that its process
    has not read: whoever refuses a job writes that to the log and reads up to it,
    and knows then whether an attempt came before, and that none comes later.

    Parameters
    ----------
    store : RecordStore
        Where jobs are stored.
    book : JobIndex
        What this process has folded.
    reader : StoreReader
        Follows the store into the book.
    appends : PatientAppends
        Repeats what goes wrong.
    """

    __slots__ = ("_appends", "_book", "_reader", "_store")

    def __init__(
        self, store: RecordStore, book: JobIndex, reader: StoreReader, appends: PatientAppends
    ) -> None:
        self._store = store
        self._book = book
        self._reader = reader
        self._appends = appends

    def submit(self, wanted: DirectSubmission, timeout_s: float) -> Verdict:
        """Store a submission within the caller's time, unless it is stored or refused already."""
        until_s = time.monotonic() + timeout_s
        try:
            verdict = self._appends.store_until(
                lambda try_s: self._append(wanted, try_s, until_s), wanted.job, timeout_s
            )
        except _SettledError as settled:
            return settled.verdict
        if verdict is Verdict.DONE:
            self._book.apply(wanted.record.key, wanted.record.value)
        return verdict

    def _append(self, wanted: DirectSubmission, try_s: float, until_s: float) -> None:
        pause_s = _PAUSE_S
        while not self._append_at_end(wanted, try_s, until_s):
            time.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, _MOST_PAUSE_S)
            if time.monotonic() >= until_s:
                raise StoreRefusedError("the log went on before each append")

    def _append_at_end(self, wanted: DirectSubmission, try_s: float, until_s: float) -> bool:
        """Append behind all that is stored; False if other records came first."""
        self._reader.sync()
        left_s = until_s - time.monotonic()
        if left_s <= 0:
            raise StoreRefusedError("the caller's time went by while the log was read")
        # The book, which is looked at next, holds all that lies before it.
        offset = self._reader.next_offset
        entry = self._book.entry(wanted.job)
        if entry is not None:
            raise _SettledError(wanted.known(entry))
        if self._book.refusal_mark(wanted.job) != wanted.mark:
            raise _SettledError(Verdict.NOT_STORED)
        try:
            self._store.append_at(wanted.record, offset, min(try_s, left_s))
        except LogMovedError:
            return False
        return True
