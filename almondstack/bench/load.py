"""``almondstack-bench load``: applies open-loop load to a complete deployment.

Explanation
-----------
Prints and saves the counts of the outcome check, the waits, and the distances of
the teams from their fair shares.
"""

import argparse
import math
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from almondstack.bench.caller import Caller
from almondstack.bench.commands import bench_command
from almondstack.bench.deployment import Deployment
from almondstack.bench.fairness import ShareSecond, share_seconds
from almondstack.bench.layout import DeploymentPlan, load_note
from almondstack.bench.mixes import EXAMPLES, MIXES
from almondstack.bench.outcome_check import CallerEnd, CallerRecord, RecordedRun, runs_of
from almondstack.bench.plots import plot_lines
from almondstack.bench.processes import ProcessGroup
from almondstack.bench.report import team_table
from almondstack.bench.results import save_result, wait_percentiles
from almondstack.bench.sending import send_all
from almondstack.bench.workload import Mix, arrivals, scale_run_times

__all__ = ["LoadOptions", "add_load_arguments", "run_load"]

_RESULTS_FOLDER = Path("results")
_FAIR_SHARE_TOLERANCE = 0.05
_URGENT_TARGET_S = 1.4


class LoadOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a load run.

    Parameters
    ----------
    deployment : str
        Name of the mix of requests and of the example release note.
    seed : int
        Seed of the arrivals.
    duration_s : float
        Time for which requests are sent, in seconds.
    scale : float
        Factor on every arrival rate.
    work_factor : float
        Factor on every run time.
    has_bursts : bool
        False for steady arrivals.
    entries : dict of str to int
        Number of entries in each zone.
    sections : dict
        Settings sections of every entry that override the defaults.
    own_mix : Mix or None
        Mix to send instead of the deployment's mix; ``scale``, ``work_factor`` and
        ``has_bursts`` do not apply to it.
    """

    deployment: str = "magnolia"
    seed: int = 1
    duration_s: float = 40.0
    scale: float = 2.0
    work_factor: float = 5.0
    has_bursts: bool = True
    entries: dict[str, int] = msgspec.field(default_factory=lambda: {"a": 3, "b": 3, "c": 2})
    sections: dict[str, Any] = {}
    own_mix: Mix | None = None

    def mix(self) -> Mix:
        """Return the mix of requests to send."""
        if self.own_mix is not None:
            return self.own_mix
        mix = scale_run_times(MIXES[self.deployment](self.scale, self.duration_s), self.work_factor)
        return msgspec.structs.replace(mix, has_bursts=self.has_bursts)


def add_load_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command-line arguments for :class:`LoadOptions`."""
    defaults = LoadOptions()
    parser.add_argument("--deployment", choices=sorted(MIXES), default=defaults.deployment)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--duration", type=float, default=defaults.duration_s, metavar="SECONDS")
    parser.add_argument(
        "--scale", type=float, default=defaults.scale, help="factor on arrival rates"
    )
    parser.add_argument("--work-factor", type=float, default=defaults.work_factor)
    parser.add_argument("--steady", action="store_true", help="no bursts")
    parser.add_argument("--results", type=Path, default=_RESULTS_FOLDER, help="folder for results")


def options_from(arguments: argparse.Namespace) -> LoadOptions:
    """Return the load options from the parsed arguments."""
    return LoadOptions(
        deployment=arguments.deployment,
        seed=arguments.seed,
        duration_s=arguments.duration,
        scale=arguments.scale,
        work_factor=arguments.work_factor,
        has_bursts=not arguments.steady,
    )


@bench_command("load", "seeded open-loop load with bursts", add_load_arguments)
def run_load_command(arguments: argparse.Namespace) -> int:
    """Run one load, print and save its figures; return 1 if a rule was violated."""
    options = options_from(arguments)
    figures, shares = run_load(options, show_table=True)
    path = save_result("load", figures, arguments.results)
    _plot_shares(path.with_suffix(".png"), shares)
    print(msgspec.json.format(msgspec.json.encode(figures), indent=1).decode())
    print(f"saved {path}")
    return 0 if not figures["violations"] else 1


