"""Which steps want tickets of the advice service, which tickets are held, which call is due.

Explanation
-----------
The service handles one call at a time, and may be slower than steps arrive.  No call is
therefore queued: when the service is free, the call that helps most at that time is
chosen from what the last round of placement wanted.
"""

from typing import NamedTuple

from almondstack.jobs import Task, TaskStatus, format_step_name
from almondstack.placement import AdvicePolicy, Worker, demand_of, is_eligible

__all__ = ["AdviceCall", "AdviceTable", "step_name"]

_MIN_REMAINING_S = 0.5
"""A ticket that expires sooner than this is not used, in seconds."""

_RENEWAL_S = 1.0
"""A ticket that expires sooner than this is requested again, in seconds."""

_MAX_WORKERS_PER_CALL = 100
"""Workers that one call to the advice service may name."""

_MAX_CALL_SHARE = 0.5
"""Largest part of a ticket's validity that a call may take, so that its tickets can be used."""

_MS_PER_S = 1000.0


class _Ticket(NamedTuple):
    """A ticket for one incarnation of a worker; it is valid until ``until_s``."""

    text: str
    life: int
    until_s: float


class AdviceCall(NamedTuple):
    """A call that is due: the workers to name for a step, wanted since ``since_s``."""

    step: str
    workers: tuple[Worker, ...]
    lives: tuple[int, ...]
    policy: AdvicePolicy
    since_s: float


class _Want(NamedTuple):
    """A step that placement could not place on all workers for lack of tickets."""

    task: Task
    workers: list[Worker]
    policy: AdvicePolicy
    position: int
    since_s: float


class _StepAdvice:
    """What the service has answered for a step: tickets, and the workers that may not run it."""

    __slots__ = ("refused", "tickets")

    def __init__(self) -> None:
        self.tickets: dict[str, _Ticket] = {}
        self.refused: set[str] = set()


