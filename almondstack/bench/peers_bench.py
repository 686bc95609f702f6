"""``almondstack-bench peers``: cost and latency of gossip, permit transfers and recovery.

Explanation
-----------
All nodes run in this process on loopback, each with its own sockets and
threads, and share one in-memory log.  The processor time of a node is the
processor time of the process divided by the number of nodes, so it includes
reading the log.
"""

import argparse
import itertools
import json
import random
import statistics
import threading
import time
from collections.abc import Callable
from functools import partial

from almondstack.bench.commands import bench_command
from almondstack.core import AlmondError
from almondstack.log import FLEET
from almondstack.model import KeyRevoked, ReleaseNote, encode_record
from almondstack.permits import GivePolicy, PermitSettings, ceiling_resource
from almondstack.testing.builders import make_instance, make_note, make_pool, make_team
from almondstack.testing.peer_fleet import FleetNode, PeerFleet

__all__ = ["run_peers"]

_ZONES = "abc"
_CEILING = ceiling_resource("north")
_TARGET_NODES = 72
_TIMEOUT_S = 60.0
_SETTLING_TIME_S = 4.0
_POLL_INTERVAL_S = 0.001
_INSTANCES = 30
_TEAMS = ("north", "south", "east", "west", "coop", "agency")


class BenchTimeoutError(AlmondError):
    """A condition that a measurement depends on did not hold in time."""

    code = "bench-timeout"


def _make_note(ceiling: int, run_bound_s: float = 60.0) -> ReleaseNote:
    pool = make_pool(size=_INSTANCES, run_time_bound_s=run_bound_s)
    instances = tuple(
        make_instance(f"u{i}", zone=_ZONES[i % 3], rack=f"r{i // 4}") for i in range(_INSTANCES)
    )
    teams = tuple(make_team(name, ceiling=ceiling) for name in _TEAMS)
    return make_note(pools=(pool,), instances=instances, teams=teams)


def _wait_until(condition: Callable[[], bool], failure: str) -> float:
    """Poll until ``condition`` holds; return the time that this took, in seconds.

    Raises
    ------
    BenchTimeoutError
        The condition did not hold within 60 s; the message is ``failure``.
    """
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > _TIMEOUT_S:
            raise BenchTimeoutError(failure)
        time.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - start_s


def _make_fleet(count: int, ceiling: int, run_bound_s: float = 60.0, **fields: object) -> PeerFleet:
    zones = "".join(itertools.islice(itertools.cycle(_ZONES), count))
    defaults = {"gossip_interval_s": 0.5, "silent_s": 5.0, "log_silent_s": 3.0}
    fleet = PeerFleet(_make_note(ceiling, run_bound_s), zones, **{**defaults, **fields})
    for node in fleet.nodes:
        node.client.max_wait_s = 1.0
    return fleet


def _held_permits(nodes: list[FleetNode], resource: str = _CEILING) -> int:
    return sum(node.peers.permits.held_count(resource) for node in nodes)


def _wait_joined(fleet: PeerFleet) -> None:
    count = len(fleet.nodes)
    _wait_until(
        lambda: all(len(node.fold.state.live_entries()) == count for node in fleet.nodes),
        f"not every node joined the fleet within {_TIMEOUT_S:g} s",
    )


def _latency_quantiles(samples_s: list[float]) -> dict[str, float]:
    ordered = sorted(samples_s)
    return {
        "p50_ms": round(1000 * statistics.median(ordered), 1),
        "p99_ms": round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1),
        "max_ms": round(1000 * ordered[-1], 1),
    }


def _metric_total(fleet: PeerFleet, name: str) -> int:
    return sum(node.metrics.total(f"peers.{name}") for node in fleet.nodes)


