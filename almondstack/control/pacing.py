"""Throttles filler tasks that run beside serving tasks."""

from typing import NamedTuple

from almondstack.control.messages import OrderStatus
from almondstack.control.runs import RunTable
from almondstack.control.sent_calls import MAX_CALL_DELAY_S
from almondstack.control.sessions import SessionTable
from almondstack.jobs import Task
from almondstack.placement import Worker
from almondstack.placement.pace import next_percent

__all__ = ["Pacing"]

_INTERVAL_S = 0.4
"""Time between two changes in seconds: a worker's load figures cover the last half second."""


_MAX_REPEAT_AGE_S = 60.0
"""Time after which an order that could not be repeated is forgotten, in seconds."""


class _Repeat(NamedTuple):
    """An order for a run is to be sent once more at a monotonic time in seconds."""

    run: int
    at_s: float


class Pacing:
    """Slows down fillers when the load of a serving task on the same worker nears its target.

    Explanation
    -----------
    An order without an answer may be carried out after later ones, so that the present
    percentage is sent once more when that time is over.  A run that a previous owner has
    started gets an order in any case, since that owner may have paced it.

    Parameters
    ----------
    table : RunTable
        Workers and their runs.
    sessions : SessionTable
        Sends the orders to workers.
    """

    __slots__ = ("_last_round_s", "_repeats", "_sessions", "_table", "_unanswered", "_unsettled")

    def __init__(self, table: RunTable, sessions: SessionTable) -> None:
        self._table = table
        self._sessions = sessions
        self._last_round_s = 0.0
        self._unsettled: dict[str, int] = {}
        self._unanswered: dict[str, int] = {}
        self._repeats: dict[str, _Repeat] = {}

    def note_answer(self, task_name: str, run: int, status: OrderStatus) -> None:
        """Send the order again in the next round if the worker may not have carried it out."""
        if status is not OrderStatus.DONE:
            self._unsettled[task_name] = run
        if status is OrderStatus.UNCLEAR:
            self._unanswered[task_name] = run

    def run_round(self, now_s: float) -> None:
        """Adjust the percentage of each filler, at most once within the interval."""
        if now_s - self._last_round_s < _INTERVAL_S:
            return
        self._last_round_s = now_s
        for worker in self._table.workers.values():
            self._pace_worker(worker, now_s)
        self._unsettled.clear()
        self._plan_repeats(now_s)

    def _plan_repeats(self, now_s: float) -> None:
        """Repeat the orders without an answer once they can't be carried out any more."""
        oldest_s = now_s - _MAX_REPEAT_AGE_S
        self._repeats = {
            name: repeat for name, repeat in self._repeats.items() if repeat.at_s > oldest_s
        }
        for name, run in self._unanswered.items():
            self._repeats[name] = _Repeat(run, now_s + MAX_CALL_DELAY_S)
        self._unanswered.clear()

    def _pace_worker(self, worker: Worker, now_s: float) -> None:
        tasks = [task for task in worker.tasks if task.is_confirmed and not task.is_stopping]
        fillers = [task for task in tasks if task.step.is_filler]
        if not fillers:
            return
        load_ratios = [
            task.load / task.step.target_ms
            for task in tasks
            if task.step.target_ms and not task.step.is_filler
        ]
        worst = max(load_ratios, default=0.0)
        for task in fillers:
            self._set_percent(worker, task, next_percent(task.percent, worst), now_s)

    def _set_percent(self, worker: Worker, task: Task, percent: int, now_s: float) -> None:
        session = self._sessions.get(worker.id)
        if session is None or (percent == task.percent and self._is_settled(task, now_s)):
            return
        task.percent = percent
        task.is_pace_known = True
        session.pace(task.name, task.run, percent)

    def _is_settled(self, task: Task, now_s: float) -> bool:
        """Whether the run goes at the percentage that is known of it."""
        if not task.is_pace_known or self._unsettled.get(task.name) == task.run:
            return False
        repeat = self._repeats.get(task.name)
        if repeat is None or repeat.run != task.run or now_s < repeat.at_s:
            return True
        del self._repeats[task.name]
        return False
