"""The operator's configuration, decoded into routes, client accounts and placement policies."""

import threading

import msgspec

from almondstack.control.messages import WaveRequest
from almondstack.core import AlmondError, CodecError, decode_with
from almondstack.placement import (
    AccountPolicy,
    AdvicePolicy,
    Policies,
    QueuePolicy,
    Resources,
)
from almondstack.platform.wire import AdviceWire, ConfigurationWire, RouteWire, TenantWire, WaveWire

__all__ = [
    "Configuration",
    "ConfigurationError",
    "ConfigurationHolder",
    "QueueRoute",
    "advice_policy",
    "decode_configuration",
]

_configuration_decoder = msgspec.json.Decoder(ConfigurationWire)
_wave_decoder = msgspec.json.Decoder(WaveWire)


class ConfigurationError(AlmondError):
    """A record that an operator wrote to the store cannot be decoded."""

    code = "configuration"


def decode_configuration(value: bytes) -> ConfigurationWire:
    """Return a decoded configuration record.

    Raises
    ------
    ConfigurationError
        The record cannot be decoded.
    """
    try:
        return decode_with(_configuration_decoder, value)
    except CodecError as error:
        raise ConfigurationError(error.detail) from error


class QueueRoute:
    """Host and path prefix of a queue, with its policy and its request timeout."""

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
        The decoded configuration record.
    """

    __slots__ = ("_accounts_by_key", "_routes", "limits", "policies")

    def __init__(self, wire: ConfigurationWire) -> None:
        self._routes: dict[str, list[QueueRoute]] = {}
        for route_wire in wire.routes:
            route = QueueRoute(route_wire)
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._accounts_by_key = {key: tenant.name for tenant in wire.tenants for key in tenant.keys}
        self.limits = wire.limits
        self.policies = Policies(
            wire.version,
            {route.name: _queue_policy(route) for route in wire.routes},
            {tenant.name: _account_policy(tenant) for tenant in wire.tenants},
            {service.name: service.is_off for service in wire.services},
        )

    def route(self, host: str, path: str) -> QueueRoute | None:
        """Return the route of the host with the longest matching path prefix, or None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> str | None:
        """Return the client account that an API key belongs to, or None if the key is unknown."""
        return self._accounts_by_key.get(key)


class ConfigurationHolder:
    """Holds the newest configuration, and the waves and evacuations that operators requested.

    The version of the configuration never decreases.
    """

    __slots__ = ("_configuration", "_evacuated_zones", "_lock", "_waves")

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._waves: dict[int, WaveRequest] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, or None if none has been read yet."""
        return self._configuration

    def policies(self) -> Policies:
        """Return the policies of the newest configuration; empty ones before the first."""
        configuration = self._configuration
        return configuration.policies if configuration is not None else Policies()

    def waves(self) -> list[WaveRequest]:
        """Return the maintenance waves that operators requested."""
        with self._lock:
            return list(self._waves.values())

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose workers must not be assigned new work."""
        return self._evacuated_zones

    def set_evacuation(self, zone: str, *, is_requested: bool) -> bool:
        """Set or cancel the evacuation of a zone; return whether this changed anything."""
        with self._lock:
            before = self._evacuated_zones
            self._evacuated_zones = before | {zone} if is_requested else before - {zone}
            return self._evacuated_zones != before

    def retain_evacuations(self, zones: frozenset[str]) -> None:
        """Cancel the evacuation of all zones except the given ones."""
        with self._lock:
            self._evacuated_zones &= zones

    def put_configuration(self, value: bytes) -> int | None:
        """Apply a configuration; return its version, or None if one as new or newer is in force.

        Raises
        ------
        ConfigurationError
            The record cannot be decoded.
        """
        wire = decode_configuration(value)
        with self._lock:
            current = self._configuration
            if current is not None and wire.version <= current.policies.version:
                return None
            self._configuration = Configuration(wire)
        return wire.version

    def put_wave(self, value: bytes) -> int:
        """Add or replace a maintenance wave; return its number.

        Raises
        ------
        ConfigurationError
            The record cannot be decoded.
        """
        try:
            wire = decode_with(_wave_decoder, value)
        except CodecError as error:
            raise ConfigurationError(str(error)) from error
        wave = WaveRequest(wire.number, wire.instances, wire.duration_s, wire.most_at_once)
        with self._lock:
            self._waves[wire.number] = wave
        return wire.number


def advice_policy(wire: AdviceWire) -> AdvicePolicy:
    """Return the timing of the advice service for a queue."""
    return AdvicePolicy(wire.decision_ms, wire.worker_ms, wire.valid_ms)


def _queue_policy(wire: RouteWire) -> QueuePolicy:
    advice = advice_policy(wire.advice) if wire.advice is not None else None
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
