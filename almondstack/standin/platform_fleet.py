"""Simulated instances of the platform stand-in: drains, reboots and delayed usage reports."""

from collections import deque
from collections.abc import Callable

import msgspec

from almondstack.provider import Act, ActKind, ActStatus, PlatformTask, UsageReport, UsageView
from almondstack.standin.platform_recount import PoolBudget, Recount

__all__ = ["FleetFaults", "FleetSetup", "Machine", "PlatformFleet"]

_MAX_VIEWS = 2000


class Machine(msgspec.Struct, kw_only=True):
    """One instance.

    Parameters
    ----------
    name, pool, zone, rack : str
        Name of the instance, its pool and its failure domains.
    address : str
        Numeric address of the upstream stand-in that runs the instance's requests; empty
        if the requests are only simulated.
    busy : int
        Number of simulated requests that the instance runs unless it is drained.
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
    """Instances, tasks and availability budgets to add to the stand-in."""

    pools: tuple[PoolBudget, ...] = ()
    instances: tuple[Machine, ...] = ()
    tasks: tuple[PlatformTask, ...] = ()


class FleetFaults(msgspec.Struct, kw_only=True):
    """Injected faults and durations of the instances.

    Parameters
    ----------
    drain_s, reboot_s : float
        Time that requests continue to run after a drain, and duration of a reboot, in
        seconds.
    report_lag_s : float
        Age of the usage reports, in seconds.
    failed : list of str
        Instances that have failed.
    fail_on_return : list of str
        Instances that fail at their next reboot.
    never_empty : list of str
        Instances whose requests do not end after a drain.
    silent : list of str
        Instances whose usage reports no longer reach the platform.
    """

    drain_s: float = 0.5
    reboot_s: float = 0.5
    report_lag_s: float = 0.0
    failed: list[str] = msgspec.field(default_factory=list)
    fail_on_return: list[str] = msgspec.field(default_factory=list)
    never_empty: list[str] = msgspec.field(default_factory=list)
    silent: list[str] = msgspec.field(default_factory=list)


class PlatformFleet:
    """Executes each act once and reports the usage of instances.

    Parameters
    ----------
    clock : callable
        Returns the platform's time in seconds.
    recount : Recount
        Checks each executed act.
    read_running : callable, optional
        Returns the number of requests that run on a machine that has an address; None if
        the machine does not answer.
    """

    __slots__ = (
        "_clock",
        "_machines",
        "_read_running",
        "_recount",
        "_reports",
        "_statuses",
        "_tasks",
        "_views",
        "faults",
    )

    def __init__(
        self,
        clock: Callable[[], float],
        recount: Recount,
        read_running: Callable[[Machine], int | None] | None = None,
    ) -> None:
        self._clock = clock
        self._recount = recount
        self._read_running = read_running
        self._machines: dict[str, Machine] = {}
        self._tasks: dict[str, PlatformTask] = {}
        self._statuses: dict[str, ActStatus] = {}
        self._reports: dict[str, UsageReport] = {}
        self._views: deque[UsageView] = deque(maxlen=_MAX_VIEWS)
        self.faults = FleetFaults()

    @property
    def machines(self) -> dict[str, Machine]:
        """Instances by name."""
        return self._machines

    @property
    def tasks(self) -> dict[str, PlatformTask]:
        """Tasks by id."""
        return self._tasks

    def set_up(self, setup: FleetSetup) -> None:
        """Add instances and tasks, and replace the budgets."""
        self._recount.set_budgets(setup.pools)
        for machine in setup.instances:
            self._machines[machine.name] = machine
            self._recount.place(machine.name, machine.pool)
        for task in setup.tasks:
            self._tasks[task.id] = task

    def status(self, act: str) -> ActStatus | None:
        """Return the status of an act; None if the act has not been received."""
        known = self._statuses.get(act)
        if known is None or known.is_done or known.is_failed:
            return known
        machine = self._machines[act.rpartition("@")[0]]
        if machine.reboot_until_s is None or self._clock() < machine.reboot_until_s:
            return known
        machine.reboot_until_s = None
        if machine.name in self.faults.fail_on_return:
            self.faults.failed.append(machine.name)
            self._recount.fail(machine.name, self._clock())
        done = ActStatus(id=act, is_done=True, at_s=self._clock())
        self._statuses[act] = done
        return done

    def is_superseded(self, act: Act) -> bool:
        """Return whether a later act was executed on the same target."""
        machine = self._machines.get(act.target)
        return machine is not None and act.order < machine.order

    def is_expired(self, act: Act) -> bool:
        """Return whether the lease of an act has expired."""
        return self._clock() > act.expires_s

    def execute(self, act: Act) -> ActStatus:
        """Execute an act that was not received before, and return its status."""
        self._record_view()
        machine = self._machines.get(act.target)
        if machine is None:
            return self._execute_on_task(act)
        machine.order = act.order
        status = self._execute_on_machine(act, machine)
        self._statuses[act.id] = status
        self._record_view()
        return status

    def _execute_on_machine(self, act: Act, machine: Machine) -> ActStatus:
        now_s = self._clock()
        if act.kind is ActKind.DRAIN:
            self._recount.drained(act.id, machine.name, now_s)
            machine.is_draining = True
            machine.empty_at_s = now_s + self.faults.drain_s
        elif act.kind is ActKind.RESUME:
            self._recount.resumed(act.id, machine.name, act.pool, self.running(machine) or 0)
            machine.is_draining = False
            machine.pool = act.pool or machine.pool
        elif act.kind is ActKind.REBOOT:
            self._recount.stopped(act.id, machine.name, self.running(machine) or 0)
            machine.reboots += 1
            machine.reboot_until_s = now_s + self.faults.reboot_s
            return ActStatus(id=act.id, is_done=False, at_s=now_s)
        elif act.kind is ActKind.RELEASE:
            self._recount.stopped(act.id, machine.name, self.running(machine) or 0)
        return ActStatus(id=act.id, is_done=True, at_s=now_s)

    def _execute_on_task(self, act: Act) -> ActStatus:
        task = self._tasks.get(act.target)
        if task is not None and act.kind in (ActKind.STOP, ActKind.CHECKPOINT):
            del self._tasks[act.target]
        elif task is not None:
            self._tasks[act.target] = msgspec.structs.replace(task, slots=max(task.slots // 2, 1))
        status = ActStatus(
            id=act.id, is_done=task is not None, is_failed=task is None, at_s=self._clock()
        )
        self._statuses[act.id] = status
        return status

    def running(self, machine: Machine) -> int | None:
        """Return the number of requests that run on a machine; None if it does not answer."""
        if machine.address and self._read_running is not None:
            return self._read_running(machine)
        if not machine.is_draining or machine.name in self.faults.never_empty:
            return machine.busy
        return machine.busy if self._clock() < machine.empty_at_s else 0

    def usage(self) -> UsageView:
        """Return the usage reports as they were ``report_lag_s`` seconds ago."""
        self._record_view()
        as_of_s = self._clock() - self.faults.report_lag_s
        past = [view for view in self._views if view.now_s <= as_of_s]
        reports = past[-1].reports if past else ()
        return UsageView(now_s=self._clock(), reports=reports)

    def _record_view(self) -> None:
        now_s = self._clock()
        for machine in self._machines.values():
            if machine.name not in self.faults.silent:
                self._reports[machine.name] = self._report(machine, now_s)
        reports = tuple(self._reports.values())
        self._views.append(UsageView(now_s=now_s, reports=reports))

    def _report(self, machine: Machine, now_s: float) -> UsageReport:
        running = self.running(machine)
        is_broken = running is None or machine.name in self.faults.failed
        return UsageReport(
            instance=machine.name,
            as_of_s=now_s,
            running=running or 0,
            is_healthy=not is_broken and machine.reboot_until_s is None,
            is_draining=machine.is_draining,
        )
