"""``almondctl check``: validates a release note and prints all its faults in one run."""

import argparse

import msgspec

from almondstack.ctl.documents import read_document, release_note_for
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.release_note import NoteFault, check_note, is_in_force

__all__ = ["CheckResult"]


class CheckResult(msgspec.Struct, frozen=True):
    """Result of ``check``: the revision in force, and faults and warnings of the document."""

    revision: int
    faults: list[NoteFault]
    warnings: list[NoteFault]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("document", help="release note or desired configuration, in JSON")
    parser.add_argument("--strict", action="store_true", help="fail on warnings too")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    document = read_document(arguments.document)
    session = OperatorSession(context.settings.log)
    session.catch_up()
    state = session.fold.state
    note = release_note_for(document, state)
    if is_in_force(state, note):
        context.printer.result(CheckResult(state.revision, [], []), "in force already")
        return ExitCode.OK
    report = check_note(state, note)
    context.printer.result(CheckResult(state.revision, report.faults, report.warnings))
    is_bad = report.faults or (arguments.strict and report.warnings)
    return ExitCode.FAULTS if is_bad else ExitCode.OK


register_command(Command("check", "Check a document and print every fault.", _add_arguments, _run))
