"""Tests of the choice of tasks to throttle or stop for urgent work."""

from almondstack.fleet import choose_relief
from almondstack.provider import ActKind, PlatformTask
from almondstack.testing.builders import make_team

_TEAMS = {"north": make_team("north"), "south": make_team("south")}


def _task(name, team, **fields):
    return PlatformTask(id=name, instance="u1", team=team, is_idempotent=True, **fields)


def test_team_above_its_share_is_relieved_by_least_disruptive_acts():
    tasks = (
        _task("t1", "south"),
        _task("t2", "north"),
        _task("t3", "north", can_checkpoint=True),
        _task("t4", "north", slots=4),
    )
    acts = choose_relief(tasks, _TEAMS, {"north": 8, "south": 2}, 3, order=7)
    assert [(act.target, act.kind) for act in acts] == [
        ("t3", ActKind.CHECKPOINT),
        ("t4", ActKind.THROTTLE),
    ]


def test_task_that_is_not_idempotent_is_never_chosen():
    tasks = (PlatformTask(id="t1", instance="u1", team="north", can_checkpoint=True),)
    assert choose_relief(tasks, _TEAMS, {"north": 8, "south": 1}, 1, order=7) == []


def test_no_task_of_a_team_within_its_share_is_chosen():
    tasks = (_task("t1", "south"), _task("t2", "north"))
    assert choose_relief(tasks, _TEAMS, {"north": 2, "south": 2}, 2, order=7) == []
