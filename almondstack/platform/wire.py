"""The platform's messages, as msgspec structs with the platform's field names.

Explanation
-----------
Each class is a message or a part of one; ``field(name=...)`` gives the platform's
name where it differs.  Only this package uses these classes; the rest of the product
works with its own types.
"""

from typing import Annotated, Any

from msgspec import Meta, Struct, field

__all__ = [
    "AdviceReplyWire",
    "AppendReplyWire",
    "ConfigurationWire",
    "JobWire",
    "MachinesWire",
    "NewestPageWire",
    "OrderReplyWire",
    "RunListWire",
    "StepWire",
    "WaveWire",
    "WorkerCapacityWire",
    "WorkerRegistrationWire",
]

_Count = Annotated[int, Meta(ge=0, le=1_000_000_000)]
_MAX_TASKS = 10_000
# Unix milliseconds of the end of the year 9999.
_MAX_UNIX_MS = 253_402_300_799_999
# Any other integer: the store takes no larger ones, and many more digits overflow as a float.
_Integer = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]


class StepWire(Struct, frozen=True):
    """A step of a submitted job."""

    count: Annotated[int, Meta(ge=1, le=_MAX_TASKS)]
    # Thousandths of a core; the wire name does not include the unit.
    cpu_millis: _Count = field(name="cpu", default=0)
    memory_mb: _Count = field(name="mem-mb", default=0)
    gpus: _Count = 0
    estimate_ms: _Count = field(name="estimate-ms", default=0)
    after: tuple[_Count, ...] = ()
    has_checkpoints: bool = field(name="checkpoints", default=False)
    is_gang: bool = field(name="gang", default=False)
    needs_one_rack: bool = field(name="same-rack", default=False)
    required_label: str = field(name="requires", default="")
    data_rack: str = field(name="data-rack", default="")
    # Limits the tasks of this step on one worker; other steps do not matter.
    most_per_worker: _Count = field(name="anti-affinity", default=0)
    is_speculative: bool = field(name="speculative", default=False)
    is_long_running: bool = field(name="long-running", default=False)
    image: str = ""
    target_ms: _Count = field(name="target-ms", default=0)
    # The task uses only processor time that other tasks leave idle.
    is_filler: bool = field(name="fills", default=False)
    max_unavailable: _Count | None = field(name="max-unavailable", default=None)


class JobWire(Struct, frozen=True):
    """A submitted job."""

    spec: Annotated[str, Meta(max_length=4_000)]
    steps: Annotated[tuple[StepWire, ...], Meta(min_length=1, max_length=1_000)]
    # How many times the steps run; 0 means once, immediately.
    occurrences: _Count = field(name="times", default=0)
    # Unix milliseconds of the first occurrence.
    first_due_ms: Annotated[int, Meta(ge=0, le=_MAX_UNIX_MS)] = field(name="start-at-ms", default=0)
    interval_ms: _Count = field(name="interval-ms", default=0)


class AdviceWire(Struct, frozen=True):
    """Timing of the advice service and of its tickets."""

    decision_ms: _Integer = field(name="decision-ms", default=0)
    # Processing time for each worker named in a call; not a period, despite the name.
    worker_ms: _Integer = field(name="period-ms", default=0)
    valid_ms: _Integer = field(name="valid-ms", default=0)


class RouteWire(Struct, frozen=True):
    """A route of the configuration; a queue in this code."""

    name: str
    host: str
    path_prefix: str = field(name="path-prefix")
    # The pool whose workers run the queue's tasks.
    pool: str = field(name="service")
    timeout_ms: _Integer = field(name="timeout-ms", default=3_000)
    # A job's objective is its longest chain of work times ``stretch``, plus this.
    objective_ms: _Integer = field(name="target-latency-ms", default=0)
    # 0 is the most urgent.
    urgency: _Integer = field(name="priority", default=0)
    max_attempts: _Integer = field(name="max-attempts", default=1)
    stretch: float = 1.0
    is_public: bool = field(name="public", default=False)
    advice: AdviceWire | None = None


class ServiceWire(Struct, frozen=True):
    """A service of the configuration; a pool in this code."""

    name: str
    # The pool's instances are switched off and cost nothing.
    is_off: bool = field(name="standby", default=False)


class LimitsWire(Struct, frozen=True):
    """Size limits of callers' requests."""

    max_header_bytes: _Integer = field(name="max-header-bytes", default=16_384)
    max_body_bytes: _Integer = field(name="max-body-bytes", default=262_144)


