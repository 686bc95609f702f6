"""Follows the records of operators and workers in the platform's store."""

import threading
import time

import msgspec

from almondstack.control.messages import WaveRequest
from almondstack.core import AlmondError, CodecError, SettingsError, decode_with, parse_address
from almondstack.core.events import EventLog
from almondstack.ownership import Record
from almondstack.placement import Resources, WorkerInfo
from almondstack.platform.configuration import ConfigurationError, ConfigurationHolder
from almondstack.platform.entry_order import EntryOrder
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.topic_follower import TopicFollower
from almondstack.platform.wire import WorkerRegistrationWire

__all__ = ["ConfigurationFollower", "StoreDirectory"]

_OPERATOR_TOPIC = "keyed.op"
_CONFIG_KEY = "config"
_WAVE_PREFIX = "wave/"
_EVACUATION_PREFIX = "evacuate/"
_READY = "ready"
_DRAINING = "draining"
_WAVE_REPORT_TIMEOUT_S = 0.8

_CONFIG_WAIT_S = 1.0
"""How long the store may hold a read of the configuration, in seconds.  A connection that has
stopped answering must be detected within the roll-out time."""

_CONFIG_MAX_READ_KB = 260
"""Fits the largest record.  If several large configurations are pending, only one is transferred
over a slow link before the newest is read."""

_CONFIG_PAUSE_S = 0.02
_WORKERS_WAIT_S = 1.0
_OWNER_WORKERS_PAUSE_S = 0.08
"""Pause of the owner between two reads of the workers, in seconds.  Each read is billed, so the
pause lets the reports of many workers accumulate."""

_FOLLOWER_WORKERS_PAUSE_S = 2.0
"""Pause of every other process between two reads of the workers, in seconds."""

_MAX_UNUSABLE_NOTED = 1_000
"""Entries of other writers that are remembered, so that each is logged once."""

_MAX_LIVES_NOTED = 20_000
"""Workers whose first life is remembered; the earliest ones are forgotten first."""

_FORMER_CALLS_S = 17.0
"""Time in which a call for a former life may be carried out after the last entry of that life, in
seconds: 13 s from its sending, and the time until the owner notices that the life is over."""

_MAX_REASON_CHARACTERS = 200
"""Length of a reason in an event; it may quote the entry."""

_registration_decoder = msgspec.json.Decoder(WorkerRegistrationWire)


class RegistrationError(AlmondError):
    """An entry among the workers names no worker that can be used."""

    code = "registration"


class ConfigurationFollower:
    """Follows the operators' records and updates a :class:`ConfigurationHolder`.

    Parameters
    ----------
    connection : StoreConnection
        Connections to the store.
    holder : ConfigurationHolder
        Updated with the records read.
    events : EventLog
        Receives an event for each configuration version, wave and evacuation.
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
            KeyedTopic(connection, _OPERATOR_TOPIC, _CONFIG_MAX_READ_KB),
            self._apply,
            self._apply_snapshot,
            events,
            _CONFIG_WAIT_S,
            _CONFIG_PAUSE_S,
            ignores_throttling=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._follower.start()

    def stop(self) -> None:
        """Stop after the current call."""
        self._follower.stop()

    def reread(self) -> None:
        """Read the newest records in the calling thread, over a new connection.

        Raises
        ------
        StoreError
            The read failed.
        """
        connection = StoreConnection(self._connection.address)
        try:
            records = KeyedTopic(connection, _OPERATOR_TOPIC).snapshot().records
        finally:
            connection.close()
        # Evacuations can be cancelled.  Only the follower sees their records in the order of the
        # log, so they are skipped here.
        self._follower.apply_each(
            record for record in records if not record.key.startswith(_EVACUATION_PREFIX)
        )

    def _apply_snapshot(self, records: list[Record]) -> None:
        requested_keys = [record.key for record in records if record.value]
        zones = frozenset(filter(None, map(_evacuated_zone, requested_keys)))
        self._holder.retain_evacuations(zones)
        self._follower.apply_each(records)

    def _apply(self, record: Record) -> None:
        zone = _evacuated_zone(record.key)
        if zone:
            self._apply_evacuation(zone, is_requested=bool(record.value))
            return
        if not record.value:
            return
        try:
            if record.key == _CONFIG_KEY:
                self._apply_configuration(record.value)
            elif record.key.startswith(_WAVE_PREFIX):
                number = self._holder.put_wave(record.value)
                self._events.write("wave-asked", wave=number)
        except ConfigurationError as error:
            self._events.write("configuration-unreadable", key=record.key, error=str(error))

    def _apply_configuration(self, value: bytes) -> None:
        version = self._holder.put_configuration(value)
        if version is not None:
            self._events.write("configuration-in-force", version=version)

    def _apply_evacuation(self, zone: str, *, is_requested: bool) -> None:
        if self._holder.set_evacuation(zone, is_requested=is_requested):
            self._events.write("evacuation-asked" if is_requested else "evacuation-over", zone=zone)


def _evacuated_zone(key: str) -> str:
    """Return the availability zone of an evacuation record's key, or "" for other keys."""
    return key.removeprefix(_EVACUATION_PREFIX) if key.startswith(_EVACUATION_PREFIX) else ""


