"""Warns of parts of a configuration that are valid but probably unintended."""

from collections import Counter
from collections.abc import Iterator

from almondstack.model import InstanceSpec, Pool
from almondstack.release_note.faults import FaultCode, NoteFault
from almondstack.release_note.merge import ConfigTables

__all__ = ["warn_tables"]

_MAX_REQUESTS_PER_SLOT_AND_S = 1000


def warn_tables(tables: ConfigTables) -> Iterator[NoteFault]:
    """Yield every warning about a configuration."""
    by_pool: dict[str, list[InstanceSpec]] = {}
    for spec in tables.instances.values():
        by_pool.setdefault(spec.pool, []).append(spec)
    for name, pool in tables.pools.items():
        yield from _warn_pool(pool, by_pool.get(name, []))
    yield from _warn_sizes(tables)
    yield from _warn_teams(tables)
    yield from _warn_limits(tables)
    yield from _warn_queues(tables)


def _warn_pool(pool: Pool, specs: list[InstanceSpec]) -> Iterator[NoteFault]:
    path = f"pools.{pool.name}.min_serving"
    if pool.min_serving == len(specs) > 0:
        message = "no instance may stop, so maintenance cannot begin"
        yield NoteFault(path, FaultCode.NO_MAINTENANCE, message)
    racks = Counter((spec.zone, spec.rack) for spec in specs)
    zones = Counter(spec.zone for spec in specs)
    if racks:
        (zone, rack), lost = racks.most_common(1)[0]
        yield from _warn_loss(pool, FaultCode.RACK_LOSS, f"rack {zone}/{rack}", lost, len(specs))
    if len(zones) > 1:
        zone, lost = zones.most_common(1)[0]
        yield from _warn_loss(pool, FaultCode.ZONE_LOSS, f"zone {zone}", lost, len(specs))


def _warn_loss(
    pool: Pool, code: FaultCode, domain: str, lost: int, count: int
) -> Iterator[NoteFault]:
    if count - lost < pool.min_serving <= count:
        message = f"the loss of {domain} leaves {count - lost} of {pool.min_serving}"
        yield NoteFault(f"pools.{pool.name}.min_serving", code, message)


def _warn_sizes(tables: ConfigTables) -> Iterator[NoteFault]:
    total = sum(pool.size for pool in tables.pools.values())
    if total > len(tables.instances):
        message = f"sizes add up to {total} with {len(tables.instances)} instances"
        for name in tables.pools:
            yield NoteFault(f"pools.{name}.size", FaultCode.SIZE, message)
            return


def _warn_teams(tables: ConfigTables) -> Iterator[NoteFault]:
    slots = sum(spec.slots for spec in tables.instances.values())
    for name, team in tables.teams.items():
        if team.ceiling > slots:
            message = f"the fleet has only {slots} slots"
            yield NoteFault(f"teams.{name}.ceiling", FaultCode.CEILING, message)
    for pool in tables.pools:
        yield from _warn_shares(tables, pool)


def _warn_shares(tables: ConfigTables, pool: str) -> Iterator[NoteFault]:
    """Warn of teams whose ceiling is below their share of one pool's slots."""
    slots = sum(spec.slots for spec in tables.instances.values() if spec.pool == pool)
    teams = [tables.teams[name] for name in sorted(_teams_using(tables, pool))]
    shares = sum(team.share for team in teams)
    for team in teams:
        share_slots = slots * team.share // shares
        if team.ceiling < share_slots:
            message = (
                f"the share of pool {pool} is worth {share_slots} slots, which the ceiling forbids"
            )
            yield NoteFault(f"teams.{team.name}.ceiling", FaultCode.SHARE, message)


def _teams_using(tables: ConfigTables, pool: str) -> set[str]:
    names: set[str] = set()
    for queue in tables.queues.values():
        if queue.pool == pool:
            names.update(queue.teams or tables.teams)
            names.update([queue.open_team] if queue.open_team else [])
    return names & set(tables.teams)


def _warn_limits(tables: ConfigTables) -> Iterator[NoteFault]:
    slots = sum(spec.slots for spec in tables.instances.values())
    for name, limit in tables.limits.items():
        if limit.per_second > slots * _MAX_REQUESTS_PER_SLOT_AND_S:
            message = f"{slots} slots never run {limit.per_second} requests a second"
            yield NoteFault(f"limits.{name}.per_second", FaultCode.LIMIT, message)
        if limit.burst < limit.per_second // 10:
            message = "the burst is so small that the rate is never reached"
            yield NoteFault(f"limits.{name}.burst", FaultCode.LIMIT, message)


def _warn_queues(tables: ConfigTables) -> Iterator[NoteFault]:
    for name, queue in tables.queues.items():
        for index, team_name in enumerate(queue.teams):
            team = tables.teams.get(team_name)
            if team is not None and team.ceiling == 0:
                message = f"the ceiling of {team_name} admits no work"
                yield NoteFault(f"queues.{name}.teams[{index}]", FaultCode.CEILING, message)
