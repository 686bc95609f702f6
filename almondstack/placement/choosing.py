"""Selects a worker for a task, or workers for the tasks of a gang."""

from collections.abc import Callable, Iterable

from almondstack.jobs import Step, Task
from almondstack.placement.open_starts import workers_beside_open_starts
from almondstack.placement.resources import Resources, demand_of
from almondstack.placement.workers import Worker

__all__ = [
    "Preference",
    "Ranking",
    "choose_for_gang",
    "choose_to_reserve",
    "choose_worker",
    "has_room",
    "is_eligible",
    "is_restricted",
    "room_count",
]

Ranking = Callable[[Worker], float]
"""Returns how little a worker suits; among workers with room, the lowest is preferred."""

Preference = Callable[[Task], Ranking | None]
"""Returns the ranking of workers for a task, or None if all suit it alike."""

_Key = tuple[bool, bool, float, float, bool, tuple[float, ...], int, str]


def is_eligible(task: Task, worker: Worker) -> bool:
    """Return whether a task may run on a worker once the worker has room."""
    return _is_allowed(task, worker) and worker.info.capacity.covers(demand_of(task.step))


def is_restricted(step: Step) -> bool:
    """Return whether a step may run only on some workers, so that others may have room."""
    return bool(step.required_label or step.most_per_worker)


def _is_allowed(task: Task, worker: Worker) -> bool:
    """Return whether a task may run on a worker, whatever the worker's capacity."""
    step = task.step
    if step.required_label and step.required_label not in worker.info.labels:
        return False
    return not step.most_per_worker or worker.count_of(task) < step.most_per_worker


def has_room(task: Task, workers: Iterable[Worker], now_s: float) -> bool:
    """Return whether one of the workers could take a task now."""
    demand = demand_of(task.step)
    return any(
        worker.is_open(now_s)
        and worker.free.covers(demand)
        and worker.takes(task)
        and _is_allowed(task, worker)
        for worker in workers
    )


def room_count(task: Task, workers: Iterable[Worker], now_s: float) -> int:
    """Return how many tasks like this one the workers could take now at their usual speed."""
    demand = demand_of(task.step)
    return sum(
        worker.free.times_covers(demand)
        for worker in workers
        if worker.is_open(now_s) and worker.slowness <= 1.0 and _is_allowed(task, worker)
    )


def choose_worker(task: Task, workers: Iterable[Worker], *preferences: Preference) -> Worker | None:
    """Return the best worker that has room for a task now, or None if there is none.

    Explanation
    -----------
    The caller passes only workers that may get new tasks.  Workers on which the
    task failed before come last, then workers that calls for a former life may reach, then
    slow workers, then workers with a high penalty, then workers on another rack than the
    data, then those with the higher value of each of ``preferences`` in turn, of which there
    are none by default.  A slow worker gets more tasks than its trial allows only if no
    worker within its bound has room.  Among the rest the fullest worker with room is taken
    (best fit), so that whole workers stay free for large tasks and for moves of instances; a
    filler task goes to the emptiest.
    """
    demand = demand_of(task.step)
    fitting = [worker for worker in workers if worker.free.covers(demand)]
    if is_restricted(task.step):
        fitting = [worker for worker in fitting if _is_allowed(task, worker)]
    return min(_within_bounds(task, fitting), key=_preference_key(task, preferences), default=None)


def choose_for_gang(tasks: list[Task], workers: list[Worker], now_s: float) -> list[Worker] | None:
    """Return a worker for each task of a gang, or None while not all fit at once.

    Explanation
    -----------
    If the step prefers one rack or names the rack of its data, the racks are tried
    one by one: the data's rack first, then by ascending free capacity.  All workers
    together are tried last, or at once for other steps.  Slow workers get more than their
    trial allows only if the gang does not fit otherwise.
    """
    groups = _groups(tasks[0], workers)
    is_bounded = any(worker.max_runs is not None for worker in workers)
    for is_strict in (True, False) if is_bounded else (False,):
        for group in groups:
            chosen = _fit_all(tasks, group, now_s, is_strict=is_strict)
            if chosen is not None:
                return chosen
    return None


