"""``almondstack-bench``: demo, load, experiments and regression bounds."""

import argparse
import importlib
import signal
import sys
from typing import NoReturn

from almondstack import __version__
from almondstack.bench.commands import BenchCommand, registered_commands
from almondstack.core import AlmondError

__all__ = ["exit_on_sigterm", "main"]

_EXIT_FAILED = 1
_EXIT_SIGTERM = 128 + signal.SIGTERM

# Importing one of these modules registers its subcommands.
_COMMAND_MODULES = (
    "almondstack.bench.bounds",
    "almondstack.bench.compare",
    "almondstack.bench.demo",
    "almondstack.bench.entry_bench",
    "almondstack.bench.fleet_bench",
    "almondstack.bench.fleet_machine",
    "almondstack.bench.load",
    "almondstack.bench.owner_burst",
    "almondstack.bench.path_bench",
    "almondstack.bench.peers_bench",
    "almondstack.bench.slope_fleet",
    "almondstack.bench.slope_processes",
    "almondstack.bench.slope_state",
    "almondstack.bench.slope_waves",
    "almondstack.bench.slopes",
    "almondstack.bench.state",
    "almondstack.standin.soak.command",
)


def main(argv: list[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    for module in _COMMAND_MODULES:
        importlib.import_module(module)
    arguments = _parser(registered_commands()).parse_args(argv)
    exit_on_sigterm()
    command = registered_commands()[arguments.command]
    try:
        return command.run(arguments)
    except AlmondError as error:
        print(f"almondstack-bench: {error}", file=sys.stderr)
        return _EXIT_FAILED


def exit_on_sigterm() -> None:
    """Raise SystemExit on SIGTERM, so that cleanup code ends the started processes."""

    def raise_exit(*_signal: object) -> NoReturn:
        raise SystemExit(_EXIT_SIGTERM)

    signal.signal(signal.SIGTERM, raise_exit)


def _parser(commands: dict[str, BenchCommand]) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="almondstack-bench", description=__doc__, epilog="example: almondstack-bench demo"
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in commands.values():
        subparser = subparsers.add_parser(command.name, help=command.summary)
        if command.configure is not None:
            command.configure(subparser)
    return parser


if __name__ == "__main__":
    sys.exit(main())
