"""The owner's table of jobs, workers and the runs assigned to them.

Explanation
-----------
The table reacts to events passed to its methods and uses neither threads nor
network.  Orders that follow from an event go to ``orders``.  If it is unknown
whether a run has started, this is resolved before its task gets another run: the
start is retried, then the run is stopped, which also prevents it from starting
later (:mod:`almondstack.control.unclear_starts`).  The task becomes waiting only
after a poll that was sent after that stop was acknowledged.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

from almondstack.control.current_runs import CurrentRun, CurrentRuns, is_same_incarnation
from almondstack.control.delays import JobDelays
from almondstack.control.gang_ends import end_gang
from almondstack.control.held_tasks import HeldTasks
from almondstack.control.late_starts import (
    bound_inherited,
    may_reach_lost_worker,
    may_reach_next_life,
    note_open_starts,
)
from almondstack.control.lease import LeaseState
from almondstack.control.messages import OrderReply, PollReply
from almondstack.control.order_replies import OrderReplies
from almondstack.control.poll_replies import PollReplies
from almondstack.control.run_stops import RunStops
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import ActiveJob, JobState, RunEnd, Task, TaskBudget, TaskNameError
from almondstack.jobs.names import parse_task_name
from almondstack.placement import Usage, Worker
from almondstack.placement.progress import Progress
from almondstack.placement.worker_health import WorkerHealth

__all__ = ["Orders", "RunTable"]

_CONFIRMATION_TIMEOUT_S = 1.0
"""Time after its assignment in which a run is usually confirmed, in seconds."""


class Orders(Protocol):
    """Sends the orders of a run table."""

    def retry_start(self, task: Task) -> None:
        """Send the start of a task's current run again."""
        ...

    def stop(self, worker: str, name: str, run: int) -> None:
        """Stop a run on a worker."""
        ...

    def is_start_waiting(self, task: Task) -> bool:
        """Whether a start of a task's current run waits to be sent."""
        ...


