"""``almondctl diff``: shows the configuration changes that a document would make."""

import argparse
from pathlib import Path

import msgspec

from almondstack.core import encode_json
from almondstack.ctl.documents import read_document, release_note_for
from almondstack.ctl.errors import DocumentError
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.model import ReleaseNote
from almondstack.release_note import Change, config_tables, diff_tables, merge_note

__all__: list[str] = []


class DiffResult(msgspec.Struct, frozen=True):
    """Result of ``diff``; pass ``revision`` to ``apply --revision``."""

    revision: int
    changes: list[Change]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("document", help="release note or desired configuration, in JSON")
    parser.add_argument("--note-out", metavar="FILE", help="write the release note to this file")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    document = read_document(arguments.document)
    session = OperatorSession(context.settings.log)
    session.catch_up()
    state = session.fold.state
    note = release_note_for(document, state)
    before = config_tables(state)
    after, _ = merge_note(before, note)
    if arguments.note_out:
        _write(arguments.note_out, note)
    context.printer.result(DiffResult(state.revision, diff_tables(before, after)))
    return ExitCode.OK


def _write(path: str, note: ReleaseNote) -> None:
    data = msgspec.json.format(encode_json(note), indent=2)
    try:
        Path(path).write_bytes(data + b"\n")
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error


register_command(Command("diff", "Show what a document would change.", _add_arguments, _run))
