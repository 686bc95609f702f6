"""Settings of the dispatcher: connections, health checks, retries and probes."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings
from almondstack.queueing import QueueingSettings

__all__ = [
    "ConnectionSettings",
    "DispatchSettings",
    "HealthSettings",
    "ProbeSettings",
    "RetrySettings",
]

Fraction = Annotated[float, Meta(ge=0, le=1)]


class ConnectionSettings(Settings, frozen=True):
    """Settings of the connections to upstreams.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    idle_per_upstream : int
        Maximum number of idle connections kept to one upstream.
    idle_s : float
        Idle time after which a connection is closed, in seconds.
    idle_once_s : float
        Idle time in seconds above which a connection is not used for a
        non-idempotent request.
    body_timeout_s : float
        Read timeout between two pieces of a response body, in seconds.
    drain_bytes : int
        Maximum number of bytes read to drain an abandoned response.
    drain_s : float
        Maximum time to drain an abandoned response, in seconds.
    """

    connect_timeout_s: PositiveSeconds = 1.0
    idle_per_upstream: Annotated[int, Meta(ge=0, le=1024)] = 3
    idle_s: PositiveSeconds = 4.0
    idle_once_s: PositiveSeconds = 1.0
    body_timeout_s: PositiveSeconds = 30.0
    drain_bytes: Annotated[int, Meta(ge=0)] = 1 << 20
    drain_s: PositiveSeconds = 0.25


class HealthSettings(Settings, frozen=True):
    """Settings of the outlier ejection of upstreams.

    Parameters
    ----------
    window_s : float
        Time constant of the exponential decay of recorded outcomes, in seconds.
    least_volume : float
        Minimum decayed number of outcomes for a failure ratio to be evaluated.
    failure_ratio : float
        Failure ratio from which an upstream is ejected.
    ratio_above_pool : float
        Minimum excess of its failure ratio over that of the rest of its pool.
    connect_failures : int
        Number of consecutive connection failures that eject an upstream.
    panic_fraction : float
        Minimum fraction of a pool's upstreams that ejection leaves in service.
    ejection_s, longest_ejection_s : float
        First and maximum duration of an ejection, in seconds; the duration doubles
        with each ejection.
    longest_unreachable_s : float
        Maximum duration of an ejection for connection failures, in seconds.
    slow_start_s : float
        Duration of the load ramp of a readmitted upstream, in seconds.
    overload_pause_s : float
        Time without new calls after an upstream reported overload, in seconds.
    """

    window_s: PositiveSeconds = 5.0
    least_volume: Annotated[float, Meta(gt=0)] = 3.0
    failure_ratio: Fraction = 0.5
    ratio_above_pool: Fraction = 0.3
    connect_failures: Annotated[int, Meta(ge=1)] = 2
    panic_fraction: Fraction = 0.5
    ejection_s: PositiveSeconds = 1.0
    longest_ejection_s: PositiveSeconds = 30.0
    longest_unreachable_s: PositiveSeconds = 2.0
    slow_start_s: PositiveSeconds = 5.0
    overload_pause_s: PositiveSeconds = 0.25


class RetrySettings(Settings, frozen=True):
    """Settings of retries.

    Parameters
    ----------
    budget_fraction : float
        Retries allowed per first attempt, in the long run.
    budget_burst : int
        Maximum number of retries in a burst.
    max_tries : int
        Maximum number of attempts of one call.
    backoff_s, longest_backoff_s : float
        Upper bound of the random backoff after the first failure, and the maximum
        that this bound grows to, in seconds.
    failing_racks : int
        Number of racks on which a call must fail, on healthy upstreams, to be treated
        as the cause of the failures itself.
    """

    budget_fraction: Fraction = 0.2
    budget_burst: Annotated[int, Meta(ge=0, le=10_000)] = 20
    max_tries: Annotated[int, Meta(ge=1, le=10)] = 4
    backoff_s: PositiveSeconds = 0.02
    longest_backoff_s: PositiveSeconds = 1.0
    failing_racks: Annotated[int, Meta(ge=2, le=10)] = 2


class ProbeSettings(Settings, frozen=True):
    """Settings of the probes of idle and suspected upstreams.

    Parameters
    ----------
    interval_s : float
        Pause between rounds, in seconds.
    idle_after_s : float
        Time without a response to a call after which an upstream counts as idle, in
        seconds.
    timeout_s : float
        Timeout of one probe, in seconds.
    probers : int
        Number of entries of a zone that probe one upstream.
    path : str
        Path of the GET request.
    """

    interval_s: PositiveSeconds = 1.0
    idle_after_s: PositiveSeconds = 5.0
    timeout_s: PositiveSeconds = 0.5
    probers: Annotated[int, Meta(ge=1, le=8)] = 2
    path: str = "/livez"


class DispatchSettings(Settings, frozen=True):
    """Settings of queueing and dispatch.

    Parameters
    ----------
    zone_cost_ms : float
        Added latency of an upstream in another zone, in milliseconds.
    housekeeping_s : float
        Pause between rounds of housekeeping, in seconds.
    """

    zone_cost_ms: Annotated[float, Meta(ge=0, le=1000)] = 1.5
    housekeeping_s: PositiveSeconds = 0.05
    queueing: QueueingSettings = QueueingSettings()
    connections: ConnectionSettings = ConnectionSettings()
    health: HealthSettings = HealthSettings()
    retries: RetrySettings = RetrySettings()
    probes: ProbeSettings = ProbeSettings()
