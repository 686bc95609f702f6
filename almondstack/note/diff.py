"""Differences between configurations, and the note that leads from one to another."""

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
from almondstack.note.merge import KINDS, ConfigTables, config_tables, name_of

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
    """What happens to a thing."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"


class Change(msgspec.Struct, frozen=True, order=True):
    """One line of a difference.

    Parameters
    ----------
    kind, name : str
        The thing.
    action : ChangeAction
        What happens to it.
    detail : str
        Fields with their old and new values; never a digest.
    """

    kind: str
    name: str
    action: ChangeAction
    detail: str = ""


class DesiredConfig(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A whole configuration as it should be; a kind that is left out stays as it is."""

    pools: tuple[Pool, ...] | UnsetType = UNSET
    instances: tuple[InstanceSpec, ...] | UnsetType = UNSET
    teams: tuple[Team, ...] | UnsetType = UNSET
    keys: tuple[Key, ...] | UnsetType = UNSET
    queues: tuple[Queue, ...] | UnsetType = UNSET
    limits: tuple[Limit, ...] | UnsetType = UNSET


def diff_tables(before: ConfigTables, after: ConfigTables) -> list[Change]:
    """Return the differences in order of kind and name."""
    changes: list[Change] = []
    for kind in KINDS:
        changes.extend(_diff_kind(kind, before.table(kind), after.table(kind)))
    return changes


def derive_note(tables: ConfigTables, desired: DesiredConfig, title: str = "") -> ReleaseNote:
    """Return the note that leads from ``tables`` to ``desired``.

    Explanation
    -----------
    A name that ``desired`` gives twice stands twice in the note, so that the
    checks find it.
    """
    added: dict[str, Any] = {}
    changed: dict[str, Any] = {}
    withdrawn: dict[str, Any] = {}
    for kind in KINDS:
        things = getattr(desired, kind)
        if things is UNSET:
            continue
        known = tables.table(kind)
        names = {name_of(thing) for thing in things}
        added[kind] = tuple(thing for thing in things if name_of(thing) not in known)
        changed[kind] = tuple(t for t in things if known.get(name_of(t), t) != t)
        withdrawn[kind] = tuple(sorted(name for name in known if name not in names))
    return ReleaseNote(
        title=title,
        added=Configured(**added),
        changed=Configured(**changed),
        withdrawn=Withdrawn(**withdrawn),
    )


def is_in_force(state: FleetState, note: ReleaseNote) -> bool:
    """Return True if applying ``note`` again would change nothing."""
    tables = config_tables(state)
    return all(_is_kind_in_force(tables, note, kind) for kind in KINDS)


def _is_kind_in_force(tables: ConfigTables, note: ReleaseNote, kind: str) -> bool:
    known = tables.table(kind)
    things = (*getattr(note.added, kind), *getattr(note.changed, kind))
    is_set = all(known.get(name_of(thing)) == thing for thing in things)
    return is_set and not any(name in known for name in getattr(note.withdrawn, kind))


def _diff_kind(kind: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[Change]:
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        if old is None:
            yield Change(kind, name, ChangeAction.ADDED, _describe(new))
        elif new is None:
            yield Change(kind, name, ChangeAction.WITHDRAWN)
        elif old != new:
            yield Change(kind, name, ChangeAction.CHANGED, _describe_change(old, new))


def _describe(thing: Any) -> str:
    shown = [
        f"{field}={getattr(thing, field)}"
        for field in thing.__struct_fields__
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
