"""Fold functions of the records that change the configuration."""

import msgspec

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.fold.tables import table_with, table_without
from almondstack.model import (
    FleetState,
    InstanceSpec,
    InstanceState,
    KeyGranted,
    KeyRevoked,
    LeavingQueue,
    LeavingTeam,
    ReleaseApplied,
)
from almondstack.release_note import ConfigTables, merge_and_check

__all__: list[str] = []


@fold_body.register
def _(body: ReleaseApplied, state: FleetState, context: FoldContext) -> None:
    if body.base_revision != state.revision:
        raise RefusedError(Refusal.REVISION_CONFLICT, f"revision {state.revision} is in force")
    tables, faults = merge_and_check(state, body.note)
    if faults:
        raise RefusedError(Refusal.NOTE_INVALID, f"{faults[0].path}: {faults[0].message}")
    state.revision += 1
    _install_teams(state, tables, context)
    _install_queues(state, tables, context)
    state.keys = dict(tables.keys)
    state.limits = dict(tables.limits)
    revoked = {name: context.offset for name in body.note.withdrawn.keys}
    state.revoked = {**revoked, **state.revoked}
    _install_instances(state, tables.instances, context)
    _install_pools(state, tables, context)


def _install_teams(state: FleetState, tables: ConfigTables, context: FoldContext) -> None:
    for name, team in state.teams.items():
        if name not in tables.teams:
            leaving = LeavingTeam(context.offset, team)
            state.leaving_teams = table_with(state.leaving_teams, name, leaving)
    state.teams = dict(tables.teams)
    state.leaving_teams = table_without(state.leaving_teams, tables.teams)


def _install_queues(state: FleetState, tables: ConfigTables, context: FoldContext) -> None:
    for name, queue in state.queues.items():
        if name not in tables.queues:
            leaving = LeavingQueue(context.offset, queue)
            state.leaving_queues = table_with(state.leaving_queues, name, leaving)
    state.queues = dict(tables.queues)
    state.leaving_queues = table_without(state.leaving_queues, tables.queues)


def _install_pools(state: FleetState, tables: ConfigTables, context: FoldContext) -> None:
    """Install the pools; a withdrawn one keeps no budget and stays until it owns no instance."""
    leaving = {name: pool for name, pool in state.pools.items() if name not in tables.pools}
    for name, pool in leaving.items():
        leaving[name] = msgspec.structs.replace(pool, min_serving=0, size=0)
    state.pools = {**tables.pools, **leaving}
    state.leaving_pools = {name: state.leaving_pools.get(name, context.offset) for name in leaving}


def _install_instances(
    state: FleetState, specs: dict[str, InstanceSpec], context: FoldContext
) -> None:
    instances = dict(state.instances)
    for name, spec in specs.items():
        current = instances.get(name)
        if current is None:
            instances[name] = InstanceState(spec=spec, pool=spec.pool, version=context.offset)
        elif current.spec != spec or current.is_withdrawn:
            instances[name] = msgspec.structs.replace(
                current, spec=spec, is_withdrawn=False, version=context.offset
            )
    for name, current in state.instances.items():
        if name not in specs and not current.is_withdrawn:
            instances[name] = msgspec.structs.replace(
                current, is_withdrawn=True, version=context.offset
            )
    state.instances = instances


@fold_body.register
def _(body: KeyGranted, state: FleetState, context: FoldContext) -> None:
    key = body.key
    if key.team not in state.teams:
        raise RefusedError(Refusal.NO_SUCH_TEAM, key.team)
    if key.id in state.keys or key.id in state.revoked:
        raise RefusedError(Refusal.KEY_EXISTS, key.id)
    state.keys = table_with(state.keys, key.id, key)
    state.revision += 1


@fold_body.register
def _(body: KeyRevoked, state: FleetState, context: FoldContext) -> None:
    if body.key_id in state.revoked:
        return
    state.revoked = table_with(state.revoked, body.key_id, context.offset)
    state.keys = table_without(state.keys, [body.key_id])
    state.revision += 1


@subject_of.register
def _(body: ReleaseApplied) -> str:
    return "config/release"


@subject_of.register
def _(body: KeyGranted) -> str:
    return f"key/{body.key.id}"


@subject_of.register
def _(body: KeyRevoked) -> str:
    return f"key/{body.key_id}"
