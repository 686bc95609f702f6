from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from almondstack.testing.permit_machine import PermitMachine


def test_permits_hold_under_faults():
    run_state_machine_as_test(
        PermitMachine, settings=settings(max_examples=40, stateful_step_count=50)
    )
