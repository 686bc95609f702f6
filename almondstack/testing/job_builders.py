"""Builders of jobs, workers and runs for tests."""

from typing import Any

from almondstack.control.messages import (
    EndedRun,
    OrderReply,
    OrderStatus,
    PollReply,
    RunningRun,
)
from almondstack.control.runs import RunTable
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import ActiveJob, RunEnd, Step, Submission, Task, format_task_name
from almondstack.placement import QueuePolicy, Resources, Worker, WorkerInfo
from almondstack.placement.admission import Decision, RejectionReason
from almondstack.placement.entitlements import AccountShare, Entitlements

__all__ = [
    "AllowAllAdvisor",
    "RecordingEvents",
    "RecordingOrders",
    "assign",
    "ended",
    "look",
    "make_entitlements",
    "make_job",
    "make_policy",
    "make_rejection",
    "make_step",
    "make_table",
    "make_worker",
    "reply",
    "running",
]

JOB_ID = "5c0e7a21d94b36f8"


def make_step(count: int = 1, **fields: Any) -> Step:
    """Return a step whose tasks take one core for a second."""
    return Step(**{"count": count, "cpu_millis": 1_000, "estimate_ms": 1_000, **fields})


def make_job(*steps: Step, id: str = JOB_ID, max_attempts: int = 2, **fields: Any) -> ActiveJob:
    """Return an active job, of one step by default."""
    submission = Submission(
        **{"queue": "q", "account": "a", "spec": "s", "steps": steps or (make_step(),), **fields}
    )
    return ActiveJob(id, submission, max_attempts)


def make_entitlements(
    entitled_millis: dict[str, int], demand_millis: dict[str, int]
) -> Entitlements:
    """Return the entitlements of a short fleet, in thousandths of a core, by account."""
    return Entitlements(
        {
            account: AccountShare(
                Resources(demand),
                Resources(min(demand, entitled_millis.get(account, demand))),
                min(1.0, entitled_millis.get(account, demand) / demand),
                entitled_millis.get(account, demand),
            )
            for account, demand in demand_millis.items()
        }
    )


def make_worker(id: str = "w1", *, cpu_millis: int = 4_000, **fields: Any) -> Worker:
    """Return a worker of four cores."""
    capacity = Resources(cpu_millis, 64_000)
    defaults = {"life": 1, "pool": "p", "address": "127.0.0.1:1", "capacity": capacity}
    return Worker(WorkerInfo(id, **{**defaults, **fields}))


def make_policy(**fields: Any) -> QueuePolicy:
    """Return a queue policy with a stretch of 1.5 and an objective of 500 ms."""
    return QueuePolicy(**{"name": "q", "pool": "p", "stretch": 1.5, "objective_ms": 500, **fields})


def make_rejection(late_ms: float) -> Decision:
    """Return the decision on a job that would end too late by ``late_ms``; accepted if 0."""
    return Decision(RejectionReason.NO_USE, late_ms) if late_ms > 0 else Decision()


class AllowAllAdvisor:
    """Allows every worker to run every step."""

    def allowed_workers(self, task: Task, workers: list[Worker]) -> list[Worker]:
        """Return all workers."""
        return workers

    def end_round(self) -> None:
        """Do nothing: no ticket is needed."""


class RecordingEvents(EventLog):
    """Keeps the events that are written, with their fields."""

    def __init__(self) -> None:
        super().__init__("test")
        self.lines: list[tuple[str, dict[str, object]]] = []

    def write(self, event: str, **fields: object) -> None:
        """Keep an event."""
        self.lines.append((event, fields))


class RecordingOrders:
    """Records the orders of a run table."""

    def __init__(self) -> None:
        self.starts: list[Task] = []
        self.waiting: list[Task] = []
        self.stops: list[tuple[str, str, int]] = []

    def is_start_waiting(self, task: Task) -> bool:
        """Return whether a test has added the task to those whose starts wait."""
        return task in self.waiting

    def retry_start(self, task: Task) -> None:
        """Record a repeated start."""
        self.starts.append(task)

    def stop(self, worker: str, name: str, run: int) -> None:
        """Record a stop."""
        self.stops.append((worker, name, run))


def make_table(*jobs: ActiveJob, workers: tuple[Worker, ...] = ()) -> RunTable:
    """Return a run table with jobs and workers that sends orders to ``RecordingOrders``."""
    table = RunTable(RecordingOrders(), EventLog("test"), LocalMetrics())
    for job in jobs:
        table.jobs[job.id] = job
    for worker in workers:
        table.add_worker(worker, 0.0)
    return table


def assign(table: RunTable, task: Task, worker: Worker, now_s: float = 0.0) -> None:
    """Assign a task as placement would."""
    worker.put(task)
    table.usage.add(task)
    task.job.assign([task], [worker.id], [worker.info.life], now_s)
    table.note_assigned(task)


def reply(status: OrderStatus = OrderStatus.DONE) -> OrderReply:
    """Return the reply to an order."""
    return OrderReply(status)


def running(task: Task, percent: int = 100) -> RunningRun:
    """Return a task's present run as a worker lists it."""
    return RunningRun(format_task_name(task.job.id, task.key), task.run, "", percent, 0)


def ended(task: Task, end: RunEnd = RunEnd.DONE, number: int = 1) -> EndedRun:
    """Return the end of a task's present run as a worker lists it."""
    return EndedRun(number, format_task_name(task.job.id, task.key), task.run, end, "")


def look(
    *,
    running: tuple[RunningRun, ...] = (),
    ended: tuple[EndedRun, ...] = (),
    life: int = 1,
    clock_ms: int = 0,
) -> PollReply:
    """Return a worker's answer to a look."""
    return PollReply(OrderStatus.DONE, clock_ms, life, running, ended)
