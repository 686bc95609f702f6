"""Which worker a task goes to."""

from collections.abc import Iterable

from almondstack.jobs import Task
from almondstack.placement.resources import Resources, demand_of
from almondstack.placement.workers import Worker

__all__ = ["choose_for_gang", "choose_worker", "has_room", "is_eligible", "reserve_for"]


def is_eligible(task: Task, worker: Worker) -> bool:
    """Whether a task may run on a worker once there is room."""
    step = task.step
    if step.required_label and step.required_label not in worker.info.labels:
        return False
    if step.most_per_worker and worker.count_of(task) >= step.most_per_worker:
        return False
    return worker.info.capacity.covers(demand_of(step))


def has_room(task: Task, workers: Iterable[Worker], now_s: float) -> bool:
    """Whether one of the workers could take a task now."""
    demand = demand_of(task.step)
    return any(
        worker.is_open(now_s) and worker.free.covers(demand) and is_eligible(task, worker)
        for worker in workers
    )


def choose_worker(task: Task, workers: Iterable[Worker]) -> Worker | None:
    """Return the best worker that has room for a task now.

    Explanation
    -----------
    A worker on which the task failed before comes last, then one that did
    badly lately, then one far from the data.  Among the rest the fullest one
    that still fits is taken, so that whole workers stay free for large tasks
    and for the fleet; a filler goes where most is left.
    """
    demand = demand_of(task.step)
    fitting = [
        worker for worker in workers if worker.free.covers(demand) and is_eligible(task, worker)
    ]
    return min(fitting, key=lambda worker: _badness(task, worker), default=None)


def choose_for_gang(tasks: list[Task], workers: list[Worker]) -> list[Worker] | None:
    """Return a worker for each task of a gang, or None while not all fit at once.

    Explanation
    -----------
    Where one rack matters or may help, each rack is tried first, the one with
    least room to spare before the others; then all workers together.
    """
    for group in _groups(tasks[0], workers):
        chosen = _fit_all(tasks, group)
        if chosen is not None:
            return chosen
    return None


def reserve_for(task: Task, workers: Iterable[Worker]) -> Worker | None:
    """Return the worker on which room for a task that fits nowhere should come first."""
    eligible = [worker for worker in workers if is_eligible(task, worker)]
    return max(eligible, key=lambda worker: worker.free.cpu_millis, default=None)


def _badness(task: Task, worker: Worker) -> tuple[bool, float, bool, int, str]:
    step = task.step
    is_far = bool(step.data_rack) and worker.info.rack != step.data_rack
    left = worker.free.cpu_millis - demand_of(step).cpu_millis
    if step.is_filler:
        left = -left
    return worker.id in task.failed_on, worker.penalty, is_far, left, worker.id


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


def _fit_all(tasks: list[Task], workers: list[Worker]) -> list[Worker] | None:
    left = {worker.id: worker.free.copy() for worker in workers}
    counts = {worker.id: worker.count_of(tasks[0]) for worker in workers}
    chosen = []
    for task in tasks:
        worker = _fit_one(task, workers, left, counts)
        if worker is None:
            return None
        left[worker.id].subtract(demand_of(task.step))
        counts[worker.id] += 1
        chosen.append(worker)
    return chosen


def _fit_one(
    task: Task, workers: list[Worker], left: dict[str, Resources], counts: dict[str, int]
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
        fitting,
        key=lambda worker: (worker.penalty, left[worker.id].cpu_millis, worker.id),
        default=None,
    )