class RunTable:
    """Jobs, workers and the current runs of tasks on workers.

    Parameters
    ----------
    orders : Orders
        Sends the orders that follow from events.
    events : EventLog
        Gets an event for each ended run and each lost worker.
    metrics : LocalMetrics
        Counts ended runs.
    """

    __slots__ = (
        "_budgets",
        "_events",
        "_job_end_listener",
        "_metrics",
        "_order_replies",
        "_orders",
        "_poll_replies",
        "_runs",
        "_stops",
        "delays",
        "held_tasks",
        "jobs",
        "usage",
        "worker_health",
        "workers",
    )

    def __init__(self, orders: Orders, events: EventLog, metrics: LocalMetrics) -> None:
        self._orders = orders
        self._events = events
        self._metrics = metrics
        self._runs = CurrentRuns()
        self._stops = RunStops(orders, events)
        self._order_replies = OrderReplies(self, orders, events)
        self._poll_replies = PollReplies(self, self._order_replies, orders, events, metrics)
        self._budgets: dict[str, TaskBudget] = {}
        self._job_end_listener: Callable[[ActiveJob], None] | None = None
        self.delays = JobDelays()
        self.held_tasks = HeldTasks()
        self.jobs: dict[str, ActiveJob] = {}
        self.workers: dict[str, Worker] = {}
        self.usage = Usage({})
        self.worker_health = WorkerHealth()

    @property
    def runs(self) -> CurrentRuns:
        """State of the current run of each task."""
        return self._runs

    def set_end_listener(self, listener: Callable[[Task, float], None]) -> None:
        """Call a function with each completed task and its duration in milliseconds."""
        self._poll_replies.on_done = listener

    def set_job_end_listener(self, listener: Callable[[ActiveJob], None]) -> None:
        """Call a function with each job that completes or fails."""
        self._job_end_listener = listener

    def add_job(self, job: ActiveJob) -> None:
        """Add a job, whose tasks count in the budget of its client account from now on."""
        self.jobs[job.id] = job
        job.use_budget(self._budgets.setdefault(job.submission.account, TaskBudget()))

    def remove_job(self, job: ActiveJob) -> None:
        """Remove a job that is over."""
        del self.jobs[job.id]
        job.close()

    def forget_job(self, job: str) -> None:
        """Remove a job that could not be taken up, if it was added."""
        found = self.jobs.get(job)
        if found is None:
            return
        for task, _ in self._runs.items():
            if task.job is found:
                self.remove_run(task)
        self.remove_job(found)

    def restore_job(self, job: ActiveJob, now_s: float) -> None:
        """Add a job of the previous owner with its recorded runs."""
        self.add_job(job)
        self.hold_recorded(job, now_s)
        for task in job.assigned():
            self.usage.add(task)
            task.assigned_s = now_s
            current = self._runs.add(task)
            current.is_unclear = True
            current.is_inherited = True

    def hold_recorded(self, job: ActiveJob, now_s: float) -> None:
        """Hold the tasks of which a previous owner has recorded starts without an answer."""
        for task in job.tasks():
            if task.open_starts:
                bound_inherited(task, now_s)
                self.held_tasks.add(task)

    def add_worker(self, worker: Worker, now_s: float) -> None:
        """Add a worker with the runs that are or may be on this incarnation of it."""
        self.workers[worker.id] = worker
        self._poll_replies.ends.begin_life(worker.id)
        self.note_worker_restart(worker.id, worker.info.life, now_s)
        for task in self.tasks_on(worker.id):
            worker.put(task)
            # Where only so many tasks may be unavailable, a list has to show first whether this
            # life runs it.
            if self._runs[task].restart_noted_s is not None and task.step.max_unavailable is None:
                self.request_stop(task, now_s)

    def note_worker_restart(self, worker: str, life: int, now_s: float) -> None:
        """Update the runs on a worker whose process started at ``life``, in Unix milliseconds.

        Explanation
        -----------
        A run that a former incarnation of the worker has confirmed ended with that
        incarnation.  Any other run may have been started by the new incarnation, which
        has the same id, and so may one of whose starts the outcome is not known: it stays
        assigned until a stop and a later poll show that it is not running.  So does a run
        of a later incarnation: the news of this one may be old.
        """
        for task in self.tasks_on(worker):
            if is_same_incarnation(task.life, life):
                continue
            current = self._runs[task]
            has_run = current.confirmed_s is not None and task.life < life
            if has_run and not may_reach_next_life(task, current, now_s):
                self.mark_task_lost(task, "its worker has restarted", now_s)
                continue
            task.life = life
            task.is_confirmed = False
            # If the next life has started it, it goes at full speed.
            task.is_pace_known = False
            task.job.is_dirty = True
            current.confirmed_s = None
            current.is_unclear = True
            # The next life knows of no stop.
            current.stop_sent_s = current.stop_acked_s = None
            current.restart_noted_s = now_s

    def workers_of(self, pool: str) -> Iterator[Worker]:
        """Iterate over the workers of a pool."""
        return (worker for worker in self.workers.values() if worker.info.pool == pool)

    def tasks_on(self, worker: str) -> list[Task]:
        """Return the tasks assigned to a worker, also if the worker is unknown."""
        return self._runs.on_worker(worker)

    def mark_unlisted_lost(self, listed: set[str], listed_s: float, now_s: float) -> None:
        """Mark runs as lost on workers that no instance hosts any more.

        Parameters
        ----------
        listed : set of str
            The workers hosted by some instance.
        listed_s : float
            When that list was requested, in monotonic seconds; a worker with a run
            assigned later is skipped.
        now_s : float
            Present monotonic time in seconds.
        """
        for worker in self._runs.workers() - listed:
            if all(task.assigned_s < listed_s for task in self.tasks_on(worker)):
                self.mark_worker_lost(worker, "its instance carries another worker", now_s)

    def orphaned(self, before_s: float) -> Iterator[Task]:
        """Iterate over tasks on unregistered workers that have not restarted since ``before_s``."""
        return self._runs.orphaned(self.workers, before_s)

    def runs_with_progress(self) -> Iterator[tuple[Task, Progress]]:
        """Iterate over runs on reachable workers with their progress.

        Explanation
        -----------
        Long-running, gang and filler steps are left out.
        """
        return self._runs.runs_with_progress(self.workers)

    def note_assigned(self, task: Task) -> None:
        """Track a run that placement has just assigned."""
        self._runs.add(task)

    def withdraw(self, task: Task, now_s: float) -> None:
        """Release a run whose start was never sent."""
        self._runs[task].tries = 0
        self.release(task, RunEnd.LOST, "", now_s, is_counted=False)

    def take_ends(self) -> dict[str, int]:
        """Return and clear the highest end number handled for each worker."""
        return self._poll_replies.ends.take_unacknowledged()

    def stop_all(self, job: ActiveJob, now_s: float) -> None:
        """Request a stop of all runs of a job."""
        for task in job.assigned():
            self.request_stop(task, now_s)

    def request_stop(self, task: Task, now_s: float) -> None:
        """Send a stop of a task's current run, unless one is acknowledged or was just sent."""
        current = self._runs.get(task)
        if current is not None:
            self._stops.request(task, current, now_s)

    def retry_stops(self, now_s: float) -> None:
        """Retry the stops that were not acknowledged."""
        for task, current in self._runs.items():
            if task.is_stopping:
                self._stops.request(task, current, now_s)

    def note_unbegun(self, now_s: float) -> None:
        """Note jobs of which no worker has confirmed any start in time: they are still queued."""
        for task, current in self._runs.items():
            if current.confirmed_s is None and now_s - task.assigned_s > _CONFIRMATION_TIMEOUT_S:
                task.job.note_not_begun()

    def note_start_sent(self, worker: str, name: str, run: int, sent_s: float) -> None:
        """Note when a start left the queue of orders to its worker, in monotonic seconds."""
        task = self.find(name, worker, run)
        if task is not None:
            self._runs[task].sent_s = sent_s

    def note_start(
        self, worker: str, name: str, run: int, reply: OrderReply, now_s: float, life: int = 0
    ) -> None:
        """Handle the reply of a life of a worker to a start.

        Explanation
        -----------
        A reply of a former life tells nothing of a run that the present one may have started.
        """
        self._order_replies.note_start(worker, name, run, reply, now_s, life)

    def note_stop(
        self, worker: str, name: str, run: int, reply: OrderReply, now_s: float, life: int = 0
    ) -> None:
        """Handle the reply of a life of a worker to a stop; see :meth:`note_start`."""
        self._order_replies.note_stop(worker, name, run, reply, now_s, life)

    def note_poll(self, worker: Worker, sent_s: float, reply: PollReply, now_s: float) -> None:
        """Handle the list of running and ended runs in a worker's reply to a poll."""
        self._poll_replies.note(worker, sent_s, reply, now_s)

    def mark_worker_lost(
        self,
        worker: str,
        why: str,
        now_s: float,
        lease: LeaseState | None = None,
        *,
        may_return: bool = True,
    ) -> None:
        """Release all runs assigned to a worker on which none of them can be running.

        Explanation
        -----------
        If the worker may start again under its id, it would then carry out a start that has no
        answer: such runs are kept until that can't arrive any more.
        """
        tasks = self.tasks_on(worker)
        if not may_return:
            for task in tasks:
                # The id does not come back, so no start can reach it.
                self._runs[task].tries = self._runs[task].answers
        else:
            tasks = [
                task for task in tasks if not may_reach_lost_worker(task, self._runs[task], now_s)
            ]
        if tasks:
            details = lease.log_fields(now_s) if lease is not None else {}
            self._events.write("worker-lost", worker=worker, why=why, runs=len(tasks), **details)
        for task in tasks:
            self.release(task, RunEnd.LOST, "", now_s, why=why)

    def mark_task_lost(self, task: Task, why: str, now_s: float) -> None:
        """Release a task whose run can not be running anywhere."""
        self.release(task, RunEnd.LOST, "", now_s, why=why)

    def find(self, name: str, worker: str, run: int) -> Task | None:
        """Return the task if its current run has that number on that worker."""
        task = self._runs.named(name)
        if task is None:
            self._report_malformed(worker, name)
            return None
        is_present = task.worker == worker and task.run == run
        return task if is_present else None

    def _report_malformed(self, worker: str, name: str) -> None:
        try:
            parse_task_name(name)
        except TaskNameError as error:
            self._events.write("unknown-task", worker=worker, error=str(error))

    def confirm(self, task: Task, now_s: float) -> None:
        """Note that its worker has a task's current run."""
        current = self._runs[task]
        if current.confirmed_s is None:
            current.confirmed_s = now_s
            task.is_confirmed = True
            task.job.note_begun()

    def release(
        self,
        task: Task,
        end: RunEnd,
        checkpoint: str,
        now_s: float,
        *,
        is_counted: bool = True,
        why: str = "it was listed",
    ) -> None:
        """Remove a run from its worker and record its end in the job.

        Parameters
        ----------
        task : Task
            The task whose current run ends.
        end : RunEnd
            How it ended.
        checkpoint : str
            Where the next run may resume; empty if nowhere.
        now_s : float
            Monotonic time in seconds.
        is_counted : bool, optional
            Whether the run is reported and counts in the delays; not one that never started.
        why : str, optional
            How the end is known, for the event.
        """
        current = self._runs.get(task)
        if current is not None and (end is not RunEnd.DONE or task.step.is_long_running):
            self._note_open_starts(task, current, now_s)
        self.remove_run(task)
        job = task.job
        # The end of the run changes these.
        name, run, from_worker, life = task.name, task.run, task.worker, task.life
        was_open = job.is_open
        if is_counted:
            self.delays.note_run(task, end, now_s)
        job.end_run(task, end, checkpoint, now_s)
        self._metrics.count(f"run.{end}")
        if is_counted:
            self._events.write(
                "run-ended",
                task=name,
                run=run,
                worker=from_worker,
                life=life,
                end=end,
                why=why,
                failures=task.failures,
                took_s=round(now_s - task.assigned_s, 3),
            )
        if task.step.is_gang:
            end_gang(self, task, end, now_s)
        if was_open and not job.is_open:
            self.note_job_end(job, now_s)

    def _note_open_starts(self, task: Task, current: CurrentRun, now_s: float) -> None:
        """Note and report that a start of a run that is given up may still be carried out."""
        until_s = note_open_starts(task, current, now_s)
        if until_s is None:
            return
        self.held_tasks.add(task)
        self._metrics.count("run.start_open")
        self._events.write(
            "start-may-arrive",
            task=task.name,
            run=task.run,
            worker=task.worker,
            life=task.life,
            starts=current.tries,
            answers=current.answers,
            left_s=round(until_s - now_s, 3),
        )

    def remove_run(self, task: Task) -> None:
        """Remove a run from the current runs, its worker and the usage of its account."""
        current = self._runs.pop(task)
        if current is not None and current.confirmed_s is None:
            task.job.note_not_begun()
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.remove(task)
        self.usage.remove(task)

    def note_job_end(self, job: ActiveJob, now_s: float) -> None:
        """Report a job that has ended, and stop what is left of one that has failed."""
        if self._job_end_listener is not None:
            self._job_end_listener(job)
        if job.state is not JobState.COMPLETED:
            self.stop_all(job, now_s)
