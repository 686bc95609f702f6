"""``almondctl version``: prints the program version and its record format level."""

import argparse

import msgspec

from almondstack import __version__
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.model import FORMAT_LEVEL

__all__: list[str] = []


class VersionResult(msgspec.Struct, frozen=True):
    """Result of ``version``."""

    version: str
    format_level: int


def _add_arguments(_parser: argparse.ArgumentParser) -> None:
    """Add nothing; the command takes no arguments."""


def _run(context: CommandContext, _arguments: argparse.Namespace) -> ExitCode:
    context.printer.result(VersionResult(__version__, FORMAT_LEVEL))
    return ExitCode.OK


register_command(
    Command("version", "Print the version.", _add_arguments, _run, needs_settings=False)
)
