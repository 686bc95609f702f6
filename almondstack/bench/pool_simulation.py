"""Simulated load on real schedulers.

Explanation
-----------
The schedulers, the choice of upstreams and admission are the product's own; the
clock, the permits and the run times are simulated.  Several entries share the
slots of one pool, hear of each other's running calls late, and get their calls
through a balancer that picks an entry at random.
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
    """What a simulation offers.

    Parameters
    ----------
    teams : tuple of Team
        Shares and ceilings.
    parts : tuple of float
        Part of the calls that each team sends.
    factor : float
        Offered work over what the pool carries.
    seconds : float
        How long calls arrive.
    mean_run_s : float
        Mean run time; run times are log-normal.
    sigma : float
        Standard deviation of their logarithm.
    deadline_s : float
        Deadline of each call after its arrival.
    urgent_part : float
        Part of the calls that are urgent.
    entries, instances, slots : int
        Size of the pool and of the system.
    usage_lag_s : float
        How old the totals of other entries are at most.
    seed : int
        Of arrivals and run times.
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
        """Slots of the pool."""
        return self.instances * self.slots

    @property
    def calls_per_second(self) -> float:
        """Calls that arrive in a second."""
        return self.factor * self.capacity / self.mean_run_s


class SimulationResult:
    """What a simulation saw, second by second.

    Attributes
    ----------
    running_s : dict
        Slot-seconds by second and team.
    waiting_s : dict
        Call-seconds of waiting by second and team.
    urgent_starts_s : list of float
        Waits of urgent calls that started.
    counts : collections.Counter
        ``answered``, ``late``, and refusals by reason.
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
        What is offered.
    settings : QueueingSettings
        Settings of all schedulers.
    """

    def __init__(self, load: Load, settings: QueueingSettings) -> None:
        self._load = load
        self._random = random.Random(load.seed)
        self._clock = ManualClock(now_s=0.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._usages = [SettableUsage() for _ in range(load.entries)]
        self._kits = [self._make_kit(usage, settings) for usage in self._usages]
        self._waiting: list[dict[str, WaitingCall]] = [{} for _ in self._kits]
        self._running: Counter[str] = Counter()
        self._waiting_counts: Counter[str] = Counter()
        self._result = SimulationResult()
        self._integrated_s = 0.0

    def run(self) -> SimulationResult:
        """Run to the end of the arrivals."""
        self._at(0.0, self._exchange)
        self._at(self._gap_s(), self._arrive)
        while self._events and self._events[0][0] < self._load.seconds:
            at_s, _, action = heapq.heappop(self._events)
            self._integrate(at_s)
            self._clock.advance(at_s - self._clock.monotonic())
            action()
        self._integrate(self._load.seconds)
        return self._result

    def _make_kit(self, usage: SettableUsage, settings: QueueingSettings) -> SchedulerHarness:
        load = self._load
        slots = max(1, load.slots // load.entries)
        return SchedulerHarness(load.teams, load.instances, slots, settings, usage, self._clock)

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _gap_s(self) -> float:
        return self._random.expovariate(self._load.calls_per_second)

    def _run_time_s(self) -> float:
        sigma = self._load.sigma
        return self._load.mean_run_s * self._random.lognormvariate(-sigma * sigma / 2, sigma)

    def _arrive(self) -> None:
        now_s = self._clock.monotonic()
        self._at(now_s + self._gap_s(), self._arrive)
        place = self._random.choices(range(len(self._load.teams)), self._load.parts)[0]
        team = self._load.teams[place]
        is_urgent = self._random.random() < self._load.urgent_part
        entry = self._random.randrange(self._load.entries)
        call = make_call(team, now_s + self._load.deadline_s, is_urgent=is_urgent)
        try:
            item = self._kits[entry].scheduler.admit(call)
        except RequestError as error:
            self._result.counts[error.reason.value] += 1
            self._result.urgent_refused += is_urgent
            return
        self._waiting[entry][call.call_id] = item
        self._waiting_counts[team.name] += 1
        if item.state is WaitingState.WAITING:
            self._at(item.latest_start_s, lambda: self._expire(entry, item))
        self._note_starts(entry)

    def _expire(self, entry: int, item: WaitingCall) -> None:
        if self._kits[entry].scheduler.end(item, Reason.DEADLINE_PASSED):
            del self._waiting[entry][item.call.call_id]
            self._waiting_counts[item.call.team.name] -= 1
            self._result.counts[Reason.DEADLINE_PASSED.value] += 1
            self._result.urgent_refused += item.call.is_urgent

    def _note_starts(self, entry: int) -> None:
        waiting = self._waiting[entry]
        for call_id in [name for name, item in waiting.items() if item.grant is not None]:
            item = waiting.pop(call_id)
            self._waiting_counts[item.call.team.name] -= 1
            self._start(entry, item)

    def _start(self, entry: int, item: WaitingCall) -> None:
        now_s = self._clock.monotonic()
        self._running[item.call.team.name] += 1
        if item.call.is_urgent:
            self._result.urgent_starts_s.append(now_s - item.enqueued_s)
        run_s = self._run_time_s()
        grant = item.grant
        assert grant is not None
        self._at(now_s + run_s, lambda: self._finish(entry, item, grant, run_s))

    def _finish(self, entry: int, item: WaitingCall, grant: Grant, run_s: float) -> None:
        self._running[item.call.team.name] -= 1
        is_late = self._clock.monotonic() > item.call.deadline_s
        self._result.counts["late" if is_late else "answered"] += 1
        self._kits[entry].scheduler.finish(grant, run_s)
        self._note_starts(entry)

    def _exchange(self) -> None:
        """Tell every entry what runs at the others."""
        counts = [Counter(kit.scheduler.running_counts()) for kit in self._kits]
        total: Counter[tuple[str, str]] = sum(counts, Counter())
        for usage, own in zip(self._usages, counts, strict=True):
            usage.set_totals(dict(total - own))
        self._at(self._clock.monotonic() + self._load.usage_lag_s, self._exchange)

    def _integrate(self, until_s: float) -> None:
        """Add slot-seconds and call-seconds up to ``until_s``."""
        at_s = self._integrated_s
        while at_s < until_s:
            second = int(at_s)
            step_s = min(until_s, second + 1.0) - at_s
            for team in self._load.teams:
                name = team.name
                self._result.running_s[second][name] += self._running[name] * step_s
                self._result.waiting_s[second][name] += self._waiting_counts[name] * step_s
            at_s += step_s
        self._integrated_s = until_s
