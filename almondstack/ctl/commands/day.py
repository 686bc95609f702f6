"""``almondctl day``: reports late jobs and paid instance time from the logs of all processes."""

import argparse
from pathlib import Path

from almondstack.ctl.day import make_day_report, render_day
from almondstack.ctl.errors import DocumentError
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.log_events import read_files
from almondstack.ctl.registry import Command, CommandContext, register_command

__all__: list[str] = []


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("files", nargs="+", metavar="FILE", help="log files; - is standard input")
    parser.add_argument("--page", metavar="FILE", help="also write an HTML page with plots")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    report, jobs, timeline = make_day_report(read_files(arguments.files))
    if arguments.page:
        _write_page(arguments.page, render_day(report, jobs, timeline))
    context.printer.result(report)
    return ExitCode.OK if report.jobs or report.lasting else ExitCode.NOT_FOUND


def _write_page(name: str, page: str) -> None:
    try:
        Path(name).write_text(page, encoding="utf-8")
    except OSError as error:
        raise DocumentError(f"{name}: {error.strerror}") from error


register_command(
    Command(
        "day",
        "Report late jobs and paid instance time from the log files of all processes.",
        _add_arguments,
        _run,
        needs_settings=False,
    )
)
