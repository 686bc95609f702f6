"""``almondctl check``: every fault of a release note in one run."""

import argparse

import msgspec

from almondstack.ctl.exits import ExitCode
from almondstack.ctl.notes import read_note
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.note import NoteFault, check_note

__all__ = ["CheckResult"]


class CheckResult(msgspec.Struct, frozen=True):
    """What ``check`` prints."""

    revision: int
    faults: list[NoteFault]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("note", help="path of a release note in JSON")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    note = read_note(arguments.note)
    session = OperatorSession(context.settings.log)
    session.catch_up()
    state = session.fold.state
    faults = check_note(state, note)
    context.printer.result(CheckResult(state.revision, faults))
    return ExitCode.FAULTS if faults else ExitCode.OK


register_command(Command("check", "Check a release note.", _add_arguments, _run))
