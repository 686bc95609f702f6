"""``almondctl report``: counts of records, buffer cost and waves of a period.

Explanation
-----------
The figures come from the folded state and from the verdicts on the records that
the log still holds.  Records carry no time stamp, so the operator gives the length
of the period in hours.  The distance of teams from their shares is not in the log,
so this report omits it.
"""

import argparse
from collections import Counter
from pathlib import Path

import msgspec

from almondstack.core import SystemClock
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.report_page import render_page
from almondstack.ctl.session import OperatorSession
from almondstack.fleet import (
    DrainEstimates,
    FleetSettings,
    FleetView,
    Observations,
    demand_of,
    plan_buffer,
)
from almondstack.fold import Fold, Verdict
from almondstack.keeper.status import WaveProgress, wave_progress
from almondstack.model import FleetState

__all__ = ["BufferLine", "Count", "FleetReport", "make_report", "operator_view"]

_DEFAULT_HOURS = 24.0


class Count(msgspec.Struct, frozen=True):
    """Number of records of one kind, or of one kind and refusal."""

    what: str
    count: int


class BufferLine(msgspec.Struct, frozen=True):
    """Spare instances held and needed, and their cost over the period."""

    loss: str
    held: int
    needed: int
    worst_domain: str
    held_instance_hours: float
    needed_instance_hours: float


class FleetReport(msgspec.Struct, frozen=True):
    """Result of ``report``."""

    hours: float
    accepted: list[Count]
    refused: list[Count]
    buffer: list[BufferLine]
    waves: list[WaveProgress]


def make_report(fold: Fold, hours: float) -> FleetReport:
    """Return the report of a folded log for a period of ``hours``.

    Examples
    --------
    >>> from almondstack.ctl.report import make_report
    >>> from almondstack.testing.builders import make_fold
    >>> make_report(make_fold(), 24.0).accepted
    [Count(what='release-applied', count=1)]
    """
    verdicts = fold.verdicts()
    accepted = Counter(item.kind for item in verdicts if item.is_accepted)
    refused = Counter(_refusal(item) for item in verdicts if not item.is_accepted)
    return FleetReport(
        hours=hours,
        accepted=_counts(accepted),
        refused=_counts(refused),
        buffer=[_buffer(fold.state, hours, is_zone_loss) for is_zone_loss in (False, True)],
        waves=wave_progress(operator_view(fold.state), DrainEstimates()),
    )


def operator_view(state: FleetState) -> FleetView:
    """Return a view of the fleet without the observations that only a keeper has."""
    return FleetView(state, Observations(now_s=0.0, unix_s=SystemClock().unix()), FleetSettings())


def _refusal(verdict: Verdict) -> str:
    return f"{verdict.kind}: {verdict.refusal}"


def _counts(counter: Counter[str]) -> list[Count]:
    return [Count(what, counter[what]) for what in sorted(counter)]


def _buffer(state: FleetState, hours: float, is_zone_loss: bool) -> BufferLine:
    demand = demand_of(state, is_zone_loss=is_zone_loss)
    plan = plan_buffer(demand)
    held = sum(demand.rack_room.values())
    needed = plan.worst_need if plan.spares is None else plan.spares
    loss = "zone" if is_zone_loss else "rack"
    return BufferLine(loss, held, needed, plan.worst_domain, held * hours, needed * hours)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--hours", type=float, default=_DEFAULT_HOURS, help="length of the period in hours"
    )
    parser.add_argument("--html", type=Path, help="write a page with plots to this file")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    session.catch_up(is_full_replay=True)
    report = make_report(session.fold, arguments.hours)
    if arguments.html is not None:
        arguments.html.write_text(render_page(report))
    context.printer.result(report)
    return ExitCode.OK


register_command(Command("report", "Report on the fleet.", _add_arguments, _run))
