"""The configuration that a release note leads to."""

from collections.abc import Iterable
from typing import Any

import msgspec

from almondstack.model import (
    Configured,
    FleetState,
    InstanceSpec,
    Key,
    Limit,
    Pool,
    Queue,
    ReleaseNote,
    Team,
)
from almondstack.note.faults import FaultCode, NoteFault

__all__ = ["KINDS", "ConfigTables", "config_tables", "merge_note", "name_of"]

KINDS = ("pools", "instances", "teams", "keys", "queues", "limits")


class ConfigTables(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration: every thing by kind and name."""

    pools: dict[str, Pool]
    instances: dict[str, InstanceSpec]
    teams: dict[str, Team]
    keys: dict[str, Key]
    queues: dict[str, Queue]
    limits: dict[str, Limit]

    def table(self, kind: str) -> dict[str, Any]:
        """Return the things of one of :data:`KINDS` by name."""
        return getattr(self, kind)


def config_tables(state: FleetState) -> ConfigTables:
    """Return the configuration in force, without pools and instances that are leaving."""
    instances = {name: item.spec for name, item in state.instances.items() if not item.is_withdrawn}
    pools = {name: pool for name, pool in state.pools.items() if name not in state.leaving_pools}
    return ConfigTables(
        pools=pools,
        instances=instances,
        teams=dict(state.teams),
        keys=dict(state.keys),
        queues=dict(state.queues),
        limits=dict(state.limits),
    )


def merge_note(tables: ConfigTables, note: ReleaseNote) -> tuple[ConfigTables, list[NoteFault]]:
    """Apply ``note`` to a configuration.

    Returns
    -------
    ConfigTables
        The result; meaningful only without faults.
    list of NoteFault
        Names given twice, things added that stand already, and things changed
        or withdrawn that do not.
    """
    faults: list[NoteFault] = []
    merged: dict[str, Any] = {}
    for kind in KINDS:
        table = dict(tables.table(kind))
        faults.extend(_check_names(note, kind))
        _merge_added(table, note.added, kind, faults)
        _merge_changed(table, note.changed, kind, faults)
        _merge_withdrawn(table, getattr(note.withdrawn, kind), kind, faults)
        merged[kind] = table
    return ConfigTables(**merged), faults


def name_of(thing: Any) -> str:
    """Return what a thing of the configuration is known by."""
    return thing.id if isinstance(thing, Key) else thing.name


def _things(configured: Configured, kind: str) -> Iterable[tuple[int, str, Any]]:
    for index, thing in enumerate(getattr(configured, kind)):
        yield index, name_of(thing), thing


def _check_names(note: ReleaseNote, kind: str) -> Iterable[NoteFault]:
    seen: dict[str, Any] = {}
    for section, configured in (("added", note.added), ("changed", note.changed)):
        for index, name, thing in _things(configured, kind):
            path = f"{section}.{kind}[{index}]"
            if name in seen:
                yield _named_twice(path, name, seen[name], thing)
            seen.setdefault(name, thing)
    for index, name in enumerate(getattr(note.withdrawn, kind)):
        if name in seen:
            yield _named_twice(f"withdrawn.{kind}[{index}]", name, seen[name], None)
        seen.setdefault(name, None)


def _named_twice(path: str, name: str, first: Any, second: Any) -> NoteFault:
    both = isinstance(first, InstanceSpec) and isinstance(second, InstanceSpec)
    if both and first.pool != second.pool:
        message = f"{name} is given to pools {first.pool} and {second.pool}"
        return NoteFault(path, FaultCode.TWO_POOLS, message)
    return NoteFault(path, FaultCode.DUPLICATE, f"{name} is named twice")


def _merge_added(
    table: dict[str, Any], added: Configured, kind: str, faults: list[NoteFault]
) -> None:
    known = set(table)
    for index, name, thing in _things(added, kind):
        if name in known:
            path = f"added.{kind}[{index}]"
            faults.append(NoteFault(path, FaultCode.EXISTS, f"{name} is in force already"))
        table[name] = thing


def _merge_changed(
    table: dict[str, Any], changed: Configured, kind: str, faults: list[NoteFault]
) -> None:
    for index, name, thing in _things(changed, kind):
        if name not in table:
            path = f"changed.{kind}[{index}]"
            faults.append(NoteFault(path, FaultCode.MISSING, f"there is no {name} to change"))
        table[name] = thing


def _merge_withdrawn(
    table: dict[str, Any], names: Iterable[str], kind: str, faults: list[NoteFault]
) -> None:
    known = set(table)
    for index, name in enumerate(names):
        table.pop(name, None)
        if name not in known:
            path = f"withdrawn.{kind}[{index}]"
            faults.append(NoteFault(path, FaultCode.MISSING, f"there is no {name} to withdraw"))
