"""The operator's configuration, decoded into what the product goes by."""

import threading

import msgspec

from almondstack.control.messages import WaveRequest
from almondstack.core import AlmondError
from almondstack.placement import (
    AccountPolicy,
    AdvicePolicy,
    Policies,
    QueuePolicy,
    Resources,
)
from almondstack.platform.wire import ConfigurationWire, RouteWire, TenantWire, WaveWire

__all__ = ["Configuration", "ConfigurationError", "ConfigurationHolder", "QueueRoute"]

_configuration = msgspec.json.Decoder(ConfigurationWire)
_wave = msgspec.json.Decoder(WaveWire)


class ConfigurationError(AlmondError):
    """A record of the operator does not decode."""

    code = "configuration"


class QueueRoute:
    """How callers reach a queue."""

    __slots__ = ("host", "is_public", "policy", "prefix", "timeout_s")

    def __init__(self, wire: RouteWire) -> None:
        self.host = wire.host
        self.prefix = wire.path_prefix
        self.is_public = wire.is_public
        self.timeout_s = wire.timeout_ms / 1000.0
        self.policy = _queue_policy(wire)


class Configuration:
    """One version of the configuration.

    Parameters
    ----------
    wire : ConfigurationWire
        As the operator wrote it.
    """

    __slots__ = ("_accounts_by_key", "_routes", "max_body_bytes", "policies")

    def __init__(self, wire: ConfigurationWire) -> None:
        self._routes: dict[str, list[QueueRoute]] = {}
        for route_wire in wire.routes:
            route = QueueRoute(route_wire)
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._accounts_by_key = {key: tenant.name for tenant in wire.tenants for key in tenant.keys}
        self.max_body_bytes = wire.limits.max_body_bytes
        self.policies = Policies(
            wire.version,
            {route.name: _queue_policy(route) for route in wire.routes},
            {tenant.name: _account_policy(tenant) for tenant in wire.tenants},
            {service.name: service.is_off for service in wire.services},
        )

    def route(self, host: str, path: str) -> QueueRoute | None:
        """Return the route with the longest prefix of a path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> str | None:
        """Return the client account that a key belongs to."""
        return self._accounts_by_key.get(key)


class ConfigurationHolder:
    """Holds the newest configuration, which never goes back, and what else operators ask for."""

    __slots__ = ("_configuration", "_evacuated", "_lock", "_waves")

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._waves: dict[int, WaveRequest] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, or None before the first."""
        return self._configuration

    def policies(self) -> Policies:
        """Return what placement goes by."""
        configuration = self._configuration
        return configuration.policies if configuration is not None else Policies()

    def waves(self) -> list[WaveRequest]:
        """Return the waves that operators ask for."""
        with self._lock:
            return list(self._waves.values())

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose workers are to get nothing more."""
        return self._evacuated

    def evacuate(self, zone: str, *, is_asked: bool) -> bool:
        """Note that a zone is to be evacuated, or is taken back; return whether that is news."""
        with self._lock:
            before = self._evacuated
            self._evacuated = before | {zone} if is_asked else before - {zone}
            return self._evacuated != before

    def keep_evacuated(self, zones: frozenset[str]) -> None:
        """Take back all zones but these."""
        with self._lock:
            self._evacuated &= zones

    def put_configuration(self, value: bytes) -> int | None:
        """Take a configuration; return its version, or None if a newer one is in force.

        Raises
        ------
        ConfigurationError
            It does not decode.
        """
        try:
            wire = _configuration.decode(value)
        except msgspec.MsgspecError as error:
            raise ConfigurationError(str(error)) from error
        with self._lock:
            present = self._configuration
            if present is not None and wire.version <= present.policies.version:
                return None
            self._configuration = Configuration(wire)
        return wire.version

    def put_wave(self, value: bytes) -> int:
        """Take a wave; return its number.

        Raises
        ------
        ConfigurationError
            It does not decode.
        """
        try:
            wire = _wave.decode(value)
        except msgspec.MsgspecError as error:
            raise ConfigurationError(str(error)) from error
        wave = WaveRequest(wire.number, wire.instances, wire.duration_s, wire.most_at_once)
        with self._lock:
            self._waves[wire.number] = wave
        return wire.number


def _queue_policy(wire: RouteWire) -> QueuePolicy:
    advice = None
    if wire.advice is not None:
        advice = AdvicePolicy(wire.advice.decision_ms, wire.advice.worker_ms, wire.advice.valid_ms)
    return QueuePolicy(
        wire.name,
        wire.pool,
        wire.urgency,
        wire.max_attempts,
        wire.stretch,
        wire.objective_ms,
        advice,
    )


def _account_policy(wire: TenantWire) -> AccountPolicy:
    ceiling = wire.ceiling
    return AccountPolicy(
        wire.name, wire.weight, Resources(ceiling.cpu_millis, ceiling.memory_mb, ceiling.gpus)
    )
