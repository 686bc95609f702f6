"""Table of instances that are moving, withdrawn or out of service, for ``almondctl``."""

import msgspec

from almondstack.model import FleetState, InstanceState

__all__ = ["InstanceRow", "instance_rows"]


class InstanceRow(msgspec.Struct, frozen=True):
    """An instance that is not serving, is withdrawn, or is not in its configured pool."""

    instance: str
    pool: str
    phase: str
    target: str
    is_withdrawn: bool
    reason: str


def instance_rows(state: FleetState, pool: str | None = None) -> list[InstanceRow]:
    """Return instances not serving, withdrawn or not in their configured pool, sorted by name.

    If ``pool`` is given, only instances that are in it or configured for it.
    """
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
