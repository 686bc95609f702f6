"""Lists the differences between configurations, and derives the release note that applies them."""

from collections.abc import Iterator
from enum import StrEnum
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

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
    Withdrawn,
)
from almondstack.release_note.merge import KINDS, ConfigTables, config_tables, name_of

__all__ = [
    "Change",
    "ChangeAction",
    "DesiredConfig",
    "derive_note",
    "diff_tables",
    "is_in_force",
]

_HIDDEN_FIELDS = frozenset({"digest"})


class ChangeAction(StrEnum):
    """Kind of change to a configuration object."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"


class Change(msgspec.Struct, frozen=True, order=True):
    """Difference in one configuration object.

    Parameters
    ----------
    kind, name : str
        Kind and name of the object.
    action : ChangeAction
        Kind of change.
    detail : str
        Changed fields with their old and new values, or the fields of an added
        object; empty for a withdrawn one.  Never contains the value of a digest.
    """

    kind: str
    name: str
    action: ChangeAction
    detail: str = ""


class DesiredConfig(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Desired state of the whole configuration.

    Explanation
    -----------
    The list of a kind is complete: existing objects that it omits are withdrawn.
    Kinds that are left out stay unchanged.
    """

    pools: tuple[Pool, ...] | UnsetType = UNSET
    instances: tuple[InstanceSpec, ...] | UnsetType = UNSET
    teams: tuple[Team, ...] | UnsetType = UNSET
    keys: tuple[Key, ...] | UnsetType = UNSET
    queues: tuple[Queue, ...] | UnsetType = UNSET
    limits: tuple[Limit, ...] | UnsetType = UNSET


def diff_tables(before: ConfigTables, after: ConfigTables) -> list[Change]:
    """Return the differences, ordered by kind and name."""
    changes: list[Change] = []
    for kind in KINDS:
        changes.extend(_diff_kind(kind, before.table(kind), after.table(kind)))
    return changes


def derive_note(tables: ConfigTables, desired: DesiredConfig, title: str = "") -> ReleaseNote:
    """Return the note that changes ``tables`` to ``desired``.

    Explanation
    -----------
    Objects of ``desired`` that differ from those in ``tables`` are not deduplicated:
    a name that occurs twice among them occurs twice in the note, so that the checks
    of the note report it.
    """
    added: dict[str, Any] = {}
    changed: dict[str, Any] = {}
    withdrawn: dict[str, Any] = {}
    for kind in KINDS:
        items = getattr(desired, kind)
        if items is UNSET:
            continue
        current = tables.table(kind)
        names = {name_of(item) for item in items}
        added[kind] = tuple(item for item in items if name_of(item) not in current)
        changed[kind] = tuple(item for item in items if current.get(name_of(item), item) != item)
        withdrawn[kind] = tuple(sorted(name for name in current if name not in names))
    return ReleaseNote(
        title=title,
        added=Configured(**added),
        changed=Configured(**changed),
        withdrawn=Withdrawn(**withdrawn),
    )


def is_in_force(state: FleetState, note: ReleaseNote) -> bool:
    """Return True if the configuration in force already includes every change of ``note``."""
    tables = config_tables(state)
    return all(_is_kind_in_force(tables, note, kind) for kind in KINDS)


def _is_kind_in_force(tables: ConfigTables, note: ReleaseNote, kind: str) -> bool:
    current = tables.table(kind)
    items = (*getattr(note.added, kind), *getattr(note.changed, kind))
    is_set = all(current.get(name_of(item)) == item for item in items)
    return is_set and not any(name in current for name in getattr(note.withdrawn, kind))


def _diff_kind(kind: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[Change]:
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        if old is None:
            yield Change(kind, name, ChangeAction.ADDED, _describe(new))
        elif new is None:
            yield Change(kind, name, ChangeAction.WITHDRAWN)
        elif old != new:
            yield Change(kind, name, ChangeAction.CHANGED, _describe_change(old, new))


def _describe(item: Any) -> str:
    shown = [
        f"{field}={getattr(item, field)}"
        for field in item.__struct_fields__
        if field not in _HIDDEN_FIELDS and field not in ("name", "id")
    ]
    return " ".join(shown)


def _describe_change(old: Any, new: Any) -> str:
    parts: list[str] = []
    for field in old.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        is_hidden = field in _HIDDEN_FIELDS
        parts.append(f"{field} changed" if is_hidden else f"{field}: {before} -> {after}")
    return ", ".join(parts)
