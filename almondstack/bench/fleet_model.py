"""Modelled fleets for benchmarks: today's deployments and larger fleets.

The largest size that benchmarks use is that expected in two years.
"""

import msgspec

from almondstack.model import Configured, InstanceSpec, Pool, ReleaseNote

__all__ = ["FleetShape", "deployment_shape", "sized_shape"]

_RACK_SIZE = 4
_POOL_SIZE = 6
_SIZE_CYCLE = (2, 3, 4, 2, 3)


class FleetShape(msgspec.Struct, frozen=True):
    """A modelled fleet.

    Parameters
    ----------
    name : str
        Name of the fleet in results.
    note : ReleaseNote
        Release note that declares the fleet.
    drain_s, reboot_s : float
        Durations of a drain and of a reboot, in seconds.
    """

    name: str
    note: ReleaseNote
    drain_s: float
    reboot_s: float


def deployment_shape(name: str) -> FleetShape:
    """Return a fleet of four pools of six and a spare pool of six, in three zones."""
    return _shape(name, [_POOL_SIZE] * 4, _POOL_SIZE, zones=3, drain_s=20.0, reboot_s=180.0)


def sized_shape(instances: int, zones: int) -> FleetShape:
    """Return a fleet of ``instances`` instances, spares included, in pools of up to four."""
    spares = max(instances // 25, 2)
    sizes: list[int] = []
    while sum(sizes) < instances - spares:
        size = _SIZE_CYCLE[len(sizes) % len(_SIZE_CYCLE)]
        sizes.append(min(size, instances - spares - sum(sizes)))
    name = f"{instances} instances"
    return _shape(name, sizes, spares, zones=zones, drain_s=20.0, reboot_s=180.0)


def _shape(
    name: str, sizes: list[int], spares: int, zones: int, drain_s: float, reboot_s: float
) -> FleetShape:
    pools = [
        Pool(name=f"p{number}", min_serving=max(size * 2 // 3, 1) if size > 1 else 0, size=size)
        for number, size in enumerate(sizes)
    ]
    pools.append(Pool(name="spare", min_serving=0, size=spares, is_spare=True))
    specs = []
    count = 0
    for pool in pools:
        for _ in range(pool.size):
            specs.append(_spec(pool.name, count, zones))
            count += 1
    added = Configured(pools=tuple(pools), instances=tuple(specs))
    return FleetShape(name, ReleaseNote(added=added), drain_s, reboot_s)


def _spec(pool: str, number: int, zones: int) -> InstanceSpec:
    zone = number % zones
    rack = number // zones // _RACK_SIZE
    return InstanceSpec(
        name=f"i{number}",
        pool=pool,
        zone=f"z{zone}",
        rack=f"z{zone}r{rack}",
        address=f"127.2.{number // 250}.{number % 250 + 1}:8000",
    )
