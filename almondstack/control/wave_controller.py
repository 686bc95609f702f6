"""Drains and maintains the instances of maintenance waves."""

from collections.abc import Container

import msgspec

from almondstack.capacity import WaveMember, next_members
from almondstack.control.instance_manager import InstanceManager
from almondstack.control.messages import InstanceInfo, InstanceState, WaveRequest
from almondstack.control.services import OwnerServices
from almondstack.jobs import RecordKind, record_key
from almondstack.ownership import Record
from almondstack.placement import Worker

__all__ = ["WaveController"]

_LISTS_OF_ABSENCE = 2
"""Lists in a row, all requested after the wave, that must lack an instance before it counts as
gone: a list comes in pages, between which an instance may be missed."""

_MAX_LOGGED_INSTANCES = 20
"""Names of instances in one event."""


class _Wave:
    """A wave, and its instances whose maintenance the service has confirmed as started.

    Explanation
    -----------
    ``noted_s`` is when this owner read the request, in monotonic seconds.  Only lists that
    were requested later show which of the instances do not exist.
    """

    __slots__ = (
        "_absences",
        "_list_s",
        "is_completed",
        "is_reported",
        "is_reporting",
        "logged_possible",
        "logged_unlisted",
        "request",
        "started",
        "stored",
    )

    def __init__(self, request: WaveRequest, started: set[str], noted_s: float) -> None:
        self.request = request
        self._list_s = noted_s
        self._absences: dict[str, int] = {}
        self.started = started
        self.stored = set(started)
        self.is_completed = False
        self.is_reported = False
        self.is_reporting = False
        self.logged_unlisted: list[str] = []
        self.logged_possible: list[str] = []

    def note_list(self, names: Container[str], requested_s: float) -> None:
        """Count for each instance how many new lists in a row have lacked it."""
        if requested_s <= self._list_s:
            return
        self._list_s = requested_s
        for name in self.request.instances:
            self._absences[name] = 0 if name in names else self._absences.get(name, 0) + 1

    def unlisted(self, names: Container[str]) -> list[str]:
        """Return the instances of which it is not known whether they exist."""
        return [
            name
            for name in self.request.instances
            if name not in names
            and name not in self.started
            and self._absences.get(name, 0) < _LISTS_OF_ABSENCE
        ]


