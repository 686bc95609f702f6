"""Command ``almondstack-bench soak``."""

import argparse
import tempfile
from pathlib import Path

from almondstack.bench.commands import bench_command
from almondstack.standin.soak.builds import extract_build
from almondstack.standin.soak.run import SoakReport, SoakSettings, run_soak

__all__ = ["soak"]


def _configure(parser: argparse.ArgumentParser) -> None:
    defaults = SoakSettings()
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST, or one seed")
    parser.add_argument("--seconds", type=float, default=defaults.fault_period_s, help="of faults")
    parser.add_argument("--processes", type=int, default=defaults.processes)
    parser.add_argument("--workers", type=int, default=defaults.workers)
    parser.add_argument("--callers", type=int, default=defaults.callers)
    parser.add_argument("--other", help="commit whose build runs beside the present one")
    parser.add_argument("--rebirths", action="store_true", help="workers restart and are cut off")
    parser.add_argument("--only-rebirths", action="store_true", help="no other faults")
    parser.add_argument("--folder", type=Path, help="folder for the logs of each seed")


@bench_command("soak", "run the platform program under random faults", _configure)
def soak(arguments: argparse.Namespace) -> int:
    """Run the seeds one after another; return 1 if a run broke a rule, else 0."""
    first, _, last = arguments.seeds.partition("-")
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    other = extract_build(arguments.other, folder / "other") if arguments.other else None
    settings = SoakSettings(
        arguments.seconds,
        arguments.processes,
        arguments.workers,
        arguments.callers,
        other,
        has_faults=not arguments.only_rebirths,
        has_rebirths=arguments.rebirths or arguments.only_rebirths,
    )
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        own = folder / f"seed-{seed}"
        own.mkdir(parents=True, exist_ok=True)
        report = run_soak(seed, settings, own)
        print(_line(report), flush=True)
        failed += bool(report.broken)
    print(f"{failed} seeds broke a rule; logs in {folder}")
    return 1 if failed else 0


def _line(report: SoakReport) -> str:
    broken = "; ".join(report.broken[:3]) or "no rule broken"
    return (
        f"seed {report.seed}: {report.faults} faults, {report.submitted} jobs handed in, "
        f"{report.accepted} accepted, {report.completed} completed; {broken}"
    )
