"""Tests that a full pool gets an instance only if the move pays off."""

import pytest

from almondstack.fleet import break_even_s
from almondstack.testing.fleet_notes import fleet_note
from almondstack.testing.fleet_world import WORLD_SETTINGS, FleetWorld


def _world():
    world = FleetWorld(fleet_note(2))
    world.adopt_budgets()
    for _ in range(3):
        world.tick()
    return world


def _fill(world, seconds):
    for machine in world.fleet.machines.values():
        if machine.pool == "score":
            machine.busy = 8
    for _ in range(seconds):
        world.tick()
    for machine in world.fleet.machines.values():
        machine.busy = 1


@pytest.mark.parametrize("seconds", [5, 20, 50])
def test_burst_shorter_than_break_even_moves_no_instance(seconds):
    world = _world()
    for _ in range(3):
        _fill(world, seconds)
        for _ in range(20):
            world.tick()
    assert world.oracle.moves == 0


def test_long_pressure_moves_one_instance():
    world = _world()
    _fill(world, int(WORLD_SETTINGS.pressure_after_s) + 30)
    assert world.oracle.moves == 1
    assert world.state.serving_count("score") == 5


def test_break_even_is_move_time_divided_by_gain():
    for gain in (0.1, 0.5, 1.0):
        assert break_even_s(30.0, gain) == pytest.approx(30.0 / gain)
