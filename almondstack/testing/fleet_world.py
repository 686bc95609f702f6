"""Simulates several real keepers over one fake log and one fake platform.

Explanation
-----------
There are no threads: the test advances the clock and decides which keeper runs a
round and whose records are appended.  :class:`LogOracle` checks the accepted
records and the platform's :class:`Recount` checks the acts.
"""

from collections import deque
from collections.abc import Callable

from almondstack.core import LocalMetrics, LogServiceSettings
from almondstack.fleet import FleetSettings
from almondstack.fold import Fold
from almondstack.keeper.rounds import KeeperRounds
from almondstack.log import FLEET, Follower, RecordWriter
from almondstack.model import FleetState, ReleaseApplied, ReleaseNote, encode_record
from almondstack.provider import (
    Act,
    ActExpiredError,
    ActReplyLostError,
    ActStatus,
    ActSupersededError,
    ListedInstance,
    PlatformTask,
    PlatformUnavailableError,
    UsageView,
)
from almondstack.standin.platform_fleet import FleetSetup, Machine, PlatformFleet
from almondstack.standin.platform_recount import PoolBudget, Recount
from almondstack.testing.clocks import ManualClock
from almondstack.testing.fake_log import FakeLog
from almondstack.testing.fleet_oracle import LogOracle

__all__ = ["WORLD_SETTINGS", "FakePlatform", "FleetWorld", "SimulatedKeeper"]

WORLD_SETTINGS = FleetSettings(
    view_bound_s=10.0,
    unseen_after_s=90.0,
    fail_after_s=2.0,
    recover_after_s=4.0,
    return_bound_s=2.0,
    return_timeout_s=30.0,
    reboot_timeout_s=60.0,
    stall_factor=2.0,
    replace_after_s=10.0,
    pressure_after_s=60.0,
    loss_pause_s=30.0,
    takeover_s=2.0,
    act_lease_s=5.0,
)
_GRACE_S = WORLD_SETTINGS.view_bound_s + WORLD_SETTINGS.act_lease_s + 1.0
_LIST_LAG_S = 60.0


class FakePlatform:
    """One keeper's access to a :class:`PlatformFleet`.

    Parameters
    ----------
    fleet : PlatformFleet
        The platform.
    """

    __slots__ = ("_fleet", "_reach", "before_act", "is_down", "lost_replies")

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self.is_down = False
        self.lost_replies = 0
        self.before_act: Callable[[], None] | None = None

    def ensure(self, act: Act) -> ActStatus:
        """Execute an act once; a pause or a lost reply may be injected."""
        self._check()
        status = self._fleet.status(act.id)
        if status is not None:
            return status
        pause, self.before_act = self.before_act, None
        if pause is not None:
            pause()
        return self._send(act)

    def _send(self, act: Act) -> ActStatus:
        self._check()
        status = self._fleet.status(act.id)
        if status is not None:
            return status
        if self._fleet.is_superseded(act):
            raise ActSupersededError("a later act on the same target was executed")
        if self._fleet.is_expired(act):
            raise ActExpiredError("the lease of the act has expired")
        status = self._fleet.execute(act)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            raise ActReplyLostError("reply lost (injected fault)")
        return status

    def usage(self) -> UsageView:
        """Return the newest reports."""
        self._check()
        return self._fleet.usage()

    def tasks(self) -> tuple[PlatformTask, ...]:
        """Return the tasks under a lease."""
        self._check()
        return tuple(self._fleet.tasks.values())

    def renew_lease(self, task: str, holder: str, duration_s: float) -> PlatformTask:
        """Return the task unchanged; this platform has no task leases."""
        return self._fleet.tasks[task]

    def _check(self) -> None:
        if self.is_down:
            raise PlatformUnavailableError("platform is unavailable (injected fault)")


class _FakeList:
    """The instance list with a lag of a minute."""

    def __init__(self, world: "FleetWorld") -> None:
        self._world = world

    def read(self) -> tuple[ListedInstance, ...]:
        """Return the list."""
        return self._world.listed()


class SimulatedKeeper:
    """One keeper with its real fold, follower, writer and rounds.

    Parameters
    ----------
    world : FleetWorld
        The simulated fleet.
    name : str
        Name of the instance that the keeper runs on.
    """

    def __init__(self, world: "FleetWorld", name: str) -> None:
        self.name = name
        self.is_held = False
        self.metrics = world.make_metrics()
        self.client = world.log.client()
        self.platform = FakePlatform(world.fleet)
        self.fold = Fold()
        self.follower = Follower(self.client, self.fold, self.metrics, world.clock)
        self.writer = RecordWriter(
            self.client,
            FLEET,
            f"{name}.keeper",
            LogServiceSettings(address="127.0.0.1:1"),
            self.metrics,
            world.clock,
            position=self.follower.position,
        )
        self.rounds = KeeperRounds(
            name,
            self.fold,
            self.client,
            self.follower,
            self.writer,
            self.platform,
            _FakeList(world),
            world.settings,
            self.metrics,
            world.clock,
        )
        self.follower.bootstrap()

    def run_round(self) -> None:
        """Run one round; the records stay queued in the writer."""
        self.rounds.run_once()

    def append(self) -> None:
        """Append the queued records to the log."""
        self.writer.append_once()


