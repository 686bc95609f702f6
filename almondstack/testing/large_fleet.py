"""Release notes and folds of fleets of any size, for benchmarks.

Pools and teams scale with the instances in the proportions of the largest fleet.
"""

import math

from almondstack.core import hash_secret
from almondstack.fold import Fold
from almondstack.model import (
    Configured,
    InstanceSpec,
    Key,
    Pool,
    Queue,
    ReleaseApplied,
    ReleaseNote,
    Team,
    encode_record,
)

__all__ = ["FULL_INSTANCES", "make_large_fold", "make_large_note"]

FULL_INSTANCES = 740
_FULL_POOLS = 255
_FULL_TEAMS = 25
_ZONE_COUNT = 9
_INSTANCES_PER_RACK = 4


def make_large_note(instances: int = FULL_INSTANCES) -> ReleaseNote:
    """Return a valid note with ``instances`` instances, and pools and teams in proportion.

    Examples
    --------
    >>> from almondstack.testing.large_fleet import make_large_note
    >>> added = make_large_note(740).added
    >>> len(added.instances), len(added.pools), len(added.teams)
    (740, 255, 25)
    """
    pool_count = math.ceil(instances * _FULL_POOLS / FULL_INSTANCES)
    team_count = math.ceil(instances * _FULL_TEAMS / FULL_INSTANCES)
    specs = tuple(_instance(number, pool_count) for number in range(instances))
    sizes = [sum(spec.pool == f"p{number}" for spec in specs) for number in range(pool_count)]
    teams = [f"t{number}" for number in range(team_count)]
    return ReleaseNote(
        added=Configured(
            pools=tuple(
                Pool(name=f"p{number}", min_serving=max(size - 1, 1), size=size)
                for number, size in enumerate(sizes)
            ),
            instances=specs,
            teams=tuple(Team(name=team, share=1, ceiling=64) for team in teams),
            keys=tuple(
                Key(id=f"{team}-{number}", team=team, digest=hash_secret("secret"))
                for team in teams
                for number in range(4)
            ),
            queues=tuple(
                Queue(name=f"q{number}", pool=f"p{number}") for number in range(pool_count)
            ),
        )
    )


def make_large_fold(instances: int = FULL_INSTANCES) -> Fold:
    """Return a fold in which :func:`make_large_note` is in force."""
    fold = Fold()
    record = encode_record("operator", 1, ReleaseApplied(0, make_large_note(instances)))
    verdict = fold.apply(0, record)
    assert verdict is not None and verdict.is_accepted, verdict
    return fold


def _instance(number: int, pool_count: int) -> InstanceSpec:
    zone = f"z{number % _ZONE_COUNT}"
    rack = f"{zone}r{number // _ZONE_COUNT // _INSTANCES_PER_RACK}"
    return InstanceSpec(
        name=f"u{number}",
        pool=f"p{number % pool_count}",
        zone=zone,
        rack=rack,
        address=f"127.{200 + number // 200}.1.{number % 200 + 1}:8000",
    )
