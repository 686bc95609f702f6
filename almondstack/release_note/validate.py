"""Checks the consistency of the configuration that results from a release note.

Explanation
-----------
The fold runs the same checks as ``almondctl check``, so every reader refuses a
note that was valid when it was planned but is invalid for the state at its
offset in the log.  The checks are therefore part of the record format: a check
may only be added with a new format level.  Warnings are not part of the format.
"""

from collections import Counter
from collections.abc import Iterator

from almondstack.model import FleetState, InstanceSpec, Limit, Pool, Queue, ReleaseNote
from almondstack.release_note.faults import FaultCode, NoteFault, NoteReport
from almondstack.release_note.locate import NoteLocator
from almondstack.release_note.merge import ConfigTables, config_tables, merge_note
from almondstack.release_note.warn import warn_tables

__all__ = ["check_note", "check_tables", "merge_and_check"]


def check_note(state: FleetState, note: ReleaseNote) -> NoteReport:
    """Return all faults and warnings of ``note`` applied to ``state``, ordered by path."""
    tables, _ = merge_note(config_tables(state), note)
    locator = NoteLocator(note)
    faults = [locator.locate(fault) for fault in merge_and_check(state, note)[1]]
    warnings = [locator.locate(warning) for warning in warn_tables(tables)]
    return NoteReport(sorted(set(faults)), sorted(set(warnings)))


def merge_and_check(state: FleetState, note: ReleaseNote) -> tuple[ConfigTables, list[NoteFault]]:
    """Return the configuration that ``note`` leads to from ``state``, and its faults."""
    tables, faults = merge_note(config_tables(state), note)
    faults.extend(check_tables(tables))
    faults.extend(_check_revoked(state, note))
    return tables, faults


def check_tables(tables: ConfigTables) -> Iterator[NoteFault]:
    """Yield every inconsistency of a configuration."""
    yield from _check_instances(tables)
    yield from _check_pools(tables)
    yield from _check_queues(tables)
    yield from _check_keys(tables)
    yield from _check_limits(tables)


def _check_revoked(state: FleetState, note: ReleaseNote) -> Iterator[NoteFault]:
    for section, configured in (("added", note.added), ("changed", note.changed)):
        for index, key in enumerate(configured.keys):
            if key.id in state.revoked:
                path = f"{section}.keys[{index}].id"
                yield NoteFault(path, FaultCode.REVOKED, f"key {key.id} was revoked")


def _check_instances(tables: ConfigTables) -> Iterator[NoteFault]:
    addresses: dict[str, str] = {}
    for name, spec in tables.instances.items():
        path = f"instances.{name}"
        other = addresses.setdefault(spec.address, name)
        if other != name:
            message = f"{other} has the same address"
            yield NoteFault(f"{path}.address", FaultCode.SHARED_ADDRESS, message)
        pool = tables.pools.get(spec.pool)
        if pool is None:
            yield _dangling_reference(f"{path}.pool", "pool", spec.pool)
        else:
            yield from _check_accelerators(path, spec, pool)


def _check_accelerators(path: str, spec: InstanceSpec, pool: Pool) -> Iterator[NoteFault]:
    if spec.accelerators < pool.needs_accelerators:
        message = f"pool {pool.name} needs {pool.needs_accelerators} accelerators"
        yield NoteFault(f"{path}.accelerators", FaultCode.UNFIT, message)


def _check_pools(tables: ConfigTables) -> Iterator[NoteFault]:
    instance_counts = Counter(spec.pool for spec in tables.instances.values())
    for name, pool in tables.pools.items():
        path = f"pools.{name}.min_serving"
        if pool.min_serving > pool.size:
            message = f"budget {pool.min_serving} is above size {pool.size}"
            yield NoteFault(path, FaultCode.BUDGET, message)
        if pool.min_serving > instance_counts[name]:
            message = (
                f"budget {pool.min_serving} cannot hold with {instance_counts[name]} instances"
            )
            yield NoteFault(path, FaultCode.BUDGET, message)


def _check_queues(tables: ConfigTables) -> Iterator[NoteFault]:
    for name, queue in tables.queues.items():
        path = f"queues.{name}"
        if queue.pool not in tables.pools:
            yield _dangling_reference(f"{path}.pool", "pool", queue.pool)
        for index, team in enumerate(queue.teams):
            if team not in tables.teams:
                yield _dangling_reference(f"{path}.teams[{index}]", "team", team)
        if len(set(queue.teams)) < len(queue.teams):
            yield NoteFault(f"{path}.teams", FaultCode.DUPLICATE, "a team is named twice")
        yield from _check_open_team(tables, path, queue)


def _check_open_team(tables: ConfigTables, path: str, queue: Queue) -> Iterator[NoteFault]:
    path = f"{path}.open_team"
    if not queue.is_open:
        if queue.open_team is not None:
            yield NoteFault(path, FaultCode.NOT_OPEN, "only an open queue has an open team")
        if not tables.teams:
            yield NoteFault(f"queues.{queue.name}.teams", FaultCode.NO_TEAM, "there is no team")
        return
    if queue.open_team is None:
        yield NoteFault(path, FaultCode.NO_TEAM, "an open queue needs a team")
        return
    team = tables.teams.get(queue.open_team)
    if team is None:
        yield _dangling_reference(path, "team", queue.open_team)
    elif team.ceiling == 0:
        yield NoteFault(path, FaultCode.CEILING, f"the ceiling of {team.name} admits no work")


def _check_keys(tables: ConfigTables) -> Iterator[NoteFault]:
    for name, key in tables.keys.items():
        if key.team not in tables.teams:
            yield _dangling_reference(f"keys.{name}.team", "team", key.team)


def _check_limits(tables: ConfigTables) -> Iterator[NoteFault]:
    limit_names: dict[tuple[str, str | None], str] = {}
    for name, limit in tables.limits.items():
        path = f"limits.{name}"
        if limit.team not in tables.teams:
            yield _dangling_reference(f"{path}.team", "team", limit.team)
        other = limit_names.setdefault((limit.team, limit.queue), name)
        if other != name:
            message = f"{other} binds the same team and queue"
            yield NoteFault(path, FaultCode.DUPLICATE, message)
        if limit.queue is not None:
            yield from _check_limited_queue(tables, path, limit, limit.queue)


def _check_limited_queue(
    tables: ConfigTables, path: str, limit: Limit, name: str
) -> Iterator[NoteFault]:
    queue = tables.queues.get(name)
    if queue is None:
        yield _dangling_reference(f"{path}.queue", "queue", name)
    elif queue.teams and limit.team not in queue.teams and queue.open_team != limit.team:
        message = f"{limit.team} may not use {name}"
        yield NoteFault(f"{path}.queue", FaultCode.LIMIT, message)


def _dangling_reference(path: str, kind: str, name: str) -> NoteFault:
    return NoteFault(path, FaultCode.DANGLING, f"there is no {kind} {name}")
