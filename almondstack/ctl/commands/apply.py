"""``almondctl apply``: appends a release note if the revision is still the planned one.

Explanation
-----------
A release note is accepted once it is folded without conflict and every live entry
has confirmed it.  Applying a note that is already in force succeeds, so an apply
with an unknown result can be repeated.
"""

import argparse

import msgspec

from almondstack.core import SystemClock
from almondstack.ctl.commands.check import CheckResult
from almondstack.ctl.confirmation import Confirmation, MissingEntry, ZoneProgress, wait_for_entries
from almondstack.ctl.documents import read_document, release_note_for
from almondstack.ctl.entries import EntryClient
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.fold import FoldDelta, Verdict
from almondstack.model import ReleaseApplied, ReleaseNote
from almondstack.release_note import (
    Change,
    ConfigTables,
    check_note,
    config_tables,
    diff_tables,
    is_in_force,
)

__all__: list[str] = []


class ApplyResult(msgspec.Struct, frozen=True):
    """Result of ``apply`` when the release note is in force.

    Parameters
    ----------
    is_accepted : bool
        True if every live entry has confirmed; False with ``--no-wait``.
    """

    revision: int
    next_offset: int
    is_accepted: bool
    missing_zones: list[str]
    zones: list[ZoneProgress]
    missing: list[MissingEntry]


class ConflictResult(msgspec.Struct, frozen=True):
    """Result of ``apply`` when the release note was refused.

    Parameters
    ----------
    planned_revision, revision : int
        Revision that the note was planned from, and the one in force.
    others : list of Change
        Changes by others since the planned revision, as far as the log still holds it;
        else since this run read the state.
    """

    refusal: str
    detail: str
    planned_revision: int
    revision: int
    others: list[Change]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("document", help="release note or desired configuration, in JSON")
    parser.add_argument(
        "--revision", type=int, help="revision that the note was planned from; default: current"
    )
    parser.add_argument("--no-wait", action="store_true", help="do not wait for the entries")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    document = read_document(arguments.document)
    session = OperatorSession(context.settings.log)
    before = _catch_up(session, arguments.revision)
    state = session.fold.state
    note = release_note_for(document, state)
    if is_in_force(state, note):
        context.printer.progress("The note is in force already.")
        return _confirm(context, arguments, session, session.fold.next_offset)
    planned = state.revision if arguments.revision is None else arguments.revision
    report = check_note(state, note)
    if report.faults and planned == state.revision:
        result = CheckResult(state.revision, report.faults, report.warnings)
        context.printer.result(result, "nothing was changed")
        return ExitCode.FAULTS
    body = ReleaseApplied(planned, note, context.settings.operator)
    verdict = session.append(body, context.settings.apply_timeout_s)
    if verdict is None:
        context.printer.progress(
            "The log service did not confirm the release note in time; apply it again later."
        )
        return ExitCode.UNAVAILABLE
    return _handle_verdict(context, arguments, session, note, planned, before, verdict)


def _catch_up(session: OperatorSession, planned: int | None) -> ConfigTables:
    """Catch up; return the configuration at revision ``planned``, else the current one."""
    planned_tables: list[ConfigTables] = []

    def keep_planned(_delta: FoldDelta) -> None:
        if not planned_tables and session.fold.state.revision == planned:
            planned_tables.append(config_tables(session.fold.state))

    session.fold.add_listener(keep_planned)
    session.catch_up(is_full_replay=planned is not None)
    return planned_tables[0] if planned_tables else config_tables(session.fold.state)


def _handle_verdict(
    context: CommandContext,
    arguments: argparse.Namespace,
    session: OperatorSession,
    note: ReleaseNote,
    planned: int,
    before: ConfigTables,
    verdict: Verdict,
) -> ExitCode:
    state = session.fold.state
    if verdict.is_accepted:
        return _confirm(context, arguments, session, verdict.offset + 1)
    if is_in_force(state, note):
        context.printer.progress("Another operator has applied the same change.")
        return _confirm(context, arguments, session, verdict.offset + 1)
    others = diff_tables(before, config_tables(state))
    refusal = verdict.refusal or ""
    result = ConflictResult(refusal, verdict.detail, planned, state.revision, others)
    context.printer.result(result, "nothing was changed")
    return ExitCode.CONFLICT


def _confirm(
    context: CommandContext,
    arguments: argparse.Namespace,
    session: OperatorSession,
    next_offset: int,
) -> ExitCode:
    confirmation = Confirmation([], [])
    if not arguments.no_wait:
        session.start()
        confirmation = wait_for_entries(
            session.fold,
            EntryClient(context.settings),
            next_offset,
            context.settings.apply_timeout_s,
            SystemClock(),
            context.printer,
        )
    session.stop()
    is_accepted = confirmation.is_complete and not arguments.no_wait
    context.printer.result(
        ApplyResult(
            revision=session.fold.state.revision,
            next_offset=next_offset,
            is_accepted=is_accepted,
            missing_zones=confirmation.missing_zones,
            zones=confirmation.zones,
            missing=confirmation.missing,
        )
    )
    return ExitCode.OK if confirmation.is_complete else ExitCode.NOT_CONFIRMED


register_command(
    Command(
        "apply", "Apply a document and wait for every entry to confirm it.", _add_arguments, _run
    )
)
