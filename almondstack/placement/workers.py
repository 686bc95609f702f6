"""Workers as placement sees them."""

from almondstack.jobs import Task
from almondstack.placement.resources import Resources, demand_of

__all__ = ["Worker", "WorkerInfo"]


class WorkerInfo:
    """What a worker says of itself.

    Parameters
    ----------
    id : str
        Its id, which a later life may have again.
    life : int
        Unix milliseconds of its start; 0 if it does not say.
    pool : str
        The pool that it serves.
    address : str
        Numeric address.
    zone : str
        Availability zone.
    labels : tuple of str
        Its kind, then its rack.
    capacity : Resources
        What it can run at one time.
    is_draining : bool
        It takes no new tasks and leaves soon.
    remaining_ms : int or None
        While it drains: the least time that is left, in milliseconds.
    clock_ms : int
        Its own clock when it said this, in milliseconds.
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
        """The rack, or empty if the worker does not say."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class Worker:
    """A worker with the tasks that may be on it.

    Parameters
    ----------
    info : WorkerInfo
        What it says of itself.

    Attributes
    ----------
    set_aside_until_s : float
        Monotonic time before which it gets nothing new, in seconds.
    is_reserved : bool
        The fleet has plans for its instance, so it gets nothing new.
    is_reachable : bool
        The last call to it was answered, or none was made.
    penalty : float
        How much worse than others it did lately; 0 is sound.
    last_answer_s, last_failure_s : float
        Monotonic times at which a call to it was last answered, and last not, in
        seconds; 0 if never.
    """

    __slots__ = (
        "_free",
        "_steps",
        "_tasks",
        "last_failure_s",
        "last_answer_s",
        "info",
        "is_reachable",
        "is_reserved",
        "penalty",
        "set_aside_until_s",
    )

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self._tasks: dict[Task, None] = {}
        self._free = info.capacity.copy()
        self._steps: dict[tuple[str, int, int], int] = {}
        self.set_aside_until_s = 0.0
        self.is_reserved = False
        self.is_reachable = True
        self.penalty = 0.0
        self.last_answer_s = 0.0
        self.last_failure_s = 0.0

    @property
    def id(self) -> str:
        """The worker's id."""
        return self.info.id

    @property
    def free(self) -> Resources:
        """What is left of its capacity; not to be changed."""
        return self._free

    @property
    def tasks(self) -> list[Task]:
        """The tasks that may be on it."""
        return list(self._tasks)

    def refresh(self, info: WorkerInfo) -> None:
        """Take over what the worker says now; a life that it does not say stays known."""
        if not info.life:
            info.life = self.info.life
        self._free.subtract(self.info.capacity)
        self._free.add(info.capacity)
        self.info = info

    def is_open(self, now_s: float) -> bool:
        """Whether it may get new tasks."""
        return (
            not self.info.is_draining
            and not self.is_reserved
            and self.is_reachable
            and self.set_aside_until_s <= now_s
        )

    def count_of(self, task: Task) -> int:
        """Return how many tasks of the same step and occurrence are on it."""
        return self._steps.get(_step_of(task), 0)

    def put(self, task: Task) -> None:
        """Count a task as being on the worker."""
        if task in self._tasks:
            return
        self._tasks[task] = None
        self._free.subtract(demand_of(task.step))
        step = _step_of(task)
        self._steps[step] = self._steps.get(step, 0) + 1

    def remove(self, task: Task) -> None:
        """Count a task as gone from the worker."""
        if task not in self._tasks:
            return
        del self._tasks[task]
        self._free.add(demand_of(task.step))
        self._steps[_step_of(task)] -= 1


def _step_of(task: Task) -> tuple[str, int, int]:
    return task.job.id, task.key.occurrence, task.key.step
