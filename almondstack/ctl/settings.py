"""Settings of ``almondctl``: a JSON file, overridden by flags."""

import argparse

import msgspec

from almondstack.core import (
    Address,
    LogServiceSettings,
    Name,
    PositiveSeconds,
    Settings,
    SettingsError,
    load_settings,
)
from almondstack.core.addresses import parse_address

__all__ = ["CtlSettings", "add_settings_arguments", "settings_from"]


class CtlSettings(Settings, frozen=True):
    """All settings of the operators' program.

    Parameters
    ----------
    log : LogServiceSettings
        The platform's log service.
    entries : dict of str to tuple of str
        Callers' addresses of entries by zone, for the time when the log is out.
    operator : str
        Who applies a change, for ``almondctl explain``.
    operator_token_file : str or None
        File whose content proves to an entry that a revocation comes from an
        operator.
    apply_timeout_s : float
        How long to wait for every entry to confirm, in seconds.
    entry_timeout_s : float
        Bound on one call to an entry, in seconds.
    """

    log: LogServiceSettings
    entries: dict[Name, tuple[Address, ...]] = {}
    operator: str = ""
    operator_token_file: str | None = None
    apply_timeout_s: PositiveSeconds = 20.0
    entry_timeout_s: PositiveSeconds = 1.0


def add_settings_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags that name and override the settings."""
    parser.add_argument("--settings", help="path of the JSON settings file")
    parser.add_argument("--log", metavar="IP:PORT", help="address of the log service")
    parser.add_argument(
        "--entry",
        metavar="ZONE=IP:PORT",
        action="append",
        help="address of an entry; may be repeated",
    )
    parser.add_argument("--operator", help="who makes the change")
    parser.add_argument("--timeout", type=float, metavar="SECONDS", help="bound on the wait")


def settings_from(arguments: argparse.Namespace) -> CtlSettings:
    """Read the settings file, if one is named, and apply the flags to it.

    Raises
    ------
    SettingsError
        The file or a flag is faulty, or no log service is named.
    """
    settings = _base_settings(arguments)
    changes: dict[str, object] = {}
    if getattr(arguments, "entry", None):
        changes["entries"] = _entries(arguments.entry)
    if getattr(arguments, "operator", None):
        changes["operator"] = arguments.operator
    if getattr(arguments, "timeout", None):
        changes["apply_timeout_s"] = arguments.timeout
    return msgspec.structs.replace(settings, **changes)


def _base_settings(arguments: argparse.Namespace) -> CtlSettings:
    path = getattr(arguments, "settings", None)
    address = getattr(arguments, "log", None)
    if address is not None:
        parse_address(address)
    if path is None and address is None:
        raise SettingsError("name the log service with --settings or --log")
    if path is None:
        return CtlSettings(log=LogServiceSettings(address=address or ""))
    settings = load_settings(path, CtlSettings)
    if address is None:
        return settings
    log = msgspec.structs.replace(settings.log, address=address)
    return msgspec.structs.replace(settings, log=log)


def _entries(texts: list[str]) -> dict[str, tuple[str, ...]]:
    entries: dict[str, tuple[str, ...]] = {}
    for text in texts:
        zone, separator, address = text.partition("=")
        if not separator:
            raise SettingsError(f"{text!r} is not ZONE=IP:PORT")
        parse_address(address)
        entries[zone] = (*entries.get(zone, ()), address)
    return entries
