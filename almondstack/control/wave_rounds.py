"""Maintenance waves, round by round."""

import msgspec

from almondstack.capacity import WaveMember, next_members
from almondstack.control.instance_desk import InstanceDesk
from almondstack.control.messages import InstanceInfo, InstanceState, WaveRequest
from almondstack.control.services import OwnerServices
from almondstack.jobs import RecordKind, record_key
from almondstack.ownership import Record
from almondstack.placement import Worker

__all__ = ["WaveRounds"]


class _Wave:
    """A wave and which of its instances have begun, as the service has confirmed."""

    __slots__ = ("begun", "is_completed", "is_reported", "reporting", "request", "written")

    def __init__(self, request: WaveRequest, begun: set[str]) -> None:
        self.request = request
        self.begun = begun
        self.written = set(begun)
        self.is_completed = False
        self.is_reported = False
        self.reporting = False


class WaveRounds:
    """Brings each instance of a wave into maintenance, no more at once than asked.

    Explanation
    -----------
    That an instance has begun is stored, so that a later owner does not empty it
    again.  An order may be repeated: the service takes it once.

    Parameters
    ----------
    services : OwnerServices
        The asked-for waves and what is stored of them.
    desk : InstanceDesk
        Takes the orders.
    """

    __slots__ = ("_desk", "_due", "_services", "_waves")

    def __init__(self, services: OwnerServices, desk: InstanceDesk) -> None:
        self._services = services
        self._desk = desk
        self._waves: dict[int, _Wave] = {}
        self._due: list[tuple[str, int]] = []

    @property
    def is_active(self) -> bool:
        """Whether some wave is not completed."""
        return any(not wave.is_completed for wave in self._waves.values())

    def round(
        self,
        instances: list[InstanceInfo],
        workers: dict[str, Worker],
        spare_pools: set[str],
        pool_ranks: dict[str, float],
        now_s: float,
    ) -> set[str]:
        """Choose what to do, and return the instances that are to be emptied."""
        self._take_requests()
        by_name = {info.name: info for info in instances}
        emptied: set[str] = set()
        for wave in self._waves.values():
            if not wave.is_completed:
                emptied |= self._round_of(wave, by_name, workers, spare_pools, pool_ranks, now_s)
        return emptied

    @property
    def due(self) -> list[str]:
        """The instances that :meth:`send` gives orders to."""
        return [instance for instance, _ in self._due]

    def records(self) -> list[Record]:
        """Return what has become known since the last call and is to be stored."""
        records = []
        for wave in self._waves.values():
            if wave.begun == wave.written:
                continue
            wave.written = set(wave.begun)
            key = record_key(RecordKind.WAVE, str(wave.request.number))
            records.append(Record(key, msgspec.msgpack.encode(sorted(wave.begun))))
        return records

    def send(self) -> None:
        """Give the orders of this round, now that they are stored."""
        due, self._due = self._due, []
        for instance, number in due:
            self._desk.maintain(instance, number)

    def _take_requests(self) -> None:
        for request in self._services.directory.waves():
            if request.number in self._waves:
                continue
            stored = self._services.book.fleet_record(RecordKind.WAVE, str(request.number))
            begun = set(msgspec.msgpack.decode(stored, type=list[str])) if stored else set()
            self._waves[request.number] = _Wave(request, begun)

    def _round_of(
        self,
        wave: _Wave,
        by_name: dict[str, InstanceInfo],
        workers: dict[str, Worker],
        spare_pools: set[str],
        pool_ranks: dict[str, float],
        now_s: float,
    ) -> set[str]:
        wave.begun |= self._desk.maintained(wave.request.number)
        present = [by_name[name] for name in wave.request.instances if name in by_name]
        left = [info for info in present if info.name not in wave.begun]
        down = sum(info.state is InstanceState.MAINTENANCE for info in present)
        self._report(wave, is_completed=not left and not down)
        members = [
            _member(info, workers, spare_pools, pool_ranks)
            for info in left
            if info.state is InstanceState.UP and self._desk.is_free(info.name, now_s)
        ]
        chosen = next_members(members, down, wave.request.most_at_once)
        room = wave.request.most_at_once - down
        for member in chosen:
            if room > 0 and _is_empty(by_name[member.name], workers, spare_pools):
                room -= 1
                self._due.append((member.name, wave.request.number))
        return {member.name for member in chosen}

    def _report(self, wave: _Wave, *, is_completed: bool) -> None:
        if wave.reporting or (wave.is_reported and not is_completed):
            return
        wave.reporting = True

        def note_reported() -> None:
            wave.reporting = False
            wave.is_reported = True
            wave.is_completed = is_completed

        self._desk.report(wave.request.number, is_completed, note_reported)


def _member(
    info: InstanceInfo,
    workers: dict[str, Worker],
    spare_pools: set[str],
    pool_ranks: dict[str, float],
) -> WaveMember:
    worker = workers.get(info.worker)
    tasks = worker.tasks if worker is not None else []
    return WaveMember(
        info.name,
        is_off=info.pool in spare_pools,
        used_millis=sum(task.step.cpu_millis for task in tasks),
        long_running_tasks=sum(task.step.is_long_running for task in tasks),
        pool_excess=pool_ranks.get(info.pool, 0.0),
    )


def _is_empty(info: InstanceInfo, workers: dict[str, Worker], spare_pools: set[str]) -> bool:
    """Whether nothing can run on an instance; a worker that is not registered may be at work."""
    worker = workers.get(info.worker)
    if worker is None:
        return not info.worker or info.pool in spare_pools
    return worker.is_reserved and not worker.tasks
