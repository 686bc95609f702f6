"""``almondctl level``: shows or raises the record format level in force."""

import argparse

import msgspec

from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.model import FORMAT_LEVEL, LevelRaised

__all__: list[str] = []


class LevelResult(msgspec.Struct, frozen=True):
    """Result of ``level``; ``refusal`` is empty if nothing was refused."""

    level: int
    refusal: str = ""
    detail: str = ""


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--raise", dest="level", type=int, help="bring this level into force")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    session.catch_up()
    if arguments.level is None:
        context.printer.result(LevelResult(session.fold.state.level))
        return ExitCode.OK
    if arguments.level > FORMAT_LEVEL:
        context.printer.progress(
            f"This almondctl supports record format levels up to {FORMAT_LEVEL}."
        )
        return ExitCode.USAGE
    verdict = session.append(LevelRaised(arguments.level), context.settings.apply_timeout_s)
    session.stop()
    if verdict is None:
        return ExitCode.UNAVAILABLE
    refusal = verdict.refusal or ""
    context.printer.result(LevelResult(session.fold.state.level, refusal, verdict.detail))
    return ExitCode.OK if verdict.is_accepted else ExitCode.CONFLICT


register_command(Command("level", "Show or raise the record format level.", _add_arguments, _run))
