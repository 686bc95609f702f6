"""Loads JSON settings files and validates them with msgspec.

Explanation
-----------
A settings class is a ``msgspec.Struct`` with ``forbid_unknown_fields`` and
constraints on its fields.  :func:`load_settings` reports any fault in one line
that names the path of the field.  This module also defines the sections that
several programs share.
"""

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from almondstack.core.addresses import parse_address
from almondstack.core.codec import DECODING_ERRORS
from almondstack.core.errors import CodecError, SettingsError

__all__ = [
    "Address",
    "LogServiceSettings",
    "LoggingSettings",
    "Name",
    "NodeSettings",
    "PositiveSeconds",
    "Settings",
    "StatsdSettings",
    "TlsSettings",
    "load_settings",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]

T = TypeVar("T", bound="Settings")


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of all settings sections."""


class NodeSettings(Settings, frozen=True):
    """Identity and location of a process.

    Parameters
    ----------
    deployment : str
        Name of the deployment; peers of another deployment are rejected.
    name : str
        Name of the instance that the process runs on.
    region, zone : str
        Location of the instance.
    """

    deployment: Name
    name: Name
    zone: Name
    region: Name = "region-1"


class LogServiceSettings(Settings, frozen=True):
    """The platform's append-only log service.

    Parameters
    ----------
    address : str
        Numeric address of the service.
    timeout_s : float
        Bound on one call, in seconds.
    batch_window_s : float
        How long an append waits for further appends to batch with, in seconds.
    """

    address: Address
    timeout_s: PositiveSeconds = 2.0
    batch_window_s: Annotated[float, Meta(ge=0, le=5)] = 0.005


class StatsdSettings(Settings, frozen=True):
    """Destination of metrics, which are sent by the statsd protocol over UDP."""

    address: Address = "127.0.0.1:8125"
    prefix: str = "almondstack"


class LoggingSettings(Settings, frozen=True):
    """Format and verbosity of log lines.

    Parameters
    ----------
    log_format : {"text", "json"}
        Plain lines, or one JSON object a line.
    verbosity : int
        absl verbosity: -1 warnings, 0 information, 1 debug.
    """

    log_format: Annotated[str, Meta(pattern="^(text|json)$")] = "text"
    verbosity: Annotated[int, Meta(ge=-3, le=3)] = 0


class TlsSettings(Settings, frozen=True):
    """Paths of a certificate, its private key and the trusted certificate authority."""

    certificate_file: str
    private_key_file: str
    authority_file: str


def load_settings(path: str | Path, type_: type[T]) -> T:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        The file is unreadable or invalid; one line names the file and the path of the field.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return decode_settings(data, type_, str(path))


def decode_settings(data: bytes, type_: type[T], origin: str = "settings") -> T:
    """Decode and validate settings.

    Raises
    ------
    SettingsError
        The settings are invalid; one line names ``origin`` and the path of the field.
    """
    try:
        settings = msgspec.json.decode(data, type=type_)
        _check_addresses(settings)
    except (*DECODING_ERRORS, CodecError) as error:
        raise SettingsError(f"{origin}: {error}") from error
    except SettingsError as error:
        raise SettingsError(f"{origin}: {error.detail}") from error
    return settings


def _check_addresses(section: object, path: str = "$") -> None:
    """Validate each field whose name ends in ``address`` or ``listen`` as an address."""
    if not isinstance(section, msgspec.Struct):
        return
    for name in section.__struct_fields__:
        value = getattr(section, name)
        field_path = f"{path}.{name}"
        if isinstance(value, str) and (name.endswith("address") or name.endswith("listen")):
            _check_address(value, field_path)
        _check_addresses(value, field_path)


def _check_address(value: str, field_path: str) -> None:
    try:
        parse_address(value)
    except SettingsError as error:
        raise SettingsError(f"{error.detail} - at `{field_path}`") from error
