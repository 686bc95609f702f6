"""``almondstack-bench compare``: compares a load with a stored result or other settings."""

import argparse
import statistics
from pathlib import Path
from typing import Any

import msgspec

from almondstack.bench.commands import bench_command
from almondstack.bench.load import LoadOptions, add_load_arguments, options_from, run_load
from almondstack.bench.results import ResultError, load_result, save_result
from almondstack.core import CodecError, decode_json

__all__ = ["ratio_table"]

_FIGURES = ("answer p50 ms", "answer p99 ms", "start p99 ms", "urgent p99 ms", "answered", "close")


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "baseline",
        help="result file of an earlier load, or settings sections of entries as JSON, "
        """for instance '{"dispatch": {"zone_cost_ms": 0}}'""",
    )
    parser.add_argument("--rounds", type=int, default=2, help="runs of each configuration")
    add_load_arguments(parser)


@bench_command("compare", "a load against a baseline, run alternately", _configure)
def run_compare(arguments: argparse.Namespace) -> int:
    """Run the load and the baseline, and print the ratios of their figures.

    Explanation
    -----------
    The figures of a result file come from an earlier run, so the ratios also
    reflect changes of the machine's load since then.  With settings sections as
    baseline, runs with and without them alternate, so both see the same machine.
    """
    path = Path(arguments.baseline)
    if path.is_file():
        stored = load_result(path).figures
        options = msgspec.convert(stored["options"], LoadOptions)
        now = [_summary(run_load(options)[0]) for _ in range(arguments.rounds)]
        before = [_summary(stored)]
    else:
        now, before = _run_alternately(options_from(arguments), arguments)
    print(ratio_table(now, before))
    figures = {"now": now, "baseline": before}
    print(f"saved {save_result('compare', figures, arguments.results)}")
    return 0


def _run_alternately(
    options: LoadOptions, arguments: argparse.Namespace
) -> tuple[list[dict[str, float]], list[dict[str, float]]]:
    try:
        sections = decode_json(arguments.baseline.encode(), dict[str, Any])
    except CodecError as error:
        raise ResultError(
            f"{arguments.baseline}: neither an existing result file nor settings sections as JSON"
        ) from error
    other = msgspec.structs.replace(options, sections=sections)
    now, before = [], []
    for _ in range(arguments.rounds):
        before.append(_summary(run_load(other)[0]))
        now.append(_summary(run_load(options)[0]))
    return now, before


def _summary(figures: dict[str, Any]) -> dict[str, float]:
    waits = msgspec.to_builtins(figures["waits"])
    values = (
        waits["answer"]["p50_ms"],
        waits["answer"]["p99_ms"],
        waits["start"]["p99_ms"],
        (waits["urgent_start"] or {}).get("p99_ms", 0.0),
        float(figures["counts"]["answered"]),
        figures["shares"].get("within_5_percent", 0.0),
    )
    return dict(zip(_FIGURES, values, strict=True))


def ratio_table(now: list[dict[str, float]], before: list[dict[str, float]]) -> str:
    """Return a Markdown table of the medians of both configurations and their ratio.

    Examples
    --------
    >>> from almondstack.bench.compare import ratio_table
    >>> print(ratio_table([{"p50": 2.0}], [{"p50": 4.0}]))
    | figure | now | baseline | ratio |
    |---|---|---|---|
    | p50 | 2 | 4 | 0.5 |
    """
    lines = ["| figure | now | baseline | ratio |", "|---|---|---|---|"]
    for name in now[0]:
        new = statistics.median(run[name] for run in now)
        old = statistics.median(run[name] for run in before)
        ratio = f"{new / old:.3g}" if old else "-"
        lines.append(f"| {name} | {new:.4g} | {old:.4g} | {ratio} |")
    return "\n".join(lines)
