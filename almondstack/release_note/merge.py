"""Applies a release note to a configuration."""

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
from almondstack.release_note.faults import FaultCode, NoteFault

__all__ = ["KINDS", "ConfigTables", "config_tables", "merge_note", "name_of"]

KINDS = ("pools", "instances", "teams", "keys", "queues", "limits")


class ConfigTables(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration: one table of objects by name for each kind."""

    pools: dict[str, Pool]
    instances: dict[str, InstanceSpec]
    teams: dict[str, Team]
    keys: dict[str, Key]
    queues: dict[str, Queue]
    limits: dict[str, Limit]

    def table(self, kind: str) -> dict[str, Any]:
        """Return the objects by name of ``kind``, which is one of :data:`KINDS`."""
        return getattr(self, kind)


def config_tables(state: FleetState) -> ConfigTables:
    """Return the configuration in force, except pools and instances that are being withdrawn."""
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
        The resulting configuration; valid only if there are no faults.
    list of NoteFault
        Names that occur more than once in the note, added objects that exist already,
        and changed or withdrawn objects that do not exist.
    """
    faults: list[NoteFault] = []
    merged: dict[str, Any] = {}
    for kind in KINDS:
        table = dict(tables.table(kind))
        faults.extend(_duplicate_faults(note, kind))
        _merge_added(table, note.added, kind, faults)
        _merge_changed(table, note.changed, kind, faults)
        _merge_withdrawn(table, getattr(note.withdrawn, kind), kind, faults)
        merged[kind] = table
    return ConfigTables(**merged), faults


def name_of(item: Any) -> str:
    """Return the identifying name of a configuration object; the id for a key."""
    return item.id if isinstance(item, Key) else item.name


def _enumerate_items(configured: Configured, kind: str) -> Iterable[tuple[int, str, Any]]:
    for index, item in enumerate(getattr(configured, kind)):
        yield index, name_of(item), item


def _duplicate_faults(note: ReleaseNote, kind: str) -> Iterable[NoteFault]:
    seen: dict[str, Any] = {}
    for section, configured in (("added", note.added), ("changed", note.changed)):
        for index, name, item in _enumerate_items(configured, kind):
            path = f"{section}.{kind}[{index}]"
            if name in seen:
                yield _duplicate_fault(path, name, seen[name], item)
            seen.setdefault(name, item)
    for index, name in enumerate(getattr(note.withdrawn, kind)):
        if name in seen:
            yield _duplicate_fault(f"withdrawn.{kind}[{index}]", name, seen[name], None)
        seen.setdefault(name, None)


def _duplicate_fault(path: str, name: str, first: Any, second: Any) -> NoteFault:
    are_instances = isinstance(first, InstanceSpec) and isinstance(second, InstanceSpec)
    if are_instances and first.pool != second.pool:
        message = f"{name} is given to pools {first.pool} and {second.pool}"
        return NoteFault(path, FaultCode.TWO_POOLS, message)
    return NoteFault(path, FaultCode.DUPLICATE, f"{name} is named twice")


def _merge_added(
    table: dict[str, Any], added: Configured, kind: str, faults: list[NoteFault]
) -> None:
    existing = set(table)
    for index, name, item in _enumerate_items(added, kind):
        if name in existing:
            path = f"added.{kind}[{index}]"
            faults.append(NoteFault(path, FaultCode.EXISTS, f"{name} is in force already"))
        table[name] = item


def _merge_changed(
    table: dict[str, Any], changed: Configured, kind: str, faults: list[NoteFault]
) -> None:
    for index, name, item in _enumerate_items(changed, kind):
        if name not in table:
            path = f"changed.{kind}[{index}]"
            faults.append(NoteFault(path, FaultCode.MISSING, f"there is no {name} to change"))
        table[name] = item


def _merge_withdrawn(
    table: dict[str, Any], names: Iterable[str], kind: str, faults: list[NoteFault]
) -> None:
    existing = set(table)
    for index, name in enumerate(names):
        table.pop(name, None)
        if name not in existing:
            path = f"withdrawn.{kind}[{index}]"
            faults.append(NoteFault(path, FaultCode.MISSING, f"there is no {name} to withdraw"))
