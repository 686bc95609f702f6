"""Builds release notes for fleet tests."""

from almondstack.model import Configured, InstanceSpec, Pool, Queue, ReleaseNote
from almondstack.testing.builders import make_instance, make_team

__all__ = ["fleet_note", "spread_instances"]

_ZONES = ("a", "b", "c")
_RACK_SIZE = 4


def spread_instances(pool: str, prefix: str, count: int, first: int = 0) -> list[InstanceSpec]:
    """Return specifications of instances spread over three zones, up to four per rack."""
    found = []
    for number in range(first, first + count):
        zone = _ZONES[number % len(_ZONES)]
        rack = f"{zone}{number // (len(_ZONES) * _RACK_SIZE) + 1}"
        address = f"127.1.{number // 250}.{number % 250 + 1}:8000"
        name = f"{prefix}{number}"
        found.append(make_instance(name, pool=pool, zone=zone, rack=rack, address=address))
    return found


def fleet_note(spares: int = 2) -> ReleaseNote:
    """Return a note with two pools of four, budgets of three and two, and a spare pool."""
    pools = (
        Pool(name="score", min_serving=3, size=4, run_time_bound_s=10.0),
        Pool(name="match", min_serving=2, size=4, run_time_bound_s=10.0),
        Pool(name="spare", min_serving=0, size=spares, is_spare=True),
    )
    instances = (
        *spread_instances("score", "u", 4),
        *spread_instances("match", "m", 4, first=4),
        *spread_instances("spare", "s", spares, first=8),
    )
    queue = Queue(name="invoices", pool="score")
    added = Configured(pools=pools, instances=instances, teams=(make_team(),), queues=(queue,))
    return ReleaseNote(added=added)
