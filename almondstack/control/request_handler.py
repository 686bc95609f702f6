"""Submissions and cancels of callers, answered once the owner's next append has stored them."""

import time
from collections import OrderedDict
from typing import NamedTuple

from almondstack.control.planning import Planner
from almondstack.control.services import OwnerServices
from almondstack.control.set_aside import set_aside
from almondstack.intake import CancelRequest, OwnerRequest, Receipt, SubmissionRequest, Verdict
from almondstack.intake.rejections import report_rejection
from almondstack.intake.verdicts import repeat_verdict
from almondstack.jobs import ActiveJob, RecordKind, encode_submission, record_key
from almondstack.jobs.admission_state import AdmissionState
from almondstack.ownership import Record
from almondstack.placement import QueuePolicy
from almondstack.placement.admission import Decision, judge
from almondstack.placement.return_schedule import ReturnSchedule

__all__ = ["RequestHandler"]

_MAX_RETAINED_REFUSALS = 16_384
"""Number of refused jobs retained to detect requests that arrive late; covers a few minutes of
refusals of one busy account."""


class _Refusal(NamedTuple):
    """A refused request, and the decision on it."""

    request: SubmissionRequest
    decision: Decision


class _Accepted(NamedTuple):
    """An accepted submission, and its record."""

    request: SubmissionRequest
    record: Record


