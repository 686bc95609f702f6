"""Places the waiting tasks of one pool in one round."""

from collections.abc import Callable, Mapping

from almondstack.jobs import Task, TaskStatus
from almondstack.placement.choosing import (
    Preference,
    choose_for_gang,
    choose_to_reserve,
    choose_worker,
    is_restricted,
)
from almondstack.placement.open_starts import workers_beside_open_starts
from almondstack.placement.policies import AccountPolicy
from almondstack.placement.reservations import max_reservations
from almondstack.placement.resources import Resources, demand_of
from almondstack.placement.workers import Worker

__all__ = ["Assignment", "PoolRound", "Usage"]


class Usage:
    """Running demand of each client account over all pools.

    Parameters
    ----------
    policies : mapping of str to AccountPolicy
        Policies with the ceilings; an account without a policy has no ceiling.
    """

    __slots__ = ("_policies", "_used")

    def __init__(self, policies: Mapping[str, AccountPolicy]) -> None:
        self._policies = policies
        self._used: dict[str, Resources] = {}

    def update_policies(self, policies: Mapping[str, AccountPolicy]) -> None:
        """Replace the policies, and with them the ceilings."""
        self._policies = policies

    def allows(self, account: str, demand: Resources) -> bool:
        """Return whether an account may run that much more within its ceiling."""
        policy = self._policies.get(account)
        return policy is None or policy.allows(self._used.get(account, Resources()), demand)

    def add(self, task: Task) -> None:
        """Count a task as running."""
        self._of(task).add(account_demand(task))

    def remove(self, task: Task) -> None:
        """Count a task as ended."""
        self._of(task).subtract(account_demand(task))

    def used(self, account: str) -> Resources:
        """Return the running demand of an account; the caller must not change it."""
        return self._used.get(account, Resources())

    def _of(self, task: Task) -> Resources:
        return self._used.setdefault(task.job.submission.account, Resources())


def account_demand(task: Task) -> Resources:
    """Return what a task takes of its account's ceiling; processor time of fillers counts too."""
    step = task.step
    return Resources(step.cpu_millis, step.memory_mb, step.gpus)


class Assignment:
    """Tasks of one step with the worker assigned to each."""

    __slots__ = ("tasks", "workers")

    def __init__(self, tasks: list[Task], workers: list[Worker]) -> None:
        self.tasks = tasks
        self.workers = workers


_StepKey = tuple[str, int, int]
"""Job, occurrence and step."""


def _step_key(task: Task) -> _StepKey:
    """Return what identifies the step of a task in a round."""
    return task.job.id, task.key.occurrence, task.key.step


