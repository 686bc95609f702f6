"""Entry instance: HTTP server for callers, authentication, admission and request handlers."""

from almondstack.entry.app import EntryApp
from almondstack.entry.contract import Connectivity, Dispatcher, Revocations
from almondstack.entry.parts import EntryParts
from almondstack.entry.settings import CallerSettings, EntrySettings

__all__ = [
    "CallerSettings",
    "Connectivity",
    "Dispatcher",
    "EntryApp",
    "EntryParts",
    "EntrySettings",
    "Revocations",
]