def measure_cost(count: int, fan_out: int, seconds: float) -> dict[str, float]:
    """Return processor time, messages and kB a second of an idle node, averaged over all nodes."""
    with _make_fleet(count, ceiling=64, fan_out=fan_out) as fleet:
        _wait_joined(fleet)
        time.sleep(_SETTLING_TIME_S)
        names = ("sent", "sent-bytes", "received", "received-bytes")
        before = {name: _metric_total(fleet, name) for name in names}
        cpu_s, start_s = time.process_time(), time.monotonic()
        time.sleep(seconds)
        node_s = (time.monotonic() - start_s) * count
        spent_s = time.process_time() - cpu_s
        rates = {name: (_metric_total(fleet, name) - before[name]) / node_s for name in names}
    return {
        "nodes": count,
        "fan_out": fan_out,
        "cpu_ms_per_s": round(1000 * spent_s / node_s, 2),
        "messages_per_s": round(rates["sent"] + rates["received"], 1),
        "kb_per_s": round((rates["sent-bytes"] + rates["received-bytes"]) / 1000, 2),
    }


def _extrapolate(rows: list[dict[str, float]], field: str) -> dict[str, float]:
    """Return the least-squares slope per node and the fitted value at 72 nodes."""
    slope, start = statistics.linear_regression(
        [row["nodes"] for row in rows], [row[field] for row in rows]
    )
    return {"per_node": round(slope, 3), "at_72": round(start + slope * _TARGET_NODES, 2)}


def _have_all_folded(fleet: PeerFleet, offset: int) -> bool:
    return all(node.fold.next_offset > offset for node in fleet.nodes)


def measure_in_force(count: int, has_silent_link: bool, records: int) -> dict[str, float]:
    """Return quantiles of the time from an append until every node has folded the record.

    Explanation
    -----------
    With ``has_silent_link``, node 0 is disconnected from the log and receives
    the records from its peers.
    """
    with _make_fleet(count, ceiling=64) as fleet:
        _wait_joined(fleet)
        time.sleep(_SETTLING_TIME_S)
        if has_silent_link:
            fleet.nodes[0].client.is_disconnected = True
            _wait_until(
                lambda: fleet.nodes[0].peers.connectivity.is_log_silent,
                f"no log silence detected within {_TIMEOUT_S:g} s",
            )
            time.sleep(_SETTLING_TIME_S)
        samples = []
        for sequence in range(2, records + 2):
            record = encode_record("operator", sequence, KeyRevoked(f"k{sequence}"))
            offset = fleet.log.append(FLEET, [record])
            samples.append(
                _wait_until(
                    partial(_have_all_folded, fleet, offset),
                    f"record not folded by every node within {_TIMEOUT_S:g} s",
                )
            )
            time.sleep(random.uniform(0.0, 0.1))
    return {"nodes": count, "has_silent_link": has_silent_link, **_latency_quantiles(samples)}


def _run_calls(
    node: FleetNode, stop: threading.Event, work_s: float, think_s: float, waits: list[float]
) -> None:
    """Take a permit, hold it for ``work_s``, return it and pause, until ``stop`` is set.

    Explanation
    -----------
    The pause is exponentially distributed with mean ``think_s`` seconds.  Each
    wait for a permit is appended to ``waits``, in seconds.
    """
    permits = node.peers.permits
    permits_changed = threading.Event()
    permits.add_listener(permits_changed.set)
    while not stop.is_set():
        start_s = time.monotonic()
        while not permits.try_acquire([_CEILING]) and not stop.is_set():
            permits.set_demand(_CEILING, 1)
            permits_changed.wait(0.05)
            permits_changed.clear()
        permits.set_demand(_CEILING, 0)
        if stop.is_set():
            return
        waits.append(time.monotonic() - start_s)
        time.sleep(work_s)
        permits.release([_CEILING])
        stop.wait(random.expovariate(1 / think_s) if think_s else 0.0)


