"""Replays a burst through the real owner's rounds, without network, threads or store.

Explanation
-----------
Owner, planner, run table, fleet controller and sessions are product code.  Workers,
instances and the store answer at once from memory, on a simulated clock: what is
measured is the processor time of the owner's own round.
"""

import argparse
import contextlib
import itertools
import random
import time
from collections.abc import Iterator
from unittest import mock

import msgspec

from almondstack.bench.commands import bench_command
from almondstack.control import owner_round as owner_round_module
from almondstack.control import sessions as sessions_module
from almondstack.control.messages import (
    EndedRun,
    InstanceInfo,
    InstanceState,
    OrderReply,
    OrderStatus,
    PollReply,
    RunningRun,
    StartOrder,
)
from almondstack.control.owner import Owner
from almondstack.control.services import OwnerServices
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.intake import OwnerRequests, SubmissionRequest
from almondstack.jobs import (
    JobIndex,
    JobState,
    OwnerNotice,
    RecordKind,
    RunEnd,
    Step,
    Submission,
    encode_notice,
    record_key,
)
from almondstack.ownership import OwnershipSettings, Record
from almondstack.placement import AccountPolicy, Policies, QueuePolicy, Resources, WorkerInfo
from almondstack.testing.fake_records import FakeRecordStore
from almondstack.testing.owner_worker import WorldClock
from almondstack.testing.owner_world import PATCHED_TIME_MODULES
from almondstack.testing.pumped_session import PumpedSession
from almondstack.testing.still_fleet import StillFleet

__all__ = ["Burst", "OwnerBurst", "RoundCost"]

_WORKER_MILLIS = 64_000
_WORKER_MB = 131_072
_TASK_MILLIS = 5_600
_TASK_MB = 4_000
_MEAN_TASK_S = 0.64
_TASKS_PER_STEP = 8
_STEP_PATTERN = (1, 2, 2)
"""Numbers of steps of successive jobs, 1.7 on average."""

_STEP_S = 0.1
"""Simulated time between two rounds, in seconds."""

_POOLS = ("a", "b", "c", "d")
_ACCOUNTS = tuple(f"account-{number}" for number in range(20))
_CLAIM_SEQUENCE = 1

_NO_PAUSE_S = 1e-9
"""A pause after each poll would advance the one clock of all workers."""


class Burst(msgspec.Struct, frozen=True):
    """Size of a burst.

    Parameters
    ----------
    jobs : int
        Open jobs at any time; for each that ends, another is submitted.
    workers : int
        Workers, spread evenly over the pools.
    rounds : int
        Rounds that are measured, after as many to warm up.
    """

    jobs: int = 200
    workers: int = 180
    rounds: int = 20


class RoundCost(msgspec.Struct, frozen=True):
    """Cost of the owner's rounds.

    Parameters
    ----------
    round_ms : float
        Mean processor time of a round, in milliseconds.
    part_ms : dict of str to float
        The same for each part of a round, by the clock.
    starts : int
        Runs that were started in the measured rounds.
    """

    round_ms: float
    part_ms: dict[str, float]
    starts: int


