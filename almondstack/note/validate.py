"""Checks across a whole configuration.

Explanation
-----------
The fold runs the same checks as ``almondctl check``, so a note that was valid
when it was planned and is not valid on top of the log is refused by every
reader alike.
"""

from collections.abc import Iterator

from almondstack.model import FleetState, ReleaseNote
from almondstack.note.faults import NoteFault
from almondstack.note.merge import ConfigTables, config_tables, merge_note

__all__ = ["check_note", "check_tables"]


def check_note(state: FleetState, note: ReleaseNote) -> list[NoteFault]:
    """Return every fault of ``note`` upon ``state``, in order of path."""
    tables, faults = merge_note(config_tables(state), note)
    faults.extend(check_tables(tables))
    return sorted(faults)


def check_tables(tables: ConfigTables) -> Iterator[NoteFault]:
    """Yield every contradiction in a configuration."""
    yield from _check_instances(tables)
    yield from _check_pools(tables)
    yield from _check_queues(tables)
    yield from _check_keys_and_limits(tables)


def _check_instances(tables: ConfigTables) -> Iterator[NoteFault]:
    addresses: dict[str, str] = {}
    for name, spec in tables.instances.items():
        path = f"instances.{name}"
        if spec.pool not in tables.pools:
            yield NoteFault(f"{path}.pool", "dangling", f"there is no pool {spec.pool}")
        other = addresses.setdefault(spec.address, name)
        if other != name:
            yield NoteFault(f"{path}.address", "shared", f"{other} has the same address")


def _check_pools(tables: ConfigTables) -> Iterator[NoteFault]:
    owned: dict[str, int] = {}
    for spec in tables.instances.values():
        owned[spec.pool] = owned.get(spec.pool, 0) + 1
    for name, pool in tables.pools.items():
        count = owned.get(name, 0)
        if pool.min_serving > pool.size:
            message = f"budget {pool.min_serving} is above size {pool.size}"
            yield NoteFault(f"pools.{name}.min_serving", "budget", message)
        if pool.min_serving > count:
            message = f"budget {pool.min_serving} cannot hold with {count} instances"
            yield NoteFault(f"pools.{name}.min_serving", "budget", message)


def _check_queues(tables: ConfigTables) -> Iterator[NoteFault]:
    for name, queue in tables.queues.items():
        path = f"queues.{name}"
        if queue.pool not in tables.pools:
            yield NoteFault(f"{path}.pool", "dangling", f"there is no pool {queue.pool}")
        for team in queue.teams:
            if team not in tables.teams:
                yield NoteFault(f"{path}.teams", "dangling", f"there is no team {team}")
        if queue.is_open and queue.open_team not in tables.teams:
            yield NoteFault(f"{path}.open_team", "dangling", "an open queue needs a team")


def _check_keys_and_limits(tables: ConfigTables) -> Iterator[NoteFault]:
    for name, key in tables.keys.items():
        if key.team not in tables.teams:
            yield NoteFault(f"keys.{name}.team", "dangling", f"there is no team {key.team}")
    for name, limit in tables.limits.items():
        if limit.team not in tables.teams:
            yield NoteFault(f"limits.{name}.team", "dangling", f"there is no team {limit.team}")
        if limit.queue is not None and limit.queue not in tables.queues:
            yield NoteFault(f"limits.{name}.queue", "dangling", f"there is no queue {limit.queue}")
