"""``almondstack-bench entry``: throughput and added latency of one entry process.

Explanation
-----------
One entry, upstream stand-ins without simulated work, and the load generators
run as processes.  First a closed loop measures the maximum throughput for
several thread counts and interpreter switch intervals.  Then the latency at
25, 75 and 95 % of the best throughput is compared with the latency of calling
a stand-in directly; both are measured one after the other in the same run.
"""

import argparse
import json
import os
import tempfile
from pathlib import Path

import msgspec
from tqdm import tqdm

from almondstack.bench.commands import bench_command
from almondstack.bench.processes import ProcessGroup, wait_until_ready
from almondstack.bench.raw_load import RawLoadResult
from almondstack.core import decode_json
from almondstack.testing.addresses import loopback_host

__all__ = ["EntryFigures", "run_entry_bench"]

_UPSTREAMS = 4
_LOAD_GENERATORS = 2
_CONNECTIONS = 8
_LOAD_DURATION_S = 3.0
_LOADS = (0.25, 0.75, 0.95)
_VARIANTS = ((16, 5.0), (64, 5.0), (256, 5.0), (64, 1.0), (64, 0.2))


class Variant(msgspec.Struct, frozen=True):
    """Throughput and processor time a request of one entry process with given settings."""

    threads: int
    switch_interval_ms: float
    per_second: float
    processor_ms: float


class LoadPoint(msgspec.Struct, frozen=True):
    """Latencies at one fraction of the maximum throughput, in microseconds."""

    load: float
    direct_p50_us: int
    direct_p99_us: int
    entry_p50_us: int
    entry_p99_us: int

    @property
    def added_p50_us(self) -> int:
        """Median latency that the entry adds."""
        return self.entry_p50_us - self.direct_p50_us

    @property
    def added_p99_us(self) -> int:
        """Latency that the entry adds at the 99th percentile."""
        return self.entry_p99_us - self.direct_p99_us


class EntryFigures(msgspec.Struct, frozen=True):
    """All results of one run."""

    variants: tuple[Variant, ...]
    points: tuple[LoadPoint, ...]


