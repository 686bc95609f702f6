"""Weighted fair queueing of the waiting calls of one pool across teams.

Explanation
-----------
Weighted max-min fairness over running calls: the next start goes to the team
with the fewest running calls in the fleet per unit of share, its level.  That
alone leaves a constant deviation where the shares do not divide the slots
evenly, and it reacts to outdated totals.  So the deviation from the common level
is integrated over time, as start-time fair queueing (Goyal, Vin and Cheng 1996)
does with service: a team that was below the common level for some seconds is
preferred until it has caught up.  A team without waiting calls accumulates no
credit.

The running totals of other entries arrive with a delay.  If every entry acted on
them immediately, all entries would favour the same team and overshoot together.
So the level of a team is a complementary filter: starts at this entry count
immediately, scaled up to the fleet, and the difference between the scaled local
level and the fleet's level is low-pass filtered.  The time constant has to be
several times the age of the totals.
"""

import math
from collections.abc import Iterator

from almondstack.model import Team
from almondstack.queueing.settings import QueueingSettings
from almondstack.queueing.team_queue import TeamQueue
from almondstack.queueing.usage import FleetUsage

__all__ = ["PoolQueue"]


class PoolQueue:
    """Queues of all teams of one pool; guarded by the lock of the scheduler.

    Parameters
    ----------
    pool : str
        Name of the pool.
    settings : QueueingSettings
        Limits and gains.
    usage : FleetUsage
        Running calls of other entries.
    """

    __slots__ = ("_scale", "_settings", "_updated_s", "_usage", "pool", "teams", "waiting_count")

    def __init__(self, pool: str, settings: QueueingSettings, usage: FleetUsage) -> None:
        self.pool = pool
        self._settings = settings
        self._usage = usage
        self._updated_s = 0.0
        self._scale = 1.0
        self.teams: dict[str, TeamQueue] = {}
        self.waiting_count = 0

    def team_queue(self, team: Team) -> TeamQueue:
        """Return the queue of ``team``, updated to its current share."""
        found = self.teams.get(team.name)
        if found is None:
            found = self.teams[team.name] = TeamQueue(team)
        found.team = team
        return found

    def note_start(self, queue: TeamQueue) -> None:
        """Count a call of ``queue`` that took a slot."""
        queue.running += 1
        queue.level += self._scale / queue.team.share

    def update(self, now_s: float) -> None:
        """Apply the totals of other entries and integrate deviations up to ``now_s``."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._update_levels(elapsed_s)
        active: list[TeamQueue] = []
        for queue in self.teams.values():
            if queue.is_waiting and not queue.is_blocked:
                active.append(queue)
            else:
                queue.lag_s = 0.0
        if len(active) > 1:
            self._integrate(active, elapsed_s)

    def in_order(self, now_s: float) -> Iterator[TeamQueue]:
        """Yield the queues with waiting calls, in the order in which they are served."""
        active = [queue for queue in self.teams.values() if queue.is_waiting]
        if not active:
            return
        ranks = self._ranks(active, now_s)
        first = min(active, key=lambda queue: ranks[queue.team.name])
        yield first
        rest = [queue for queue in active if queue is not first]
        yield from sorted(rest, key=lambda queue: ranks[queue.team.name])

    def _ranks(self, active: list[TeamQueue], now_s: float) -> dict[str, tuple[bool, float]]:
        """Return the rank of each team; the lowest rank is served first."""
        gain = self._settings.share_gain_per_s
        common = _common_level(active)
        return {
            queue.team.name: (
                not self._may_overdraw(queue, common, now_s),
                queue.level - gain * queue.lag_s,
            )
            for queue in active
        }

    def _update_levels(self, elapsed_s: float) -> None:
        """Recompute the levels with the low-pass filtered difference to the fleet's levels."""
        local = fleet = 0
        for queue in self.teams.values():
            queue.running_elsewhere = self._usage.running_elsewhere(self.pool, queue.team.name)
            local += queue.running
            fleet += queue.running_elsewhere
        fleet += local
        self._scale = fleet / local if local else 1.0
        weight = 1 - math.exp(-elapsed_s / self._settings.fleet_smoothing_s)
        for queue in self.teams.values():
            share = queue.team.share
            own = queue.running * self._scale / share
            difference = own - (queue.running + queue.running_elsewhere) / share
            queue.level_correction += weight * (difference - queue.level_correction)
            queue.level = own - queue.level_correction

    def _integrate(self, active: list[TeamQueue], elapsed_s: float) -> None:
        common = _common_level(active)
        bound = self._settings.max_lag_s * max(common, 1.0)
        for queue in active:
            lag_s = queue.lag_s + (common - queue.level) * elapsed_s
            queue.lag_s = min(bound, max(-bound, lag_s))

    def _may_overdraw(self, queue: TeamQueue, common: float, now_s: float) -> bool:
        head = queue.urgent_head()
        if head is None or now_s - head.enqueued_s < self._settings.urgent_patience_s:
            return False
        excess = (queue.level - common) * queue.team.share
        owed = -queue.lag_s * queue.team.share
        overdraft = self._settings.urgent_overdraft_slots
        return excess < overdraft and owed < overdraft * self._settings.urgent_debt_s


def _common_level(active: list[TeamQueue]) -> float:
    share = 0
    running = 0.0
    for queue in active:
        share += queue.team.share
        running += queue.level * queue.team.share
    return running / share if share else 0.0
