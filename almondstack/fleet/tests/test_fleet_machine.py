import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from almondstack.testing.fleet_machine import FleetMachine, ShortFleetMachine
from almondstack.testing.fleet_mutations import MUTATIONS

_MACHINE = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
_HUNT = settings(_MACHINE, max_examples=60, stateful_step_count=12, phases=[Phase.generate])


def test_fleet_keeps_its_promises():
    run_state_machine_as_test(FleetMachine, settings=_MACHINE)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda item: item.name)
def test_machine_catches(mutation):
    with mutation.apply(), pytest.raises(AssertionError):
        run_state_machine_as_test(ShortFleetMachine, settings=_HUNT)
