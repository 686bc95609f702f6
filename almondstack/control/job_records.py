"""Conversion between stored job records and the owner's active jobs."""

import time
from collections import deque

from almondstack.control.planning import Planner
from almondstack.control.services import OwnerServices
from almondstack.jobs import (
    ActiveJob,
    RecordError,
    RecordKind,
    decode_done_occurrences,
    decode_progress,
    decode_submission,
    record_key,
)
from almondstack.ownership import Record

__all__ = ["JobRecords"]

_MAX_REMOVALS_PER_ROUND = 20
"""Maximum number of ended jobs whose records are removed in one round."""


class JobRecords:
    """Turns records of jobs into active jobs and back.

    Parameters
    ----------
    services : OwnerServices
        Provides the job index and the retention time of ended jobs.
    planner : Planner
        Provides the policy of each job's queue.

    Attributes
    ----------
    lacking_ranges : list of str
        Jobs that need progress records in the ranged form, and did not get it in the last
        :meth:`changes`.
    """

    __slots__ = ("_ended_jobs", "_planner", "_services", "lacking_ranges")

    def __init__(self, services: OwnerServices, planner: Planner) -> None:
        self._services = services
        self._planner = planner
        self._ended_jobs: deque[tuple[float, str]] = deque()
        self.lacking_ranges: list[str] = []

    def load(self, job_id: str) -> ActiveJob | None:
        """Return a stored job; None if there is none, or, with a log event, if it is invalid."""
        entry = self._services.index.entry(job_id)
        if entry is None:
            return None
        try:
            submission = decode_submission(entry.submission)
            records = decode_progress(entry.progress) if entry.progress else []
            done = decode_done_occurrences(entry.progress) if entry.progress else []
        except RecordError as error:
            self._services.events.write("job-unreadable", job=job_id, error=str(error))
            return None
        policy = self._planner.policy_of(submission)
        job = ActiveJob(job_id, submission, policy.max_attempts)
        job.restore(entry.state, records, done)
        if entry.is_cancelled:
            job.cancel()
        return job

    def changes(self, jobs: dict[str, ActiveJob], *, may_use_ranges: bool) -> list[Record]:
        """Return the records of changed jobs; the submission of an ended job is reduced."""
        records = []
        self.lacking_ranges = []
        for job in jobs.values():
            if not job.is_dirty:
                continue
            if job.needs_ranges and not may_use_ranges:
                self.lacking_ranges.append(job.id)
            value = job.encode(may_use_ranges=may_use_ranges)
            records.append(Record(record_key(RecordKind.PROGRESS, job.id), value))
            if job.is_over():
                remainder = job.encode_retained_submission()
                records.append(Record(record_key(RecordKind.SUBMISSION, job.id), remainder))
        return records

    def schedule_removal(self, job_id: str) -> None:
        """Schedule an ended job's records for removal after the retention time."""
        self._ended_jobs.append((time.monotonic(), job_id))

    def removals(self) -> list[Record]:
        """Return the records that remove ended jobs whose retention time has passed."""
        records: list[Record] = []
        bound_s = time.monotonic() - self._services.control.keep_final_s
        for _ in range(_MAX_REMOVALS_PER_ROUND):
            if not self._ended_jobs or self._ended_jobs[0][0] >= bound_s:
                break
            _, job = self._ended_jobs.popleft()
            for kind in (RecordKind.PROGRESS, RecordKind.CANCEL, RecordKind.SUBMISSION):
                records.append(Record(record_key(kind, job), b""))
        return records