class OwnerBurst:
    """An owner under a steady number of open jobs.

    Parameters
    ----------
    burst : Burst
        Size of the burst.
    seed : int
        Seed of run times.
    """

    def __init__(self, burst: Burst, seed: int = 1) -> None:
        self._burst = burst
        self._clock = WorldClock()
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._workers = {
            f"w{number:04}": _Worker(f"w{number:04}", _POOLS[number % len(_POOLS)], self)
            for number in range(burst.workers)
        }
        self._store = FakeRecordStore()
        self._index = JobIndex()
        self._read_offset = 0
        self._metrics = _PartTimes()
        self._policies = Policies(
            1,
            {f"q-{pool}": QueuePolicy(f"q-{pool}", pool, 0, 4, 1.6, 600) for pool in _POOLS},
            {name: AccountPolicy(name) for name in _ACCOUNTS},
            dict.fromkeys(_POOLS, False),
        )
        # Number of runs started since the measurement began.
        self.starts = 0

    def run(self) -> RoundCost:
        """Run the burst, and return what its rounds have cost."""
        with self._patched():
            owner = self._make_owner()
            for _ in range(self._burst.rounds):
                self._step(owner)
            self._metrics.clear()
            self.starts = 0
            took_s = sum(self._step(owner) for _ in range(self._burst.rounds))
        rounds = self._burst.rounds
        parts = {name: round(ms / rounds, 2) for name, ms in self._metrics.total_ms.items()}
        return RoundCost(round(1000.0 * took_s / rounds, 2), parts, self.starts)

    @property
    def completed(self) -> int:
        """Number of jobs that have completed."""
        return sum(entry.state is JobState.COMPLETED for _, entry in self._index.entries())

    @property
    def now_s(self) -> float:
        """Simulated monotonic time in seconds."""
        return self._clock.now_s

    def task_s(self) -> float:
        """Return the duration of the next task, in seconds."""
        return _MEAN_TASK_S * self._random.uniform(0.5, 1.5)

    def _step(self, owner: Owner) -> float:
        """Run one round with its orders and polls, and return its processor time in seconds."""
        self._clock.sleep(_STEP_S)
        while len(owner.parts.table.jobs) + owner.inbox.qsize() < self._burst.jobs:
            owner.inbox.put(self._submission())
        for worker in self._workers:
            session = owner.parts.sessions.get(worker)
            if isinstance(session, PumpedSession):
                session.pump_orders()
                session.pump_poll()
        began_s = time.process_time()
        owner.rounds.run()
        took_s = time.process_time() - began_s
        self._follow()
        return took_s

    def _follow(self) -> None:
        for record in self._store.records[self._read_offset :]:
            self._index.apply(record.key, record.value)
        self._read_offset = len(self._store.records)

    def _submission(self) -> SubmissionRequest:
        number = next(self._numbers)
        step = Step(_TASKS_PER_STEP, _TASK_MILLIS, _TASK_MB, estimate_ms=640)
        later = msgspec.structs.replace(step, after=(0,))
        steps = (step, later)[: _STEP_PATTERN[number % len(_STEP_PATTERN)]]
        submission = Submission(
            f"q-{_POOLS[number % len(_POOLS)]}",
            _ACCOUNTS[number % len(_ACCOUNTS)],
            "spec",
            steps,
            accepted_ms=int(self._clock.time() * 1000),
            pool=_POOLS[number % len(_POOLS)],
            max_attempts=4,
        )
        return SubmissionRequest(f"{number:016x}", submission, self._read_offset)

    @contextlib.contextmanager
    def _patched(self) -> Iterator[None]:
        with contextlib.ExitStack() as stack:
            for module in PATCHED_TIME_MODULES:
                stack.enter_context(mock.patch(f"{module}.time", self._clock))
            stack.enter_context(mock.patch.object(sessions_module, "WorkerSession", PumpedSession))
            stack.enter_context(mock.patch.object(owner_round_module, "_IDLE_WAIT_S", 0.0))
            yield

    def _make_owner(self) -> Owner:
        fleet = _Services(self._workers)
        services = OwnerServices(
            store=self._store,
            address="127.0.0.1:1",
            index=self._index,
            callers=fleet,
            instances=fleet,
            directory=fleet,
            advice=None,
            policies=lambda: self._policies,
            control=ControlSettings(lease_s=4.5, look_pause_s=_NO_PAUSE_S),
            ownership=OwnershipSettings(),
            requests=OwnerRequests(),
            read_offset=lambda: self._read_offset,
            events=EventLog("bench"),
            metrics=self._metrics,
        )
        claim = Record(record_key(RecordKind.OWNER), encode_notice(OwnerNotice("bench/1", 1)))
        self._store.claim(1, claim, _CLAIM_SEQUENCE)
        owner = Owner(services, "bench/1", 1, _CLAIM_SEQUENCE)
        owner.take_over()
        owner.parts.fleet._manager._fetch_list()
        owner.parts.fleet._manager.interval_s = float("inf")
        return owner


