"""Runs the soak test for one seed: processes, fault injection and final checks."""

import json
import signal
import time
from pathlib import Path
from typing import NamedTuple

from almondstack.bench.processes import ProcessGroup, wait_until_ready
from almondstack.standin.soak.callers import SoakCaller
from almondstack.standin.soak.environment import SoakEnvironment
from almondstack.standin.soak.faults import REBIRTH_KINDS, Fault, FaultKind, plan_faults
from almondstack.standin.soak.proxy import LinkFault
from almondstack.standin.soak.rebirths import plan_rebirths

__all__ = ["SoakReport", "SoakSettings", "run_soak"]

_PROGRAM = "almondstack.platform"
_FRONT_PORT, _READY_PORT, _METRICS_PORT = 8340, 8343, 7000
_POLL_S = 0.02
_INTERPRETER_START_S = 1.0
"""Upper bound of an interpreter's start time, in seconds; it starts within a tenth of this."""

_READY_TIMEOUT_S = 60.0
"""Start timeout of the processes, in seconds, before any fault is injected; starting the
interpreters alone took 17 to 20 s with thirty processes on eight cores."""

_COMPLETION_TIMEOUT_S = 90.0
"""Time after the last fault within which every accepted job must end, in seconds; a run takes
less than a second, so that only a stalled job takes longer."""

_LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]
_FINAL_STATES = ("completed", "failed", "cancelled")


class SoakSettings(NamedTuple):
    """Size of a soak run.

    Parameters
    ----------
    fault_period_s : float
        Time in which faults are injected, in seconds.
    processes, workers, callers : int
        Number of processes of the product, of workers and of callers.
    other_build : pathlib.Path or None
        Folder with another build.  Every second process is of it at first, and each process
        is of the other build after each restart, so that both take over from each other.
    has_faults : bool
        Whether the faults of :func:`plan_faults` are injected.
    has_rebirths : bool
        Whether those of :func:`plan_rebirths` are injected; workers then have long runs and
        times of day of their own.
    """

    fault_period_s: float = 10.0
    processes: int = 3
    workers: int = 4
    callers: int = 4
    other_build: Path | None = None
    has_faults: bool = True
    has_rebirths: bool = False


class SoakReport(NamedTuple):
    """Result of a soak run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    submitted, accepted, completed : int
        Number of jobs.
    faults : int
        Number of injected faults.
    broken : list of str
        Broken rules, each with the observed values.
    """

    seed: int
    submitted: int
    accepted: int
    completed: int
    faults: int
    broken: list[str]


