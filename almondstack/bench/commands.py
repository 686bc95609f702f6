"""Registry of the subcommands of ``almondstack-bench``.

Explanation
-----------
A module registers each of its subcommands with :func:`bench_command`;
:mod:`almondstack.bench.main` lists the modules to import.
"""

import argparse
from collections.abc import Callable

from almondstack.core import AlmondError

__all__ = ["BenchCommand", "bench_command", "registered_commands"]

Configure = Callable[[argparse.ArgumentParser], None]
Run = Callable[[argparse.Namespace], int]


class DuplicateCommandError(AlmondError):
    """A subcommand was registered twice."""

    code = "duplicate-command"


class BenchCommand:
    """A subcommand of ``almondstack-bench``.

    Parameters
    ----------
    name : str
        Name on the command line.
    summary : str
        One short sentence for ``--help``.
    run : callable
        Takes the parsed arguments and returns the exit code.
    configure : callable, optional
        Adds the subcommand's own arguments to its parser.
    """

    __slots__ = ("configure", "name", "run", "summary")

    def __init__(
        self, name: str, summary: str, run: Run, configure: Configure | None = None
    ) -> None:
        self.name = name
        self.summary = summary
        self.run = run
        self.configure = configure


_commands: dict[str, BenchCommand] = {}


def bench_command(
    name: str, summary: str, configure: Configure | None = None
) -> Callable[[Run], Run]:
    """Return a decorator that registers a function as the subcommand ``name``.

    Raises
    ------
    DuplicateCommandError
        The name is already registered.

    Examples
    --------
    >>> import argparse
    >>> from almondstack.bench.commands import bench_command, registered_commands
    >>> @bench_command("example-nothing", "does nothing")
    ... def run(arguments: argparse.Namespace) -> int:
    ...     return 0
    >>> "example-nothing" in registered_commands()
    True
    """

    def register(run: Run) -> Run:
        if name in _commands:
            raise DuplicateCommandError(name)
        _commands[name] = BenchCommand(name, summary, run, configure)
        return run

    return register


def registered_commands() -> dict[str, BenchCommand]:
    """Return a copy of all registered subcommands by name."""
    return dict(_commands)
