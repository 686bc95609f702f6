"""Test harness and builders for the scheduler, for tests and benchmarks."""

import itertools
from typing import Any

from almondstack.core import NodeSettings
from almondstack.dispatch import (
    BufferedBody,
    Call,
    DepartureTracker,
    DispatchSettings,
    HealthTracker,
    NoLeavingList,
    UpstreamChooser,
)
from almondstack.fold import Fold
from almondstack.model import Queue, Team
from almondstack.permits import ceiling_resource, slots_resource
from almondstack.queueing import FairScheduler, FleetUsage, NoFleetUsage, QueueingSettings
from almondstack.testing.builders import make_fold, make_instance, make_note, make_pool
from almondstack.testing.clocks import ManualClock
from almondstack.testing.fake_permits import FakePermits

__all__ = ["QUEUE", "SchedulerHarness", "make_call", "make_node", "make_pool_fold"]

QUEUE = Queue(name="invoices", pool="score")
_numbers = itertools.count(1)


def make_node(name: str = "e1", zone: str = "a") -> NodeSettings:
    """Return the node settings of an entry."""
    return NodeSettings(deployment="test", name=name, zone=zone)


def make_call(
    team: Team,
    deadline_s: float,
    *,
    is_urgent: bool = False,
    is_idempotent: bool = False,
    queue: Queue = QUEUE,
    body: bytes = b"",
    call_id: str = "",
) -> Call:
    """Return a call; without ``call_id`` it gets a unique one."""
    return Call(
        call_id=call_id or f"call-{next(_numbers)}",
        team=team,
        queue=queue,
        body=BufferedBody(body),
        deadline_s=deadline_s,
        is_idempotent=is_idempotent,
        is_urgent=is_urgent,
    )


def make_pool_fold(
    teams: tuple[Team, ...], instances: int = 2, slots: int = 2, **pool_fields: Any
) -> Fold:
    """Return a fold with one pool, whose instances are spread over three zones and racks."""
    specs = tuple(
        make_instance(f"u{i}", zone="abc"[i % 3], rack=f"r{i % 3}", slots=slots)
        for i in range(1, instances + 1)
    )
    pool = make_pool(size=instances, min_serving=1, **pool_fields)
    note = make_note(pools=(pool,), teams=teams, instances=specs, keys=(), queues=(QUEUE,))
    return make_fold(note)


class SchedulerHarness:
    """A scheduler over fake permits and a manual clock.

    Parameters
    ----------
    teams : tuple of Team
        Teams of the pool.
    instances, slots : int
        Number of upstreams of the pool, and of slots of each.
    settings : QueueingSettings, optional
        Limits and gains.
    usage : FleetUsage, optional
        Running calls of other entries.
    clock : ManualClock, optional
        Clock shared with other harnesses of one simulation.
    """

    __slots__ = ("chooser", "clock", "departures", "fold", "health", "permits", "scheduler")

    def __init__(
        self,
        teams: tuple[Team, ...],
        instances: int = 2,
        slots: int = 2,
        settings: QueueingSettings | None = None,
        usage: FleetUsage | None = None,
        clock: ManualClock | None = None,
    ) -> None:
        self.fold = make_pool_fold(teams, instances, slots)
        self.clock = clock or ManualClock()
        held = {ceiling_resource(team.name): team.ceiling for team in teams}
        held |= {slots_resource(f"u{i}"): slots for i in range(1, instances + 1)}
        self.permits = FakePermits(held)
        dispatch = DispatchSettings()
        self.health = HealthTracker(dispatch.health, self.clock)
        self.departures = DepartureTracker(NoLeavingList(), self.clock)
        self.chooser = UpstreamChooser(
            dispatch, make_node(), self.fold, self.permits, self.health, self.departures
        )
        self.scheduler = FairScheduler(
            settings or QueueingSettings(),
            self.fold,
            self.permits,
            self.chooser,
            usage or NoFleetUsage(),
            self.clock,
        )
