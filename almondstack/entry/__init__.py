"""The entry: callers' HTTP, admission and the way to the dispatcher."""

from almondstack.entry.app import Dispatching, EntryApp
from almondstack.entry.settings import CallerSettings, EntrySettings

__all__ = ["CallerSettings", "Dispatching", "EntryApp", "EntrySettings"]