class FleetWorld:
    """A fleet, its log, its platform and its keepers.

    Parameters
    ----------
    note : ReleaseNote
        Release note applied at the start.
    keepers : int
        Number of keepers.
    settings : FleetSettings
        Planner settings of each keeper.
    make_metrics : callable
        Returns the metrics of one keeper.
    """

    def __init__(
        self,
        note: ReleaseNote,
        keepers: int = 2,
        settings: FleetSettings = WORLD_SETTINGS,
        make_metrics: Callable[[], LocalMetrics] = LocalMetrics,
    ) -> None:
        self.settings = settings
        self.make_metrics = make_metrics
        self.clock = ManualClock()
        self.log = FakeLog()
        self.recount = Recount(_GRACE_S)
        self.fleet = PlatformFleet(self.clock.monotonic, self.recount)
        self.oracle = LogOracle()
        self._operator = self.log.client()
        self._sequence = 0
        self._lists: deque[tuple[float, tuple[ListedInstance, ...]]] = deque()
        self.vanished: set[str] = set()
        self.apply(note)
        self.keepers = [SimulatedKeeper(self, f"k{number}") for number in range(keepers)]

    @property
    def state(self) -> FleetState:
        """The state at the end of the log."""
        self.catch_up()
        return self.oracle.fold.state

    def catch_up(self) -> None:
        """Fold and check the records appended since the last call."""
        self.oracle.check_new(self.log.records(FLEET))

    def submit_as(self, author: str, sequence: int, body: object) -> None:
        """Append a record of a faulty keeper."""
        self.catch_up()
        base = self.oracle.fold.next_offset
        self.log.append(FLEET, [encode_record(author, sequence, body, base)])
        self.catch_up()

    def submit(self, body: object) -> bool:
        """Append an operator's record; return whether it was accepted."""
        self._sequence += 1
        base = self.oracle.fold.next_offset
        record = encode_record("operator", self._sequence, body, base)
        self.log.append(FLEET, [record])
        self.catch_up()
        return self.oracle.is_last_accepted

    def apply(self, note: ReleaseNote) -> bool:
        """Apply a release note and add its new instances to the platform; return if accepted."""
        self.catch_up()
        is_accepted = self.submit(ReleaseApplied(self.oracle.fold.state.revision, note))
        if is_accepted:
            self._add_new_machines()
        return is_accepted

    def _add_new_machines(self) -> None:
        existing = self.fleet.machines
        state = self.oracle.fold.state
        machines = tuple(
            Machine(name=name, pool=item.pool, zone=item.spec.zone, rack=item.spec.rack, busy=2)
            for name, item in state.instances.items()
            if name not in existing
        )
        self.fleet.set_up(FleetSetup(instances=machines, pools=self._lowered_budgets()))

    def _lowered_budgets(self) -> tuple[PoolBudget, ...]:
        """Return the lower of old and new budgets: keepers may not have folded a raise yet."""
        old = self.recount.budgets
        pools = self.oracle.fold.state.pools
        return tuple(
            PoolBudget(name=name, min_serving=min(pool.min_serving, old.get(name, 0)))
            for name, pool in pools.items()
        )

    def adopt_budgets(self) -> None:
        """Check further acts against the budgets in force."""
        pools = self.state.pools
        self.recount.set_budgets(
            tuple(PoolBudget(name=n, min_serving=p.min_serving) for n, p in pools.items())
        )

    def fail(self, names: list[str]) -> None:
        """Make instances fail."""
        for name in names:
            if name not in self.fleet.faults.failed:
                self.fleet.faults.failed.append(name)
                self.recount.fail(name, self.clock.monotonic())

    def heal_all(self) -> None:
        """End every fault."""
        for name in self.fleet.faults.failed:
            self.recount.recover(name)
        self.fleet.faults.failed.clear()
        self.fleet.faults.fail_on_return.clear()
        self.fleet.faults.silent.clear()
        self.fleet.faults.drain_s = 0.5
        self.fleet.faults.report_lag_s = 0.0
        self.log.is_down = False
        self.log.lost_replies = 0
        self.vanished.clear()
        for keeper in self.keepers:
            keeper.client.is_cut_off = False
            keeper.is_held = False
            keeper.platform.is_down = False
            keeper.platform.lost_replies = 0

    def advance(self, seconds: float) -> None:
        """Advance the clock and store the current instance list."""
        self.clock.advance(seconds)
        now_s = self.clock.monotonic()
        shown = tuple(
            ListedInstance(item.name, item.zone, item.rack, "upstream", "127.0.0.1:1")
            for item in self.fleet.machines.values()
            if item.name not in self.vanished
        )
        self._lists.append((now_s, shown))
        while len(self._lists) > 1 and self._lists[1][0] <= now_s - _LIST_LAG_S:
            self._lists.popleft()

    def listed(self) -> tuple[ListedInstance, ...]:
        """Return the instance list as of a minute ago."""
        return self._lists[0][1] if self._lists else ()

    def tick(self, seconds: float = 1.0) -> None:
        """Advance the clock, then run a round of every keeper and append its records."""
        self.advance(seconds)
        for keeper in self.keepers:
            keeper.run_round()
        for keeper in self.keepers:
            if not keeper.is_held:
                keeper.append()
        self.catch_up()
