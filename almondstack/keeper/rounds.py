"""One keeper's rounds: look, plan, propose, act."""

import time

import msgspec

from almondstack.core import AlmondError, Clock, LocalMetrics
from almondstack.fleet import FleetSettings, FleetTracker, FleetView, Planner, Proposal
from almondstack.fold import Fold
from almondstack.keeper.actor import Actor
from almondstack.keeper.gate import ProposalGate
from almondstack.keeper.lessons import Lessons
from almondstack.log import FLEET, Follower, LogClient, LogError, RecordWriter
from almondstack.model import FleetState
from almondstack.provider import (
    InstanceList,
    InstanceListError,
    PlatformClient,
    PlatformError,
)

__all__ = ["KeeperRounds", "copy_state"]

_MS_PER_S = 1000


def copy_state(fold: Fold) -> FleetState:
    """Return the state of one offset, which later records don't change."""
    with fold.lock:
        state = fold.state
        return msgspec.structs.replace(
            state,
            pools=dict(state.pools),
            instances=dict(state.instances),
            entries=dict(state.entries),
            waves=dict(state.waves),
        )


class KeeperRounds:
    """What a keeper does again and again.

    Explanation
    -----------
    A round begins by reading the log to its end, so that a keeper which was
    paused for any time acts upon nothing that it folded before the pause.

    Parameters
    ----------
    own : str
        Name of the instance that this keeper runs on.
    fold : Fold
        The folded state.
    log : LogClient
        Asked for its end.
    follower : Follower
        Folds in a thread of its own, and knows how long the log is silent.
    writer : RecordWriter
        Appends the proposals.
    platform : PlatformClient
        Acts and reports.
    instance_list : InstanceList
        The lagging list.
    settings : FleetSettings
        Bounds and waiting times.
    metrics : LocalMetrics
        Counts rounds, proposals and failures.
    clock : Clock
        All times.
    """

    __slots__ = (
        "_actor",
        "_clock",
        "_fold",
        "_follower",
        "_gate",
        "_lessons",
        "_list",
        "_log",
        "_metrics",
        "_planner",
        "_platform",
        "_settings",
        "_tracker",
        "_writer",
    )

    def __init__(
        self,
        own: str,
        fold: Fold,
        log: LogClient,
        follower: Follower,
        writer: RecordWriter,
        platform: PlatformClient,
        instance_list: InstanceList,
        settings: FleetSettings,
        metrics: LocalMetrics,
        clock: Clock,
    ) -> None:
        self._fold = fold
        self._log = log
        self._follower = follower
        self._writer = writer
        self._platform = platform
        self._list = instance_list
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._tracker = FleetTracker(clock)
        self._planner = Planner(settings)
        self._lessons = Lessons(self._planner.estimates)
        self._gate = ProposalGate(own, settings)
        self._actor = Actor(own, writer.author, platform, self._tracker, settings, metrics, clock)

    @property
    def planner(self) -> Planner:
        """Plans, and has learned run times."""
        return self._planner

    @property
    def tracker(self) -> FleetTracker:
        """What was seen of the fleet."""
        return self._tracker

    def run_once(self) -> None:
        """Look, plan, propose and act once."""
        self._look()
        seen_log_s = self._clock.monotonic()
        if not self._catch_up():
            self._metrics.count("keeper.rounds.log-unavailable")
            return
        started_s = time.process_time()
        state = copy_state(self._fold)
        view_age_s = self._clock.monotonic() - seen_log_s
        seen = self._tracker.observe(state, view_age_s, self._settings.unseen_after_s)
        self._lessons.learn(state, seen)
        proposals = self._planner.plan(state, seen)
        for proposal in self._gate.choose(proposals, state, seen.now_s):
            self._propose(proposal)
        planned_ms = (time.process_time() - started_s) * _MS_PER_S
        self._metrics.timing_ms("keeper.plan", planned_ms)
        self._metrics.count("keeper.rounds.done")
        self._actor.act(FleetView(state, seen, self._settings), seen_log_s)

    def _propose(self, proposal: Proposal) -> None:
        try:
            self._writer.submit(proposal.body)
        except LogError as error:
            self._metrics.count(f"keeper.proposals.put-off.{error.code}")
            return
        self._metrics.count("keeper.proposals.made")

    def _look(self) -> None:
        try:
            self._tracker.note_usage(self._platform.usage())
        except PlatformError as error:
            self._metrics.count(f"keeper.look.{error.code}")
        try:
            self._tracker.note_list(self._list.read())
        except InstanceListError as error:
            self._metrics.count(f"keeper.look.{error.code}")

    def _catch_up(self) -> bool:
        try:
            end = self._log.bounds(FLEET).next_offset
            while self._fold.next_offset < end and self._follower.may_decide:
                self._follower.poll()
        except AlmondError as error:
            self._metrics.count(f"keeper.catch-up.{error.code}")
            return False
        return self._follower.may_decide