def choose_to_reserve(task: Task, workers: Iterable[Worker]) -> Worker | None:
    """Return the worker to reserve for a task without room, or None if that would be in vain.

    Explanation
    -----------
    It is the one with most free capacity of those on which the task fits once the runs that
    end by themselves have ended.  Where long-running tasks take up too much, the task would not
    get room however long other work is kept off.  A slow worker that has the tasks of its
    trial is reserved only if there is no other.
    """
    demand = demand_of(task.step)
    eligible = [
        worker
        for worker in workers
        if is_eligible(task, worker) and worker.room_after_short_runs().covers(demand)
    ]
    preferred = _within_bounds(task, eligible)
    return max(preferred, key=lambda worker: worker.free.cpu_millis, default=None)


def _within_bounds(
    task: Task, workers: list[Worker], added: dict[str, int] | None = None
) -> list[Worker]:
    """Return the workers whose bound on tasks allows one more, or all if there is none."""
    if all(worker.max_runs is None for worker in workers):
        return workers
    more = added or {}
    within = [worker for worker in workers if worker.takes(task, more.get(worker.id, 0))]
    return within or workers


def _preference_key(task: Task, preferences: tuple[Preference, ...]) -> Callable[[Worker], _Key]:
    """Return the function that returns the sort key of a worker; the lowest is preferred."""
    failed_on = task.failed_on
    data_rack = task.step.data_rack
    sign = -1 if task.step.is_filler else 1
    rank = _ranks(task, preferences)

    def key(worker: Worker) -> _Key:
        return (
            worker.id in failed_on,
            worker.is_unsettled,
            worker.slowness,
            worker.penalty,
            bool(data_rack) and worker.info.rack != data_rack,
            rank(worker) if rank is not None else (),
            sign * worker.free.cpu_millis,
            worker.id,
        )

    return key


def _ranks(
    task: Task, preferences: tuple[Preference, ...]
) -> Callable[[Worker], tuple[float, ...]] | None:
    """Return the function that ranks a worker by each preference, or None if none applies."""
    rankings = [ranking for preference in preferences if (ranking := preference(task)) is not None]
    if not rankings:
        return None
    return lambda worker: tuple([ranking(worker) for ranking in rankings])


def _groups(task: Task, workers: list[Worker]) -> list[list[Worker]]:
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.info.rack, []).append(worker)
    by_room = sorted(
        racks.values(), key=lambda group: sum(worker.free.cpu_millis for worker in group)
    )
    if task.step.data_rack in racks:
        by_room.remove(racks[task.step.data_rack])
        by_room.insert(0, racks[task.step.data_rack])
    if task.step.needs_one_rack or task.step.data_rack:
        return [*by_room, workers]
    return [workers]


def _fit_all(
    tasks: list[Task], workers: list[Worker], now_s: float, *, is_strict: bool
) -> list[Worker] | None:
    left = {worker.id: worker.free.copy() for worker in workers}
    counts = {worker.id: worker.count_of(tasks[0]) for worker in workers}
    added = dict.fromkeys(left, 0)
    chosen = []
    for task in tasks:
        suitable = workers_beside_open_starts(task, workers, now_s)
        worker = _fit_one(task, suitable, left, counts, added)
        if worker is None or (is_strict and not worker.takes(task, added[worker.id])):
            return None
        left[worker.id].subtract(demand_of(task.step))
        counts[worker.id] += 1
        added[worker.id] += 1
        chosen.append(worker)
    return chosen


def _fit_one(
    task: Task,
    workers: list[Worker],
    left: dict[str, Resources],
    counts: dict[str, int],
    added: dict[str, int],
) -> Worker | None:
    step = task.step
    demand = demand_of(step)
    fitting = [
        worker
        for worker in workers
        if left[worker.id].covers(demand)
        and (not step.required_label or step.required_label in worker.info.labels)
        and (not step.most_per_worker or counts[worker.id] < step.most_per_worker)
    ]
    return min(
        _within_bounds(task, fitting, added),
        key=lambda worker: (
            worker.is_unsettled,
            worker.slowness,
            worker.penalty,
            left[worker.id].cpu_millis,
            worker.id,
        ),
        default=None,
    )
