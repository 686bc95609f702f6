"""Instances that are not simply serving, as ``almondctl`` shows them."""

import msgspec

from almondstack.model import FleetState, InstanceState

__all__ = ["InstanceRow", "instance_rows"]


class InstanceRow(msgspec.Struct, frozen=True):
    """An instance that is not simply serving in its pool."""

    instance: str
    pool: str
    phase: str
    target: str
    is_withdrawn: bool
    reason: str


def instance_rows(state: FleetState, pool: str | None = None) -> list[InstanceRow]:
    """Return the instances that are not simply serving; only those of ``pool`` if given."""
    return [
        InstanceRow(
            instance=name,
            pool=item.pool,
            phase=item.phase.value,
            target=item.target_pool or (item.spec.pool if item.spec.pool != item.pool else ""),
            is_withdrawn=item.is_withdrawn,
            reason=item.reason,
        )
        for name, item in sorted(state.instances.items())
        if pool in (None, item.pool, item.spec.pool) and _is_under_way(item)
    ]


def _is_under_way(item: InstanceState) -> bool:
    return not item.is_serving or item.is_withdrawn or item.spec.pool != item.pool