class ResourcesWire(Struct, frozen=True):
    """An amount of resources; 0 means none or, in a limit, unlimited."""

    cpu_millis: _Integer = field(name="cpu", default=0)
    memory_mb: _Integer = field(name="mem-mb", default=0)
    gpus: _Integer = 0


class TenantWire(Struct, frozen=True):
    """A tenant of the configuration; a client account in this code."""

    name: str
    keys: tuple[str, ...] = field(name="api-keys", default=())
    weight: float = 1.0
    # Limit on the resources of its running tasks on all workers together.
    ceiling: ResourcesWire = field(name="maximum", default=ResourcesWire())


class ConfigurationWire(Struct, frozen=True):
    """The whole configuration."""

    version: _Integer
    routes: tuple[RouteWire, ...] = ()
    services: tuple[ServiceWire, ...] = ()
    limits: LimitsWire = LimitsWire()
    tenants: tuple[TenantWire, ...] = ()


class WorkerCapacityWire(Struct, frozen=True):
    """The total resources of a worker; each is always reported."""

    cpu_millis: _Integer = field(name="cpu")
    memory_mb: _Integer = field(name="mem-mb")
    gpus: _Integer


class WorkerRegistrationWire(Struct, frozen=True):
    """A worker's registration; the key of its record is the worker's id.

    Explanation
    -----------
    Other writers put entries beside those of the workers.  A worker always writes the
    fields without a default, so an entry that lacks one is of another writer.
    """

    # The pool that the worker serves.
    pool: str = field(name="service")
    address: str
    zone: str
    version: str
    slots: _Integer
    state: str
    cold_left_ms: float = field(name="cold-left-ms")
    sequence: _Integer
    labels: tuple[str, ...]
    capacity: WorkerCapacityWire
    clock_ms: _Integer = field(name="clock-ms")
    # Guaranteed remaining time of a draining worker.
    remaining_ms: _Integer | None = field(name="remaining-ms", default=None)
    # Start time of this incarnation of the worker, in Unix milliseconds.
    life: _Integer = field(name="born", default=0)


class RunListWire(Struct, frozen=True):
    """A worker's answer to ``/almondstack/hold``: its running and ended runs.

    Explanation
    -----------
    A row of ``running`` is task, run, checkpoint, percent and an approximate load,
    which some workers omit.  A row of ``ended`` is number, task, run, the way it
    ended, checkpoint.
    """

    clock_ms: _Integer = field(name="clock-ms", default=0)
    life: _Integer = field(name="born", default=0)
    running: tuple[list[Any], ...] = ()
    ended: tuple[tuple[_Integer, str, _Integer, str, str], ...] = ()


class OrderReplyWire(Struct, frozen=True):
    """The answer of a worker or of the instance service to an order."""

    reason: str = ""
    clock_ms: _Integer | None = field(name="clock-ms", default=None)


class AppendReplyWire(Struct, frozen=True):
    """The store's answer to an append."""

    offset: _Integer | None = None
    # End offset of the partition; also set if the append was rejected.
    end_offset: _Integer | None = field(name="end-offset", default=None)
    reason: str = ""


class NewestRecordWire(Struct, frozen=True):
    """The newest record of a key; the value is base64-encoded."""

    key: str
    value: str
    offset: _Integer = 0


class NewestPageWire(Struct, frozen=True):
    """A page of the newest records of all keys."""

    items: tuple[NewestRecordWire, ...] = ()
    has_more: bool = field(name="has-more", default=False)
    end_offset: _Integer = field(name="end-offset", default=0)


class MachineWire(Struct, frozen=True):
    """A machine of the fleet; an instance in this code."""

    name: str = field(name="machine")
    pool: str = ""
    state: str = ""
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: ResourcesWire = ResourcesWire()
    # Id of the worker on the machine, if there is one.
    worker: str | None = field(name="id", default=None)


class MachinesWire(Struct, frozen=True):
    """A page of the machine list."""

    machines: tuple[MachineWire, ...] = ()
    next_token: str | int | None = field(name="next-token", default=None)


class WaveWire(Struct, frozen=True):
    """A maintenance wave that an operator requested."""

    number: _Integer = field(name="wave")
    instances: tuple[str, ...] = field(name="machines")
    duration_s: float = field(name="duration-s", default=0.0)
    # How many instances may be in maintenance at the same time.
    most_at_once: _Integer = field(name="maximum", default=1)


class AdviceReplyWire(Struct, frozen=True):
    """The advice service's answer: pairs of worker id and ticket."""

    allowed: tuple[tuple[str, str], ...] = ()
