"""Reads and validates the platform's settings file."""

import resource
from pathlib import Path
from typing import Annotated

import msgspec
import yaml

from almondstack.control import ControlSettings
from almondstack.core import DECODING_ERRORS, SettingsError, parse_address
from almondstack.core.client_guard import HttpLimits

__all__ = ["PlatformSettings", "SettingsFile", "control_settings", "load_platform_settings"]


class _Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on."""

    # Callers connect to this address.
    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    """The platform's time limits that the product depends on; others are ignored."""

    # Time between SIGTERM and SIGKILL.
    grace_s: float = msgspec.field(name="grace-s", default=6.0)
    # Longest lease of a run on a worker.
    lease_ms: float = msgspec.field(name="max-hold-ms", default=6_000)
    stop_ms: float = msgspec.field(name="stop-ms", default=400)
    # Within this time two owners must not alternate in sending orders to one instance; not one
    # of our leases, despite the name.
    turn_ms: float = msgspec.field(name="lease-ms", default=3_000)
    # A long-running task that has run for this long no longer counts as unavailable.
    away_ms: float = msgspec.field(name="notice-ms", default=4_500)
    # Duration of a move of an instance between pools.
    move_s: float = msgspec.field(name="migrate-s", default=1.5)
    # How long the state of an ended job must remain available to callers.
    status_s: float = msgspec.field(name="status_s", default=120.0)


_KB_PER_MBIT = 1000.0 / 8.0

_MAX_READ_S = 0.15
"""Longest time for which an answer of the store may occupy a machine's link, in seconds.  A read
that times out is repeated, and its answer then occupies the link a second time."""

_MIN_READ_KB, _MAX_READ_KB = 32, 1_024
"""Range of the size limit of a read; the store itself returns at most the upper value."""


class _Limits(msgspec.Struct, frozen=True):
    """Processor time and link speed that the platform gives a process."""

    # Fraction of a core that the process gets.
    share: float = msgspec.field(name="cpu-share", default=1.0)
    # Speed of that core relative to a standard core; not a number of processors, despite the name.
    speed: float = msgspec.field(name="cores", default=1.0)
    # Speed of the machine's network link, in Mbit/s.
    link_mbps: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
        name="link-mbps", default=1000.0
    )
    # Memory of the process; the default is that of the smallest machine.
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(name="memory-mb", default=200.0)

    @property
    def cores(self) -> float:
        """Processor time that the process gets per second, in seconds of a standard core."""
        return self.share * self.speed

    @property
    def max_read_kb(self) -> int:
        """Size limit of one answer of the store in kilobytes, so that it does not delay others."""
        max_kb = self.link_mbps * _KB_PER_MBIT * _MAX_READ_S
        return max(_MIN_READ_KB, min(int(max_kb), _MAX_READ_KB))


_MIN_HELD_MB = 2.0
"""Megabytes of bodies that a process may hold however little memory it has."""

_HELD_FRACTION = 1.0 / 8.0
"""Part of the memory of a process that bodies may take, unless the settings say how much."""

_KB = 1_000
_ADDRESSES = 4
_MIN_CONNECTIONS = 16
_MAX_CONNECTIONS = 900
_MAX_RESERVED_DESCRIPTORS = 500
_RESERVED_FRACTION = 4
"""The store, calls to workers and files get at least one in so many descriptors, up to 500."""

_MB = 1_000_000
_MS_PER_S = 1000.0


class _HttpLimits(msgspec.Struct, frozen=True):
    """Limits on clients; no client that keeps to the documented limits meets the defaults."""

    # Open connections to one address; by default derived from the limit on descriptors.
    max_connections: Annotated[int, msgspec.Meta(ge=16, le=4_096)] | None = msgspec.field(
        name="max-connections", default=None
    )
    # Time for the head of a request, from its first byte on.
    header_timeout_ms: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
        name="header-timeout-ms", default=6_000
    )
    # Time for the body of a request.
    body_timeout_ms: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
        name="body-timeout-ms", default=10_000
    )
    # Kilobytes of all bodies being received, beyond the first 16 KiB of each; by default an
    # eighth of the memory of the process.
    max_held_kb: Annotated[int, msgspec.Meta(gt=0)] | None = msgspec.field(
        name="max-held-kb", default=None
    )


class _Service(msgspec.Struct, frozen=True):
    """Address of a service of the platform."""

    address: str


