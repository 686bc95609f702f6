"""Which steps want tickets of the advice service, which tickets are held, which call is due.

Explanation
-----------
The service handles one call at a time, and may be slower than steps arrive.  No call is
therefore queued: when the service is free, the call that helps most at that time is
chosen from what the last round of placement wanted.
"""

from typing import NamedTuple

from almondstack.control.advice_times import (
    calls_ahead,
    margin_s,
    most_workers,
    renewal_s,
    validity_s,
)
from almondstack.jobs import Task, TaskStatus, format_step_name
from almondstack.placement import AdvicePolicy, Worker, demand_of, is_eligible

__all__ = ["AdviceCall", "AdviceTable", "step_name"]

_REPEAT_PAUSE_S = 0.1
"""Least time from an answer to the next request for the same tickets, in seconds.  Rounds of a
busy owner are closer than this, so that one of them has used the tickets or had no room."""

_MS_PER_S = 1000.0


class _Ticket(NamedTuple):
    """A ticket for one incarnation of a worker; it is valid until ``until_s``."""

    text: str
    life: int
    until_s: float
    answered_s: float


class AdviceCall(NamedTuple):
    """A call that is due: the workers to name for a step, wanted since ``since_s``.

    ``needed`` is the number of workers whose tickets have to be valid at one time.
    """

    step: str
    workers: tuple[Worker, ...]
    lives: tuple[int, ...]
    policy: AdvicePolicy
    since_s: float
    needed: int


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

    def usable_workers(
        self, task: Task, workers: list[Worker], policy: AdvicePolicy, now_s: float
    ) -> list[Worker]:
        """Return the workers with a valid ticket for a task's step."""
        known = self._steps.get(step_name(task))
        if known is None:
            return []
        least_s = margin_s(policy, _needed_together(task))
        return [
            worker
            for worker in workers
            if _remaining_s(known.tickets.get(worker.id), worker, now_s) > least_s
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

    def note_answer(
        self, call: AdviceCall, allowed: dict[str, str], sent_s: float, now_s: float
    ) -> None:
        """Record the tickets of an answer, and the workers that got none."""
        self._answered.add(call.step)
        known = self._steps.setdefault(call.step, _StepAdvice())
        until_s = sent_s + validity_s(call.policy, len(call.workers), call.needed)
        for worker, life in zip(call.workers, call.lives, strict=True):
            if worker.id in allowed:
                known.tickets[worker.id] = _Ticket(allowed[worker.id], life, until_s, now_s)
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
        usable = self.usable_workers(want.task, open_workers, want.policy, now_s)
        return any(is_eligible(want.task, worker) for worker in usable)

    def _missing(self, want: _Want, workers: list[Worker], now_s: float) -> list[Worker]:
        """Return those workers that are eligible, not refused, and without a fresh ticket."""
        known = self._steps.get(step_name(want.task))
        eligible = [worker for worker in workers if is_eligible(want.task, worker)]
        if known is None:
            return eligible
        least_s = renewal_s(want.policy, _needed_together(want.task))
        return [
            worker
            for worker in eligible
            if worker.id not in known.refused
            and not _is_fresh(known.tickets.get(worker.id), worker, least_s, now_s)
        ]

    def _is_due_ahead(self, want: _Want, now_s: float) -> bool:
        """Whether tickets for a step without room would still be valid when its turn comes."""
        if want.position >= calls_ahead(want.policy, 1):
            return False
        missing = self._missing(want, want.workers, now_s)
        return bool(missing) and want.position < calls_ahead(want.policy, len(missing))

    def _call(self, want: _Want, roomy: list[Worker], now_s: float) -> AdviceCall:
        """Return a call for a step; it names the workers with room first."""
        first = {worker.id for worker in roomy}
        others = self._missing(want, want.workers, now_s)
        named = [*roomy, *(worker for worker in others if worker.id not in first)]
        needed = _needed_together(want.task)
        named = named[: most_workers(want.policy, needed)]
        lives = tuple(worker.info.life for worker in named)
        step = step_name(want.task)
        return AdviceCall(step, tuple(named), lives, want.policy, want.since_s, needed)


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


def _is_fresh(ticket: _Ticket | None, worker: Worker, least_s: float, now_s: float) -> bool:
    """Whether a ticket is valid for long enough, or so new that a round may still use it."""
    if ticket is None or ticket.life != worker.info.life:
        return False
    return ticket.until_s - now_s > least_s or now_s < ticket.answered_s + _REPEAT_PAUSE_S


def _needed_together(task: Task) -> int:
    """Return how many workers may need valid tickets at one time for a task's step to start."""
    return len(task.siblings) if task.step.is_gang else 1


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