class WaveController:
    """Maintains each instance of a wave, within the number that may be down at once.

    Explanation
    -----------
    An instance with an order whose answer this owner does not know, above all one of the
    previous owner, counts as down until its maintenance is confirmed: the order may be executed
    at any moment.  It is ordered before others, which settles the matter.
    The instances whose maintenance has started are stored, so that a later owner
    does not drain them again.  An order may be repeated: the service executes it once.

    Parameters
    ----------
    services : OwnerServices
        The requested waves and their stored progress.
    manager : InstanceManager
        Sends the orders.
    """

    __slots__ = ("_due", "_manager", "_services", "_waves")

    def __init__(self, services: OwnerServices, manager: InstanceManager) -> None:
        self._services = services
        self._manager = manager
        self._waves: dict[int, _Wave] = {}
        self._due: list[tuple[str, int]] = []

    @property
    def is_active(self) -> bool:
        """Whether any wave is not completed."""
        return any(not wave.is_completed for wave in self._waves.values())

    def run_round(
        self,
        instances: list[InstanceInfo],
        workers: dict[str, Worker],
        spare_pools: set[str],
        pool_excess: dict[str, float],
        now_s: float,
    ) -> set[str]:
        """Decide which orders are due, and return the instances to drain."""
        self._add_new_waves(now_s)
        by_name = {info.name: info for info in instances}
        draining: set[str] = set()
        for wave in self._waves.values():
            if not wave.is_completed:
                draining |= self._advance(wave, by_name, workers, spare_pools, pool_excess, now_s)
        return draining

    @property
    def due(self) -> list[str]:
        """The instances to which :meth:`send_orders` sends orders."""
        return [instance for instance, _ in self._due]

    def records(self) -> list[Record]:
        """Return the records of waves that have progressed since the last call."""
        records = []
        for wave in self._waves.values():
            if wave.started == wave.stored:
                continue
            wave.stored = set(wave.started)
            key = record_key(RecordKind.WAVE, str(wave.request.number))
            records.append(Record(key, msgspec.msgpack.encode(sorted(wave.started))))
        return records

    def send_orders(self) -> None:
        """Send the orders of this round, after its records were stored."""
        due, self._due = self._due, []
        for instance, number in due:
            self._manager.maintain(instance, number)

    def _add_new_waves(self, now_s: float) -> None:
        for request in self._services.directory.waves():
            if request.number in self._waves:
                continue
            stored = self._services.index.fleet_record(RecordKind.WAVE, str(request.number))
            started = set(msgspec.msgpack.decode(stored, type=list[str])) if stored else set()
            self._waves[request.number] = _Wave(request, started, now_s)

    def _advance(
        self,
        wave: _Wave,
        by_name: dict[str, InstanceInfo],
        workers: dict[str, Worker],
        spare_pools: set[str],
        pool_excess: dict[str, float],
        now_s: float,
    ) -> set[str]:
        wave.started |= self._manager.started_maintenance(wave.request.number)
        present = [by_name[name] for name in wave.request.instances if name in by_name]
        remaining = [info for info in present if info.name not in wave.started]
        in_maintenance = sum(info.state is InstanceState.MAINTENANCE for info in present)
        possible = [info.name for info in remaining if self._may_begin(info, now_s)]
        self._note_possible(wave, possible)
        wave.note_list(by_name, self._manager.list_requested_s)
        unlisted = wave.unlisted(by_name)
        self._note_unlisted(wave, unlisted, now_s)
        self._report(wave, is_completed=not remaining and not in_maintenance and not unlisted)
        down = in_maintenance + len(possible)
        most_at_once = wave.request.most_at_once
        room = most_at_once - down
        members = [
            _member(info, workers, spare_pools, pool_excess)
            for info in remaining
            if info.state is InstanceState.UP
            and info.name not in possible
            and self._manager.can_order(info.name, now_s)
        ]
        chosen = [member.name for member in next_members(members, down, most_at_once)]
        if room >= 0:
            # The order to one that counts as down anyway takes no further room.
            ready = [name for name in possible if self._manager.can_order(name, now_s)]
            self._order_empty(wave, ready, len(ready), by_name, workers, spare_pools)
        self._order_empty(wave, chosen, room, by_name, workers, spare_pools)
        return {*possible, *chosen}

    def _may_begin(self, info: InstanceInfo, now_s: float) -> bool:
        """Whether an order without a known answer may begin the maintenance of an instance."""
        is_up = info.state is InstanceState.UP
        return is_up and self._manager.may_begin_maintenance(info.name, now_s)

    def _order_empty(
        self,
        wave: _Wave,
        names: list[str],
        most: int,
        by_name: dict[str, InstanceInfo],
        workers: dict[str, Worker],
        spare_pools: set[str],
    ) -> None:
        """Order the maintenance of the instances on which nothing can run, ``most`` at most."""
        empty = [name for name in names if _is_empty(by_name[name], workers, spare_pools)]
        self._due.extend((name, wave.request.number) for name in empty[: max(0, most)])

    def _note_possible(self, wave: _Wave, names: list[str]) -> None:
        """Write an event when the instances that count as down without being listed so change."""
        if names == wave.logged_possible:
            return
        wave.logged_possible = names
        ages_s = [round(self._manager.predecessor_order_age_s(name), 3) for name in names]
        self._services.events.write(
            "wave-possibly-down",
            wave=wave.request.number,
            instances=names[:_MAX_LOGGED_INSTANCES],
            order_ages_s=ages_s[:_MAX_LOGGED_INSTANCES],
        )

    def _note_unlisted(self, wave: _Wave, unlisted: list[str], now_s: float) -> None:
        """Write an event when the instances that a wave waits to see listed have changed."""
        if unlisted == wave.logged_unlisted:
            return
        wave.logged_unlisted = unlisted
        self._services.events.write(
            "wave-unlisted",
            wave=wave.request.number,
            instances=unlisted[:_MAX_LOGGED_INSTANCES],
            count=len(unlisted),
            list_age_s=round(now_s - self._manager.list_requested_s, 3),
        )

    def _report(self, wave: _Wave, *, is_completed: bool) -> None:
        if wave.is_reporting or (wave.is_reported and not is_completed):
            return
        wave.is_reporting = True

        def note_reported() -> None:
            wave.is_reporting = False
            wave.is_reported = True
            wave.is_completed = is_completed

        self._manager.report(wave.request.number, is_completed, note_reported)


def _member(
    info: InstanceInfo,
    workers: dict[str, Worker],
    spare_pools: set[str],
    pool_excess: dict[str, float],
) -> WaveMember:
    worker = workers.get(info.worker)
    tasks = worker.tasks if worker is not None else []
    return WaveMember(
        info.name,
        is_off=info.pool in spare_pools,
        used_millis=sum(task.step.cpu_millis for task in tasks),
        long_running_tasks=sum(task.step.is_long_running for task in tasks),
        pool_excess=pool_excess.get(info.pool, 0.0),
    )


def _is_empty(info: InstanceInfo, workers: dict[str, Worker], spare_pools: set[str]) -> bool:
    """Whether nothing can run on an instance; a worker that is not registered may have runs."""
    worker = workers.get(info.worker)
    if worker is None:
        return not info.worker or info.pool in spare_pools
    return worker.is_reserved and not worker.tasks