class StoreDirectory:
    """Registered workers, requested waves and wave reports; implements ``FleetDirectory``.

    Explanation
    -----------
    Only the owner uses the workers, but all processes follow their registrations, so
    that a new owner has them even while the store is unavailable.  A registration that
    cannot be decoded is ignored, and so is one that is read after a later one.

    Parameters
    ----------
    connection : StoreConnection
        Connections to the store.
    holder : ConfigurationHolder
        Source of the requested waves and evacuations.
    events : EventLog
        Receives an event when reads start to fail and when they succeed again.
    """

    __slots__ = (
        "_connection",
        "_events",
        "_follower",
        "_holder",
        "_first_lives",
        "_followed_since_s",
        "_is_read",
        "_lock",
        "_order",
        "_unusable",
        "_workers",
    )

    def __init__(
        self, connection: StoreConnection, holder: ConfigurationHolder, events: EventLog
    ) -> None:
        self._connection = connection
        self._holder = holder
        self._events = events
        self._workers: dict[str, WorkerInfo] = {}
        self._first_lives: dict[str, int | None] = {}
        self._unusable: set[str] = set()
        self._lock = threading.Lock()
        self._is_read = False
        self._followed_since_s: float | None = None
        self._order = EntryOrder()
        self._follower = TopicFollower(
            "workers",
            KeyedTopic(connection, "keyed.servers"),
            self._apply,
            self._apply_snapshot,
            events,
            _WORKERS_WAIT_S,
            _FOLLOWER_WORKERS_PAUSE_S,
        )

    @property
    def is_loaded(self) -> bool:
        """Whether the registered workers have been read at least once."""
        return self._is_read

    def start(self) -> None:
        """Start the thread that follows the workers."""
        self._follower.start()

    def adjust_pause(self, *, is_owner: bool) -> None:
        """Read the workers often while this process owns the jobs, and rarely otherwise.

        Explanation
        -----------
        A new owner reads at once: instances that were moved shortly before have workers that
        this process does not know yet.  It does not space its reads out while the store
        refuses some for its rate limit, since it has to stop using workers that drain.
        """
        pause_s = _OWNER_WORKERS_PAUSE_S if is_owner else _FOLLOWER_WORKERS_PAUSE_S
        self._follower.change_pause(pause_s, ignores_throttling=is_owner)

    def workers(self) -> dict[str, WorkerInfo]:
        """Return the registered workers by id."""
        with self._lock:
            return dict(self._workers)

    def may_have_restarted(self, worker: str, life: int) -> bool:
        """Whether the worker may have had a life before this one, in Unix milliseconds.

        Explanation
        -----------
        False only if this process has followed the entries without a gap since long before the
        worker's first one, and that was of this life.  A worker may lose its entry while it is
        cut off from the store, and start again then, so one without an entry may have had a life.
        """
        with self._lock:
            return self._first_lives.get(worker) != life

    def waves(self) -> list[WaveRequest]:
        """Return the maintenance waves that operators requested."""
        return self._holder.waves()

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose workers must not be assigned new work."""
        return self._holder.evacuated_zones()

    def report_wave(self, number: int, is_completed: bool) -> None:
        """Write to the store whether a wave is running or completed.

        Explanation
        -----------
        The report is stored only if no other one has been since the end of the log was read: one
        without an answer may be carried out late, and would replace what was reported since.

        Raises
        ------
        StoreError
            The report may not have been stored; call again.
        """
        state = "completed" if is_completed else "running"
        value = msgspec.json.encode({"wave": number, "state": state})
        topic = KeyedTopic(self._connection, "keyed.status")
        end_offset = topic.snapshot().next_offset
        report = Record(f"{_WAVE_PREFIX}{number}", value)
        topic.append_at(report, end_offset, _WAVE_REPORT_TIMEOUT_S)

    def _apply_snapshot(self, records: list[Record]) -> None:
        present = {record.key for record in records if record.value}
        with self._lock:
            self._followed_since_s = time.monotonic()
            self._workers = {id: info for id, info in self._workers.items() if id in present}
            self._unusable &= present
            for id in present:
                self._note_life(id, None)
        self._follower.apply_each(records)
        self._is_read = True

    def _note_unusable(self, record: Record, error: RegistrationError) -> None:
        """Write an event when an entry begins to name no worker that can be used."""
        if record.key in self._unusable or len(self._unusable) >= _MAX_UNUSABLE_NOTED:
            return
        self._unusable.add(record.key)
        self._events.write(
            "registration-unusable", worker=record.key, why=error.detail, bytes=len(record.value)
        )

    def _apply(self, record: Record) -> None:
        wire = self._decode(record) if record.value else None
        if wire is not None or not record.value:
            self._unusable.discard(record.key)
        with self._lock:
            if wire is None:
                self._workers.pop(record.key, None)
            elif self._order.is_next(record.key, wire.life, wire.sequence, time.monotonic()):
                self._workers[record.key] = _worker_of(record.key, wire)
                self._note_life(record.key, wire.life if self._is_long_followed() else None)

    def _is_long_followed(self) -> bool:
        """Whether an entry that this process has not seen is of a life that no call can reach."""
        since_s = self._followed_since_s
        return since_s is not None and time.monotonic() - since_s >= _FORMER_CALLS_S

    def _note_life(self, id: str, life: int | None) -> None:
        """Remember the first life of a worker of which this process learns; None if unknown."""
        if id in self._first_lives:
            return
        if len(self._first_lives) >= _MAX_LIVES_NOTED:
            # An id that is forgotten counts as one that may have restarted, also once its next
            # entry is read.
            del self._first_lives[next(iter(self._first_lives))]
            self._followed_since_s = time.monotonic()
        self._first_lives[id] = life

    def _decode(self, record: Record) -> WorkerRegistrationWire | None:
        """Return the entry of a worker, or None, with an event, if it names none to use."""
        try:
            return _decode_registration(record.value)
        except RegistrationError as error:
            self._note_unusable(record, error)
            return None


def _decode_registration(value: bytes) -> WorkerRegistrationWire:
    """Return the registration of a worker.

    Raises
    ------
    RegistrationError
        The entry names no worker that can be used.
    """
    try:
        wire = decode_with(_registration_decoder, value)
        parse_address(wire.address)
    except (CodecError, SettingsError) as error:
        raise RegistrationError(error.detail[:_MAX_REASON_CHARACTERS]) from error
    if wire.state not in (_READY, _DRAINING) or not wire.pool:
        raise RegistrationError("its state is unknown or it names no pool")
    return wire


def _worker_of(id: str, wire: WorkerRegistrationWire) -> WorkerInfo:
    """Return the worker of a registration."""
    capacity = Resources(wire.capacity.cpu_millis, wire.capacity.memory_mb, wire.capacity.gpus)
    return WorkerInfo(
        id,
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