class _PartTimes(LocalMetrics):
    """Metrics that sum up the milliseconds of each part of the owner's round."""

    def __init__(self) -> None:
        super().__init__()
        self.total_ms: dict[str, float] = {}

    def timing_ms(self, name: str, value_ms: float) -> None:
        """Add a duration to its part, if it is one of the owner's round."""
        if name.startswith("owner.") and name != "owner.round":
            part = name.removeprefix("owner.")
            self.total_ms[part] = self.total_ms.get(part, 0.0) + value_ms

    def clear(self) -> None:
        """Forget all durations."""
        self.total_ms.clear()


class _Worker:
    """A worker that runs each task for its duration, and implements ``WorkerCaller``."""

    def __init__(self, id: str, pool: str, burst: OwnerBurst) -> None:
        self.info = WorkerInfo(
            id, 1, pool, f"{id}:1", "z", ("k", f"r-{id[:3]}"), Resources(_WORKER_MILLIS, _WORKER_MB)
        )
        self._burst = burst
        self._running: dict[tuple[str, int], float] = {}
        self._ended: list[EndedRun] = []
        self._ends = 0
        self.is_connected = True

    @property
    def clock_ms(self) -> int:
        """The worker's clock in milliseconds."""
        return int(self._burst.now_s * 1000)

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Start a run."""
        self._running[order.task, order.run] = self._burst.now_s + self._burst.task_s()
        self._burst.starts += 1
        return OrderReply(OrderStatus.DONE, self.clock_ms)

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Stop a run."""
        self._running.pop((task, run), None)
        return OrderReply(OrderStatus.DONE, self.clock_ms)

    def pace(self, task: str, run: int, percent: int, token: int) -> OrderReply:
        """Do nothing: there are no fillers."""
        return OrderReply(OrderStatus.DONE, self.clock_ms)

    def poll(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> PollReply:
        """List the runs; those whose time is over have ended."""
        self._ended = [end for end in self._ended if end.number > last_seen]
        over = [key for key, end_s in self._running.items() if end_s <= self._burst.now_s]
        for task, run in over:
            del self._running[task, run]
            self._ends += 1
            self._ended.append(EndedRun(self._ends, task, run, RunEnd.DONE, ""))
        running = tuple(RunningRun(task, run, "", 50, 0) for task, run in self._running)
        return PollReply(OrderStatus.DONE, self.clock_ms, 1, running, tuple(self._ended))

    def close(self) -> None:
        """Do nothing: there is no connection."""


class _Services(StillFleet):
    """Directory, instance service and callers of the workers; nothing moves."""

    def __init__(self, workers: dict[str, _Worker]) -> None:
        self._workers = workers

    def caller(self, worker: WorkerInfo) -> _Worker:
        """Return the worker itself."""
        return self._workers[worker.id]

    def workers(self) -> dict[str, WorkerInfo]:
        """Return all workers."""
        return {worker.info.id: worker.info for worker in self._workers.values()}

    def instances(self) -> list[InstanceInfo]:
        """Return an instance for each worker."""
        return [
            InstanceInfo(
                f"i-{info.id}",
                info.pool,
                InstanceState.UP,
                info.zone,
                info.rack,
                _WORKER_MILLIS,
                info.id,
            )
            for info in self.workers().values()
        ]


_SIZES = ((50, 180), (200, 180), (500, 180), (2_000, 180), (500, 740))
"""Open jobs and workers of the measured bursts."""


@bench_command("owner-burst", "measures the owner's rounds under bursts of several sizes")
def run_bursts(arguments: argparse.Namespace) -> int:
    """Print what a round of the owner costs under bursts of several sizes."""
    print(f"{'jobs':>6}{'workers':>9}{'round ms':>10}  mean ms of each part")
    for jobs, workers in _SIZES:
        cost = OwnerBurst(Burst(jobs, workers)).run()
        parts = ", ".join(f"{name} {ms:.1f}" for name, ms in cost.part_ms.items())
        print(f"{jobs:>6}{workers:>9}{cost.round_ms:>10.1f}  {parts}")
    return 0
