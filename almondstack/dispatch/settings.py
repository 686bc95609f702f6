"""Settings of the way from admission to an upstream's answer."""

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
    """Connections to upstreams.

    Parameters
    ----------
    connect_timeout_s : float
        Bound on opening a connection.
    idle_per_upstream : int
        Most idle connections kept to one upstream.
    idle_s : float
        An idle connection older than this is closed.
    idle_once_s : float
        A connection idle for longer never carries a non-idempotent request.
    body_timeout_s : float
        Bound on a pause within an answer's body.
    drain_bytes : int
        An answer that is given up is read on for so many bytes at most.
    drain_s : float
        An answer that is given up is read on for so long at most.
    """

    connect_timeout_s: PositiveSeconds = 1.0
    idle_per_upstream: Annotated[int, Meta(ge=0, le=1024)] = 3
    idle_s: PositiveSeconds = 4.0
    idle_once_s: PositiveSeconds = 1.0
    body_timeout_s: PositiveSeconds = 30.0
    drain_bytes: Annotated[int, Meta(ge=0)] = 1 << 20
    drain_s: PositiveSeconds = 0.25


class HealthSettings(Settings, frozen=True):
    """Outlier ejection of upstreams.

    Parameters
    ----------
    window_s : float
        Outcomes lose weight by e in this time.
    least_volume : float
        Weighted outcomes below which a failure ratio says nothing.
    failure_ratio : float
        Ratio from which an upstream is ejected.
    ratio_above_pool : float
        How far its ratio must lie above that of the rest of its pool.
    connect_failures : int
        Failed connections in a row that eject an upstream.
    panic_fraction : float
        Least part of a pool's upstreams that ejection leaves.
    ejection_s, longest_ejection_s : float
        First and longest ejection; it doubles in between.
    longest_unreachable_s : float
        Longest ejection for connections that cannot be made.
    slow_start_s : float
        How long a returned upstream takes up load.
    overload_pause_s : float
        How long an upstream that reported overload gets nothing new.
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
    """When and how often a request is sent again.

    Parameters
    ----------
    budget_fraction : float
        Retries allowed per first try, in the long run.
    budget_burst : int
        Retries allowed at once.
    max_tries : int
        Most tries of one call.
    backoff_s, longest_backoff_s : float
        Ceiling of the first and of the longest random pause.
    failing_racks : int
        A call that failed on healthy upstreams of so many racks is the fault.
    """

    budget_fraction: Fraction = 0.2
    budget_burst: Annotated[int, Meta(ge=0, le=10_000)] = 20
    max_tries: Annotated[int, Meta(ge=1, le=10)] = 4
    backoff_s: PositiveSeconds = 0.02
    longest_backoff_s: PositiveSeconds = 1.0
    failing_racks: Annotated[int, Meta(ge=2, le=10)] = 2


class ProbeSettings(Settings, frozen=True):
    """Probes of idle and suspected upstreams.

    Parameters
    ----------
    interval_s : float
        Pause between rounds.
    idle_after_s : float
        An upstream without real answers for so long is idle.
    timeout_s : float
        Bound on one probe.
    probers : int
        How many entries of a zone probe one upstream.
    path : str
        What is asked for by GET.
    """

    interval_s: PositiveSeconds = 1.0
    idle_after_s: PositiveSeconds = 5.0
    timeout_s: PositiveSeconds = 0.5
    probers: Annotated[int, Meta(ge=1, le=8)] = 2
    path: str = "/livez"


class DispatchSettings(Settings, frozen=True):
    """All settings of queueing and dispatch.

    Parameters
    ----------
    zone_cost_ms : float
        Added latency of an upstream in another zone, in milliseconds.
    housekeeping_s : float
        Pause between rounds of housekeeping.
    """

    zone_cost_ms: Annotated[float, Meta(ge=0, le=1000)] = 1.5
    housekeeping_s: PositiveSeconds = 0.05
    queueing: QueueingSettings = QueueingSettings()
    connections: ConnectionSettings = ConnectionSettings()
    health: HealthSettings = HealthSettings()
    retries: RetrySettings = RetrySettings()
    probes: ProbeSettings = ProbeSettings()