class RequestHandler:
    """Handles requests, returns the records to store for them, and then answers them.

    Explanation
    -----------
    A refusal is answered once a record of it is stored and the log has been read up
    to that record: an attempt of another process to store the job is then either
    before that record and was read, or it fails.  A request that was delayed on its
    way here and arrives after the refusal is detected by the offset up to which its
    process had read the log.

    Parameters
    ----------
    services : OwnerServices
        Provides the job index and the offset up to which the log has been read.
    planner : Planner
        Provides the policy of each queue.
    """

    __slots__ = (
        "_accepted",
        "_awaiting_read",
        "_cancelled",
        "_duplicates",
        "_planner",
        "_refused",
        "_refused_offsets",
        "_returns",
        "_services",
    )

    def __init__(self, services: OwnerServices, planner: Planner) -> None:
        self._services = services
        self._planner = planner
        self._accepted: dict[str, _Accepted] = {}
        self._duplicates: list[SubmissionRequest] = []
        self._cancelled: list[CancelRequest] = []
        self._refused: list[_Refusal] = []
        self._awaiting_read: list[tuple[int, _Refusal]] = []
        self._refused_offsets: OrderedDict[str, int] = OrderedDict()
        self._returns = ReturnSchedule()

    def submit(self, request: SubmissionRequest, admission: AdmissionState) -> ActiveJob | None:
        """Handle a submission; return its job if the next append stores it as accepted.

        Parameters
        ----------
        request : SubmissionRequest
            The request; it is ignored if its caller has withdrawn it.
        admission : AdmissionState
            Estimated waits of new work.
        """
        if not request.take():
            return None
        job, submission = request.job, request.submission
        entry = self._services.index.entry(job)
        if entry is not None:
            request.answer(Receipt(repeat_verdict(submission, entry)))
            return None
        if job in self._accepted:
            self._duplicates.append(request)
            return None
        if request.read_offset < self._refused_offsets.get(job, 0):
            request.answer(Receipt(Verdict.NOT_STORED))
            return None
        policy = self._planner.policy_of(submission)
        decision = self._decide(request, admission, policy)
        if not decision.is_accepted:
            self._refused.append(_Refusal(request, decision))
            report_rejection(self._services, job, submission, policy, decision)
            return None
        # A value that can't be stored fails here, where only this request is refused.
        record = _submission_record(request)
        self._returns.release(submission.account, job)
        if admission.is_current:
            # A state that was read is kept by the job index, which adds what is stored.
            admission.note_accepted(submission)
        self._accepted[job] = _Accepted(request, record)
        return ActiveJob(job, submission, policy.max_attempts)

    def refuse_failed(self, request: SubmissionRequest, error: Exception) -> bool:
        """Answer a submission that failed: "not stored", or unclear if its job is known.

        Returns
        -------
        bool
            Whether it had been accepted, so that its job may have been taken up.

        Explanation
        -----------
        The error of one request must not end this owner, and the next ones, and with them the
        work of all.
        """
        accepted = self._accepted.get(request.job)
        is_own = accepted is not None and accepted.request is request
        if is_own:
            del self._accepted[request.job]
        is_known = request.job in self._accepted or self._services.index.entry(request.job)
        set_aside(self._services, "request-failed", request.job, error)
        request.answer(Receipt(Verdict.UNCLEAR if is_known else Verdict.NOT_STORED))
        return is_own

    def cancel(self, request: CancelRequest) -> bool:
        """Handle a cancel; return whether its job is to be cancelled."""
        if not request.take():
            return False
        entry = self._services.index.entry(request.job)
        if entry is None and request.job not in self._accepted:
            request.answer(Receipt(Verdict.UNKNOWN_JOB))
            return False
        if entry is not None and (entry.is_cancelled or entry.state.is_final):
            request.answer(Receipt(Verdict.DONE))
            return False
        self._cancelled.append(request)
        return True

    def fail_cancel(self, request: CancelRequest, error: Exception) -> None:
        """Answer a cancel that could not be handled: its record may be stored all the same."""
        set_aside(self._services, "request-failed", request.job, error)
        request.answer(Receipt(Verdict.UNCLEAR))

    def records(self) -> list[Record]:
        """Return the records to store for the pending requests."""
        return [
            *map(_refusal_record, self._refused),
            *(accepted.record for accepted in self._accepted.values()),
            *map(_cancel_record, self._cancelled),
        ]

    def answer_stored(self, end_offset: int) -> None:
        """Answer the requests whose records are stored.

        Explanation
        -----------
        ``end_offset`` is the offset after the records of this round.  Refusals are
        answered later, once the log has been read up to it.
        """
        accepted, self._accepted = self._accepted, {}
        for request, record in accepted.values():
            self._apply(record)
            request.answer(Receipt(Verdict.DONE))
        duplicates, self._duplicates = self._duplicates, []
        for request in duplicates:
            stored = accepted[request.job].request.submission
            request.answer(Receipt(repeat_verdict(request.submission, stored)))
        cancelled, self._cancelled = self._cancelled, []
        for cancel in cancelled:
            self._apply(_cancel_record(cancel))
            cancel.answer(Receipt(Verdict.DONE))
        refused, self._refused = self._refused, []
        for refusal in refused:
            self._retain_refusal(refusal.request.job, end_offset)
            self._awaiting_read.append((end_offset, refusal))
        self.answer_refusals()

    def answer_refusals(self) -> None:
        """Answer the refusals up to whose records the log has been read."""
        read_offset = self._services.read_offset()
        waiting = self._awaiting_read
        self._awaiting_read = [item for item in waiting if item[0] > read_offset]
        for offset, refusal in waiting:
            if offset <= read_offset:
                self._answer_refusal(refusal)

    def close(self) -> None:
        """Answer all pending requests with an unclear verdict: they may or may not be stored."""
        requests: list[OwnerRequest] = [
            *(accepted.request for accepted in self._accepted.values()),
            *self._duplicates,
            *self._cancelled,
            *(refusal.request for refusal in self._refused),
            *(refusal.request for _, refusal in self._awaiting_read),
        ]
        for request in requests:
            request.answer(Receipt(Verdict.UNCLEAR))

    def _decide(
        self, request: SubmissionRequest, admission: AdmissionState, policy: QueuePolicy
    ) -> Decision:
        """Decide on a submission; a rejected one gets its place in the order of return."""
        job, account = request.job, request.submission.account
        now_s = time.monotonic()
        held_ms = self._returns.held_ms(account, job, now_s)
        decision = judge(admission, request.submission, policy, now_s, held_ms)
        return self._returns.reserve(account, job, decision, now_s)

    def _answer_refusal(self, refusal: _Refusal) -> None:
        request = refusal.request
        entry = self._services.index.entry(request.job)
        if entry is None:
            decision = refusal.decision
            request.answer(Receipt(Verdict.FULL, decision.late_ms, decision.retry_s))
            return
        request.answer(Receipt(repeat_verdict(request.submission, entry)))

    def _retain_refusal(self, job: str, offset: int) -> None:
        self._refused_offsets.pop(job, None)
        self._refused_offsets[job] = offset
        if len(self._refused_offsets) > _MAX_RETAINED_REFUSALS:
            self._refused_offsets.popitem(last=False)

    def _apply(self, record: Record) -> None:
        self._services.index.apply(record.key, record.value)


def _submission_record(request: SubmissionRequest) -> Record:
    key = record_key(RecordKind.SUBMISSION, request.job)
    return Record(key, encode_submission(request.submission))


def _cancel_record(request: CancelRequest) -> Record:
    return Record(record_key(RecordKind.CANCEL, request.job), b"\x01")


def _refusal_record(refusal: _Refusal) -> Record:
    return Record(record_key(RecordKind.REFUSAL, refusal.request.job), b"")
