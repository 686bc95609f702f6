"""What the owner reads and writes of jobs: their state, their rest, their end."""

import time
from collections import deque

from almondstack.control.planning import Planner
from almondstack.control.services import OwnerServices
from almondstack.jobs import (
    ActiveJob,
    RecordError,
    RecordKind,
    decode_progress,
    decode_submission,
    record_key,
)
from almondstack.ownership import Record

__all__ = ["JobRecords"]

_JOBS_FORGOTTEN_A_ROUND = 20


class JobRecords:
    """Turns records of jobs into active jobs and back.

    Parameters
    ----------
    services : OwnerServices
        The book of records, and how long ended jobs are kept.
    planner : Planner
        Knows the policy of each job's queue.
    """

    __slots__ = ("_planner", "_retired", "_services")

    def __init__(self, services: OwnerServices, planner: Planner) -> None:
        self._services = services
        self._planner = planner
        self._retired: deque[tuple[float, str]] = deque()

    def load(self, job_id: str) -> ActiveJob | None:
        """Return a job as it is stored; None, with a line, if it can't be read."""
        entry = self._services.book.entry(job_id)
        if entry is None:
            return None
        try:
            submission = decode_submission(entry.submission)
            records = decode_progress(entry.progress) if entry.progress else []
        except RecordError as error:
            self._services.events.write("job-unreadable", job=job_id, error=str(error))
            return None
        policy = self._planner.policy_of(submission)
        job = ActiveJob(job_id, submission, policy.max_attempts)
        job.restore(entry.state, records)
        if entry.is_cancelled:
            job.cancel()
        return job

    def changes(self, jobs: dict[str, ActiveJob]) -> list[Record]:
        """Return the records of jobs that have changed; little is kept of one that is over."""
        records = []
        for job in jobs.values():
            if not job.is_dirty:
                continue
            records.append(Record(record_key(RecordKind.PROGRESS, job.id), job.encode()))
            if job.is_over():
                remainder = job.encode_retained_submission()
                records.append(Record(record_key(RecordKind.SUBMISSION, job.id), remainder))
        return records

    def retire(self, job_id: str) -> None:
        """Note that a job is over, so that it is dropped once callers had time to ask."""
        self._retired.append((time.monotonic(), job_id))

    def dropped(self) -> list[Record]:
        """Return records that drop jobs whose callers have had time to ask."""
        records: list[Record] = []
        bound_s = time.monotonic() - self._services.control.keep_final_s
        for _ in range(_JOBS_FORGOTTEN_A_ROUND):
            if not self._retired or self._retired[0][0] >= bound_s:
                break
            _, job = self._retired.popleft()
            for kind in (RecordKind.PROGRESS, RecordKind.CANCEL, RecordKind.SUBMISSION):
                records.append(Record(record_key(kind, job), b""))
        return records
