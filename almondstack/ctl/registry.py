"""Registry of the subcommands of ``almondctl``.

Explanation
-----------
A command's module defines one function that adds its arguments and one that
runs it, and registers both with :func:`register_command`.
:mod:`almondstack.ctl.commands` imports these modules.
"""

import argparse
from collections.abc import Callable

import msgspec

from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.output import Printer
from almondstack.ctl.settings import CtlSettings

__all__ = ["Command", "CommandContext", "register_command", "registered_commands"]


class CommandContext(msgspec.Struct, frozen=True):
    """Settings and printer that are passed to a command with its arguments."""

    settings: CtlSettings
    printer: Printer


AddArguments = Callable[[argparse.ArgumentParser], None]
RunCommand = Callable[[CommandContext, argparse.Namespace], ExitCode]


class Command(msgspec.Struct, frozen=True):
    """A subcommand of ``almondctl``.

    Parameters
    ----------
    name, summary : str
        Name on the command line, and description in the help.
    add_arguments : callable
        Adds the command's arguments to its parser.
    run : callable
        Runs the command and returns its exit code.
    needs_settings : bool
        False if the command does not use the log service.
    """

    name: str
    summary: str
    add_arguments: AddArguments
    run: RunCommand
    needs_settings: bool = True


_commands: dict[str, Command] = {}


def register_command(command: Command) -> Command:
    """Register ``command`` by its name and return it."""
    _commands[command.name] = command
    return command


def registered_commands() -> list[Command]:
    """Return the registered commands, sorted by name."""
    return [_commands[name] for name in sorted(_commands)]