def measure_waits(
    policy: GivePolicy, keep_s: float, think_s: float, seconds: float
) -> dict[str, float | str]:
    """Return quantiles of the wait for one of 3 permits that 8 nodes share."""
    waits: list[float] = []
    stop = threading.Event()
    permits = PermitSettings(give_policy=policy, keep_s=keep_s)
    with _make_fleet(8, ceiling=3, permits=permits) as fleet:
        _wait_joined(fleet)
        _wait_until(
            lambda: _held_permits(fleet.nodes) == 3,
            f"the nodes did not hold all 3 permits within {_TIMEOUT_S:g} s",
        )
        time.sleep(_SETTLING_TIME_S)
        given = sum(node.metrics.total("permits.given") for node in fleet.nodes)
        threads = [
            threading.Thread(target=_run_calls, args=(node, stop, 0.02, think_s, waits))
            for node in fleet.nodes
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        stop.set()
        for thread in threads:
            thread.join()
        given = sum(node.metrics.total("permits.given") for node in fleet.nodes) - given
    return {
        "policy": policy.value,
        "keep_ms": 1000 * keep_s,
        "think_ms": 1000 * think_s,
        "calls": len(waits),
        "moves_per_call": round(given / max(1, len(waits)), 2),
        **_latency_quantiles(waits),
    }


def measure_recovery(run_bound_s: float) -> dict[str, float]:
    """Return the time until the permits of a stopped and replaced node are held again."""
    with _make_fleet(8, ceiling=64, run_bound_s=run_bound_s) as fleet:
        _wait_joined(fleet)
        _wait_until(
            lambda: _held_permits(fleet.nodes) == 64,
            f"the nodes did not hold all 64 permits within {_TIMEOUT_S:g} s",
        )
        killed = fleet.nodes.pop()
        killed.stop()
        start_s = time.monotonic()
        replacement = fleet.add("e7", "b")
        replacement.start()
        _wait_until(
            lambda: _held_permits(fleet.nodes) == 64,
            f"permits of the stopped node not recovered within {_TIMEOUT_S:g} s",
        )
        took_s = time.monotonic() - start_s
    return {"run_bound_s": run_bound_s, "recovered_s": round(took_s, 2)}


def _print_costs(seconds: float) -> None:
    for fan_out in (2, 1, 0):  # 0 stands for all other nodes
        sizes = (8, 16, 27) if fan_out else (8, 16)
        rows = [measure_cost(count, fan_out or count - 1, seconds) for count in sizes]
        for row in rows:
            print(json.dumps(row), flush=True)
        for field in ("cpu_ms_per_s", "messages_per_s", "kb_per_s"):
            print(json.dumps({"field": field, **_extrapolate(rows, field)}), flush=True)


def _print_in_force(records: int) -> None:
    for count, has_silent_link in itertools.product((8, 27), (False, True)):
        print(json.dumps(measure_in_force(count, has_silent_link, records)), flush=True)


def _print_waits(seconds: float) -> None:
    choices = itertools.product((0.2, 0.0), GivePolicy, (0.0, 0.05))
    for think_s, policy, keep_s in choices:
        print(json.dumps(measure_waits(policy, keep_s, think_s, seconds)), flush=True)


def _configure(parser: argparse.ArgumentParser) -> None:
    measures = ("all", "cost", "in-force", "waits", "recovery")
    parser.add_argument("--measure", choices=measures, default="all", help="what to measure")
    parser.add_argument("--seconds", type=float, default=6.0, help="length of each window")
    parser.add_argument("--records", type=int, default=50, help="appends for each size")


@bench_command("peers", "cost and speed of gossip and permits", _configure)
def run_peers(arguments: argparse.Namespace) -> int:
    """Run the selected measurements and print one JSON object a line."""
    if arguments.measure in ("cost", "all"):
        _print_costs(arguments.seconds)
    if arguments.measure in ("in-force", "all"):
        _print_in_force(arguments.records)
    if arguments.measure in ("waits", "all"):
        _print_waits(arguments.seconds)
    if arguments.measure in ("recovery", "all"):
        print(json.dumps(measure_recovery(run_bound_s=2.0)))
    return 0
