"""``almondstack-bench fleet-machine``: long run of the stateful test of the fleet."""

import argparse

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from almondstack.bench.commands import bench_command
from almondstack.testing.fleet_machine import FleetMachine

__all__ = ["run_fleet_machine"]


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--examples", type=int, default=2000)
    parser.add_argument("--steps", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)


@bench_command("fleet-machine", "many random courses of the fleet's state machine", _configure)
def run_fleet_machine(arguments: argparse.Namespace) -> int:
    """Run the state machine; a failure raises and prints the steps that reproduce it."""
    long_run = settings(
        max_examples=arguments.examples,
        stateful_step_count=arguments.steps,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
        derandomize=False,
    )

    @seed(arguments.seed)
    class _Seeded(FleetMachine):
        """The state machine, run from the given seed."""

    run_state_machine_as_test(_Seeded, settings=long_run)
    print(f'{{"examples":{arguments.examples},"steps":{arguments.steps},"passed":true}}')
    return 0
