"""``almondstack-bench entry``: what one entry process carries and adds.

Explanation
-----------
One entry, fast upstream stand-ins, load generators as processes.  First the
closed loop gives what the process carries, with several thread counts and
switch intervals of the interpreter; then the wait at 25, 75 and 95 % of that
rate is compared with that of calling the stand-in directly, in turn, in one
run.
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
_GENERATORS = 2
_CONNECTIONS = 8
_SECONDS = 3.0
_LOADS = (0.25, 0.75, 0.95)
_VARIANTS = ((16, 5.0), (64, 5.0), (256, 5.0), (64, 1.0), (64, 0.2))


class Variant(msgspec.Struct, frozen=True):
    """What one entry process carries with one set of knobs."""

    threads: int
    switch_interval_ms: float
    per_second: float
    processor_ms: float


class LoadPoint(msgspec.Struct, frozen=True):
    """Waits at one load, in microseconds."""

    load: float
    direct_p50_us: int
    direct_p99_us: int
    entry_p50_us: int
    entry_p99_us: int

    @property
    def added_p50_us(self) -> int:
        """Median wait that the entry adds."""
        return self.entry_p50_us - self.direct_p50_us

    @property
    def added_p99_us(self) -> int:
        """Wait that the entry adds at the 99th percentile."""
        return self.entry_p99_us - self.direct_p99_us


class EntryFigures(msgspec.Struct, frozen=True):
    """All figures of one run."""

    variants: tuple[Variant, ...]
    points: tuple[LoadPoint, ...]


class _Bed:
    """The processes of one measurement."""

    def __init__(self, group: ProcessGroup, folder: Path) -> None:
        self._group = group
        self._folder = folder
        self._network = loopback_host().rpartition(".")[0]
        self.entry = f"{self._network}.2:7101"
        self.upstream = f"{self._network}.3:8001"
        self._log = f"{self._network}.1:7001"

    def start_standins(self) -> None:
        """Start the log and the upstreams."""
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
        note.write_text(json.dumps(self._note()))
        self._group.start(
            "ctl", "almondstack.ctl.main", "--log", self._log, "apply", "--no-wait", str(note)
        )
        assert self._group.wait("ctl") == 0, self._group.output("ctl")

    def start_entry(self, threads: int, switch_interval_ms: float) -> None:
        """Start the entry with these knobs."""
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
        """End the entry."""
        self._group.terminate("entry")

    def load(self, address: str, path: str, rate: float, seconds: float) -> RawLoadResult:
        """Run the generators against an address and return their sum."""
        request = self._folder / "request"
        request.write_bytes(_request(path))
        for number in range(_GENERATORS):
            self._group.start(
                f"load{number}",
                "almondstack.bench.raw_load",
                *("--address", address, "--request", str(request)),
                *("--connections", str(_CONNECTIONS), "--seconds", str(seconds)),
                *("--rate", str(rate / _GENERATORS), "--out", str(self._folder / f"o{number}")),
            )
        for number in range(_GENERATORS):
            assert self._group.wait(f"load{number}", seconds + 60) == 0, self._group.output(
                f"load{number}"
            )
        return _sum([self._result(number) for number in range(_GENERATORS)])

    def processor_s(self) -> float:
        """Return the processor time that the entry used so far, in seconds."""
        stat = Path(f"/proc/{self._group.pid('entry')}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _result(self, number: int) -> RawLoadResult:
        return decode_json((self._folder / f"o{number}").read_bytes(), RawLoadResult)

    def _note(self) -> dict[str, object]:
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


def _request(path: str) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: bench\r\nContent-Length: 7\r\n"
    return (head + "Almondstack-Idempotent: yes\r\nStandin-Work-Id: 1\r\n\r\ninvoice").encode()


def _sum(results: list[RawLoadResult]) -> RawLoadResult:
    """Add counts; of percentiles take the worst generator's."""
    return RawLoadResult(
        answered=sum(result.answered for result in results),
        failed=sum(result.failed for result in results),
        seconds=max(result.seconds for result in results),
        p50_us=max(result.p50_us for result in results),
        p90_us=max(result.p90_us for result in results),
        p99_us=max(result.p99_us for result in results),
    )


_QUEUE_PATH = "/v1/queues/open/requests"


def _measure_variant(bed: _Bed, threads: int, switch_interval_ms: float) -> Variant:
    bed.start_entry(threads, switch_interval_ms)
    bed.load(bed.entry, _QUEUE_PATH, 0.0, 1.0)
    before_s = bed.processor_s()
    result = bed.load(bed.entry, _QUEUE_PATH, 0.0, _SECONDS)
    used_s = bed.processor_s() - before_s
    bed.stop_entry()
    return Variant(threads, switch_interval_ms, result.per_second, 1000 * used_s / result.answered)


def _measure_point(bed: _Bed, load: float, rate: float) -> LoadPoint:
    direct = bed.load(bed.upstream, "/", load * rate, _SECONDS)
    entry = bed.load(bed.entry, _QUEUE_PATH, load * rate, _SECONDS)
    return LoadPoint(load, direct.p50_us, direct.p99_us, entry.p50_us, entry.p99_us)


def run_entry_bench() -> EntryFigures:
    """Measure one entry process."""
    with tempfile.TemporaryDirectory() as name, ProcessGroup(Path(name)) as group:
        bed = _Bed(group, Path(name))
        bed.start_standins()
        variants = tuple(
            _measure_variant(bed, threads, interval)
            for threads, interval in tqdm(_VARIANTS, desc="variants")
        )
        best = max(variants, key=lambda variant: variant.per_second)
        bed.start_entry(best.threads, best.switch_interval_ms)
        points = tuple(
            _measure_point(bed, load, best.per_second) for load in tqdm(_LOADS, desc="loads")
        )
        return EntryFigures(variants, points)


@bench_command("entry", "requests a second, processor time and added wait of one entry")
def run(_arguments: argparse.Namespace) -> int:
    """Measure and print."""
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
