"""Runs the fleet state machine and checks that it detects each mutation."""

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


def test_fleet_holds_invariants():
    run_state_machine_as_test(FleetMachine, settings=_MACHINE)


def test_fleet_holds_invariants_in_scripted_cases():
    run_scripted_cases()


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda item: item.name)
def test_scripted_cases_detect_mutation(mutation):
    with mutation.apply(), pytest.raises(AssertionError):
        run_scripted_cases()