def run_load(
    options: LoadOptions, show_table: bool = False
) -> tuple[dict[str, Any], list[ShareSecond]]:
    """Run one load on a new deployment.

    Returns
    -------
    dict
        Figures to print and save.
    list of ShareSecond
        Shares of the teams in each second of shortage.
    """
    plan = DeploymentPlan(
        note=load_note(EXAMPLES / f"{options.deployment}.json"),
        entries=options.entries,
        sections=options.sections,
    )
    with tempfile.TemporaryDirectory() as folder, ProcessGroup(Path(folder)) as group:
        deployment = Deployment(plan, Path(folder), group)
        deployment.start()
        items = arrivals(options.mix(), deployment.note, list(plan.entries), options.seed)
        records = send_all(Caller(deployment.layout.entry_addresses), items, title="load")
        deployment.check_running()
        journals = deployment.journals()
        outcomes = deployment.check_outcomes(records)
    if show_table:
        print(team_table(deployment.note, records, journals))
    runs = [run for name, events in journals.items() for run in runs_of(name, events)]
    urgent = {item.work_id for item in items if item.is_urgent}
    shares = share_seconds(deployment.note, records, runs)
    figures = {
        "options": msgspec.to_builtins(options),
        "counts": msgspec.to_builtins(outcomes),
        "violations": outcomes.violations,
        "answered_by_second": _answered_by_second(records),
        "waits": _waits(records, runs, urgent),
        "shares": _share_figures(shares),
        "refused": Counter(r.reason for r in records if r.end is not CallerEnd.ANSWERED),
    }
    return figures, shares


def _answered_by_second(records: Sequence[CallerRecord]) -> list[int]:
    origin_s = min((record.intended_s for record in records), default=0.0)
    ends = [record.ended_s for record in records if record.end is CallerEnd.ANSWERED]
    counts = Counter(int(end_s - origin_s) for end_s in ends)
    return [counts[second] for second in range(max(counts, default=-1) + 1)]


def _waits(
    records: Sequence[CallerRecord], runs: Sequence[RecordedRun], urgent: set[str]
) -> dict[str, Any]:
    """Return percentiles of the waits from the intended sending to the start and the answer."""
    started_s = {run.work_id: run.started_s for run in reversed(runs)}
    answered = [record for record in records if record.end is CallerEnd.ANSWERED]
    started = [record for record in records if record.work_id in started_s]
    waits = {record.work_id: started_s[record.work_id] - record.intended_s for record in started}
    urgent_waits = [wait for work_id, wait in waits.items() if work_id in urgent]
    in_time = sum(wait <= _URGENT_TARGET_S for wait in urgent_waits)
    return {
        "answer": wait_percentiles([record.ended_s - record.intended_s for record in answered]),
        "start": wait_percentiles(
            [wait for work_id, wait in waits.items() if work_id not in urgent]
        ),
        "urgent_start": wait_percentiles(urgent_waits),
        "urgent_within_1.4_s": in_time / len(urgent_waits) if urgent_waits else None,
        "urgent_not_started": len(urgent - waits.keys()),
    }


def _share_figures(shares: Sequence[ShareSecond]) -> dict[str, Any]:
    """Return statistics of the teams' distances from their fair shares during shortage."""
    distances = sorted(second.distance for second in shares)
    if not distances:
        return {"team_seconds": 0}
    at_95 = distances[min(math.ceil(0.95 * len(distances)), len(distances)) - 1]
    return {
        "team_seconds": len(distances),
        "within_5_percent": sum(item <= _FAIR_SHARE_TOLERANCE for item in distances)
        / len(distances),
        "median_distance": round(distances[len(distances) // 2], 4),
        "p95_distance": round(at_95, 4),
    }


def _plot_shares(path: Path, shares: Sequence[ShareSecond]) -> None:
    lines: dict[str, list[tuple[float, float]]] = {}
    for item in shares:
        lines.setdefault(f"{item.pool} {item.team}", []).append((item.second, item.got / item.fair))
    if lines:
        plot_lines(
            path, "Running requests over fair share, in shortage", ("second", "ratio"), lines
        )