class _SoakRun:
    """Processes and active faults of one soak run."""

    def __init__(
        self, seed: int, settings: SoakSettings, folder: Path, group: ProcessGroup
    ) -> None:
        self.settings = settings
        self.environment = SoakEnvironment(
            seed,
            settings.workers,
            settings.processes,
            # Builds up to 97d6040 place jobs on such an entry; they can't be changed any more.
            has_foreign_entry=settings.other_build is None,
            has_rebirths=settings.has_rebirths,
        )
        self.checker = self.environment.checker
        self.checker.are_processes_undisturbed = not settings.has_faults
        self._folder = folder
        self._group = group
        self._names = [f"process-{number}" for number in range(settings.processes)]
        head, _, _ = self.environment.host.rpartition(".")
        self._hosts = [f"{head}.{number + 2}" for number in range(settings.processes)]
        self.front_addresses = [f"{host}:{_FRONT_PORT}" for host in self._hosts]
        self._active_faults: list[Fault] = []
        self._started_s = [0.0] * settings.processes
        self._starts = [0] * settings.processes
        self._store_outages = 0

    def start(self) -> None:
        """Start the environment and the processes, and wait until the processes are ready."""
        self.environment.start()
        for number in range(self.settings.processes):
            self._write_settings(number)
            self._start(number)
        for host in self._hosts:
            wait_until_ready(f"http://{host}:{_READY_PORT}/almondstack/ready", _READY_TIMEOUT_S)

    def inject(self, faults: list[Fault]) -> None:
        """Begin and end each fault at its scheduled time; return after the last has ended."""
        started_s = time.monotonic()
        pending = list(faults)
        while pending or self._active_faults:
            now_s = time.monotonic() - started_s
            for fault in [fault for fault in self._active_faults if fault.end_s <= now_s]:
                self._active_faults.remove(fault)
                self._end(fault)
            while pending and pending[0].begin_s <= now_s:
                self._begin(pending.pop(0))
            self.restart_ended_processes()
            time.sleep(_POLL_S)

    def restart_ended_processes(self) -> None:
        """Restart processes that exited without a fault, and record this as a broken rule."""
        stopped = {
            fault.selector % self.settings.processes
            for fault in self._active_faults
            if fault.kind in (FaultKind.KILL, FaultKind.TERMINATE)
        }
        for number, name in enumerate(self._names):
            if number not in stopped and not self._group.is_running(name):
                self.checker.broken.append(f"ENDED: {name} exited without an injected fault")
                self._start(number)

    def _begin(self, fault: Fault) -> None:
        self._active_faults.append(fault)
        number = fault.selector % self.settings.processes
        worker = fault.selector % self.settings.workers
        if fault.kind is FaultKind.PAUSE:
            self._signal(number, signal.SIGSTOP)
        elif fault.kind is FaultKind.RELOAD and self._is_interpreter_started(number):
            self._signal(number, signal.SIGHUP)
        elif fault.kind is FaultKind.KILL:
            self._stop(number, is_killed=True)
        elif fault.kind is FaultKind.TERMINATE:
            self._signal(number, signal.SIGTERM)
        elif fault.kind is FaultKind.STORE_LINK:
            self.environment.store_links[number].fault = _LINK_FAULTS[
                fault.selector % len(_LINK_FAULTS)
            ]
        elif fault.kind is FaultKind.STORE_RESET:
            self.environment.store_links[number].reset()
        elif fault.kind is FaultKind.WORKER_LINK:
            self.environment.worker_links[worker].fault = _LINK_FAULTS[
                fault.selector % len(_LINK_FAULTS)
            ]
        elif fault.kind is FaultKind.WORKER_RESET:
            self.environment.worker_links[worker].reset()
        elif fault.kind is FaultKind.WORKER_CRASH:
            self.environment.workers[worker].crash()
            self.environment.worker_links[worker].reset()
        elif fault.kind is FaultKind.STORE_REFUSES:
            self._store_outages += 1
            self.environment.store.is_unavailable = True
        elif fault.kind is FaultKind.STORE_LOSES:
            self.environment.store.append_replies_to_drop += 1 + fault.selector % 4
        elif fault.kind in REBIRTH_KINDS:
            self._begin_rebirth(fault, worker)

    def _begin_rebirth(self, fault: Fault, worker: int) -> None:
        if fault.kind is FaultKind.LATE_CALLS:
            self.environment.workers[worker].are_calls_late = True
        else:
            self.environment.worker_links[worker].fault = LinkFault.SILENT
            span_s = round(fault.end_s - fault.begin_s, 3)
            self.checker.record_event("cut", worker=f"w-{worker}", span_s=span_s)

    def _end(self, fault: Fault) -> None:
        number = fault.selector % self.settings.processes
        if fault.kind is FaultKind.PAUSE:
            self._signal(number, signal.SIGCONT)
        elif fault.kind in (FaultKind.KILL, FaultKind.TERMINATE):
            self._restart(number)
        elif fault.kind is FaultKind.STORE_LINK:
            self.environment.store_links[number].fault = LinkFault.NONE
        elif fault.kind in (FaultKind.WORKER_LINK, FaultKind.WORKER_CUT):
            worker = fault.selector % self.settings.workers
            self.environment.worker_links[worker].fault = LinkFault.NONE
        elif fault.kind is FaultKind.LATE_CALLS:
            worker = fault.selector % self.settings.workers
            self.environment.workers[worker].are_calls_late = False
        elif fault.kind is FaultKind.STORE_REFUSES:
            self._store_outages -= 1
            self.environment.store.is_unavailable = self._store_outages > 0

    def _is_interpreter_started(self, number: int) -> bool:
        """Return whether a process has had time to reach the program's first line.

        Explanation
        -----------
        Before that line the program has no handler for SIGHUP, and the signal ends the
        process.
        """
        return time.monotonic() - self._started_s[number] > _INTERPRETER_START_S

    def _start(self, number: int) -> None:
        self._started_s[number] = time.monotonic()
        path = self._folder / f"{self._names[number]}.yaml"
        is_other = (number + self._starts[number]) % 2 == 1
        self._starts[number] += 1
        build = self.settings.other_build if is_other else None
        self._group.start(self._names[number], _PROGRAM, "--settings", str(path), build=build)

    def _signal(self, number: int, signal_number: signal.Signals) -> None:
        if self._group.is_running(self._names[number]):
            self._group.signal(self._names[number], signal_number)

    def _stop(self, number: int, *, is_killed: bool) -> None:
        name = self._names[number]
        if not self._group.is_running(name):
            return
        self._group.signal(name, signal.SIGCONT)
        if is_killed:
            self._group.kill(name)
        else:
            self._group.terminate(name)

    def _restart(self, number: int) -> None:
        """Stop a process if it still runs, and start it again."""
        if self._group.is_running(self._names[number]):
            self._stop(number, is_killed=False)
        self._start(number)

    def _write_settings(self, number: int) -> None:
        host = self._hosts[number]
        lines = [
            f"node-name: edge-{number}",
            "zone: a",
            f"ip: {host}",
            f'listen: {{front: "{host}:{_FRONT_PORT}", ready: "{host}:{_READY_PORT}"}}',
            f"port-range: [{_METRICS_PORT}, {_METRICS_PORT + 15}]",
            f'platform: {{address: "{self.environment.store_links[number].address}"}}',
            f'cloud-api: {{address: "{self.environment.instances_address}"}}',
        ]
        (self._folder / f"{self._names[number]}.yaml").write_text("\n".join(lines) + "\n")


