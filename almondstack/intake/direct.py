"""Appends submissions to the store directly when the owner can't be reached."""

import random
import time
from collections.abc import Callable

from almondstack.intake.append_retries import AppendRetries
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


_PAUSE_S, _MAX_PAUSE_S = 0.02, 0.3
"""First and longest average pause before a submission is appended again because other records
came first.  Each try costs a read and an append, which count against a rate limit that all
processes share."""


class DirectSubmission:
    """A job to store.

    Parameters
    ----------
    job : str
        The job's id.
    submission : Submission
        What the caller submits.
    refusal_mark : RefusalMark
        The index's mark for refusals of the job at the time of the request.
    stored_verdict : callable
        Returns the verdict for a job that is stored already.
    """

    __slots__ = ("job", "record", "refusal_mark", "stored_verdict")

    def __init__(
        self,
        job: str,
        submission: Submission,
        refusal_mark: RefusalMark,
        stored_verdict: Callable[[JobEntry], Verdict],
    ) -> None:
        self.job = job
        self.refusal_mark = refusal_mark
        self.stored_verdict = stored_verdict
        self.record = Record(record_key(RecordKind.SUBMISSION, job), encode_submission(submission))


class _NoAppendNeededError(Exception):
    """The job needs no append; carries the verdict for the caller."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict)
        self.verdict = verdict


class DirectStorage:
    """Appends submissions on the condition that this process has read the whole log.

    Explanation
    -----------
    The store accepts such an append only while the log ends at the offset up to which this
    process has read.  So no submission is stored after a refusal of its job that this
    process has not read.  A process that refuses a job writes the refusal to the log and
    reads up to it; then it knows whether a submission was stored before the refusal, and
    that none is stored after it.

    Parameters
    ----------
    store : RecordStore
        Log of the job records.
    index : JobIndex
        Jobs that this process has read from the log.
    reader : StoreReader
        Reads the log into the index.
    appends : AppendRetries
        Retries failed appends.
    """

    __slots__ = ("_appends", "_index", "_reader", "_store")

    def __init__(
        self, store: RecordStore, index: JobIndex, reader: StoreReader, appends: AppendRetries
    ) -> None:
        self._store = store
        self._index = index
        self._reader = reader
        self._appends = appends

    def submit(self, wanted: DirectSubmission, timeout_s: float) -> Verdict:
        """Store a submission within ``timeout_s``, unless it is stored or refused already."""
        until_s = time.monotonic() + timeout_s
        try:
            verdict = self._appends.run(
                lambda try_s: self._append(wanted, try_s, until_s), wanted.job, timeout_s
            )
        except _NoAppendNeededError as error:
            return error.verdict
        if verdict is Verdict.DONE:
            self._index.apply(wanted.record.key, wanted.record.value)
        return verdict

    def _append(self, wanted: DirectSubmission, try_s: float, until_s: float) -> None:
        pause_s = _PAUSE_S
        while not self._append_at_end(wanted, try_s, until_s):
            time.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)
            if time.monotonic() >= until_s:
                raise StoreRefusedError("other records came first at each try until the time-out")

    def _append_at_end(self, wanted: DirectSubmission, try_s: float, until_s: float) -> bool:
        """Append after all stored records; return False if other records came first."""
        self._reader.sync()
        left_s = until_s - time.monotonic()
        if left_s <= 0:
            raise StoreRefusedError("the time-out passed while the log was read")
        # Read the offset before the index: the index then contains all records before it.
        offset = self._reader.next_offset
        entry = self._index.entry(wanted.job)
        if entry is not None:
            raise _NoAppendNeededError(wanted.stored_verdict(entry))
        if self._index.refusal_mark(wanted.job) != wanted.refusal_mark:
            raise _NoAppendNeededError(Verdict.NOT_STORED)
        try:
            self._store.append_at(wanted.record, offset, min(try_s, left_s))
        except LogMovedError:
            return False
        return True
