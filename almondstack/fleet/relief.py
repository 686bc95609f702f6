"""Chooses platform tasks to throttle or stop when urgent work finds no free slot.

Explanation
-----------
Only tasks of teams above their share are chosen, those of the team farthest above
it first.  A task that is not idempotent is never chosen.  Of the acts that a task
allows, the least disruptive that frees a slot is chosen: a checkpoint keeps the
work done so far, a throttle halves the slots, a stop loses the work.
"""

import msgspec

from almondstack.model import Team
from almondstack.provider import Act, ActKind, PlatformTask, act_id

__all__ = ["choose_relief", "team_excess"]


class _Candidate(msgspec.Struct, frozen=True, order=True):
    """A task and the kind of act that would free slots, ordered by preference."""

    rank: tuple[float, int, str]
    task: PlatformTask
    kind: ActKind
    freed: int


def team_excess(teams: dict[str, Team], running: dict[str, int]) -> dict[str, float]:
    """Return by how many slots each team exceeds its share of the slots in use.

    Examples
    --------
    >>> from almondstack.fleet import team_excess
    >>> from almondstack.model import Team
    >>> teams = {name: Team(name=name, share=1, ceiling=9) for name in ("north", "south")}
    >>> team_excess(teams, {"north": 6, "south": 2})
    {'north': 2.0, 'south': -2.0}
    """
    active = {name: count for name, count in running.items() if count and name in teams}
    total_share = sum(teams[name].share for name in active) or 1
    total = sum(active.values())
    return {name: count - total * teams[name].share / total_share for name, count in active.items()}


def choose_relief(
    tasks: tuple[PlatformTask, ...],
    teams: dict[str, Team],
    running: dict[str, int],
    slots_needed: int,
    order: int,
) -> list[Act]:
    """Return acts that free ``slots_needed`` slots, or fewer if there are not enough tasks.

    Parameters
    ----------
    tasks : tuple of PlatformTask
        Tasks that the platform runs on the pool's instances.
    teams : dict of str to Team
        Shares by team.
    running : dict of str to int
        Slots in use by team, tasks included.
    slots_needed : int
        Number of slots that urgent work waits for.
    order : int
        Offset of the folded state that the choice is based on.
    """
    used = dict(running)
    remaining = list(tasks)
    acts: list[Act] = []
    while slots_needed > 0:
        candidate = _best(remaining, team_excess(teams, used))
        if candidate is None:
            break
        task = candidate.task
        acts.append(
            Act(id=act_id(task.id, order), target=task.id, kind=candidate.kind, order=order)
        )
        remaining.remove(task)
        used[task.team] -= candidate.freed
        slots_needed -= candidate.freed
    return acts


def _best(tasks: list[PlatformTask], excess: dict[str, float]) -> _Candidate | None:
    candidates = [
        _candidate(task, excess[task.team])
        for task in tasks
        if task.is_idempotent and excess.get(task.team, 0.0) > 0
    ]
    return min(candidates, default=None, key=lambda item: item.rank)


def _candidate(task: PlatformTask, excess: float) -> _Candidate:
    if task.can_checkpoint:
        return _Candidate((-excess, 0, task.id), task, ActKind.CHECKPOINT, task.slots)
    if task.slots > 1:
        return _Candidate((-excess, 1, task.id), task, ActKind.THROTTLE, task.slots // 2)
    return _Candidate((-excess, 2, task.id), task, ActKind.STOP, task.slots)
