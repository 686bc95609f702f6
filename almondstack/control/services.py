"""What an owner is given to work with."""

from collections.abc import Callable

from almondstack.control.ports import (
    AdviceService,
    FleetDirectory,
    InstanceService,
    WorkerCallers,
)
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.intake import OwnerRequests
from almondstack.jobs import JobIndex
from almondstack.ownership import OwnershipSettings, RecordStore
from almondstack.placement import Policies

__all__ = ["OwnerServices"]


class OwnerServices:
    """The services and settings of an owner.

    Parameters
    ----------
    store : RecordStore
        Where records lie.
    address : str
        Where this process listens for as long as it lives.
    cores : float
        Speed of this process's processor, in cores.
    book : JobIndex
        What this process has folded of them.
    callers : WorkerCallers
        Connections to workers.
    instances : InstanceService
        Lists, moves and maintains instances.
    directory : FleetDirectory
        Registered workers and asked-for waves.
    advice : AdviceService or None
        Which workers may run a step, where queues ask for it.
    policies : callable
        Returns the newest :class:`~almondstack.placement.Policies`.
    control, ownership : ControlSettings, OwnershipSettings
        Times and bounds.
    requests : OwnerRequests
        What callers ask of the owner.
    requests_address : str
        Where other processes hand such requests on; empty if nowhere.
    read_offset : callable
        Returns the offset up to which the records are folded into the book.
    events : EventLog
        Structured lines.
    metrics : NullMetrics
        Counters and histograms.
    """

    __slots__ = (
        "address",
        "advice",
        "book",
        "callers",
        "control",
        "cores",
        "directory",
        "events",
        "instances",
        "metrics",
        "ownership",
        "policies",
        "read_offset",
        "requests",
        "requests_address",
        "store",
    )

    def __init__(
        self,
        store: RecordStore,
        address: str,
        book: JobIndex,
        callers: WorkerCallers,
        instances: InstanceService,
        directory: FleetDirectory,
        advice: AdviceService | None,
        policies: Callable[[], Policies],
        control: ControlSettings,
        ownership: OwnershipSettings,
        requests: OwnerRequests,
        read_offset: Callable[[], int],
        events: EventLog,
        metrics: NullMetrics,
        cores: float = 1.0,
        requests_address: str = "",
    ) -> None:
        self.store = store
        self.address = address
        self.book = book
        self.callers = callers
        self.instances = instances
        self.directory = directory
        self.advice = advice
        self.policies = policies
        self.control = control
        self.ownership = ownership
        self.requests = requests
        self.requests_address = requests_address
        self.read_offset = read_offset
        self.events = events
        self.metrics = metrics
        self.cores = cores
