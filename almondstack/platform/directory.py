"""What operators and workers have registered in the platform's store."""

import threading

import msgspec

from almondstack.control.messages import WaveRequest
from almondstack.core.events import EventLog
from almondstack.ownership import Record
from almondstack.placement import Resources, WorkerInfo
from almondstack.platform.configuration import ConfigurationError, ConfigurationHolder
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.topic_follower import TopicFollower
from almondstack.platform.wire import ServerWire

__all__ = ["ConfigurationFollower", "StoreDirectory"]

_TOPIC = "keyed.op"
_CONFIG_KEY = "config"
_WAVE_PREFIX = "wave/"
_EVACUATION_PREFIX = "evacuate/"
_READY = "ready"
_DRAINING = "draining"
_REPORT_TIMEOUT_S = 0.8

_CONFIG_WAIT_S = 1.0
"""Short enough that a connection that went silent is noticed within the bound on changes."""

_CONFIG_MOST_KB = 260
"""Holds the largest record: where several large configurations wait, only one comes over a slow
link before the newest is read."""

_CONFIG_PAUSE_S = 0.02
_SERVERS_WAIT_S = 1.0
_SERVERS_PAUSE_S = 0.08
"""Lets reports of many workers gather, since each read is paid for."""

_IDLE_SERVERS_PAUSE_S = 2.0

_server = msgspec.json.Decoder(ServerWire)


class ConfigurationFollower:
    """Keeps a :class:`ConfigurationHolder` up to date.

    Parameters
    ----------
    connection : StoreConnection
        The store.
    holder : ConfigurationHolder
        Takes what is read.
    events : EventLog
        Takes a line for each version and each wave.
    """

    __slots__ = ("_connection", "_events", "_follower", "_holder")

    def __init__(
        self, connection: StoreConnection, holder: ConfigurationHolder, events: EventLog
    ) -> None:
        self._connection = connection
        self._holder = holder
        self._events = events
        self._follower = TopicFollower(
            "configuration",
            KeyedTopic(connection, _TOPIC, _CONFIG_MOST_KB),
            self._take,
            self._take_all,
            events,
            _CONFIG_WAIT_S,
            _CONFIG_PAUSE_S,
            is_urgent=True,
        )

    def start(self) -> None:
        """Start to follow."""
        self._follower.start()

    def stop(self) -> None:
        """Stop to follow."""
        self._follower.stop()

    def read_again(self) -> None:
        """Read the newest records in the calling thread, over a connection of its own.

        Raises
        ------
        StoreError
            The store did not answer as it should.
        """
        connection = StoreConnection(self._connection.address)
        try:
            records = KeyedTopic(connection, _TOPIC).snapshot().records
        finally:
            connection.close()
        for record in records:
            # Evacuations are taken back, so that only the follower knows their order.
            if not record.key.startswith(_EVACUATION_PREFIX):
                self._take(record)

    def _take_all(self, records: list[Record]) -> None:
        asked = [record.key for record in records if record.value]
        zones = frozenset(filter(None, map(_evacuated_zone, asked)))
        self._holder.keep_evacuated(zones)
        for record in records:
            self._take(record)

    def _take(self, record: Record) -> None:
        zone = _evacuated_zone(record.key)
        if zone:
            self._take_evacuation(zone, is_asked=bool(record.value))
            return
        if not record.value:
            return
        try:
            if record.key == _CONFIG_KEY:
                self._take_configuration(record.value)
            elif record.key.startswith(_WAVE_PREFIX):
                number = self._holder.put_wave(record.value)
                self._events.write("wave-asked", wave=number)
        except ConfigurationError as error:
            self._events.write("configuration-unreadable", key=record.key, error=str(error))

    def _take_configuration(self, value: bytes) -> None:
        version = self._holder.put_configuration(value)
        if version is not None:
            self._events.write("configuration-in-force", version=version)

    def _take_evacuation(self, zone: str, *, is_asked: bool) -> None:
        if self._holder.evacuate(zone, is_asked=is_asked):
            self._events.write("evacuation-asked" if is_asked else "evacuation-over", zone=zone)


def _evacuated_zone(key: str) -> str:
    """Return the availability zone whose evacuation a key stands for, or an empty text."""
    return key.removeprefix(_EVACUATION_PREFIX) if key.startswith(_EVACUATION_PREFIX) else ""


class StoreDirectory:
    """Registered workers, waves and their reports; see ``FleetDirectory``.

    Explanation
    -----------
    Only the owner goes by the workers, but all processes follow them, so that a
    new owner knows them even while the store can't tell.  A registration that
    does not decode names no worker to use.

    Parameters
    ----------
    connection : StoreConnection
        The store.
    holder : ConfigurationHolder
        Knows the waves.
    events : EventLog
        Structured lines.
    """

    __slots__ = ("_connection", "_events", "_follower", "_holder", "_is_read", "_lock", "_workers")

    def __init__(
        self, connection: StoreConnection, holder: ConfigurationHolder, events: EventLog
    ) -> None:
        self._connection = connection
        self._holder = holder
        self._events = events
        self._workers: dict[str, WorkerInfo] = {}
        self._lock = threading.Lock()
        self._is_read = False
        self._follower = TopicFollower(
            "workers",
            KeyedTopic(connection, "keyed.servers"),
            self._take,
            self._take_all,
            events,
            _SERVERS_WAIT_S,
            _IDLE_SERVERS_PAUSE_S,
        )

    @property
    def is_loaded(self) -> bool:
        """Whether the registered workers were read at least once."""
        return self._is_read

    def start(self) -> None:
        """Start to follow the workers."""
        self._follower.start()

    def hurry(self, *, is_owner: bool) -> None:
        """Follow closely while this process owns the jobs, else now and then."""
        self._follower.pause_s = _SERVERS_PAUSE_S if is_owner else _IDLE_SERVERS_PAUSE_S

    def workers(self) -> dict[str, WorkerInfo]:
        """Return the registered workers by id."""
        with self._lock:
            return dict(self._workers)

    def waves(self) -> list[WaveRequest]:
        """Return the waves that operators ask for."""
        return self._holder.waves()

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose workers are to get nothing more."""
        return self._holder.evacuated_zones()

    def report_wave(self, number: int, is_completed: bool) -> None:
        """Write how far a wave is."""
        state = "completed" if is_completed else "running"
        value = msgspec.json.encode({"wave": number, "state": state})
        topic = KeyedTopic(self._connection, "keyed.status")
        topic.append([Record(f"{_WAVE_PREFIX}{number}", value)], _REPORT_TIMEOUT_S)

    def _take_all(self, records: list[Record]) -> None:
        found = {record.key: _worker(record) for record in records if record.value}
        with self._lock:
            self._workers = {id: info for id, info in found.items() if info is not None}
        self._is_read = True

    def _take(self, record: Record) -> None:
        info = _worker(record) if record.value else None
        with self._lock:
            if info is None:
                self._workers.pop(record.key, None)
            else:
                self._workers[record.key] = info


def _worker(record: Record) -> WorkerInfo | None:
    """Return a registered worker, or None if the record names none to use."""
    try:
        wire = _server.decode(record.value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    if wire.state not in (_READY, _DRAINING) or not wire.address or not wire.pool:
        return None
    capacity = Resources(wire.capacity.cpu_millis, wire.capacity.memory_mb, wire.capacity.gpus)
    return WorkerInfo(
        record.key,
        wire.life,
        wire.pool,
        wire.address,
        wire.zone,
        wire.labels,
        capacity,
        wire.state == _DRAINING,
        wire.remaining_ms,
        wire.clock_ms,
    )