class _InstanceService(msgspec.Struct, frozen=True):
    """Address and rate limit of the instance service."""

    address: str
    # Orders per second from all processes together, moves and maintenance alike.
    orders_per_s: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
        name="duties-per-s", default=64.0
    )


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of one process: its identity, addresses, limits and the platform's services.

    Explanation
    -----------
    Unknown fields are ignored, since the platform may add fields at any time.
    """

    node: str = msgspec.field(name="node-name")
    zone: str
    listen: _Listen
    port_range: tuple[int, int] = msgspec.field(name="port-range")
    ip: str
    store: _Service = msgspec.field(name="platform")
    instances: _InstanceService = msgspec.field(name="cloud-api")
    advice: str | None = None
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    http: _HttpLimits = msgspec.field(name="http-limits", default=_HttpLimits())

    @property
    def http_limits(self) -> HttpLimits:
        """Limits on the clients of the HTTP servers."""
        held_mb = max(_MIN_HELD_MB, self.limits.memory_mb * _HELD_FRACTION)
        held_kb = self.http.max_held_kb
        return HttpLimits(
            max_connections=self.http.max_connections or default_max_connections(),
            head_timeout_s=self.http.header_timeout_ms / _MS_PER_S,
            body_timeout_s=self.http.body_timeout_ms / _MS_PER_S,
            max_held_bytes=int(held_mb * _MB) if held_kb is None else held_kb * _KB,
        )

    @property
    def metrics_address(self) -> tuple[str, int]:
        """Host and port at which metrics are served."""
        return self.ip, self.port_range[0]

    @property
    def relay_address(self) -> str:
        """``IP:PORT`` at which other processes relay callers' requests to this one as the owner."""
        return f"{self.ip}:{self.port_range[0] + 1}"


def default_max_connections() -> int:
    """Return how many connections each address may have open within the limit on descriptors."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return _MAX_CONNECTIONS
    reserved = min(_MAX_RESERVED_DESCRIPTORS, limit // _RESERVED_FRACTION)
    share = (limit - reserved) // _ADDRESSES
    return max(_MIN_CONNECTIONS, min(share, _MAX_CONNECTIONS))


def load_platform_settings(path: str | Path) -> PlatformSettings:
    """Read and validate the platform's settings file.

    Raises
    ------
    SettingsError
        The file cannot be read or is invalid.  The message is one line that names the file
        and the faulty field.
    """
    return _parse(_read(path), path)


class SettingsFile:
    """The settings file of a process; it may change while the process runs, even without a signal.

    Parameters
    ----------
    path : str or Path
        The file.

    Attributes
    ----------
    settings : PlatformSettings
        Settings in force: those of the last valid content.
    """

    __slots__ = ("_content", "_path", "settings")

    def __init__(self, path: str | Path) -> None:
        self._path = path
        content = _read(path)
        # None while the file cannot be read.
        self._content: bytes | None = content
        self.settings = _parse(content, path)

    def refresh(self) -> bool:
        """Apply the file's content if it has changed; return whether it had changed.

        Raises
        ------
        SettingsError
            The new content is invalid; raised once per content.  The previous settings stay
            in force.
        """
        try:
            content = _read(self._path)
        except SettingsError:
            if self._content is None:
                return False
            self._content = None
            raise
        if content == self._content:
            return False
        self._content = content
        self.settings = _parse(content, self._path)
        return True


def _read(path: str | Path) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error


def _parse(content: bytes, path: str | Path) -> PlatformSettings:
    value = _value_of(content, path)
    try:
        settings = msgspec.convert(value, PlatformSettings, strict=False)
        _check_addresses(settings)
    except (*DECODING_ERRORS, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return settings


def _value_of(content: bytes, path: str | Path) -> object:
    """Return the value of a YAML document.

    Explanation
    -----------
    Besides its own errors the library lets those of its conversions through, which it names
    nowhere: a ``ValueError`` for a day that doesn't exist, an ``AttributeError``, a ``KeyError``
    or an ``IndexError`` for a text with the tag of a time, a truth value or an integer.
    """
    try:
        return yaml.safe_load(content.decode())
    except Exception as error:
        raise SettingsError(f"{path}: {error or type(error).__name__}") from error


_MAX_LEASE_S = 4.5
"""Longest lease of a run, in seconds.  It has to outlast a change of owner, and the runs of a lost
worker can only be restarted after it expires."""

_ORDER_RATE_FRACTION = 0.9
"""Fraction of the instance service's rate limit that an owner uses.  Orders of the previous owner
may still be in flight."""


def control_settings(settings: PlatformSettings) -> ControlSettings:
    """Return the owner's settings, derived from the platform's time limits."""
    bounds = settings.bounds
    return ControlSettings(
        lease_s=min(_MAX_LEASE_S, bounds.lease_ms / 1000.0),
        max_hold_s=bounds.lease_ms / 1000.0,
        stop_s=bounds.stop_ms / 1000.0,
        turn_s=bounds.turn_ms / 1000.0,
        away_s=bounds.away_ms / 1000.0,
        move_s=bounds.move_s,
        instance_orders_per_s=_ORDER_RATE_FRACTION * settings.instances.orders_per_s,
        keep_final_s=bounds.status_s * 1.25,
    )


def _check_addresses(settings: PlatformSettings) -> None:
    parse_address(settings.listen.front)
    parse_address(settings.listen.ready)
    parse_address(settings.store.address)
    parse_address(settings.instances.address)
    if settings.advice:
        parse_address(settings.advice)