class AdviceTable:
    """Tickets by step, and the steps that want some, in the order of placement.

    Explanation
    -----------
    A step is wanted for as long as placement passes it in each round.  Steps for which a
    worker has room now come first; a step without room is asked for only as far ahead as
    its tickets would still be valid.  A worker that may not run a step is not named for it
    again.  What is known of a step is dropped once it is not wanted and its tickets have
    expired.  Calls from several threads need a lock of the caller.
    """

    __slots__ = ("_answered", "_positions", "_steps", "_wanted_now", "_wants")

    def __init__(self) -> None:
        self._steps: dict[str, _StepAdvice] = {}
        self._wants: dict[str, _Want] = {}
        self._wanted_now: dict[str, _Want] = {}
        self._positions: dict[str, int] = {}
        # Steps answered since the last round, which has not used their tickets yet.
        self._answered: set[str] = set()

    @property
    def wanted_count(self) -> int:
        """Number of steps that wanted tickets in the last round."""
        return len(self._wants)

    def __len__(self) -> int:
        return len(self._steps)

    def usable_workers(self, task: Task, workers: list[Worker], now_s: float) -> list[Worker]:
        """Return the workers with a valid ticket for a task's step."""
        known = self._steps.get(step_name(task))
        if known is None:
            return []
        return [
            worker
            for worker in workers
            if _remaining_s(known.tickets.get(worker.id), worker, now_s) > _MIN_REMAINING_S
        ]

    def want(self, task: Task, workers: list[Worker], policy: AdvicePolicy, now_s: float) -> None:
        """Record that a step is to be placed in this round; steps come in the order of rank."""
        if not workers:
            return
        step = step_name(task)
        pool = workers[0].info.pool
        position = self._positions.get(pool, 0)
        self._positions[pool] = position + 1
        earlier = self._wants.get(step)
        since_s = earlier.since_s if earlier is not None else now_s
        self._wanted_now[step] = _Want(task, workers, policy, position, since_s)

    def end_round(self, now_s: float) -> None:
        """Forget the steps that this round did not want, once their tickets have expired."""
        self._wants, self._wanted_now = self._wanted_now, {}
        self._positions = {}
        self._answered.clear()
        for step in [step for step in self._steps if step not in self._wants]:
            tickets = self._steps[step].tickets.values()
            if all(ticket.until_s <= now_s for ticket in tickets):
                del self._steps[step]

    def ticket(self, task: Task, now_s: float) -> str | None:
        """Return the valid ticket for the life of a task's worker, or None."""
        known = self._steps.get(step_name(task))
        ticket = known.tickets.get(task.worker) if known is not None else None
        if ticket is None or ticket.life != task.life or ticket.until_s <= now_s:
            return None
        return ticket.text

    def drop_ticket(self, step: str, worker: str) -> None:
        """Forget a ticket that its worker has rejected."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(worker, None)

    def next_call(self, now_s: float) -> AdviceCall | None:
        """Return the call to make now, or None if no step needs one."""
        rooms: dict[tuple[str, int, int, int], list[Worker]] = {}
        ahead: _Want | None = None
        for want in sorted(self._wants.values(), key=lambda want: want.position):
            open_workers = _open_workers(want, rooms)
            if not _has_waiting(want.task) or self._is_to_be_placed(want, open_workers, now_s):
                continue
            roomy = self._missing(want, open_workers, now_s)
            if roomy:
                return self._call(want, roomy, now_s)
            if ahead is None and self._is_due_ahead(want, now_s):
                ahead = want
        return self._call(ahead, [], now_s) if ahead is not None else None

    def note_answer(self, call: AdviceCall, allowed: dict[str, str], sent_s: float) -> None:
        """Record the tickets of an answer, and the workers that got none."""
        self._answered.add(call.step)
        known = self._steps.setdefault(call.step, _StepAdvice())
        until_s = sent_s + call.policy.valid_ms / _MS_PER_S
        for worker, life in zip(call.workers, call.lives, strict=True):
            if worker.id in allowed:
                known.tickets[worker.id] = _Ticket(allowed[worker.id], life, until_s)
            else:
                known.refused.add(worker.id)

    def _is_to_be_placed(self, want: _Want, open_workers: list[Worker], now_s: float) -> bool:
        """Whether the next round can place a task of a step with an answer that is newer.

        Explanation
        -----------
        A gang needs workers for all its members at once, so it goes on asking.
        """
        if want.task.step.is_gang or step_name(want.task) not in self._answered:
            return False
        usable = self.usable_workers(want.task, open_workers, now_s)
        return any(is_eligible(want.task, worker) for worker in usable)

    def _missing(self, want: _Want, workers: list[Worker], now_s: float) -> list[Worker]:
        """Return those workers that are eligible, not refused, and without a fresh ticket."""
        known = self._steps.get(step_name(want.task))
        eligible = [worker for worker in workers if is_eligible(want.task, worker)]
        if known is None:
            return eligible
        renewal_s = min(_RENEWAL_S, want.policy.valid_ms / _MS_PER_S / 2)
        return [
            worker
            for worker in eligible
            if worker.id not in known.refused
            and _remaining_s(known.tickets.get(worker.id), worker, now_s) <= renewal_s
        ]

    def _is_due_ahead(self, want: _Want, now_s: float) -> bool:
        """Whether tickets for a step without room would still be valid when its turn comes."""
        if want.position >= _calls_ahead(want.policy, 1):
            return False
        missing = self._missing(want, want.workers, now_s)
        return bool(missing) and want.position < _calls_ahead(want.policy, len(missing))

    def _call(self, want: _Want, roomy: list[Worker], now_s: float) -> AdviceCall:
        """Return a call for a step; it names the workers with room first."""
        first = {worker.id for worker in roomy}
        others = self._missing(want, want.workers, now_s)
        named = [*roomy, *(worker for worker in others if worker.id not in first)]
        named = named[: _most_workers(want.policy)]
        lives = tuple(worker.info.life for worker in named)
        return AdviceCall(step_name(want.task), tuple(named), lives, want.policy, want.since_s)


def step_name(task: Task) -> str:
    """Return the name of a task's step for the advice service."""
    return format_step_name(task.job.id, task.key.occurrence, task.key.step)


def _has_waiting(task: Task) -> bool:
    """Whether some task of a task's step still waits for a start."""
    return any(other.status is TaskStatus.WAITING for other in task.siblings)


def _remaining_s(ticket: _Ticket | None, worker: Worker, now_s: float) -> float:
    """Return for how long a ticket is valid on this incarnation of its worker, in seconds."""
    if ticket is None or ticket.life != worker.info.life:
        return 0.0
    return ticket.until_s - now_s


def _open_workers(
    want: _Want, rooms: dict[tuple[str, int, int, int], list[Worker]]
) -> list[Worker]:
    """Return the workers with room for a task; equal demands share the comparison."""
    demand = demand_of(want.task.step)
    pool = want.workers[0].info.pool
    key = (pool, demand.cpu_millis, demand.memory_mb, demand.gpus)
    if key not in rooms:
        rooms[key] = [worker for worker in want.workers if worker.free.covers(demand)]
    return rooms[key]


def _most_workers(policy: AdvicePolicy) -> int:
    """Return how many workers a call may name so that its tickets can still be used."""
    if policy.worker_ms <= 0:
        return _MAX_WORKERS_PER_CALL
    longest_ms = policy.valid_ms * _MAX_CALL_SHARE - policy.decision_ms
    return max(1, min(_MAX_WORKERS_PER_CALL, int(longest_ms / policy.worker_ms)))


def _calls_ahead(policy: AdvicePolicy, workers: int) -> int:
    """Return how many calls can be made before the tickets of the first of them expire."""
    call_ms = policy.decision_ms + policy.worker_ms * min(workers, _most_workers(policy))
    return max(1, int((policy.valid_ms - _MIN_REMAINING_S * _MS_PER_S) / max(1, call_ms)))
