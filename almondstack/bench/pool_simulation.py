"""Discrete-event simulation of load on the real schedulers of several entries.

Explanation
-----------
Schedulers, choice of upstreams and admission are the production code; clock,
permits and run times are simulated.  Each entry has an equal, fixed part of the
slots of every instance of one pool (at least one slot), receives the running counts
of the other entries with a delay, and gets its calls from a load balancer that picks
an entry at random.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable

import msgspec

from almondstack.core import Reason, RequestError
from almondstack.model import Team
from almondstack.queueing import Grant, QueueingSettings, WaitingCall, WaitingState
from almondstack.testing.clocks import ManualClock
from almondstack.testing.scheduling import SchedulerHarness, make_call
from almondstack.testing.settable_usage import SettableUsage

__all__ = ["Load", "PoolSimulation", "SimulationResult"]


class Load(msgspec.Struct, frozen=True):
    """Load and sizes of a simulation.

    Parameters
    ----------
    teams : tuple of Team
        Shares and ceilings.
    parts : tuple of float
        Fraction of the calls that each team sends, in the order of ``teams``.
    factor : float
        Offered load as a multiple of the capacity of the pool.
    seconds : float
        Duration of the arrivals.
    mean_run_s : float
        Mean run time; run times are log-normal.
    sigma : float
        Standard deviation of the logarithm of the run times.
    deadline_s : float
        Deadline of each call after its arrival.
    urgent_part : float
        Fraction of the calls that are urgent.
    entries, instances, slots : int
        Number of entries, of instances of the pool, and of slots of each instance.
    usage_lag_s : float
        Maximum age of the running counts of the other entries.
    seed : int
        Seed of arrivals and run times.
    """

    teams: tuple[Team, ...]
    parts: tuple[float, ...]
    factor: float = 5.0
    seconds: float = 20.0
    mean_run_s: float = 0.3
    sigma: float = 0.6
    deadline_s: float = 5.0
    urgent_part: float = 0.0
    entries: int = 8
    instances: int = 6
    slots: int = 8
    usage_lag_s: float = 1.0
    seed: int = 1

    @property
    def capacity(self) -> int:
        """Number of slots of the pool."""
        return self.instances * self.slots

    @property
    def calls_per_second(self) -> float:
        """Arrival rate."""
        return self.factor * self.capacity / self.mean_run_s


class SimulationResult:
    """Results of a simulation.

    Attributes
    ----------
    running_s : dict
        Slot-seconds used, by second and team.
    waiting_s : dict
        Time that calls waited, in call-seconds, by second and team.
    urgent_starts_s : list of float
        Time in seconds that each urgent call waited until it started.
    urgent_refused : int
        Number of urgent calls that were refused or expired while waiting.
    counts : collections.Counter
        Number of calls ``answered`` and ``late``, and of refusals by reason.
    """

    __slots__ = ("counts", "running_s", "urgent_refused", "urgent_starts_s", "waiting_s")

    def __init__(self) -> None:
        self.running_s: defaultdict[int, defaultdict[str, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self.waiting_s: defaultdict[int, defaultdict[str, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self.urgent_starts_s: list[float] = []
        self.urgent_refused = 0
        self.counts: Counter[str] = Counter()


class PoolSimulation:
    """Runs one load through the fair schedulers of all entries.

    Parameters
    ----------
    load : Load
        Load and sizes.
    settings : QueueingSettings
        Settings of every scheduler.
    """

    def __init__(self, load: Load, settings: QueueingSettings) -> None:
        self._load = load
        self._random = random.Random(load.seed)
        self._clock = ManualClock(now_s=0.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._usages = [SettableUsage() for _ in range(load.entries)]
        self._harnesses = [self._make_harness(usage, settings) for usage in self._usages]
        self._waiting: list[dict[str, WaitingCall]] = [{} for _ in self._harnesses]
        self._running_by_team: Counter[str] = Counter()
        self._waiting_by_team: Counter[str] = Counter()
        self._result = SimulationResult()
        self._accumulated_until_s = 0.0

    def run(self) -> SimulationResult:
        """Run until the arrivals end and return the result."""
        self._schedule(0.0, self._publish_usage)
        self._schedule(self._interarrival_s(), self._arrive)
        while self._events and self._events[0][0] < self._load.seconds:
            at_s, _, action = heapq.heappop(self._events)
            self._accumulate(at_s)
            self._clock.advance(at_s - self._clock.monotonic())
            action()
        self._accumulate(self._load.seconds)
        return self._result

    def _make_harness(self, usage: SettableUsage, settings: QueueingSettings) -> SchedulerHarness:
        load = self._load
        slots = max(1, load.slots // load.entries)
        return SchedulerHarness(load.teams, load.instances, slots, settings, usage, self._clock)

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _interarrival_s(self) -> float:
        return self._random.expovariate(self._load.calls_per_second)

    def _draw_run_time_s(self) -> float:
        sigma = self._load.sigma
        return self._load.mean_run_s * self._random.lognormvariate(-sigma * sigma / 2, sigma)

    def _arrive(self) -> None:
        now_s = self._clock.monotonic()
        self._schedule(now_s + self._interarrival_s(), self._arrive)
        index = self._random.choices(range(len(self._load.teams)), self._load.parts)[0]
        team = self._load.teams[index]
        is_urgent = self._random.random() < self._load.urgent_part
        entry = self._random.randrange(self._load.entries)
        call = make_call(team, now_s + self._load.deadline_s, is_urgent=is_urgent)
        try:
            item = self._harnesses[entry].scheduler.admit(call)
        except RequestError as error:
            self._result.counts[error.reason.value] += 1
            self._result.urgent_refused += is_urgent
            return
        self._waiting[entry][call.call_id] = item
        self._waiting_by_team[team.name] += 1
        if item.state is WaitingState.WAITING:
            self._schedule(item.latest_start_s, lambda: self._expire(entry, item))
        self._handle_starts(entry)

    def _expire(self, entry: int, item: WaitingCall) -> None:
        if self._harnesses[entry].scheduler.end(item, Reason.DEADLINE_PASSED):
            del self._waiting[entry][item.call.call_id]
            self._waiting_by_team[item.call.team.name] -= 1
            self._result.counts[Reason.DEADLINE_PASSED.value] += 1
            self._result.urgent_refused += item.call.is_urgent

    def _handle_starts(self, entry: int) -> None:
        waiting = self._waiting[entry]
        for call_id in [name for name, item in waiting.items() if item.grant is not None]:
            item = waiting.pop(call_id)
            self._waiting_by_team[item.call.team.name] -= 1
            self._start(entry, item)

    def _start(self, entry: int, item: WaitingCall) -> None:
        now_s = self._clock.monotonic()
        self._running_by_team[item.call.team.name] += 1
        if item.call.is_urgent:
            self._result.urgent_starts_s.append(now_s - item.enqueued_s)
        run_s = self._draw_run_time_s()
        grant = item.grant
        assert grant is not None
        self._schedule(now_s + run_s, lambda: self._finish(entry, item, grant, run_s))

    def _finish(self, entry: int, item: WaitingCall, grant: Grant, run_s: float) -> None:
        self._running_by_team[item.call.team.name] -= 1
        is_late = self._clock.monotonic() > item.call.deadline_s
        self._result.counts["late" if is_late else "answered"] += 1
        self._harnesses[entry].scheduler.finish(grant, run_s)
        self._handle_starts(entry)

    def _publish_usage(self) -> None:
        """Update at every entry the running counts of the others; repeat after the lag."""
        counts = [Counter(harness.scheduler.running_counts()) for harness in self._harnesses]
        total: Counter[tuple[str, str]] = sum(counts, Counter())
        for usage, own in zip(self._usages, counts, strict=True):
            usage.set_totals(dict(total - own))
        self._schedule(self._clock.monotonic() + self._load.usage_lag_s, self._publish_usage)

    def _accumulate(self, until_s: float) -> None:
        """Add slot-seconds and call-seconds up to ``until_s`` to the result."""
        at_s = self._accumulated_until_s
        while at_s < until_s:
            second = int(at_s)
            step_s = min(until_s, second + 1.0) - at_s
            for team in self._load.teams:
                name = team.name
                self._result.running_s[second][name] += self._running_by_team[name] * step_s
                self._result.waiting_s[second][name] += self._waiting_by_team[name] * step_s
            at_s += step_s
        self._accumulated_until_s = until_s
