"""Requests the advice service's tickets, which allow a worker to run a step, in one thread."""

import contextlib
import threading
import time

from almondstack.control.advice_table import AdviceCall, AdviceTable
from almondstack.control.advice_times import is_usable
from almondstack.control.errors import AdviceError
from almondstack.control.ports import AdviceService
from almondstack.control.services import OwnerServices
from almondstack.core.supervision import report_error
from almondstack.jobs import Task, TaskNameError, format_step_name
from almondstack.jobs.names import parse_task_name
from almondstack.placement import AdvicePolicy, Worker

__all__ = ["Advisor"]

_RETRY_PAUSE_S = 0.3
"""Pause after a failed call, in seconds."""

_MS_PER_S = 1000.0


class Advisor:
    """Requests and caches advice tickets, and filters workers by them.

    Explanation
    -----------
    The service handles one call at a time from each machine, so a single thread makes
    the calls, and chooses the next one only when the last was answered.  Whether a worker
    is allowed does not change, but tickets expire; they are requested again while the step
    still has tasks to start.

    Parameters
    ----------
    services : OwnerServices
        The advice service, the policies, metrics and the event log.
    """

    __slots__ = (
        "_changed",
        "_is_closed",
        "_not_before_s",
        "_reported",
        "_services",
        "_table",
        "_thread",
    )

    def __init__(self, services: OwnerServices) -> None:
        self._services = services
        self._table = AdviceTable()
        self._changed = threading.Condition()
        self._is_closed = False
        self._not_before_s = 0.0
        self._reported: dict[str, tuple[int, int, int]] = {}
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread, if there is an advice service."""
        if self._services.advice is not None:
            self._thread = threading.Thread(target=self._run, name="advisor", daemon=True)
            self._thread.start()

    def close(self) -> None:
        """Make no more calls; one in flight may still be answered."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def allowed_workers(self, task: Task, workers: list[Worker]) -> list[Worker]:
        """Return the workers with a valid ticket for a task's step, and request missing tickets.

        Explanation
        -----------
        Returns all workers if the task's queue needs no advice, and none, without any call, if
        a ticket would have expired before the answer with it can come.
        """
        policy = self._policy(task)
        if policy is None or self._services.advice is None:
            return workers
        if not is_usable(policy):
            self._report_unusable(task.job.submission.queue, policy)
            return []
        now_s = time.monotonic()
        with self._changed:
            self._table.want(task, workers, policy, now_s)
            return self._table.usable_workers(task, workers, policy, now_s)

    def end_round(self) -> None:
        """Request from now on what the steps of this round wanted."""
        with self._changed:
            self._table.end_round(time.monotonic())
            if self._table.wanted_count:
                self._changed.notify_all()

    def ticket(self, task: Task) -> str | None:
        """Return the valid ticket for a task's worker, or None; empty if none is needed."""
        if self._policy(task) is None:
            return ""
        with self._changed:
            return self._table.ticket(task, time.monotonic())

    def drop_ticket(self, task_name: str, worker: str) -> None:
        """Forget a ticket that its worker has rejected; a malformed name is ignored."""
        with contextlib.suppress(TaskNameError):
            job, key = parse_task_name(task_name)
            with self._changed:
                self._table.drop_ticket(format_step_name(job, key.occurrence, key.step), worker)

    def run_next(self) -> bool:
        """Make the call that is due in this thread; return False if none is."""
        service = self._services.advice
        with self._changed:
            call = self._next_call()
        if service is None or call is None:
            return False
        self._fetch(service, call)
        return True

    def _policy(self, task: Task) -> AdvicePolicy | None:
        queue_policy = self._services.policies().queues.get(task.job.submission.queue)
        return queue_policy.advice if queue_policy is not None else None

    def _report_unusable(self, queue: str, policy: AdvicePolicy) -> None:
        """Write one line for a queue whose tickets last no longer than a call, and each change."""
        stated = (policy.decision_ms, policy.worker_ms, policy.valid_ms)
        if self._reported.get(queue) == stated:
            return
        self._reported[queue] = stated
        self._services.metrics.count("advice.unusable")
        self._services.events.write(
            "advice-unusable",
            queue=queue,
            decision_ms=policy.decision_ms,
            worker_ms=policy.worker_ms,
            valid_ms=policy.valid_ms,
        )

    def _next_call(self) -> AdviceCall | None:
        now_s = time.monotonic()
        return self._table.next_call(now_s) if now_s >= self._not_before_s else None

    def _run(self) -> None:
        while not self._is_closed:
            try:
                if not self.run_next():
                    self._wait_for_want()
            except Exception:
                # Counts as a failed call: the step is asked for again after a pause.
                report_error()
                self._not_before_s = time.monotonic() + _RETRY_PAUSE_S

    def _wait_for_want(self) -> None:
        """Wait until a round wants something, or until the pause after a failed call is over."""
        with self._changed:
            if self._is_closed or self._next_call() is not None:
                return
            pause_s = self._not_before_s - time.monotonic()
            self._changed.wait(pause_s if pause_s > 0 else None)

    def _fetch(self, service: AdviceService, call: AdviceCall) -> None:
        sent_s = time.monotonic()
        self._services.metrics.timing_ms("advice.wait", (sent_s - call.since_s) * _MS_PER_S)
        try:
            allowed = service.advise(call.step, [worker.id for worker in call.workers])
        except AdviceError as error:
            self._services.metrics.count("advice.failed")
            self._services.events.write("advice-failed", step=call.step, error=str(error))
            self._not_before_s = time.monotonic() + _RETRY_PAUSE_S
            return
        with self._changed:
            self._table.note_answer(call, allowed, sent_s, time.monotonic())
        self._note_answered(call, len(allowed), sent_s)

    def _note_answered(self, call: AdviceCall, allowed: int, sent_s: float) -> None:
        took_s = time.monotonic() - sent_s
        self._services.metrics.count("advice.answered")
        self._services.metrics.timing_ms("advice.call", took_s * _MS_PER_S)
        self._services.events.write(
            "advice-answered",
            step=call.step,
            workers=len(call.workers),
            allowed=allowed,
            waited_s=round(sent_s - call.since_s, 3),
            took_s=round(took_s, 3),
            wanted=self._table.wanted_count,
        )
