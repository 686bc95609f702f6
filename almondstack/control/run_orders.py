"""Sends starts and stops of runs to workers."""

import functools
import time

from almondstack.control.advisor import Advisor
from almondstack.control.messages import OrderReply, OrderStatus, StartOrder
from almondstack.control.runs import RunTable
from almondstack.control.services import OwnerServices
from almondstack.control.sessions import SessionTable
from almondstack.jobs import Task

__all__ = ["RunOrders"]


class RunOrders:
    """Sends the orders of a run table over the sessions of its workers.

    Parameters
    ----------
    services : OwnerServices
        The job index, the evacuated availability zones and the event log.
    sessions : SessionTable
        Carries the orders.
    advisor : Advisor
        Provides the tickets of starts.

    Attributes
    ----------
    table : RunTable
        The table whose orders these are.
    """

    __slots__ = ("_advisor", "_services", "_sessions", "table")

    def __init__(self, services: OwnerServices, sessions: SessionTable, advisor: Advisor) -> None:
        self._services = services
        self._sessions = sessions
        self._advisor = advisor
        self.table = RunTable(self, services.events, services.metrics)

    def retry_start(self, task: Task) -> None:
        """Send the start of a task's current run again."""
        self._send_start(task)

    def stop(self, worker: str, name: str, run: int) -> None:
        """Stop a run on a worker."""
        session = self._sessions.get(worker)
        if session is not None:
            session.stop(name, run)

    def is_start_waiting(self, task: Task) -> bool:
        """Whether a start of a task's current run waits to be sent."""
        session = self._sessions.get(task.worker)
        return session is not None and session.is_start_waiting(task.name, task.run)

    def send_starts(self, starts: list[Task]) -> None:
        """Send planned starts, except those whose job or ticket has ended since the plan."""
        for task in starts:
            if self.is_wanted(task, task.run) and self._advisor.ticket(task) is not None:
                self._send_start(task)
            elif task.is_assigned:
                self.table.withdraw(task, time.monotonic())

    def is_wanted(self, task: Task, run: int) -> bool:
        """Whether that run of a task is still to be started; called from session threads."""
        entry = self._services.index.entry(task.job.id)
        is_open = task.job.is_open and entry is not None and not entry.is_cancelled
        is_present = task.is_assigned and task.run == run and not task.is_stopping
        return is_open and is_present and self._takes_runs(task.worker)

    def _takes_runs(self, worker_id: str) -> bool:
        """Whether a worker neither drains nor is in an availability zone that gets no new runs."""
        worker = self.table.workers.get(worker_id)
        if worker is None:
            return True
        zones = self._services.directory.evacuated_zones()
        return not worker.info.is_draining and worker.info.zone not in zones

    def _send_start(self, task: Task) -> None:
        session = self._sessions.get(task.worker)
        if session is None:
            # Its worker has left since the plan.
            reply = OrderReply(OrderStatus.NOT_SENT)
            now_s = time.monotonic()
            self.table.note_start(task.worker, task.name, task.run, reply, now_s, task.life)
            return
        job = task.job
        name = task.name
        ticket = self._advisor.ticket(task) or ""
        self._services.events.write(
            "run-ordered", task=name, run=task.run, worker=task.worker, token=session.token
        )
        session.set_busy(True)
        order = StartOrder(name, task.run, job.submission.spec, task.checkpoint, ticket)
        session.start(order, functools.partial(self.is_wanted, task, task.run))
