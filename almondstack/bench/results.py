"""Results of an experiment as JSON files that name their revision."""

import datetime
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from almondstack.core import AlmondError, CodecError, decode_json

__all__ = [
    "Result",
    "ResultError",
    "WaitPercentiles",
    "load_result",
    "revision",
    "save_result",
    "wait_percentiles",
]

_ROOT = Path(__file__).parent.parent.parent
_LONGEST_US = 3_600_000_000
_DIGITS = 3


class ResultError(AlmondError):
    """A result file is missing or malformed."""

    code = "result"


class WaitPercentiles(msgspec.Struct, frozen=True):
    """Percentiles of waits, in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """What one experiment measured.

    Parameters
    ----------
    experiment : str
        Name of the subcommand.
    command : str
        How to make it again.
    revision : str
        Commit of the code, with ``+`` if files were changed.
    at : str
        When it ended, in UTC.
    cores : int
        Processors of the machine, which others may have used too.
    load_average : float
        Load of the machine in the minute before the end.
    figures : dict of str to Any
        The figures.
    """

    experiment: str
    command: str
    revision: str
    at: str
    cores: int
    load_average: float
    figures: dict[str, Any]


def revision() -> str:
    """Return the commit of the code, with ``+`` if tracked files were changed."""
    head = _git("rev-parse", "--short", "HEAD")
    return head + ("+" if _git("status", "--porcelain", "--untracked-files=no") else "")


def save_result(experiment: str, figures: dict[str, Any], folder: Path) -> Path:
    """Write a result file and return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    now = datetime.datetime.now(datetime.UTC)
    result = Result(
        experiment=experiment,
        command=" ".join(["almondstack-bench", *sys.argv[1:]]),
        revision=revision(),
        at=now.isoformat(timespec="seconds"),
        cores=os.cpu_count() or 0,
        load_average=round(os.getloadavg()[0], 2),
        figures=figures,
    )
    path = folder / f"{experiment}-{now:%Y%m%dT%H%M%S}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    return path


def load_result(path: Path) -> Result:
    """Read a result file.

    Raises
    ------
    ResultError
        The file is missing or malformed.
    """
    try:
        return decode_json(path.read_bytes(), Result)
    except (OSError, CodecError) as error:
        raise ResultError(f"{path}: {error}") from error


def wait_percentiles(seconds: list[float]) -> WaitPercentiles | None:
    """Return the percentiles of some waits, or None if there are none.

    Examples
    --------
    >>> from almondstack.bench.results import wait_percentiles
    >>> wait_percentiles([0.001, 0.002, 0.003]).p50_ms
    2.0
    """
    if not seconds:
        return None
    histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(round(value * 1e6), _LONGEST_US)))
    p50, p90, p99 = (
        round(histogram.get_value_at_percentile(part) / 1000, 2) for part in (50, 90, 99)
    )
    return WaitPercentiles(len(seconds), p50, p90, p99, round(max(seconds) * 1000, 2))


def _git(*arguments: str) -> str:
    command = ["git", *arguments]
    return subprocess.run(
        command, check=False, cwd=_ROOT, capture_output=True, text=True
    ).stdout.strip()
