"""The instances behind the platform stand-in: drains, reboots and lagging reports."""

from collections import deque
from collections.abc import Callable

import msgspec

from almondstack.platform import Act, ActKind, ActStatus, PlatformTask, UsageReport, UsageView
from almondstack.standin.platform_recount import PoolBudget, Recount

__all__ = ["FleetFaults", "FleetSetup", "Machine", "PlatformFleet"]

_VIEWS_KEPT = 2000


class Machine(msgspec.Struct, kw_only=True):
    """One instance.

    Parameters
    ----------
    name, pool, zone, rack : str
        The instance, its owner and its failure domains.
    address : str
        Numeric address of an upstream stand-in that is this instance; empty if
        its work is only modelled.
    busy : int
        Requests that it runs while it takes work.
    """

    name: str
    pool: str
    zone: str = "a"
    rack: str = "a1"
    address: str = ""
    busy: int = 0
    is_draining: bool = False
    empty_at_s: float = 0.0
    reboot_until_s: float | None = None
    reboots: int = 0
    order: int = -1


class FleetSetup(msgspec.Struct, frozen=True, kw_only=True):
    """What the stand-in is told of instances and budgets."""

    pools: tuple[PoolBudget, ...] = ()
    instances: tuple[Machine, ...] = ()
    tasks: tuple[PlatformTask, ...] = ()


class FleetFaults(msgspec.Struct, kw_only=True):
    """How instances behave.

    Parameters
    ----------
    drain_s, reboot_s : float
        How long work runs on after a drain, and how long a reboot takes, in seconds.
    report_lag_s : float
        Age of the usage reports, in seconds.
    failed : list of str
        Instances that are broken.
    fail_on_return : list of str
        Instances that break at their next reboot.
    never_empty : list of str
        Instances whose work doesn't end.
    """

    drain_s: float = 0.5
    reboot_s: float = 0.5
    report_lag_s: float = 0.0
    failed: list[str] = msgspec.field(default_factory=list)
    fail_on_return: list[str] = msgspec.field(default_factory=list)
    never_empty: list[str] = msgspec.field(default_factory=list)


class PlatformFleet:
    """Takes acts, each once, and reports what instances run.

    Parameters
    ----------
    clock : callable
        Returns seconds on the platform's clock.
    read_running : callable, optional
        Returns what runs on a machine that has an address.
    """

    __slots__ = ("_clock", "_machines", "_orders", "_read_running", "_tasks", "_views", "faults")

    def __init__(
        self, clock: Callable[[], float], read_running: Callable[[Machine], int] | None = None
    ) -> None:
        self._clock = clock
        self._read_running = read_running
        self._machines: dict[str, Machine] = {}
        self._tasks: dict[str, PlatformTask] = {}
        self._orders: dict[str, ActStatus] = {}
        self._views: deque[UsageView] = deque(maxlen=_VIEWS_KEPT)
        self.faults = FleetFaults()

    @property
    def machines(self) -> dict[str, Machine]:
        """The instances by name."""
        return self._machines

    @property
    def tasks(self) -> dict[str, PlatformTask]:
        """The tasks by id."""
        return self._tasks

    def set_up(self, setup: FleetSetup, recount: Recount) -> None:
        """Add instances and tasks, and replace the budgets."""
        recount.set_budgets(setup.pools)
        for machine in setup.instances:
            self._machines[machine.name] = machine
            recount.place(machine.name, machine.pool)
        for task in setup.tasks:
            self._tasks[task.id] = task

    def status(self, act: str) -> ActStatus | None:
        """Return what became of an act; None if it never arrived."""
        known = self._orders.get(act)
        if known is None or known.is_done or known.is_failed:
            return known
        machine = self._machines[act.rpartition("@")[0]]
        if machine.reboot_until_s is None or self._clock() < machine.reboot_until_s:
            return known
        machine.reboot_until_s = None
        is_broken = machine.name in self.faults.fail_on_return
        done = ActStatus(
            id=act, is_done=not is_broken, is_failed=is_broken, at_s=self._clock()
        )
        self._orders[act] = done
        return done

    def is_superseded(self, act: Act) -> bool:
        """Return whether a later act was taken on the same target."""
        machine = self._machines.get(act.target)
        return machine is not None and act.order < machine.order

    def take(self, act: Act, recount: Recount) -> ActStatus:
        """Take an act that did not arrive before."""
        self._record_view()
        machine = self._machines.get(act.target)
        if machine is None:
            return self._take_task_act(act)
        machine.order = act.order
        status = self._take_on_machine(act, machine, recount)
        self._orders[act.id] = status
        self._record_view()
        return status

    def _take_on_machine(self, act: Act, machine: Machine, recount: Recount) -> ActStatus:
        now_s = self._clock()
        if act.kind is ActKind.DRAIN:
            recount.drained(act.id, machine.name, now_s)
            machine.is_draining = True
            machine.empty_at_s = now_s + self.faults.drain_s
        elif act.kind is ActKind.RESUME:
            recount.resumed(act.id, machine.name, act.pool)
            machine.is_draining = False
            machine.pool = act.pool or machine.pool
        elif act.kind is ActKind.REBOOT:
            recount.stopped(act.id, machine.name, self.running(machine))
            machine.reboots += 1
            machine.reboot_until_s = now_s + self.faults.reboot_s
            return ActStatus(id=act.id, is_done=False, at_s=now_s)
        elif act.kind is ActKind.RELEASE:
            recount.stopped(act.id, machine.name, self.running(machine))
        return ActStatus(id=act.id, is_done=True, at_s=now_s)

    def _take_task_act(self, act: Act) -> ActStatus:
        task = self._tasks.get(act.target)
        if task is not None and act.kind in (ActKind.STOP, ActKind.CHECKPOINT):
            del self._tasks[act.target]
        elif task is not None:
            self._tasks[act.target] = msgspec.structs.replace(task, slots=max(task.slots // 2, 1))
        status = ActStatus(
            id=act.id, is_done=task is not None, is_failed=task is None, at_s=self._clock()
        )
        self._orders[act.id] = status
        return status

    def running(self, machine: Machine) -> int:
        """Return how many requests run on a machine now."""
        if machine.address and self._read_running is not None:
            return self._read_running(machine)
        if not machine.is_draining or machine.name in self.faults.never_empty:
            return machine.busy
        return machine.busy if self._clock() < machine.empty_at_s else 0

    def usage(self) -> UsageView:
        """Return the reports as they were ``report_lag_s`` seconds ago."""
        self._record_view()
        horizon_s = self._clock() - self.faults.report_lag_s
        past = [view for view in self._views if view.now_s <= horizon_s]
        reports = past[-1].reports if past else ()
        return UsageView(now_s=self._clock(), reports=reports)

    def _record_view(self) -> None:
        now_s = self._clock()
        reports = tuple(self._report(machine, now_s) for machine in self._machines.values())
        self._views.append(UsageView(now_s=now_s, reports=reports))

    def _report(self, machine: Machine, now_s: float) -> UsageReport:
        is_broken = machine.name in self.faults.failed
        return UsageReport(
            instance=machine.name,
            as_of_s=now_s,
            running=self.running(machine),
            is_healthy=not is_broken and machine.reboot_until_s is None,
            is_draining=machine.is_draining,
        )
