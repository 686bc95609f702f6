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
    """All settings of ``almondctl``.

    Parameters
    ----------
    log : LogServiceSettings
        Address of the platform's log service, and time limits.
    entries : dict of str to tuple of str
        Addresses of entries by zone, as callers use them; needed while the log
        service is unavailable and cannot name the entries.
    operator : str
        Name of the operator, stored with each change for ``almondctl explain``.
    operator_token_file : str or None
        File with the secret that authenticates key revocations to entries.
    apply_timeout_s : float
        Time limit for a verdict on an appended record, and for all entries to confirm
        it, in seconds.
    entry_timeout_s : float
        Timeout of one call to an entry, in seconds.
    """

    log: LogServiceSettings
    entries: dict[Name, tuple[Address, ...]] = {}
    operator: str = ""
    operator_token_file: str | None = None
    apply_timeout_s: PositiveSeconds = 20.0
    entry_timeout_s: PositiveSeconds = 1.0


def add_settings_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags for the settings file and for overrides of single settings."""
    parser.add_argument("--settings", help="path of the JSON settings file")
    parser.add_argument("--log", metavar="IP:PORT", help="address of the log service")
    parser.add_argument(
        "--entry",
        metavar="ZONE=IP:PORT",
        action="append",
        help="address of an entry; may be repeated",
    )
    parser.add_argument("--operator", help="name of the operator who makes the change")
    parser.add_argument(
        "--timeout", type=float, metavar="SECONDS", help="time limit for confirmation"
    )


def settings_from(arguments: argparse.Namespace) -> CtlSettings:
    """Return the settings from the file, if one is given, overridden by the flags.

    Raises
    ------
    SettingsError
        The file or a flag is not valid, or neither gives the log service.
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
