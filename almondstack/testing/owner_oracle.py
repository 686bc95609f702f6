"""Invariants of runs and jobs, checked against the events of workers and the store."""

from collections import defaultdict

from almondstack.jobs import JobState, RecordKind, Submission
from almondstack.jobs.names import parse_task_name
from almondstack.jobs.progress import decode_state
from almondstack.jobs.records import split_key

__all__ = ["DoneEnd", "OwnerOracle", "RuleBrokenError"]

_CEILING_ALLOWANCE = 1.1
"""Fraction of its ceiling that an account may use, in addition to its largest task."""

CANCEL_BOUND_S = 3.0
"""Time after a cancel was read from which on no task of the job may be started, in seconds."""


class RuleBrokenError(AssertionError):
    """An invariant does not hold; the message starts with the name of the rule."""


class DoneEnd:
    """An end that a worker listed as done.

    Attributes
    ----------
    is_acknowledged : bool
        Whether an owner has acknowledged the end.
    is_expired : bool
        Whether the worker's lease expired before the acknowledgement, so that the
        task may be started again.
    was_rerun : bool
        Whether the task was started again before the acknowledgement.
    """

    def __init__(self) -> None:
        self.is_acknowledged = False
        self.is_expired = False
        self.was_rerun = False


class OwnerOracle:
    """Checks starts, ends and records as they happen.

    Parameters
    ----------
    ceilings : dict of str to int
        Ceiling of each account, in thousandths of a core.
    max_attempts : int
        Number of failures after which a task must not be started again.
    """

    def __init__(self, ceilings: dict[str, int], max_attempts: int) -> None:
        self.submissions: dict[str, Submission] = {}
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled_s: dict[str, float] = {}
        self.running: dict[str, tuple[str, int]] = {}
        self.done_tasks: set[str] = set()
        self._ceilings = ceilings
        self._max_attempts = max_attempts
        self._done: dict[str, list[DoneEnd]] = defaultdict(list)
        self._failures: dict[str, int] = defaultdict(int)
        self._acknowledged_failures: dict[str, int] = defaultdict(int)

    def judge_order(self, name: str, cancel_read_s: float, now_s: float) -> None:
        """Check that a process orders no start long after it has read the job's cancel.

        Explanation
        -----------
        The bound counts from the time at which that process read the cancel, as a
        process that can not read the store can not detect a cancel.
        """
        if now_s > cancel_read_s + CANCEL_BOUND_S:
            raise RuleBrokenError(
                f"UNASKED: {name}: ordered {now_s - cancel_read_s:.1f} s after its cancel was read"
            )

    def note_start(self, name: str, spec: str, worker: str, life: int) -> None:
        """Check a run that has just started."""
        job, key = parse_task_name(name)
        submission = self.submissions.get(job)
        if submission is None or submission.spec != spec:
            raise RuleBrokenError(f"UNASKED: {name} with spec {spec!r}")
        if job in self.refused:
            raise RuleBrokenError(f"REFUSED: {name} runs, but all attempts were refused")
        if name in self.running:
            raise RuleBrokenError(f"TWICE: {name} runs on {worker} and on {self.running[name]}")
        self._check_earlier_ends(name)
        is_long_running = submission.steps[key.step].is_long_running
        if self._acknowledged_failures[name] >= self._max_attempts and not is_long_running:
            raise RuleBrokenError(f"BUDGET: {name} is started after {self._max_attempts} failures")
        for earlier in submission.steps[key.step].after:
            for member in range(submission.steps[earlier].count):
                if f"{job}.{key.occurrence}.{earlier}.{member}" not in self.done_tasks:
                    raise RuleBrokenError(f"ORDER: {name} before step {earlier} is done")
        self.running[name] = (worker, life)
        self._check_ceiling(submission)

    def note_end(self, name: str, how: str) -> DoneEnd | None:
        """Record an end that a worker lists; return a done end, to track its acknowledgement."""
        self.running.pop(name, None)
        job, key = parse_task_name(name)
        if how == "failed":
            self._failures[name] += 1
        submission = self.submissions.get(job)
        if how != "done" or submission is None or submission.steps[key.step].is_long_running:
            return None
        self.done_tasks.add(name)
        end = DoneEnd()
        self._done[name].append(end)
        return end

    def note_acknowledged(self, name: str, how: str, end: DoneEnd | None) -> None:
        """Check an end that an owner has acknowledged."""
        if how == "failed":
            self._acknowledged_failures[name] += 1
        if end is None or end.is_expired:
            return
        end.is_acknowledged = True
        if end.was_rerun:
            raise RuleBrokenError(f"TWICE: {name} was started again and its end is acknowledged")

    def note_killed(self, name: str) -> None:
        """Record that a run has ended with a crash of its worker."""
        self.running.pop(name, None)

    def judge_record(self, key: str, value: bytes) -> None:
        """Check a record that the store has appended."""
        kind, job = split_key(key)
        if kind is not RecordKind.PROGRESS or not value:
            return
        submission = self.submissions.get(job)
        if submission is None:
            raise RuleBrokenError(f"UNASKED: a record of {job}, which was never submitted")
        state = decode_state(value)
        if state is JobState.COMPLETED:
            for name in _names(job, submission):
                if name not in self.done_tasks:
                    raise RuleBrokenError(f"MIXED: {job} is completed without {name}")
        if state is JobState.FAILED and all(
            self._failures[name] < self._max_attempts for name in _names(job, submission)
        ):
            raise RuleBrokenError(f"LOST: {job} is stored as failed without enough failures")
        if state is JobState.CANCELLED and job not in self.cancelled_s:
            raise RuleBrokenError(f"LOST: {job} is stored as cancelled without a cancel")

    def _check_earlier_ends(self, name: str) -> None:
        for end in self._done[name]:
            if end.is_expired:
                continue
            if end.is_acknowledged:
                raise RuleBrokenError(f"TWICE: {name} was started after its acknowledged end")
            end.was_rerun = True

    def _check_ceiling(self, submission: Submission) -> None:
        ceiling = self._ceilings.get(submission.account)
        if ceiling is None:
            return
        used, largest = 0, 0
        for name in self.running:
            job, key = parse_task_name(name)
            other = self.submissions[job]
            if other.account == submission.account:
                used += other.steps[key.step].cpu_millis
                largest = max(largest, other.steps[key.step].cpu_millis)
        if used > ceiling * _CEILING_ALLOWANCE + largest:
            raise RuleBrokenError(f"QUOTA: {submission.account} uses {used} of {ceiling} millis")


def _names(job: str, submission: Submission) -> list[str]:
    return [
        f"{job}.{occurrence}.{step}.{member}"
        for occurrence in range(submission.occurrence_count)
        for step in range(len(submission.steps))
        for member in range(submission.steps[step].count)
    ]
