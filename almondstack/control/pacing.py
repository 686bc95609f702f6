"""Throttles filler tasks that run beside serving tasks."""

from typing import NamedTuple

from almondstack.control.interference_monitor import InterferenceMonitor, is_serving
from almondstack.control.messages import OrderStatus
from almondstack.control.runs import RunTable
from almondstack.control.sent_calls import MAX_CALL_DELAY_S
from almondstack.control.sessions import SessionTable
from almondstack.jobs import Task
from almondstack.placement import Worker
from almondstack.placement.pace import FIGURES_COVER_S, PacedFiller, next_percents

__all__ = ["Pacing"]

_INTERVAL_S = 0.4
"""Time between two changes in seconds: a worker's load figures cover the last half second."""


_MAX_SAMPLED_WORKERS = 256
"""Workers whose figures are noted in one round, so that its duration is bounded."""

_MAX_REPEAT_AGE_S = 60.0
"""Time after which an order that could not be repeated is forgotten, in seconds."""


class _Repeat(NamedTuple):
    """An order for a run is to be sent once more at a monotonic time in seconds."""

    run: int
    at_s: float


class _RunKey(NamedTuple):
    """A run of a task."""

    task: str
    run: int


class Pacing:
    """Slows down fillers when the load of a serving task on the same worker nears its target.

    Explanation
    -----------
    An order without an answer may be carried out after later ones, so that the present
    percentage is sent once more when that time is over.  A run that a previous owner has
    started gets an order in any case, since that owner may have paced it.

    Which fillers disturb is learned from the same figures; while that is not known, all fillers
    of a worker are slowed alike.

    Parameters
    ----------
    table : RunTable
        Workers and their runs.
    sessions : SessionTable
        Sends the orders to workers.
    monitor : InterferenceMonitor, optional
        Learns which kinds of task disturb each other; one of its own by default.
    """

    __slots__ = (
        "_figures_percents",
        "_last_round_s",
        "_monitor",
        "_next_sample",
        "_repeats",
        "_sessions",
        "_slowed",
        "_table",
        "_unanswered",
        "_unsettled",
    )

    def __init__(
        self, table: RunTable, sessions: SessionTable, monitor: InterferenceMonitor | None = None
    ) -> None:
        self._table = table
        self._sessions = sessions
        self._monitor = monitor or InterferenceMonitor()
        self._slowed: set[str] = set()
        self._next_sample = 0
        self._figures_percents: dict[str, dict[_RunKey, int]] = {}
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
        self._note_samples(now_s)
        for worker in self._table.workers.values():
            self._pace_worker(worker, now_s)
        self._last_round_s = now_s
        self._unsettled.clear()
        self._plan_repeats(now_s)
        self._forget_gone_workers()

    def _forget_gone_workers(self) -> None:
        workers = self._table.workers
        if len(self._figures_percents) > len(workers):
            self._figures_percents = {
                worker: percents
                for worker, percents in self._figures_percents.items()
                if worker in workers
            }

    def _plan_repeats(self, now_s: float) -> None:
        """Repeat the orders without an answer once they can't be carried out any more."""
        oldest_s = now_s - _MAX_REPEAT_AGE_S
        self._repeats = {
            name: repeat for name, repeat in self._repeats.items() if repeat.at_s > oldest_s
        }
        for name, run in self._unanswered.items():
            self._repeats[name] = _Repeat(run, now_s + MAX_CALL_DELAY_S)
        self._unanswered.clear()

    def _note_samples(self, now_s: float) -> None:
        """Note the figures of workers that have answered since the last round.

        Explanation
        -----------
        Figures of a worker on which a filler was slowed in the last round cover some time
        before that, too.
        """
        for worker in self._next_sampled():
            if self._has_new_figures(worker) and worker.id not in self._slowed:
                self._monitor.note_worker(worker, self._is_pace_sure, now_s)
        self._slowed.clear()
        self._monitor.update(now_s)

    def _has_new_figures(self, worker: Worker) -> bool:
        return worker.last_answer_s > self._last_round_s

    def _next_sampled(self) -> list[Worker]:
        """Return the workers whose turn it is to give a sample: all of a small fleet."""
        workers = list(self._table.workers.values())
        if len(workers) <= _MAX_SAMPLED_WORKERS:
            return workers
        first = self._next_sample % len(workers)
        self._next_sample = first + _MAX_SAMPLED_WORKERS
        return (workers[first:] + workers[:first])[:_MAX_SAMPLED_WORKERS]

    def _is_pace_sure(self, task: Task) -> bool:
        """Whether the run goes at its percentage, and no earlier order can change that."""
        is_settled = task.is_pace_known and self._unsettled.get(task.name) != task.run
        return is_settled and task.name not in self._repeats

    def _pace_worker(self, worker: Worker, now_s: float) -> None:
        tasks = [task for task in worker.tasks if task.is_confirmed and not task.is_stopping]
        fillers = [task for task in tasks if task.step.is_filler]
        if not fillers:
            return
        has_new_figures = self._has_new_figures(worker)
        if has_new_figures:
            self._note_figures_percents(worker, fillers, now_s)
        known = self._figures_percents.get(worker.id, {})
        paced = [PacedFiller(task, known.get(_RunKey(task.name, task.run), 0)) for task in fillers]
        serving = [task for task in tasks if is_serving(task)]
        percents = next_percents(
            paced, serving, self._monitor.interference, has_new_figures=has_new_figures
        )
        for task, percent in zip(fillers, percents, strict=True):
            self._set_percent(worker, task, percent, now_s)

    def _note_figures_percents(self, worker: Worker, fillers: list[Task], now_s: float) -> None:
        """Note the percentages whose effect the new figures of a worker show."""
        self._figures_percents[worker.id] = {
            _RunKey(task.name, task.run): task.percent
            for task in fillers
            if now_s - task.assigned_s >= FIGURES_COVER_S
        }

    def _set_percent(self, worker: Worker, task: Task, percent: int, now_s: float) -> None:
        session = self._sessions.get(worker.id)
        if session is None or (percent == task.percent and self._is_settled(task, now_s)):
            return
        if percent < task.percent:
            self._slowed.add(worker.id)
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
