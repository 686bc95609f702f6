"""Dependencies of an owner: services, settings, events and metrics."""

from collections.abc import Callable

from almondstack.control.ports import (
    AdviceService,
    FleetDirectory,
    InstanceService,
    WorkerCallers,
)
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
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
        The log of records.
    address : str
        Address at which this process listens while it runs.
    cores : float
        Processor speed available to this process, in cores.
    index : JobIndex
        State of jobs, built from the records that this process has read.
    callers : WorkerCallers
        Clients of workers.
    instances : InstanceService
        Lists, moves and maintains instances.
    directory : FleetDirectory
        Registered workers and requested waves.
    advice : AdviceService or None
        Decides which workers may run a step, for queues that require it.
    policies : callable
        Returns the newest :class:`~almondstack.placement.Policies`.
    control, ownership : ControlSettings, OwnershipSettings
        Intervals, timeouts and limits.
    requests : OwnerRequests
        Requests of callers to the owner.
    requests_address : str
        Address to which other processes forward such requests; empty if there is none.
    read_offset : callable
        Returns the offset up to which records are applied to the job index.
    events : EventLog
        Structured log.
    metrics : LocalMetrics
        Counters and histograms.
    """

    __slots__ = (
        "address",
        "advice",
        "callers",
        "control",
        "cores",
        "directory",
        "events",
        "index",
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
        index: JobIndex,
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
        metrics: LocalMetrics,
        cores: float = 1.0,
        requests_address: str = "",
    ) -> None:
        self.store = store
        self.address = address
        self.index = index
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
