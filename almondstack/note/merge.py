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
from almondstack.note.faults import NoteFault

__all__ = ["KINDS", "ConfigTables", "config_tables", "merge_note"]

KINDS = ("pools", "instances", "teams", "keys", "queues", "limits")


class ConfigTables(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration: every thing by kind and name."""

    pools: dict[str, Pool]
    instances: dict[str, InstanceSpec]
    teams: dict[str, Team]
    keys: dict[str, Key]
    queues: dict[str, Queue]
    limits: dict[str, Limit]


def config_tables(state: FleetState) -> ConfigTables:
    """Return the configuration in force, without instances that are going."""
    instances = {name: item.spec for name, item in state.instances.items() if not item.is_withdrawn}
    return ConfigTables(
        pools=dict(state.pools),
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
        Things added that stand already, changed or withdrawn that do not.
    """
    faults: list[NoteFault] = []
    merged: dict[str, Any] = {}
    for kind in KINDS:
        table = dict(getattr(tables, kind))
        _merge_added(table, note.added, kind, faults)
        _merge_changed(table, note.changed, kind, faults)
        _merge_withdrawn(table, getattr(note.withdrawn, kind), kind, faults)
        merged[kind] = table
    return ConfigTables(**merged), faults


def _name_of(thing: Any) -> str:
    return thing.id if isinstance(thing, Key) else thing.name


def _things(configured: Configured, kind: str) -> Iterable[tuple[int, str, Any]]:
    for index, thing in enumerate(getattr(configured, kind)):
        yield index, _name_of(thing), thing


def _merge_added(
    table: dict[str, Any], added: Configured, kind: str, faults: list[NoteFault]
) -> None:
    for index, name, thing in _things(added, kind):
        if name in table:
            faults.append(NoteFault(f"added.{kind}[{index}]", "exists", f"{name} stands already"))
        table[name] = thing


def _merge_changed(
    table: dict[str, Any], changed: Configured, kind: str, faults: list[NoteFault]
) -> None:
    for index, name, thing in _things(changed, kind):
        if name not in table:
            faults.append(NoteFault(f"changed.{kind}[{index}]", "missing", f"no {name} to change"))
        table[name] = thing


def _merge_withdrawn(
    table: dict[str, Any], names: Iterable[str], kind: str, faults: list[NoteFault]
) -> None:
    for index, name in enumerate(names):
        if table.pop(name, None) is None:
            path = f"withdrawn.{kind}[{index}]"
            faults.append(NoteFault(path, "missing", f"no {name} to withdraw"))
