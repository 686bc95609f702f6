"""Tickets of the advice service, asked for ahead and kept while they hold."""

import queue
import threading
import time
from typing import NamedTuple

from almondstack.control.errors import AdviceError
from almondstack.control.services import OwnerServices
from almondstack.jobs import Task, format_step_name
from almondstack.placement import AdvicePolicy, Worker

__all__ = ["Advisor"]

_SPARE_S = 0.5
"""A ticket that ends sooner than this is not used, in seconds."""

_MOST_WORKERS = 100
"""Workers that one call may name."""

_RETRY_S = 0.3


class _Ticket(NamedTuple):
    text: str
    life: int
    until_s: float


class _Question(NamedTuple):
    step: str
    workers: tuple[Worker, ...]
    policy: AdvicePolicy


class Advisor:
    """Knows which workers may run a step.

    Explanation
    -----------
    The service takes one call at a time from each machine, so one thread asks.
    What it says of a worker does not change; only tickets end, and are asked
    for again when the step still has tasks to start.

    Parameters
    ----------
    services : OwnerServices
        The advice service, the policies and where lines go.
    """

    __slots__ = ("_asked", "_lock", "_questions", "_services", "_thread", "_tickets")

    def __init__(self, services: OwnerServices) -> None:
        self._services = services
        self._tickets: dict[str, dict[str, _Ticket]] = {}
        self._asked: dict[str, dict[str, float]] = {}
        self._lock = threading.Lock()
        self._questions: queue.SimpleQueue[_Question] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def allowed_workers(self, task: Task, workers: list[Worker]) -> list[Worker]:
        """Return the workers that may run a task's step now; none while that is not known."""
        policy = self._policy(task)
        if policy is None or self._services.advice is None:
            return workers
        step = _step_name(task)
        now_s = time.monotonic()
        self._ask_for_missing(step, workers, policy, now_s)
        with self._lock:
            tickets = self._tickets.get(step, {})
        return [worker for worker in workers if _holds(tickets.get(worker.id), worker, now_s)]

    def ticket(self, task: Task) -> str:
        """Return the ticket for a task's present worker, or an empty text where none is needed."""
        if self._policy(task) is None:
            return ""
        with self._lock:
            ticket = self._tickets.get(_step_name(task), {}).get(task.worker)
        return ticket.text if ticket is not None else ""

    def _policy(self, task: Task) -> AdvicePolicy | None:
        queue_policy = self._services.policies().queues.get(task.job.submission.queue)
        return queue_policy.advice if queue_policy is not None else None

    def _ask_for_missing(
        self, step: str, workers: list[Worker], policy: AdvicePolicy, now_s: float
    ) -> None:
        asked = self._asked.setdefault(step, {})
        missing = tuple(worker for worker in workers if asked.get(worker.id, 0.0) <= now_s)
        if not missing:
            return
        missing = missing[:_MOST_WORKERS]
        again_s = now_s + max(policy.valid_ms / 1000.0 - 2 * _SPARE_S, _RETRY_S)
        for worker in missing:
            asked[worker.id] = again_s
        self._questions.put(_Question(step, missing, policy))
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="advisor", daemon=True)
            self._thread.start()

    def _run(self) -> None:
        while True:
            self._answer(self._questions.get())

    def _answer(self, question: _Question) -> None:
        asked_s = time.monotonic()
        service = self._services.advice
        if service is None:
            return
        try:
            allowed = service.advise(question.step, [worker.id for worker in question.workers])
        except AdviceError as error:
            self._services.events.write("advice-failed", step=question.step, error=str(error))
            for worker in question.workers:
                self._asked[question.step][worker.id] = asked_s + _RETRY_S
            return
        until_s = asked_s + question.policy.valid_ms / 1000.0
        lives = {worker.id: worker.info.life for worker in question.workers}
        with self._lock:
            known = dict(self._tickets.get(question.step, {}))
            for name, text in allowed.items():
                known[name] = _Ticket(text, lives.get(name, 0), until_s)
            self._tickets[question.step] = known


def _step_name(task: Task) -> str:
    return format_step_name(task.job.id, task.key.occurrence, task.key.step)


def _holds(ticket: _Ticket | None, worker: Worker, now_s: float) -> bool:
    if ticket is None or ticket.life != worker.info.life:
        return False
    return ticket.until_s - now_s > _SPARE_S
