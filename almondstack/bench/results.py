"""Saves and loads results of experiments as JSON files with the revision of the code."""

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
_MAX_WAIT_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


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
    """Result of one experiment.

    Parameters
    ----------
    experiment : str
        Name of the subcommand.
    command : str
        Command line that reproduces it.
    revision : str
        Commit of the code, with ``+`` if tracked files were changed.
    at : str
        End of the experiment, in UTC, in ISO 8601.
    cores : int
        Number of processors of the machine; other processes may have used them too.
    load_average : float
        Load average of the machine over the last minute of the experiment.
    figures : dict of str to Any
        Measured figures by name.
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
    """Return the percentiles of waits given in seconds, or None without waits.

    Examples
    --------
    >>> from almondstack.bench.results import wait_percentiles
    >>> wait_percentiles([0.001, 0.002, 0.003]).p50_ms
    2.0
    """
    if not seconds:
        return None
    histogram = HdrHistogram(1, _MAX_WAIT_US, _SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(round(value * 1e6), _MAX_WAIT_US)))
    p50, p90, p99 = (
        round(histogram.get_value_at_percentile(part) / 1000, 2) for part in (50, 90, 99)
    )
    return WaitPercentiles(len(seconds), p50, p90, p99, round(max(seconds) * 1000, 2))


def _git(*arguments: str) -> str:
    command = ["git", *arguments]
    return subprocess.run(
        command, check=False, cwd=_ROOT, capture_output=True, text=True
    ).stdout.strip()
