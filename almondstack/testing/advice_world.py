"""Rounds of an owner, workers, and an advice service of the stated speed, in simulated time."""

from collections import Counter

from almondstack.control.advisor import Advisor
from almondstack.core import LocalMetrics
from almondstack.jobs import ActiveJob, Task, TaskStatus, format_step_name
from almondstack.placement import (
    AdvicePolicy,
    Policies,
    Worker,
    choose_for_gang,
    choose_worker,
)
from almondstack.testing.job_builders import make_policy

__all__ = ["AdviceWorld", "RecordedEvents", "SimulatedClock"]

_MS_PER_S = 1000.0


class SimulatedClock:
    """Replaces the module ``time`` of the code under test."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now_s


class RecordedEvents:
    """An event log that keeps the names and fields of its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def write(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((event, fields))

    def named(self, event: str) -> list[dict[str, object]]:
        """Return the fields of the lines of an event."""
        return [fields for name, fields in self.lines if name == event]


class AdviceWorld:
    """The services that an advisor uses, and the rounds that place tasks with its tickets.

    Explanation
    -----------
    Rounds go on while a call is under way.  Placed tasks are started after the time that a
    record takes to be stored, as an owner does, and take no room.

    Parameters
    ----------
    clock : SimulatedClock
        The clock that the advisor goes by.
    policy : AdvicePolicy
        Advice of the queue; a call takes as long as it states.
    workers : list of Worker
        Workers of the queue.
    barred : collection of str
        Workers that may run no step.
    round_s : float
        Seconds between two rounds.
    store_s : float
        Seconds from the placement to the start.
    issues_first : bool
        Whether the service issues its tickets when it has read a call, not with its answer.
    """

    def __init__(
        self,
        clock: SimulatedClock,
        policy: AdvicePolicy,
        workers: list[Worker],
        *,
        barred: frozenset[str] = frozenset(),
        round_s: float = 0.03,
        store_s: float = 0.005,
        issues_first: bool = False,
    ) -> None:
        self.clock = clock
        self.policy = policy
        self.workers = workers
        self.waiting: list[ActiveJob] = []
        self.started_s: dict[str, float] = {}
        self.outcomes: Counter[str] = Counter()
        self.calls: list[tuple[str, list[str]]] = []
        self.advice = self
        self.events = RecordedEvents()
        self.metrics = LocalMetrics()
        self.advisor = Advisor(self)  # type: ignore[arg-type]
        self._barred = barred
        self._round_s = round_s
        self._store_s = store_s
        self._next_round_s = clock.now_s + round_s
        self._issues_first = issues_first
        self._issued_s: dict[tuple[str, str], float] = {}

    def policies(self) -> Policies:
        """Return the policy of the queue."""
        return Policies(1, {"q": make_policy(advice=self.policy)})

    def advise(self, step: str, workers: list[str]) -> dict[str, str]:
        """Return tickets after the time that the policy states."""
        self.calls.append((step, workers))
        sent_s = self.clock.now_s
        self.pass_time(self.policy.decision_ms + self.policy.worker_ms * len(workers))
        issued_s = sent_s if self._issues_first else self.clock.now_s
        allowed = [worker for worker in workers if worker not in self._barred]
        self._issued_s.update({(step, worker): issued_s for worker in allowed})
        return {worker: f"{step}-{worker}" for worker in allowed}

    def run(self, seconds: float) -> None:
        """Run rounds and the advisor until all jobs have started, or for a time."""
        until_s = self.clock.now_s + seconds
        while self.waiting and self.clock.now_s < until_s:
            if not self.advisor.run_next():
                self.pass_time(5)

    def pass_time(self, milliseconds: float) -> None:
        """Run the rounds that fall into a time."""
        until_s = self.clock.now_s + milliseconds / _MS_PER_S
        while self._next_round_s <= until_s:
            self.clock.now_s = self._next_round_s
            self._run_round()
            self._next_round_s = max(self.clock.now_s, self._next_round_s + self._round_s)
        self.clock.now_s = max(self.clock.now_s, until_s)

    def _run_round(self) -> None:
        placed = [tasks for job in self.waiting for tasks in [self._place(job)] if tasks]
        self.advisor.end_round()
        if placed:
            self.clock.now_s += self._store_s
        for tasks in placed:
            self._start(tasks)

    def _place(self, job: ActiveJob) -> list[Task]:
        """Assign the waiting tasks of a job's first step to allowed workers."""
        tasks = [task for task in job.steps_of(0)[0] if task.status is TaskStatus.WAITING]
        allowed = self.advisor.allowed_workers(tasks[0], self.workers)
        chosen = _choose(tasks, allowed, self.clock.now_s)
        if not chosen:
            return []
        lives = [worker.info.life for worker in chosen]
        job.assign(tasks, [worker.id for worker in chosen], lives, self.clock.now_s)
        return tasks

    def _start(self, tasks: list[Task]) -> None:
        """Start the tasks of a step, unless a ticket has expired."""
        outcome = "started"
        if any(self.advisor.ticket(task) is None for task in tasks):
            outcome = "withdrawn"
        elif not all(map(self._is_valid, tasks)):
            outcome = "rejected"
            for task in tasks:
                self.advisor.drop_ticket(task.name, task.worker)
        self.outcomes[outcome] += 1
        if outcome == "started":
            self.waiting.remove(tasks[0].job)
            self.started_s[tasks[0].job.id] = self.clock.now_s
            return
        for task in tasks:
            task.release(self.clock.now_s)

    def _is_valid(self, task: Task) -> bool:
        step = format_step_name(task.job.id, task.key.occurrence, task.key.step)
        issued_s = self._issued_s[step, task.worker]
        return self.clock.now_s <= issued_s + self.policy.valid_ms / _MS_PER_S


def _choose(tasks: list[Task], allowed: list[Worker], now_s: float) -> list[Worker] | None:
    """Return a worker for each task, or None if there is none for some task."""
    if tasks[0].step.is_gang:
        return choose_for_gang(tasks, allowed, now_s)
    chosen = [worker for task in tasks if (worker := choose_worker(task, allowed)) is not None]
    return chosen if len(chosen) == len(tasks) else None