class PoolRound:
    """Assigns tasks to the workers of one pool, step by step.

    Parameters
    ----------
    workers : list of Worker
        The workers of the pool that accept new tasks.
    usage : Usage
        Running demand of the accounts; updated as tasks are placed.
    now_s : float
        Monotonic time in seconds.
    allowed : callable, optional
        Returns the workers that may run a task's step, if the queue uses the advice
        service; none while the advice has not arrived.
    may_reserve : bool, optional
        Whether workers may be reserved for tasks without room.
    preferences : tuple of Preference, optional
        Preferences among the workers that have room for a task; none by default.
    """

    __slots__ = (
        "_allowed",
        "_at_ceiling",
        "_blocked",
        "_demands_without_room",
        "_now_s",
        "_max_reservations",
        "_preferences",
        "_reservations",
        "_stopped",
        "_usage",
        "_workers",
    )

    def __init__(
        self,
        workers: list[Worker],
        usage: Usage,
        now_s: float,
        allowed: Callable[[Task, list[Worker]], list[Worker]] | None = None,
        *,
        may_reserve: bool = True,
        preferences: tuple[Preference, ...] = (),
    ) -> None:
        self._workers = workers
        self._preferences = preferences
        self._usage = usage
        self._now_s = now_s
        self._allowed = allowed
        self._max_reservations = max_reservations(len(workers)) if may_reserve else 0
        self._reservations: list[tuple[Task, Worker]] = []
        self._blocked: list[Task] = []
        self._demands_without_room: list[Resources] = []
        self._at_ceiling: list[Task] = []
        self._stopped: set[_StepKey] = set()

    @property
    def blocked(self) -> list[Task]:
        """Tasks for which no worker had room, one of each step."""
        return self._blocked

    @property
    def reservations(self) -> list[tuple[Task, Worker]]:
        """Tasks without room, each with the worker that got no other task because of it."""
        return self._reservations

    @property
    def at_ceiling(self) -> list[Task]:
        """Tasks whose account has reached its ceiling, one of each step."""
        return self._at_ceiling

    def place(self, tasks: list[Task]) -> list[Assignment]:
        """Place the waiting tasks of one step; steps must be passed in the order of their rank.

        Explanation
        -----------
        A step may be passed in parts.  What could not be placed of an earlier part is not tried
        again, since room only shrinks within a round.
        """
        waiting = [task for task in tasks if task.status is TaskStatus.WAITING]
        if tasks[0].step.is_gang:
            return self._place_gang(tasks, waiting)
        return self._place_singles(waiting)

    def _place_gang(self, tasks: list[Task], waiting: list[Task]) -> list[Assignment]:
        if len(waiting) < len(tasks):
            return []
        workers = self._candidates(tasks[0])
        total = Resources()
        for task in tasks:
            total.add(account_demand(task))
        if not workers:
            return []
        if not self._usage.allows(tasks[0].job.submission.account, total):
            self._at_ceiling.append(tasks[0])
            return []
        chosen = choose_for_gang(tasks, workers, self._now_s)
        if chosen is None:
            if not any(task.open_starts.workers(self._now_s) for task in tasks):
                self._block(tasks[0])
            return []
        for task, worker in zip(tasks, chosen, strict=True):
            self._take(task, worker)
        return [Assignment(tasks, chosen)]

    def _place_singles(self, waiting: list[Task]) -> list[Assignment]:
        if not waiting or _step_key(waiting[0]) in self._stopped:
            return []
        candidates = self._candidates(waiting[0])
        open_workers = _that_can_be_told(candidates)
        placed: list[Task] = []
        chosen: list[Worker] = []
        for task in waiting:
            suitable = workers_beside_open_starts(task, open_workers, self._now_s)
            if suitable is not open_workers and choose_worker(task, suitable) is None:
                # It waits for one worker; the others of its step need not.
                continue
            if not self._usage.allows(task.job.submission.account, account_demand(task)):
                self._at_ceiling.append(task)
                self._stopped.add(_step_key(task))
                break
            worker = self._choose(task, suitable)
            if worker is None:
                # Without candidates, the step lacks advice or an allowed worker rather than room.
                # So it does if some of them have many starts to be told: they may have room.
                if candidates and len(open_workers) == len(candidates):
                    self._block(task)
                self._stopped.add(_step_key(task))
                break
            self._take(task, worker)
            if not worker.can_be_told():
                open_workers = _that_can_be_told(open_workers)
            placed.append(task)
            chosen.append(worker)
        return [Assignment(placed, chosen)] if placed else []

    def _choose(self, task: Task, candidates: list[Worker]) -> Worker | None:
        """Return a worker with room for a task, or None.

        Explanation
        -----------
        Room only shrinks within a round, so a task that asks at least as much as an earlier
        one for which no worker had room need not be compared with the workers again.
        """
        demand = demand_of(task.step)
        if any(demand.is_at_least(without_room) for without_room in self._demands_without_room):
            return None
        worker = choose_worker(task, candidates, *self._preferences)
        if worker is None and candidates is self._workers and not is_restricted(task.step):
            self._demands_without_room.append(demand)
        return worker

    def _candidates(self, task: Task) -> list[Worker]:
        if self._allowed is None:
            return self._workers
        return self._allowed(task, self._workers)

    def _take(self, task: Task, worker: Worker) -> None:
        worker.put(task)
        worker.note_start()
        self._usage.add(task)

    def _block(self, task: Task) -> None:
        """Reserve a worker for a task without room, so that smaller tasks can't starve it."""
        self._blocked.append(task)
        if len(self._reservations) >= self._max_reservations or task.step.is_filler:
            return
        worker = choose_to_reserve(task, self._workers)
        if worker is not None:
            self._workers = [other for other in self._workers if other is not worker]
            self._reservations.append((task, worker))


def _that_can_be_told(workers: list[Worker]) -> list[Worker]:
    """Return the workers that can be told one more start now; the same list if all can."""
    if all(worker.can_be_told() for worker in workers):
        return workers
    return [worker for worker in workers if worker.can_be_told()]