class _Testbed:
    """Starts the processes of one run and applies load to them."""

    def __init__(self, group: ProcessGroup, folder: Path) -> None:
        self._group = group
        self._folder = folder
        self._network = loopback_host().rpartition(".")[0]
        self.entry = f"{self._network}.2:7101"
        self.upstream = f"{self._network}.3:8001"
        self._log = f"{self._network}.1:7001"

    def start_standins(self) -> None:
        """Start the log and the upstreams, and apply the release note."""
        self._group.start("log", "almondstack.standin.main", "log", "--listen", self._log)
        for number in range(_UPSTREAMS):
            self._group.start(
                f"u{number}",
                "almondstack.standin.main",
                *("upstream", "--name", f"u{number}"),
                *("--listen", f"{self._network}.3:{8001 + number}"),
            )
        wait_until_ready(f"http://{self._log}/v1/streams/fleet/bounds")
        note = self._folder / "note.json"
        note.write_text(json.dumps(self._release_note()))
        self._group.start(
            "ctl", "almondstack.ctl.main", "--log", self._log, "apply", "--no-wait", str(note)
        )
        assert self._group.wait("ctl") == 0, self._group.output("ctl")

    def start_entry(self, threads: int, switch_interval_ms: float) -> None:
        """Start the entry with these settings and wait until it is ready."""
        settings = {
            "node": {"deployment": "bench", "name": "e1", "zone": "a"},
            "callers": {"listen": self.entry, "threads": threads},
            "log": {"address": self._log},
            "peer_listen": f"{self._network}.2:7201",
            "switch_interval_ms": switch_interval_ms,
        }
        path = self._folder / "entry.json"
        path.write_text(json.dumps(settings))
        self._group.start("entry", "almondstack.entry.main", "--settings", str(path))
        wait_until_ready(f"http://{self.entry}/readyz")

    def stop_entry(self) -> None:
        """Terminate the entry."""
        self._group.terminate("entry")

    def load(self, address: str, path: str, rate: float, seconds: float) -> RawLoadResult:
        """Run the load generators against an address and return their combined result.

        Explanation
        -----------
        A ``rate`` of 0 is a closed loop: each connection sends without a pause.
        """
        request = self._folder / "request"
        request.write_bytes(_request_bytes(path))
        for number in range(_LOAD_GENERATORS):
            self._group.start(
                f"load{number}",
                "almondstack.bench.raw_load",
                *("--address", address, "--request", str(request)),
                *("--connections", str(_CONNECTIONS), "--seconds", str(seconds)),
                *(
                    "--rate",
                    str(rate / _LOAD_GENERATORS),
                    "--out",
                    str(self._folder / f"o{number}"),
                ),
            )
        for number in range(_LOAD_GENERATORS):
            assert self._group.wait(f"load{number}", seconds + 60) == 0, self._group.output(
                f"load{number}"
            )
        return _combine([self._result(number) for number in range(_LOAD_GENERATORS)])

    def processor_s(self) -> float:
        """Return the processor time that the entry has used so far, in seconds."""
        stat = Path(f"/proc/{self._group.pid('entry')}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _result(self, number: int) -> RawLoadResult:
        return decode_json((self._folder / f"o{number}").read_bytes(), RawLoadResult)

    def _release_note(self) -> dict[str, object]:
        instances = [
            {
                "name": f"u{number}",
                "pool": "score",
                "zone": "a",
                "rack": f"a{number}",
                "address": f"{self._network}.3:{8001 + number}",
                "slots": 64,
                "connections": 256,
            }
            for number in range(_UPSTREAMS)
        ]
        return {
            "added": {
                "pools": [{"name": "score", "min_serving": 1, "size": _UPSTREAMS}],
                "instances": instances,
                "teams": [{"name": "north", "share": 1, "ceiling": 256}],
                "queues": [
                    {"name": "open", "pool": "score", "is_open": True, "open_team": "north"}
                ],
            }
        }


def _request_bytes(path: str) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: bench\r\nContent-Length: 7\r\n"
    return (head + "Almondstack-Idempotent: yes\r\nStandin-Work-Id: 1\r\n\r\ninvoice").encode()


def _combine(results: list[RawLoadResult]) -> RawLoadResult:
    """Return summed counts, and for each percentile the largest of any generator."""
    return RawLoadResult(
        answered=sum(result.answered for result in results),
        failed=sum(result.failed for result in results),
        seconds=max(result.seconds for result in results),
        p50_us=max(result.p50_us for result in results),
        p90_us=max(result.p90_us for result in results),
        p99_us=max(result.p99_us for result in results),
    )


_QUEUE_PATH = "/v1/queues/open/requests"


def _measure_variant(testbed: _Testbed, threads: int, switch_interval_ms: float) -> Variant:
    testbed.start_entry(threads, switch_interval_ms)
    testbed.load(testbed.entry, _QUEUE_PATH, 0.0, 1.0)
    before_s = testbed.processor_s()
    result = testbed.load(testbed.entry, _QUEUE_PATH, 0.0, _LOAD_DURATION_S)
    used_s = testbed.processor_s() - before_s
    testbed.stop_entry()
    return Variant(threads, switch_interval_ms, result.per_second, 1000 * used_s / result.answered)


def _measure_point(testbed: _Testbed, load: float, rate: float) -> LoadPoint:
    direct = testbed.load(testbed.upstream, "/", load * rate, _LOAD_DURATION_S)
    entry = testbed.load(testbed.entry, _QUEUE_PATH, load * rate, _LOAD_DURATION_S)
    return LoadPoint(load, direct.p50_us, direct.p99_us, entry.p50_us, entry.p99_us)


def run_entry_bench() -> EntryFigures:
    """Measure throughput and added latency of one entry process."""
    with tempfile.TemporaryDirectory() as name, ProcessGroup(Path(name)) as group:
        testbed = _Testbed(group, Path(name))
        testbed.start_standins()
        variants = tuple(
            _measure_variant(testbed, threads, interval)
            for threads, interval in tqdm(_VARIANTS, desc="variants")
        )
        best = max(variants, key=lambda variant: variant.per_second)
        testbed.start_entry(best.threads, best.switch_interval_ms)
        points = tuple(
            _measure_point(testbed, load, best.per_second) for load in tqdm(_LOADS, desc="loads")
        )
        return EntryFigures(variants, points)


@bench_command("entry", "requests a second, processor time and added latency of one entry")
def run(_arguments: argparse.Namespace) -> int:
    """Measure one entry process and print the results."""
    figures = run_entry_bench()
    for variant in figures.variants:
        print(
            f"threads {variant.threads:3d}, switch interval {variant.switch_interval_ms:4.1f} ms: "
            f"{variant.per_second:6.0f} requests/s, {variant.processor_ms:5.2f} ms each"
        )
    for point in figures.points:
        print(
            f"load {point.load:4.0%}: added p50 {point.added_p50_us / 1000:6.2f} ms, "
            f"p99 {point.added_p99_us / 1000:6.2f} ms (direct p50 "
            f"{point.direct_p50_us / 1000:.2f}, p99 {point.direct_p99_us / 1000:.2f})"
        )
    return 0