def run_soak(seed: int, settings: SoakSettings, folder: Path) -> SoakReport:
    """Run the soak test with one seed; logs and settings of the processes stay in ``folder``."""
    faults = _plan(seed, settings)
    with ProcessGroup(folder) as group:
        soak = _SoakRun(seed, settings, folder, group)
        try:
            soak.start()
            callers = [
                SoakCaller(seed * 1_000 + number, soak.front_addresses, soak.checker)
                for number in range(settings.callers)
            ]
            for caller in callers:
                caller.start()
            soak.inject(faults)
            for caller in callers:
                caller.stop()
            completed = _wait_for_jobs(soak, callers[0])
        finally:
            soak.environment.close()
            _write_trace(soak.checker.trace, folder)
    oracle = soak.checker.oracle
    return SoakReport(
        seed,
        len(oracle.submissions),
        len(oracle.accepted),
        completed,
        len(faults),
        soak.checker.broken,
    )


def _plan(seed: int, settings: SoakSettings) -> list[Fault]:
    faults = plan_faults(seed, settings.fault_period_s) if settings.has_faults else []
    if settings.has_rebirths:
        faults += plan_rebirths(seed, settings.fault_period_s, settings.workers)
    return sorted(faults)


def _write_trace(trace: list[dict[str, object]], folder: Path) -> None:
    (folder / "workers.log").write_text("".join(f"{json.dumps(event)}\n" for event in trace))


def _wait_for_jobs(soak: _SoakRun, caller: SoakCaller) -> int:
    """Wait until all processes report each accepted job as ended; return the number completed.

    Explanation
    -----------
    Jobs that have not ended within 90 s are recorded as broken rules.
    """
    open_jobs = sorted(soak.checker.oracle.accepted)
    completed = 0
    deadline_s = time.monotonic() + _COMPLETION_TIMEOUT_S
    shown: dict[str, list[str | None]] = {}
    while open_jobs and time.monotonic() < deadline_s:
        soak.restart_ended_processes()
        job = open_jobs.pop(0)
        shown[job] = states = [caller.job_state(front, job) for front in soak.front_addresses]
        completed += states.count("completed") == len(states)
        if not all(state in _FINAL_STATES for state in states):
            open_jobs.append(job)
            time.sleep(_POLL_S)
    soak.checker.broken.extend(
        f"LOST: {job} was accepted and has not ended; the processes report {shown.get(job)}"
        for job in open_jobs
    )
    return completed
