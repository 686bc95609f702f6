"""Release note: a set of configuration objects that an operator adds, changes and withdraws."""

import msgspec

from almondstack.model.config import InstanceSpec, Key, Limit, Pool, Queue, Team

__all__ = ["Configured", "ReleaseNote", "Withdrawn"]


class Configured(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Configuration objects by kind, with their new values."""

    pools: tuple[Pool, ...] = ()
    instances: tuple[InstanceSpec, ...] = ()
    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()
    queues: tuple[Queue, ...] = ()
    limits: tuple[Limit, ...] = ()


class Withdrawn(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Names of the configuration objects to remove, by kind."""

    pools: tuple[str, ...] = ()
    instances: tuple[str, ...] = ()
    teams: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    queues: tuple[str, ...] = ()
    limits: tuple[str, ...] = ()


class ReleaseNote(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A document of configuration changes that is applied atomically.

    Parameters
    ----------
    title : str
        Human-readable title.
    added, changed : Configured
        Objects that did not exist before, and new values of existing objects.
    withdrawn : Withdrawn
        Names of objects to remove; requests that run on them end first.
    """

    title: str = ""
    added: Configured = Configured()
    changed: Configured = Configured()
    withdrawn: Withdrawn = Withdrawn()
