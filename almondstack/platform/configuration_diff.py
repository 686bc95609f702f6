"""What differs between two versions of the configuration."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

from almondstack.core import encode_json
from almondstack.platform.wire import ConfigurationWire, RouteWire, TenantWire

__all__ = ["Change", "diff_configurations"]

_KEYS = "keys"
"""Field of an account whose values are secrets: only their number is shown."""


class Change(msgspec.Struct, frozen=True):
    """A difference between two versions of the configuration.

    Parameters
    ----------
    place : str
        Section, name of the entry, its host and path prefix if several routes have the name,
        and field.
    before, after : str
        The values in JSON, empty if there is none; of keys, only how many are only in this one.
    """

    place: str
    before: str
    after: str


def diff_configurations(before: ConfigurationWire, after: ConfigurationWire) -> list[Change]:
    """Return what differs, by section and by name of the entries, whatever their order.

    Explanation
    -----------
    Routes of which several have one name are told apart by host and path prefix.

    Examples
    --------
    >>> from almondstack.platform.wire import ServiceWire
    >>> one = ConfigurationWire(1, services=(ServiceWire("p"),))
    >>> other = ConfigurationWire(2, services=(ServiceWire("p", is_off=True),))
    >>> [change.place for change in diff_configurations(one, other)]
    ['version', 'services p standby']
    """
    changes = list(_diff_values("version", before.version, after.version))
    for section in ("routes", "services", "tenants"):
        changes += _diff_entries(section, getattr(before, section), getattr(after, section))
    changes += _diff_fields("limits", before.limits, after.limits)
    return changes


def _diff_entries(
    section: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> Iterator[Change]:
    # The last of several entries with the same key is in force, and replaces the others here too.
    shared_names = _shared_names(before) | _shared_names(after)
    old = {_key_of(entry, shared_names): entry for entry in before}
    new = {_key_of(entry, shared_names): entry for entry in after}
    for key in sorted(old.keys() | new.keys()):
        place = " ".join((section, *key))
        if key not in new:
            yield Change(place, "present", "")
        elif key not in old:
            yield Change(place, "", "present")
        else:
            yield from _diff_fields(place, old[key], new[key])


def _shared_names(entries: tuple[Any, ...]) -> set[str]:
    """Return the names that several routes have: they are addresses of one queue."""
    counts = Counter(entry.name for entry in entries if isinstance(entry, RouteWire))
    return {name for name, count in counts.items() if count > 1}


def _key_of(entry: Any, shared_names: set[str]) -> tuple[str, ...]:
    """Return the name of an entry, and its host and path prefix if other routes have the name."""
    if isinstance(entry, RouteWire) and entry.name in shared_names:
        return entry.name, entry.host, entry.path_prefix
    return (entry.name,)


def _diff_fields(place: str, before: msgspec.Struct, after: msgspec.Struct) -> Iterator[Change]:
    for info in msgspec.structs.fields(before):
        old, new = getattr(before, info.name), getattr(after, info.name)
        if isinstance(before, TenantWire) and info.name == _KEYS:
            yield from _diff_keys(f"{place} {info.encode_name}", old, new)
        else:
            yield from _diff_values(f"{place} {info.encode_name}", old, new)


def _diff_keys(place: str, before: tuple[str, ...], after: tuple[str, ...]) -> Iterator[Change]:
    only_before, only_after = set(before) - set(after), set(after) - set(before)
    if only_before or only_after:
        yield Change(place, str(len(only_before)), str(len(only_after)))


def _diff_values(place: str, before: object, after: object) -> Iterator[Change]:
    if before != after:
        yield Change(place, encode_json(before).decode(), encode_json(after).decode())
