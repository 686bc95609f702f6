"""Slopes of processor time and memory of whole processes.

Explanation
-----------
The sizes are the number of requests, of log records, of instances and of entries.
"""

import contextlib
import functools
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from almondstack.bench.caller import Caller
from almondstack.bench.deployment import Deployment
from almondstack.bench.layout import DeploymentPlan
from almondstack.bench.outcome_check import CallerEnd
from almondstack.bench.processes import ProcessGroup, wait_until
from almondstack.bench.sending import send_closed
from almondstack.bench.slopes import Points, slope_case
from almondstack.bench.usage import ProcessUsage, read_process_usage
from almondstack.core import LogServiceSettings
from almondstack.log import FLEET, HttpLogClient
from almondstack.model import KeyRevoked, encode_record
from almondstack.testing.large_fleet import FULL_INSTANCES, make_large_note
from almondstack.testing.small_fleet import make_small_note, small_work

__all__: list[str] = []

_REQUESTS = (200, 400, 800, 1600)
_RECORDS = (200, 400, 800, 1600)
_INSTANCES = (92, 185, 370, 740)
_ENTRIES = (2, 4, 8, 16)
_FULL_ENTRIES = 72
_FULL_RECORDS = 2000
_FULL_REQUESTS = 1000
_CALLERS = 8
_IDLE_WINDOW_S = 6.0
_SETTLING_TIME_S = 2.0


@contextlib.contextmanager
def _running_deployment(**fields: Any) -> Iterator[Deployment]:
    plan = DeploymentPlan(
        **{"note": make_small_note(), "entries": {"a": 1}, "keepers": 0, **fields}
    )
    with tempfile.TemporaryDirectory() as folder, ProcessGroup(Path(folder)) as group:
        deployment = Deployment(plan, Path(folder), group)
        deployment.start()
        yield deployment


@slope_case("entry-requests", "requests", _FULL_REQUESTS)
def entry_requests() -> dict[str, Points]:
    """Return the processor time of one entry against the number of answered requests."""
    points: Points = []
    with _running_deployment() as deployment:
        caller = Caller(deployment.layout.entry_addresses)
        send_closed(caller, small_work(_CALLERS * 10), _CALLERS)
        pid = deployment.pid("e-a1")
        for count in _REQUESTS:
            before = read_process_usage(pid)
            records = send_closed(caller, small_work(count), _CALLERS)
            assert all(record.end is CallerEnd.ANSWERED for record in records)
            points.append((count, read_process_usage(pid).cpu_s - before.cpu_s))
    return {"s of processor": points}


@slope_case("entry-records", "records", _FULL_RECORDS)
def entry_records() -> dict[str, Points]:
    """Return the processor time of one entry against the number of records appended one by one."""
    points: Points = []
    with _running_deployment() as deployment:
        client = HttpLogClient(LogServiceSettings(address=deployment.layout.log_address), "bench")
        pid = deployment.pid("e-a1")
        for count in _RECORDS:
            before = read_process_usage(pid)
            for number in range(count):
                record = encode_record(f"bench-{count}", number + 1, KeyRevoked(f"k{number}"))
                end = client.append(FLEET, [record]) + 1
            wait_until(
                functools.partial(_has_folded, deployment, end), "folding of all records by e-a1"
            )
            points.append((count, read_process_usage(pid).cpu_s - before.cpu_s))
    return {"s of processor": points}


@slope_case("fleet-size", "instances", FULL_INSTANCES)
def fleet_size() -> dict[str, Points]:
    """Return processor time, memory and log calls of an idle entry and keeper, and of almondctl."""
    figures: dict[str, Points] = {}
    for size in _INSTANCES:
        note = make_large_note(size)
        with (
            tempfile.TemporaryDirectory() as folder,
            _running_deployment(note=note, keepers=1, has_shared_upstream=True) as deployment,
        ):
            before = deployment.log_counts()["requests"]
            idle = _idle_usage(deployment, ["e-a1", "keeper-e-a1"])
            calls = deployment.log_counts()["requests"] - before
            ctl = deployment.run_ctl("check", _write_empty_note(Path(folder)))
        per_second = calls / (_SETTLING_TIME_S + _IDLE_WINDOW_S)
        figures.setdefault("almondctl s of processor", []).append((size, ctl.cpu_s))
        figures.setdefault("almondctl MiB", []).append((size, ctl.resident_mib))
        figures.setdefault("log calls a second of both", []).append((size, per_second))
        for name, role in (("e-a1", "entry"), ("keeper-e-a1", "keeper")):
            used = idle[name]
            figures.setdefault(f"{role} % of a core", []).append(
                (size, used.cpu_s / _IDLE_WINDOW_S * 100)
            )
            figures.setdefault(f"{role} MiB", []).append((size, used.resident_mib))
    return figures


@slope_case("entry-count", "entries", _FULL_ENTRIES)
def entry_count() -> dict[str, Points]:
    """Return processor time and memory of one idle entry against the number of entries."""
    figures: dict[str, Points] = {"entry % of a core": [], "entry MiB": []}
    for count in _ENTRIES:
        with _running_deployment(entries={"a": count // 2, "b": count - count // 2}) as deployment:
            used = _idle_usage(deployment, ["e-a1"])["e-a1"]
        figures["entry % of a core"].append((count, used.cpu_s / _IDLE_WINDOW_S * 100))
        figures["entry MiB"].append((count, used.resident_mib))
    return figures


def _write_empty_note(folder: Path) -> str:
    path = folder / "empty.json"
    path.write_text("{}")
    return str(path)


def _has_folded(deployment: Deployment, end: int) -> bool:
    return deployment.status("e-a1")["next_offset"] >= end


def _idle_usage(deployment: Deployment, names: list[str]) -> dict[str, ProcessUsage]:
    """Return the processor time of each process over an idle window, and its memory at the end."""
    time.sleep(_SETTLING_TIME_S)
    before = {name: read_process_usage(deployment.pid(name)).cpu_s for name in names}
    time.sleep(_IDLE_WINDOW_S)
    after = {name: read_process_usage(deployment.pid(name)) for name in names}
    return {
        name: ProcessUsage(used.cpu_s - before[name], used.resident_mib)
        for name, used in after.items()
    }
