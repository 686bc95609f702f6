"""The platform's settings file."""

from pathlib import Path
from typing import Annotated

import msgspec
import yaml

from almondstack.control import ControlSettings
from almondstack.core import SettingsError, parse_address

__all__ = ["PlatformSettings", "SettingsFile", "control_settings", "load_platform_settings"]


class _Listen(msgspec.Struct, frozen=True):
    """Addresses to serve at."""

    # Where callers connect.
    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    """The bounds that the product needs to know; others are for the platform's own use."""

    # Grace between SIGTERM and SIGKILL.
    grace_s: float = msgspec.field(name="grace-s", default=6.0)
    # Longest lease of what runs on a worker.
    lease_ms: float = msgspec.field(name="max-hold-ms", default=6_000)
    stop_ms: float = msgspec.field(name="stop-ms", default=400)
    # Within this time two owners must not take turns at one instance; no lease of ours.
    turn_ms: float = msgspec.field(name="lease-ms", default=3_000)
    # After this time at work a lasting task no longer counts as away.
    away_ms: float = msgspec.field(name="notice-ms", default=4_500)
    # How long a move of an instance between pools takes.
    move_s: float = msgspec.field(name="migrate-s", default=1.5)
    # How long ended jobs must be shown.
    status_s: float = msgspec.field(name="status_s", default=120.0)


_KB_PER_MBIT = 1000.0 / 8.0

_MOST_READ_S = 0.15
"""Time that an answer of the store may take up a machine's link, in seconds; one that is
held up for longer than a read waits is asked for again, and takes the link up once more."""

_LEAST_READ_KB, _MOST_READ_KB = 32, 1_024
"""The store brings no more than the latter."""


class _Limits(msgspec.Struct, frozen=True):
    """What the platform gives a process."""

    # Share of a core that the process gets.
    share: float = msgspec.field(name="cpu-share", default=1.0)
    # By how much that core is faster than an ordinary one; no number of processors.
    speed: float = msgspec.field(name="cores", default=1.0)
    # Speed of the machine's own link, in millions of bits a second.
    link_mbps: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
        name="link-mbps", default=1000.0
    )

    @property
    def cores(self) -> float:
        """Processor time that the process gets in a second, in ordinary core-seconds."""
        return self.share * self.speed

    @property
    def most_read_kb(self) -> int:
        """Kilobytes that one answer of the store may bring, so that others don't wait for it."""
        most_kb = self.link_mbps * _KB_PER_MBIT * _MOST_READ_S
        return max(_LEAST_READ_KB, min(int(most_kb), _MOST_READ_KB))


class _Service(msgspec.Struct, frozen=True):
    """Where a service of the platform is."""

    address: str


class _InstanceService(msgspec.Struct, frozen=True):
    """Where instances are listed and ordered, and how often."""

    address: str
    # Orders to instances in a second, from all processes together; not only maintenance.
    orders_per_s: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
        name="duties-per-s", default=64.0
    )


class PlatformSettings(msgspec.Struct, frozen=True):
    """What a process is told of itself and its surroundings.

    Explanation
    -----------
    Fields that are not named here are passed over, since the platform may add
    some at any time.
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

    @property
    def metrics_address(self) -> tuple[str, int]:
        """Host and port at which metrics are served."""
        return self.ip, self.port_range[0]

    @property
    def relay_address(self) -> str:
        """Numeric address at which other processes hand on what callers ask of the owner."""
        return f"{self.ip}:{self.port_range[0] + 1}"


def load_platform_settings(path: str | Path) -> PlatformSettings:
    """Read and check the platform's settings file.

    Raises
    ------
    SettingsError
        One line that names the file and the path to the fault.
    """
    return _parse(_read(path), path)


class SettingsFile:
    """The settings file of a process, which may change while it runs, with or without a signal.

    Parameters
    ----------
    path : str or Path
        The file.

    Attributes
    ----------
    settings : PlatformSettings
        What is in force: the last content that was sound.
    """

    __slots__ = ("_content", "_path", "settings")

    def __init__(self, path: str | Path) -> None:
        self._path = path
        content = _read(path)
        # None while the file can't be read.
        self._content: bytes | None = content
        self.settings = _parse(content, path)

    def refresh(self) -> bool:
        """Take over the file's content if it has changed; return whether it had.

        Raises
        ------
        SettingsError
            The new content is faulty, which is told once; the old settings stay in force.
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
    try:
        settings = msgspec.convert(yaml.safe_load(content.decode()), PlatformSettings, strict=False)
        _check_addresses(settings)
    except (yaml.YAMLError, UnicodeDecodeError, msgspec.ValidationError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return settings


_LEASE_S = 4.5
"""Long enough for a take-over; what sits on a lost worker waits for it to end."""


_ORDERS_SHARE = 0.9
"""Share of the service's rate that an owner uses; one before it may have orders on the way."""


def control_settings(settings: PlatformSettings) -> ControlSettings:
    """Return the owner's times, as the platform's bounds ask for."""
    bounds = settings.bounds
    return ControlSettings(
        lease_s=min(_LEASE_S, bounds.lease_ms / 1000.0),
        stop_s=bounds.stop_ms / 1000.0,
        turn_s=bounds.turn_ms / 1000.0,
        away_s=bounds.away_ms / 1000.0,
        move_s=bounds.move_s,
        instance_orders_per_s=_ORDERS_SHARE * settings.instances.orders_per_s,
        keep_final_s=bounds.status_s * 1.25,
    )


def _check_addresses(settings: PlatformSettings) -> None:
    parse_address(settings.listen.front)
    parse_address(settings.listen.ready)
    parse_address(settings.store.address)
    parse_address(settings.instances.address)
    if settings.advice:
        parse_address(settings.advice)
