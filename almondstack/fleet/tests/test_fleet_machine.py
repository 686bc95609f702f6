import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from almondstack.testing.fleet_machine import FleetMachine, run_scripted_cases
from almondstack.testing.fleet_mutations import MUTATIONS

_MACHINE = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_fleet_keeps_its_promises():
    run_state_machine_as_test(FleetMachine, settings=_MACHINE)


def test_fleet_keeps_its_promises_on_the_tour():
    run_scripted_cases()


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda item: item.name)
def test_tour_catches(mutation):
    with mutation.apply(), pytest.raises(AssertionError):
        run_scripted_cases()
