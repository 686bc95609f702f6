"""Entry point of ``almondctl``: parses arguments, runs a command, returns its exit code."""

import argparse
import sys

from almondstack import __version__
from almondstack.core import AlmondError, LogServiceSettings, SettingsError
from almondstack.ctl import commands as _commands
from almondstack.ctl.exit_codes import ExitCode, exit_code_of
from almondstack.ctl.output import OutputFormat, Printer
from almondstack.ctl.registry import Command, CommandContext, registered_commands
from almondstack.ctl.settings import CtlSettings, add_settings_arguments, settings_from

__all__ = ["main"]

_COMMAND_MODULES = _commands
"""Importing the package registers the commands; the reference keeps the import in use."""

_SETTINGS_WITHOUT_LOG = CtlSettings(log=LogServiceSettings(address="127.0.0.1:1"))
"""Settings of commands that do not call the log service; nothing connects to the address."""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="almondctl",
        description="Operates almondstack.",
        epilog="example: almondctl --settings ctl.json apply note.json",
    )
    parser.add_argument("--version", action="version", version=__version__)
    _add_common_arguments(parser)
    common = argparse.ArgumentParser(add_help=False, argument_default=argparse.SUPPRESS)
    _add_common_arguments(common)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in registered_commands():
        sub = subparsers.add_parser(
            command.name, help=command.summary, description=command.summary, parents=[common]
        )
        command.add_arguments(sub)
        sub.set_defaults(registered=command)
    return parser


def _add_common_arguments(parser: argparse.ArgumentParser) -> None:
    add_settings_arguments(parser)
    parser.add_argument("--output", choices=[item.value for item in OutputFormat])


def main(argv: list[str] | None = None) -> int:
    """Run the command that ``argv`` names and return its :class:`ExitCode`."""
    arguments = _parser().parse_args(argv)
    command: Command = arguments.registered
    try:
        settings = settings_from(arguments) if command.needs_settings else _SETTINGS_WITHOUT_LOG
    except SettingsError as error:
        print(f"almondctl: {error}", file=sys.stderr)
        return ExitCode.USAGE
    output = OutputFormat(getattr(arguments, "output", None) or OutputFormat.TABLE)
    try:
        return command.run(CommandContext(settings, Printer(output)), arguments)
    except AlmondError as error:
        print(f"almondctl: {error}", file=sys.stderr)
        return exit_code_of(error)
    except KeyboardInterrupt:
        return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
