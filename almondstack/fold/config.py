"""Fold of the records by which operators change the configuration."""

import msgspec

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.model import (
    FleetState,
    InstanceSpec,
    InstanceState,
    KeyGranted,
    KeyRevoked,
    ReleaseApplied,
)
from almondstack.note import ConfigTables, check_tables, config_tables, merge_note

__all__: list[str] = []


@fold_body.register
def _(body: ReleaseApplied, state: FleetState, context: FoldContext) -> None:
    if body.base_revision != state.revision:
        raise RefusedError(Refusal.REVISION_CONFLICT, f"revision {state.revision} is in force")
    tables, faults = merge_note(config_tables(state), body.note)
    faults.extend(check_tables(tables))
    revoked = [name for name in tables.keys if name in state.revoked]
    if faults:
        raise RefusedError(Refusal.NOTE_INVALID, f"{faults[0].path}: {faults[0].message}")
    if revoked:
        raise RefusedError(Refusal.NOTE_INVALID, f"key {revoked[0]} was revoked")
    _install(state, tables, body, context)


def _install(
    state: FleetState, tables: ConfigTables, body: ReleaseApplied, context: FoldContext
) -> None:
    state.revision += 1
    state.pools = dict(tables.pools)
    state.teams = dict(tables.teams)
    state.keys = dict(tables.keys)
    state.queues = dict(tables.queues)
    state.limits = dict(tables.limits)
    for name in body.note.withdrawn.keys:
        state.revoked.setdefault(name, context.offset)
    _install_instances(state, tables.instances, context)


def _install_instances(
    state: FleetState, specs: dict[str, InstanceSpec], context: FoldContext
) -> None:
    for name, spec in specs.items():
        known = state.instances.get(name)
        if known is None:
            state.instances[name] = InstanceState(spec=spec, pool=spec.pool, version=context.offset)
        elif known.spec != spec or known.is_withdrawn:
            state.instances[name] = msgspec.structs.replace(
                known, spec=spec, is_withdrawn=False, version=context.offset
            )
    for name, known in list(state.instances.items()):
        if name not in specs and not known.is_withdrawn:
            state.instances[name] = msgspec.structs.replace(
                known, is_withdrawn=True, version=context.offset
            )


@fold_body.register
def _(body: KeyGranted, state: FleetState, context: FoldContext) -> None:
    key = body.key
    if key.team not in state.teams:
        raise RefusedError(Refusal.NO_SUCH_TEAM, key.team)
    if key.id in state.keys or key.id in state.revoked:
        raise RefusedError(Refusal.KEY_EXISTS, key.id)
    state.keys[key.id] = key
    state.revision += 1


@fold_body.register
def _(body: KeyRevoked, state: FleetState, context: FoldContext) -> None:
    state.revoked.setdefault(body.key_id, context.offset)
    state.keys.pop(body.key_id, None)
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
