"""The commands of ``almondctl``; each module registers its own.

Explanation
-----------
A module under ``almondstack.ctl`` defines one function for the arguments and
one that runs the command, and registers both with :func:`register_command`.
:mod:`almondstack.ctl.commands` imports the modules.
"""

import argparse
from collections.abc import Callable

import msgspec

from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.output import Printer
from almondstack.ctl.settings import CtlSettings

__all__ = ["Command", "CommandContext", "register_command", "registered_commands"]


class CommandContext(msgspec.Struct, frozen=True):
    """What a command is given besides its arguments."""

    settings: CtlSettings
    printer: Printer


AddArguments = Callable[[argparse.ArgumentParser], None]
RunCommand = Callable[[CommandContext, argparse.Namespace], ExitCode]


class Command(msgspec.Struct, frozen=True):
    """One subcommand.

    Parameters
    ----------
    name, summary : str
        What the operator types, and the line in the help.
    add_arguments : callable
        Adds the command's arguments to its parser.
    run : callable
        Runs it and returns the exit code.
    needs_settings : bool
        False if it runs without knowing where the log service is.
    """

    name: str
    summary: str
    add_arguments: AddArguments
    run: RunCommand
    needs_settings: bool = True


_commands: dict[str, Command] = {}


def register_command(command: Command) -> Command:
    """Make ``command`` known to ``almondctl``."""
    _commands[command.name] = command
    return command


def registered_commands() -> list[Command]:
    """Return every command, by name."""
    return [_commands[name] for name in sorted(_commands)]
