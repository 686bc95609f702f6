"""``almondctl watch``: prints each record of the log as it is folded."""

import argparse
import queue

import msgspec

from almondstack.core import SystemClock
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.fold import FoldDelta, Verdict

__all__: list[str] = []

_POLL_TIMEOUT_S = 0.5


class WatchLine(msgspec.Struct, frozen=True):
    """A folded record and its verdict."""

    offset: int
    kind: str
    subject: str
    author: str
    verdict: str
    detail: str


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--count", type=int, help="stop after this number of records")
    parser.add_argument("--seconds", type=float, help="stop after this number of seconds")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    session.catch_up()
    deltas: queue.SimpleQueue[FoldDelta] = queue.SimpleQueue()
    session.fold.add_listener(deltas.put)
    session.start()
    clock = SystemClock()
    end_s = clock.monotonic() + (arguments.seconds or float("inf"))
    printed_count = 0
    while clock.monotonic() < end_s and printed_count != arguments.count:
        try:
            delta = deltas.get(timeout=min(_POLL_TIMEOUT_S, max(end_s - clock.monotonic(), 0.01)))
        except queue.Empty:
            continue
        if delta.verdict is not None:
            _print_record(context, delta.verdict)
            printed_count += 1
    session.stop()
    return ExitCode.OK


def _print_record(context: CommandContext, verdict: Verdict) -> None:
    line = WatchLine(
        offset=verdict.offset,
        kind=verdict.kind,
        subject=verdict.subject,
        author=verdict.author,
        verdict=verdict.refusal.value if verdict.refusal else "accepted",
        detail=verdict.detail,
    )
    text = f"{line.offset:>8}  {line.kind:<18}  {line.verdict:<20}  {line.subject}  {line.detail}"
    context.printer.line(line, text.rstrip())


register_command(Command("watch", "Print each new record of the log.", _add_arguments, _run))
