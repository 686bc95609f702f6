"""``almondctl``: the operators' program."""

import argparse
import sys
from pathlib import Path

from almondstack import __version__
from almondstack.core import AlmondError, LogServiceSettings, decode_json
from almondstack.ctl.session import OperatorSession
from almondstack.model import ReleaseApplied, ReleaseNote
from almondstack.note import check_note

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="almondctl", description="Operates almondstack.")
    parser.add_argument("--log", required=True, help="numeric address of the log service")
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name in ("check", "apply"):
        command = commands.add_parser(name)
        command.add_argument("note", help="path of a release note in JSON")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one operator's command."""
    arguments = _parser().parse_args(argv)
    try:
        return _run(arguments)
    except AlmondError as error:
        print(f"almondctl: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE


def _run(arguments: argparse.Namespace) -> int:
    note = decode_json(Path(arguments.note).read_bytes(), ReleaseNote)
    session = OperatorSession(LogServiceSettings(address=arguments.log))
    session.catch_up()
    faults = check_note(session.fold.state, note)
    for fault in faults:
        print(f"{fault.path}: {fault.code}: {fault.message}")
    if faults:
        return EXIT_FAULTS
    if arguments.command == "check":
        return EXIT_OK
    revision = session.fold.state.revision
    verdict = session.append(ReleaseApplied(revision, note), timeout_s=10.0)
    if verdict is None:
        return EXIT_UNAVAILABLE
    if not verdict.is_accepted:
        print(f"refused: {verdict.refusal}: {verdict.detail}")
        return EXIT_CONFLICT
    print(f"revision {session.fold.state.revision} at offset {verdict.offset}")
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
