"""Sends stops of runs, and repeats those without an acknowledgement."""

from typing import TYPE_CHECKING

from almondstack.control.current_runs import CurrentRun
from almondstack.core.events import EventLog
from almondstack.jobs import Task

if TYPE_CHECKING:
    from almondstack.control.runs import Orders

__all__ = ["RunStops"]

_RETRY_S = 0.5
"""Minimum time between two stops of one run, in seconds."""


class RunStops:
    """Orders stops of current runs.

    Parameters
    ----------
    orders : Orders
        Sends the stops.
    events : EventLog
        Gets an event for the first stop of each run.
    """

    __slots__ = ("_events", "_orders")

    def __init__(self, orders: "Orders", events: EventLog) -> None:
        self._orders = orders
        self._events = events

    def request(self, task: Task, current: CurrentRun, now_s: float) -> None:
        """Send a stop of a task's current run, unless one is acknowledged or was just sent."""
        if current.stop_acked_s is not None:
            return
        if current.stop_sent_s is not None and now_s - current.stop_sent_s < _RETRY_S:
            return
        if current.stop_sent_s is None:
            self._report(task, current, now_s)
        task.is_stopping = True
        current.stop_sent_s = now_s
        self._orders.stop(task.worker, task.name, task.run)

    def _report(self, task: Task, current: CurrentRun, now_s: float) -> None:
        """Report the first stop of a run with what is known of its start."""
        self._events.write(
            "stop-ordered",
            task=task.name,
            run=task.run,
            worker=task.worker,
            is_confirmed=current.confirmed_s is not None,
            is_unclear=current.is_unclear,
            starts=current.tries,
            answers=current.answers,
            age_s=round(now_s - task.assigned_s, 3),
        )
