"""Runs the rounds of a keeper: poll the platform, plan, append proposals, execute acts."""

import time

import msgspec

from almondstack.core import AlmondError, Clock, LocalMetrics
from almondstack.fleet import FleetSettings, FleetTracker, FleetView, Planner, Proposal
from almondstack.fold import Fold
from almondstack.keeper.act_executor import ActExecutor
from almondstack.keeper.gate import ProposalGate
from almondstack.keeper.phase_durations import PhaseDurationRecorder
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
    """Return a copy of the folded state that later records don't change."""
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
    """Runs the periodic planning rounds of a keeper.

    Explanation
    -----------
    A round reads the log to its end before it plans, so that a keeper that was
    paused for any time does not act on a state folded before the pause.

    Parameters
    ----------
    own : str
        Name of the instance that this keeper runs on.
    fold : Fold
        The folded state.
    log : LogClient
        Returns the end of the log.
    follower : Follower
        Reads the log and folds its records, in a thread of its own as well.
    writer : RecordWriter
        Appends the proposals.
    platform : PlatformClient
        Executes acts and returns usage reports.
    instance_list : InstanceList
        The platform's instance list, which lags.
    settings : FleetSettings
        Bounds and delays of the planner.
    metrics : LocalMetrics
        Counts rounds, proposals and failures.
    clock : Clock
        Monotonic and wall clock.
    """

    __slots__ = (
        "_clock",
        "_durations",
        "_executor",
        "_fold",
        "_follower",
        "_gate",
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
        self._durations = PhaseDurationRecorder(self._planner.estimates)
        self._gate = ProposalGate(own, settings)
        self._executor = ActExecutor(
            own, writer.author, platform, self._tracker, settings, metrics, clock
        )

    @property
    def planner(self) -> Planner:
        """The planner, with its estimated durations."""
        return self._planner

    @property
    def tracker(self) -> FleetTracker:
        """The observations of the fleet."""
        return self._tracker

    def run_once(self) -> None:
        """Run one round; it ends early if the log can't be read to its end."""
        self._poll_platform()
        log_read_s = self._clock.monotonic()
        if not self._catch_up():
            self._metrics.count("keeper.rounds.log-unavailable")
            return
        started_s = time.process_time()
        state = copy_state(self._fold)
        view_age_s = self._clock.monotonic() - log_read_s
        observations = self._tracker.observe(state, view_age_s, self._settings.unseen_after_s)
        self._durations.update(state, observations)
        proposals = self._planner.plan(state, observations)
        for proposal in self._gate.choose(proposals, state, observations.now_s):
            self._propose(proposal)
        planned_ms = (time.process_time() - started_s) * _MS_PER_S
        self._metrics.timing_ms("keeper.plan", planned_ms)
        self._metrics.count("keeper.rounds.done")
        self._executor.execute_needed(FleetView(state, observations, self._settings), log_read_s)

    def _propose(self, proposal: Proposal) -> None:
        try:
            self._writer.submit(proposal.body)
        except LogError as error:
            self._metrics.count(f"keeper.proposals.put-off.{error.code}")
            return
        self._metrics.count("keeper.proposals.made")

    def _poll_platform(self) -> None:
        try:
            self._tracker.update_usage(self._platform.usage())
        except PlatformError as error:
            self._metrics.count(f"keeper.look.{error.code}")
        try:
            self._tracker.update_instance_list(self._list.read())
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
