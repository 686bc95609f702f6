"""The release note: what an operator adds, changes and withdraws."""

import msgspec

from almondstack.model.config import InstanceSpec, Key, Limit, Pool, Queue, Team

__all__ = ["Configured", "ReleaseNote", "Withdrawn"]


class Configured(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Things by kind, as they should stand."""

    pools: tuple[Pool, ...] = ()
    instances: tuple[InstanceSpec, ...] = ()
    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()
    queues: tuple[Queue, ...] = ()
    limits: tuple[Limit, ...] = ()


class Withdrawn(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Names of things, by kind, that should no longer stand."""

    pools: tuple[str, ...] = ()
    instances: tuple[str, ...] = ()
    teams: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    queues: tuple[str, ...] = ()
    limits: tuple[str, ...] = ()


class ReleaseNote(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One document of changes, applied whole or not at all.

    Parameters
    ----------
    title : str
        For people.
    added, changed : Configured
        Things that did not stand before, and new values of things that did.
    withdrawn : Withdrawn
        Names of things that go; what runs there ends first.
    """

    title: str = ""
    added: Configured = Configured()
    changed: Configured = Configured()
    withdrawn: Withdrawn = Withdrawn()
