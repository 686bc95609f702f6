"""Cache of the advice service's tickets, which allow a worker to run a step."""

import queue
import threading
import time
from typing import NamedTuple

from almondstack.control.errors import AdviceError
from almondstack.control.services import OwnerServices
from almondstack.jobs import Task, format_step_name
from almondstack.placement import AdvicePolicy, Worker

__all__ = ["Advisor"]

_MIN_REMAINING_S = 0.5
"""A ticket that expires sooner than this is not used, in seconds."""

_MAX_WORKERS_PER_CALL = 100
"""Workers that one call to the advice service may name."""

_RETRY_PAUSE_S = 0.3
"""Pause before workers of a failed call are requested again, in seconds."""


class _Ticket(NamedTuple):
    text: str
    life: int
    until_s: float


class _AdviceRequest(NamedTuple):
    step: str
    workers: tuple[Worker, ...]
    policy: AdvicePolicy


class Advisor:
    """Requests and caches advice tickets, and filters workers by them.

    Explanation
    -----------
    The service accepts one call at a time from each machine, so a single thread
    makes the calls.  Whether a worker is allowed does not change, but tickets expire;
    they are requested again while the step still has tasks to start.

    Parameters
    ----------
    services : OwnerServices
        The advice service, the policies and the event log.
    """

    __slots__ = ("_lock", "_next_request_s", "_requests", "_services", "_thread", "_tickets")

    def __init__(self, services: OwnerServices) -> None:
        self._services = services
        self._tickets: dict[str, dict[str, _Ticket]] = {}
        self._next_request_s: dict[str, dict[str, float]] = {}
        self._lock = threading.Lock()
        self._requests: queue.SimpleQueue[_AdviceRequest] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def allowed_workers(self, task: Task, workers: list[Worker]) -> list[Worker]:
        """Return the workers with a valid ticket for a task's step, and request missing tickets.

        Explanation
        -----------
        Returns all workers if the task's queue needs no advice.
        """
        policy = self._policy(task)
        if policy is None or self._services.advice is None:
            return workers
        step = _step_name(task)
        now_s = time.monotonic()
        self._request_missing(step, workers, policy, now_s)
        with self._lock:
            tickets = self._tickets.get(step, {})
        return [worker for worker in workers if _is_usable(tickets.get(worker.id), worker, now_s)]

    def ticket(self, task: Task) -> str:
        """Return the ticket for a task's worker; an empty string if none is needed or held."""
        if self._policy(task) is None:
            return ""
        with self._lock:
            ticket = self._tickets.get(_step_name(task), {}).get(task.worker)
        return ticket.text if ticket is not None else ""

    def _policy(self, task: Task) -> AdvicePolicy | None:
        queue_policy = self._services.policies().queues.get(task.job.submission.queue)
        return queue_policy.advice if queue_policy is not None else None

    def _request_missing(
        self, step: str, workers: list[Worker], policy: AdvicePolicy, now_s: float
    ) -> None:
        next_request_s = self._next_request_s.setdefault(step, {})
        missing = tuple(worker for worker in workers if next_request_s.get(worker.id, 0.0) <= now_s)
        if not missing:
            return
        missing = missing[:_MAX_WORKERS_PER_CALL]
        next_s = now_s + max(policy.valid_ms / 1000.0 - 2 * _MIN_REMAINING_S, _RETRY_PAUSE_S)
        for worker in missing:
            next_request_s[worker.id] = next_s
        self._requests.put(_AdviceRequest(step, missing, policy))
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="advisor", daemon=True)
            self._thread.start()

    def _run(self) -> None:
        while True:
            self._fetch(self._requests.get())

    def _fetch(self, request: _AdviceRequest) -> None:
        sent_s = time.monotonic()
        service = self._services.advice
        if service is None:
            return
        try:
            allowed = service.advise(request.step, [worker.id for worker in request.workers])
        except AdviceError as error:
            self._services.events.write("advice-failed", step=request.step, error=str(error))
            for worker in request.workers:
                self._next_request_s[request.step][worker.id] = sent_s + _RETRY_PAUSE_S
            return
        until_s = sent_s + request.policy.valid_ms / 1000.0
        lives = {worker.id: worker.info.life for worker in request.workers}
        with self._lock:
            tickets = dict(self._tickets.get(request.step, {}))
            for name, text in allowed.items():
                tickets[name] = _Ticket(text, lives.get(name, 0), until_s)
            self._tickets[request.step] = tickets


def _step_name(task: Task) -> str:
    return format_step_name(task.job.id, task.key.occurrence, task.key.step)


def _is_usable(ticket: _Ticket | None, worker: Worker, now_s: float) -> bool:
    if ticket is None or ticket.life != worker.info.life:
        return False
    return ticket.until_s - now_s > _MIN_REMAINING_S
