"""The state of workers that placement uses: capacity, running tasks and reachability."""

from almondstack.jobs import Task
from almondstack.placement.resources import Resources, demand_of

__all__ = ["Worker", "WorkerInfo"]


class WorkerInfo:
    """The registration of a worker, as the worker reports it.

    Parameters
    ----------
    id : str
        Worker id; a restarted worker may have the same id.
    life : int
        Start of the worker process in Unix milliseconds; 0 if not reported.
    pool : str
        The pool that it serves.
    address : str
        Numeric address.
    zone : str
        Availability zone.
    labels : tuple of str
        Its kind, then its rack.
    capacity : Resources
        Total capacity for tasks.
    is_draining : bool
        The worker accepts no new tasks and will leave soon.
    remaining_ms : int or None
        While it drains: the least time until it leaves, in milliseconds.
    clock_ms : int
        The worker's own clock at the time of the report, in milliseconds.
    """

    __slots__ = (
        "address",
        "capacity",
        "clock_ms",
        "id",
        "is_draining",
        "labels",
        "life",
        "pool",
        "remaining_ms",
        "zone",
    )

    def __init__(
        self,
        id: str,
        life: int,
        pool: str,
        address: str,
        zone: str = "",
        labels: tuple[str, ...] = (),
        capacity: Resources | None = None,
        is_draining: bool = False,
        remaining_ms: int | None = None,
        clock_ms: int = 0,
    ) -> None:
        self.id = id
        self.life = life
        self.pool = pool
        self.address = address
        self.zone = zone
        self.labels = labels
        self.capacity = capacity or Resources()
        self.is_draining = is_draining
        self.remaining_ms = remaining_ms
        self.clock_ms = clock_ms

    @property
    def rack(self) -> str:
        """The rack, or empty if not reported."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class Worker:
    """A worker with the tasks that may be running on it.

    Parameters
    ----------
    info : WorkerInfo
        The newest registration.

    Attributes
    ----------
    set_aside_until_s : float
        Monotonic time before which it gets no new tasks, in seconds.
    is_reserved : bool
        A move or maintenance of its instance is planned, so it gets no new tasks.
    is_reachable : bool
        The last call to it was answered, or none was made.
    unsettled_until_s : float
        Monotonic time before which calls for a former life of it may reach it, in seconds.
    is_unsettled : bool
        That time has not come, so it gets new tasks only if no other worker has room.
    slowness : float
        By how much its runs are slower than elsewhere in its pool; 1 is normal or not known.
    max_runs : int or None
        Bound on the tasks that end by themselves it should have at a time while it is slow or
        on trial, exceeded only if no other worker has room; None is no bound.
    penalty : float
        Decaying sum of recent failures and refusals; 0 is healthy.
    former_tasks : frozenset of str
        Names of the tasks of which it has last listed a run that is not the present one; such
        a run is being stopped.
    start_room : int or None
        How many more starts it can be told now; None is no bound.  Gangs are not bound by it.
    last_answer_s, last_failure_s : float
        Monotonic times of the last answered and the last failed call to it, in
        seconds; 0 if there was none.
    """

    __slots__ = (
        "_free",
        "_steps",
        "_tasks",
        "former_tasks",
        "info",
        "is_reachable",
        "is_reserved",
        "is_unsettled",
        "last_answer_s",
        "last_failure_s",
        "max_runs",
        "penalty",
        "set_aside_until_s",
        "slowness",
        "start_room",
        "unsettled_until_s",
    )

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self._tasks: dict[Task, None] = {}
        self._free = info.capacity.copy()
        self._steps: dict[tuple[str, int, int], int] = {}
        self.set_aside_until_s = 0.0
        self.unsettled_until_s = 0.0
        self.is_unsettled = False
        self.is_reserved = False
        self.is_reachable = True
        self.slowness = 1.0
        self.max_runs: int | None = None
        self.penalty = 0.0
        self.former_tasks: frozenset[str] = frozenset()
        self.start_room: int | None = None
        self.last_answer_s = 0.0
        self.last_failure_s = 0.0

    @property
    def id(self) -> str:
        """The worker's id."""
        return self.info.id

    @property
    def free(self) -> Resources:
        """The free part of its capacity; the caller must not change it."""
        return self._free

    @property
    def tasks(self) -> list[Task]:
        """The tasks that may be running on it."""
        return list(self._tasks)

    @property
    def task_count(self) -> int:
        """How many tasks may be running on it."""
        return len(self._tasks)

    def refresh(self, info: WorkerInfo) -> None:
        """Replace the registration; if the new one has no ``life``, the known one is kept."""
        if not info.life:
            info.life = self.info.life
        self._free.subtract(self.info.capacity)
        self._free.add(info.capacity)
        self.info = info

    def is_open(self, now_s: float) -> bool:
        """Return whether it may get new tasks."""
        return (
            not self.info.is_draining
            and not self.is_reserved
            and self.is_reachable
            and self.set_aside_until_s <= now_s
        )

    def note_start(self) -> None:
        """Count a start that it is to be told."""
        if self.start_room is not None:
            self.start_room -= 1

    def can_be_told(self) -> bool:
        """Return whether it can be told one more start now."""
        return self.start_room is None or self.start_room > 0

    def takes(self, task: Task, more: int = 0) -> bool:
        """Return whether its bound on tasks that end allows a task, and ``more`` before it."""
        if self.max_runs is None or task.step.is_long_running:
            return True
        return self._short_runs() + more < self.max_runs

    def count_of(self, task: Task) -> int:
        """Return how many tasks of the same step and occurrence may be running on it."""
        return self._steps.get(_step_of(task), 0)

    def room_after_short_runs(self) -> Resources:
        """Return the capacity that is free once all runs but long-running ones have ended."""
        room = self.info.capacity.copy()
        for task in self._tasks:
            if task.step.is_long_running and not task.is_stopping:
                room.subtract(demand_of(task.step))
        return room

    def _short_runs(self) -> int:
        return sum(not task.step.is_long_running for task in self._tasks)

    def put(self, task: Task) -> None:
        """Add a task and take up its demand; no effect if it is on the worker."""
        if task in self._tasks:
            return
        self._tasks[task] = None
        self._free.subtract(demand_of(task.step))
        step = _step_of(task)
        self._steps[step] = self._steps.get(step, 0) + 1

    def remove(self, task: Task) -> None:
        """Remove a task and free its demand; no effect if it is not on the worker."""
        if task not in self._tasks:
            return
        del self._tasks[task]
        self._free.add(demand_of(task.step))
        self._steps[_step_of(task)] -= 1


def _step_of(task: Task) -> tuple[str, int, int]:
    return task.job.id, task.key.occurrence, task.key.step
