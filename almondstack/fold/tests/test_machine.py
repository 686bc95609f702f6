"""Runs the state machine, and checks that it detects each listed mutation.

``ALMONDSTACK_MACHINE_EXAMPLES`` sets the number of examples.  Above
``MUTANT_EXAMPLES`` they are drawn at random; up to it they are the same in each
run.
"""

import os

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from almondstack.fold.tests.machine import LogMachine
from almondstack.fold.tests.mutations import MUTATIONS, Mutation, restore_fold_functions

CI_EXAMPLES = 80
STEPS = 50
MUTANT_EXAMPLES = 400

_EXAMPLES = int(os.environ.get("ALMONDSTACK_MACHINE_EXAMPLES", CI_EXAMPLES))


def _settings(examples: int, **fields) -> settings:
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=examples <= MUTANT_EXAMPLES,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        **fields,
    )


def test_no_example_breaks_an_invariant():
    run_state_machine_as_test(LogMachine, settings=_settings(_EXAMPLES))


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_mutation_is_detected(mutation: Mutation, monkeypatch):
    mutation.apply(monkeypatch)
    try:
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                LogMachine, settings=_settings(MUTANT_EXAMPLES, phases=[Phase.generate])
            )
    finally:
        restore_fold_functions()
