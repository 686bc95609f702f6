"""Records what instances in pools are paid for, in instance-seconds by use."""

from collections.abc import Mapping

from almondstack.capacity import PaidInstance, PaidUse, PoolState, paid_uses
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.placement import Worker

__all__ = ["PaidTimeRecorder"]

_LOG_INTERVAL_S = 2.0
"""Time between two ``paid-seconds`` events, in seconds."""

_MAX_GAP_S = 1.0
"""Longest time before a call that is counted, in seconds: earlier uses are not known well."""


class PaidTimeRecorder:
    """Adds up instance-seconds by pool and use.

    Parameters
    ----------
    events : EventLog
        Receives a ``paid-seconds`` event every two seconds.
    metrics : LocalMetrics
        Counts the milliseconds of each use as ``paid.USE``.
    """

    __slots__ = ("_events", "_logged_s", "_metrics", "_recorded_s", "_seconds")

    def __init__(self, events: EventLog, metrics: LocalMetrics) -> None:
        self._events = events
        self._metrics = metrics
        self._recorded_s: float | None = None
        self._logged_s = 0.0
        self._seconds: dict[str, dict[PaidUse, float]] = {}

    def record(
        self,
        instances: list[InstanceInfo],
        states: list[PoolState],
        wanted: Mapping[str, int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> None:
        """Count the time since the last call under the present uses of the instances."""
        previous_s, self._recorded_s = self._recorded_s, now_s
        if previous_s is None:
            self._logged_s = now_s
            return
        elapsed_s = min(now_s - previous_s, _MAX_GAP_S)
        for state in states:
            members = [
                _paid_instance(info, workers.get(info.worker))
                for info in instances
                if info.pool == state.name and info.state is not InstanceState.DOWN
            ]
            seconds = self._seconds.setdefault(state.name, {})
            for use, share in paid_uses(members, wanted[state.name]).items():
                seconds[use] = seconds.get(use, 0.0) + share * elapsed_s
        if now_s - self._logged_s >= _LOG_INTERVAL_S:
            self._write(now_s)

    def _write(self, now_s: float) -> None:
        pools = {
            pool: {use.value: round(seconds, 2) for use, seconds in uses.items()}
            for pool, uses in self._seconds.items()
        }
        self._events.write("paid-seconds", within_s=round(now_s - self._logged_s, 2), pools=pools)
        for uses in self._seconds.values():
            for use, seconds in uses.items():
                self._metrics.count(f"paid.{use}", round(seconds * 1000.0))
        self._seconds = {}
        self._logged_s = now_s


def _paid_instance(info: InstanceInfo, worker: Worker | None) -> PaidInstance:
    if info.state is InstanceState.MAINTENANCE:
        return PaidInstance(state=PaidUse.MAINTAINED)
    if info.state is InstanceState.MOVING or worker is None:
        return PaidInstance(state=PaidUse.COMING)
    size = max(1, info.cpu_millis)
    long_running = sum(task.step.cpu_millis for task in worker.tasks if task.step.is_long_running)
    used = sum(task.step.cpu_millis for task in worker.tasks)
    return PaidInstance(long_running / size, (used - long_running) / size, _state_of(worker))


def _state_of(worker: Worker) -> PaidUse | None:
    if worker.is_reserved or worker.info.is_draining:
        return PaidUse.LEAVING
    return None if worker.is_reachable else PaidUse.UNUSABLE
