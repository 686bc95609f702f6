"""What follows from the answers of workers to starts and stops."""

from typing import TYPE_CHECKING

from almondstack.control.current_runs import CurrentRun, is_same_incarnation
from almondstack.control.messages import OrderReply, OrderStatus
from almondstack.control.unclear_starts import may_repeat_start, may_stop_unconfirmed
from almondstack.core.events import EventLog
from almondstack.jobs import RunEnd, Task

if TYPE_CHECKING:
    from almondstack.control.runs import Orders, RunTable

__all__ = ["OrderReplies"]

_NO_CONNECTION_PAUSE_S = 1.0
"""Time without new runs for a worker that accepts no connection, in seconds."""

_NO_ROOM_PAUSE_S = 0.3
"""Time without new runs for a worker that refused a start as full, in seconds."""


class OrderReplies:
    """Confirms, repeats, stops or releases a run after an answer to one of its orders.

    Parameters
    ----------
    table : RunTable
        The current runs.
    orders : Orders
        Sends the orders that follow.
    events : EventLog
        Gets an event for each refused start.
    """

    __slots__ = ("_events", "_orders", "_table")

    def __init__(self, table: "RunTable", orders: "Orders", events: EventLog) -> None:
        self._table = table
        self._orders = orders
        self._events = events

    def note_start(
        self, worker: str, name: str, run: int, reply: OrderReply, now_s: float, life: int
    ) -> None:
        """Handle the reply of a life of a worker to a start; see :meth:`RunTable.note_start`."""
        task = self._table.find(name, worker, run)
        if task is not None and not is_same_incarnation(task.life, life):
            return
        if task is None:
            if reply.status in (OrderStatus.DONE, OrderStatus.UNCLEAR):
                self._orders.stop(worker, name, run)
            return
        current = self._table.runs[task]
        if reply.status is not OrderStatus.UNCLEAR:
            current.answers += 1
        if reply.status is OrderStatus.DONE:
            self._table.confirm(task, now_s)
        elif reply.status is OrderStatus.UNCLEAR:
            self._resolve_unclear(task, current, now_s)
        else:
            self._note_not_started(task, current, reply.status, now_s)

    def note_stop(
        self, worker: str, name: str, run: int, reply: OrderReply, now_s: float, life: int
    ) -> None:
        """Handle the reply of a life of a worker to a stop."""
        task = self._table.find(name, worker, run)
        if task is None or not is_same_incarnation(task.life, life):
            return
        current = self._table.runs[task]
        is_settled = reply.status in (OrderStatus.DONE, OrderStatus.OLD_RUN)
        if is_settled and current.stop_acked_s is None:
            current.stop_acked_s = now_s

    def repeat_or_stop(
        self, task: Task, current: CurrentRun, status: OrderStatus | None, now_s: float
    ) -> None:
        """Send a start again that may have been carried out, or stop the run if that may be."""
        if may_repeat_start(task, current, status, now_s):
            current.tries += 1
            current.repeated_s = now_s
            self._orders.retry_start(task)
        elif may_stop_unconfirmed(task, current, self._table.workers, status, now_s):
            self._table.request_stop(task, now_s)

    def _resolve_unclear(self, task: Task, current: CurrentRun, now_s: float) -> None:
        if current.confirmed_s is not None:
            return
        current.is_unclear = True
        current.unanswered += 1
        current.unanswered_s = now_s
        self.repeat_or_stop(task, current, OrderStatus.UNCLEAR, now_s)

    def _note_not_started(
        self, task: Task, current: CurrentRun, status: OrderStatus, now_s: float
    ) -> None:
        self._events.write(
            "start-refused", task=task.name, run=task.run, worker=task.worker, why=status
        )
        self._set_worker_aside(task.worker, status, now_s)
        if current.confirmed_s is not None:
            return
        current.is_refused = status is not OrderStatus.NOT_SENT
        if current.is_unclear and status is not OrderStatus.GONE:
            self.repeat_or_stop(task, current, status, now_s)
            return
        self._table.release(task, RunEnd.LOST, "", now_s, is_counted=False)

    def _set_worker_aside(self, worker_id: str, status: OrderStatus, now_s: float) -> None:
        """Give a worker no new runs for a while after it has not taken a start."""
        worker = self._table.workers.get(worker_id)
        if worker is None:
            return
        if status is OrderStatus.NO_ROOM:
            worker.set_aside_until_s = now_s + _NO_ROOM_PAUSE_S
        elif status is OrderStatus.NOT_SENT:
            worker.set_aside_until_s = now_s + _NO_CONNECTION_PAUSE_S
        elif status is OrderStatus.REFUSED:
            self._table.worker_health.record_refusal(worker, now_s)
