"""``almondctl apply``: append a release note, conditional on a revision."""

import argparse

import msgspec

from almondstack.ctl.commands.check import CheckResult
from almondstack.ctl.exits import ExitCode
from almondstack.ctl.notes import read_note
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.model import ReleaseApplied
from almondstack.note import check_note

__all__: list[str] = []


class ApplyResult(msgspec.Struct, frozen=True):
    """What ``apply`` prints."""

    revision: int
    offset: int
    refusal: str = ""
    detail: str = ""


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("note", help="path of a release note in JSON")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    note = read_note(arguments.note)
    session = OperatorSession(context.settings.log)
    session.catch_up()
    state = session.fold.state
    faults = check_note(state, note)
    if faults:
        context.printer.result(CheckResult(state.revision, faults))
        return ExitCode.FAULTS
    body = ReleaseApplied(state.revision, note, context.settings.operator)
    verdict = session.append(body, context.settings.apply_timeout_s)
    if verdict is None:
        return ExitCode.UNAVAILABLE
    refusal = verdict.refusal or ""
    revision = session.fold.state.revision
    context.printer.result(ApplyResult(revision, verdict.offset, refusal, verdict.detail))
    return ExitCode.OK if verdict.is_accepted else ExitCode.CONFLICT


register_command(Command("apply", "Apply a release note.", _add_arguments, _run))
