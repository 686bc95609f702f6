"""The platform's messages, as they stand on the wire.

Explanation
-----------
Each class is one message or part of one, with the platform's name beside each
field of ours.  Only this folder uses them; what leaves it is made of the
product's own types.
"""

from typing import Annotated, Any

from msgspec import Meta, Struct, field

__all__ = [
    "AdviceReplyWire",
    "AppendReplyWire",
    "ConfigurationWire",
    "ConflictWire",
    "JobWire",
    "LookReplyWire",
    "MachinesWire",
    "NewestWire",
    "ServerWire",
    "StepWire",
    "WaveWire",
]

_Count = Annotated[int, Meta(ge=0, le=1_000_000_000)]
_MOST_TASKS = 10_000


class StepWire(Struct, frozen=True):
    """A step of a job."""

    count: Annotated[int, Meta(ge=1, le=_MOST_TASKS)]
    # Thousandths of a core, although the name says no unit.
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
    # A bound on tasks of the step on one worker, not a rule between steps.
    most_per_worker: _Count = field(name="anti-affinity", default=0)
    is_speculative: bool = field(name="speculative", default=False)
    is_long_running: bool = field(name="long-running", default=False)
    image: str = ""
    target_ms: _Count = field(name="target-ms", default=0)
    # The task takes only what others leave of the processor.
    is_filler: bool = field(name="fills", default=False)
    max_unavailable: _Count | None = field(name="max-unavailable", default=None)


class JobWire(Struct, frozen=True):
    """A submission."""

    spec: Annotated[str, Meta(max_length=4_000)]
    steps: Annotated[tuple[StepWire, ...], Meta(min_length=1, max_length=1_000)]
    # How many times the steps run; 0 is once, at once.
    occurrences: _Count = field(name="times", default=0)
    # Unix milliseconds of the first occurrence.
    first_due_ms: Annotated[int, Meta(ge=0)] = field(name="start-at-ms", default=0)
    interval_ms: _Count = field(name="interval-ms", default=0)


class AdviceWire(Struct, frozen=True):
    """How long the advice service takes."""

    decision_ms: int = field(name="decision-ms", default=0)
    # Time for each worker that a call names; nothing periodic.
    worker_ms: int = field(name="period-ms", default=0)
    valid_ms: int = field(name="valid-ms", default=0)


class RouteWire(Struct, frozen=True):
    """A route of the configuration: a queue."""

    name: str
    host: str
    path_prefix: str = field(name="path-prefix")
    # The pool whose workers run the queue's tasks.
    pool: str = field(name="service")
    timeout_ms: int = field(name="timeout-ms", default=3_000)
    # Added to the stretched chain of work in a job's objective.
    objective_ms: int = field(name="target-latency-ms", default=0)
    # 0 is the most urgent.
    urgency: int = field(name="priority", default=0)
    max_attempts: int = field(name="max-attempts", default=1)
    stretch: float = 1.0
    is_public: bool = field(name="public", default=False)
    advice: AdviceWire | None = None


class ServiceWire(Struct, frozen=True):
    """A service of the configuration: a pool."""

    name: str
    # Its instances are off and not paid for.
    is_off: bool = field(name="standby", default=False)


class LimitsWire(Struct, frozen=True):
    """Bounds on requests."""

    max_header_bytes: int = field(name="max-header-bytes", default=16_384)
    max_body_bytes: int = field(name="max-body-bytes", default=262_144)


class AmountWire(Struct, frozen=True):
    """An amount of resources; 0 is none, or no limit."""

    cpu_millis: int = field(name="cpu", default=0)
    memory_mb: int = field(name="mem-mb", default=0)
    gpus: int = 0


class TenantWire(Struct, frozen=True):
    """A tenant of the configuration: a client account."""

    name: str
    keys: tuple[str, ...] = field(name="api-keys", default=())
    weight: float = 1.0
    # What it may have running over all workers.
    ceiling: AmountWire = field(name="maximum", default=AmountWire())


class ConfigurationWire(Struct, frozen=True):
    """The whole configuration."""

    version: int
    routes: tuple[RouteWire, ...] = ()
    services: tuple[ServiceWire, ...] = ()
    limits: LimitsWire = LimitsWire()
    tenants: tuple[TenantWire, ...] = ()


class ServerWire(Struct, frozen=True):
    """A worker's registration.  ``id`` is the record's key."""

    # The pool that the worker serves.
    pool: str = field(name="service")
    address: str
    state: str
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: AmountWire = AmountWire()
    clock_ms: int = field(name="clock-ms", default=0)
    # The least time left, while it drains.
    remaining_ms: int | None = field(name="remaining-ms", default=None)
    # Unix milliseconds of the start of this life.
    life: int = field(name="born", default=0)


class LookReplyWire(Struct, frozen=True):
    """A worker's answer to a look.

    Explanation
    -----------
    A row of ``running`` is task, run, checkpoint, percent, and a rough load
    that not every worker gives; a row of ``ended`` is number, task, run, how
    it ended, checkpoint.
    """

    clock_ms: int = field(name="clock-ms", default=0)
    life: int = field(name="born", default=0)
    running: tuple[list[Any], ...] = ()
    ended: tuple[tuple[int, str, int, str, str], ...] = ()


class ConflictWire(Struct, frozen=True):
    """A worker's or the instance service's short answer."""

    reason: str = ""
    clock_ms: int | None = field(name="clock-ms", default=None)


class AppendReplyWire(Struct, frozen=True):
    """The store's answer to an append."""

    offset: int | None = None
    # Where the partition ends now, also in a refusal.
    end_offset: int | None = field(name="end-offset", default=None)
    reason: str = ""


class NewestItemWire(Struct, frozen=True):
    """The newest record of a key; the value is in base64."""

    key: str
    value: str
    offset: int = 0


class NewestWire(Struct, frozen=True):
    """A page of the newest records."""

    items: tuple[NewestItemWire, ...] = ()
    has_more: bool = field(name="has-more", default=False)
    end_offset: int = field(name="end-offset", default=0)


class MachineWire(Struct, frozen=True):
    """A machine of the fleet: an instance."""

    name: str = field(name="machine")
    pool: str = ""
    state: str = ""
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: AmountWire = AmountWire()
    # The worker that lives on the machine, if one does.
    worker: str | None = field(name="id", default=None)


class MachinesWire(Struct, frozen=True):
    """A page of machines."""

    machines: tuple[MachineWire, ...] = ()
    next_token: str | int | None = field(name="next-token", default=None)


class WaveWire(Struct, frozen=True):
    """A wave of upkeep that the operator asks for."""

    number: int = field(name="wave")
    instances: tuple[str, ...] = field(name="machines")
    duration_s: float = field(name="duration-s", default=0.0)
    # How many may be down for it at one time.
    most_at_once: int = field(name="maximum", default=1)


class AdviceReplyWire(Struct, frozen=True):
    """Rows of worker and ticket."""

    allowed: tuple[tuple[str, str], ...] = ()
