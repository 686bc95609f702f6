"""``almondctl``, the command-line program for operators: commands, settings and output."""

from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.output import OutputFormat, Printer
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.ctl.settings import CtlSettings

__all__ = [
    "Command",
    "CommandContext",
    "CtlSettings",
    "ExitCode",
    "OperatorSession",
    "OutputFormat",
    "Printer",
    "register_command",
]
