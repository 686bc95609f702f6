"""Estimates of the waiting time of new work, which the owner publishes for admission."""

import math
from collections.abc import Container, Mapping
from statistics import median_low
from typing import NamedTuple

from almondstack.capacity import PoolState
from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.jobs import TaskStatus
from almondstack.jobs.admission_state import AdmissionState, wait_key
from almondstack.placement import Policies, RunTimes
from almondstack.placement.backlog import Backlog, waits_beyond_ms
from almondstack.placement.entitlements import Entitlements
from almondstack.placement.order import is_worthless

__all__ = ["AdmissionWaits"]

_MS_PER_S = 1000.0

_HOLD_S = 2.0
"""How long an account counts as beyond its entitlement after its demand was last beyond it.  While
it is rejected its demand falls to its entitlement, and it must not be let in again for that."""

_LAST_STATE_S = 5.0
"""How long a new owner goes by the state of the previous one, until it can compute its own."""

_NOTHING_KNOWN = AdmissionState(known_s=0.0)


class _HeldEntitlement(NamedTuple):
    """Entitlement in thousandths of a core, and the monotonic time until which it counts."""

    millis: int
    until_s: float


class AdmissionWaits:
    """Estimates how long new work would wait, for each pool and client account.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    planner : Planner
        Provides the policy of each job's queue.
    last_state : AdmissionState
        The state that the previous owner has published; used for a few seconds until the first
        update.
    run_times : RunTimes
        What was learned of the times that tasks take.
    move_s : float
        How long a move of an instance to a pool takes, in seconds.
    started_s : float
        Monotonic time at which the owner has taken over, in seconds.

    Attributes
    ----------
    state : AdmissionState
        The waits, and the accounts whose demand is beyond their entitlement.
    """

    __slots__ = ("_held", "_lead_ms", "_planner", "_run_times", "_started_s", "_table", "state")

    def __init__(
        self,
        table: RunTable,
        planner: Planner,
        last_state: AdmissionState,
        run_times: RunTimes,
        move_s: float = 0.0,
        started_s: float = 0.0,
    ) -> None:
        self._table = table
        self._planner = planner
        self._run_times = run_times
        self._lead_ms = move_s * _MS_PER_S
        self._started_s = started_s
        self._held: dict[str, _HeldEntitlement] = {}
        self.state = last_state

    def state_at(self, now_s: float) -> AdmissionState:
        """Return the state to go by at the monotonic time ``now_s``.

        Explanation
        -----------
        Without a list of the instances there is no update.  The accounts that the previous owner
        has published would count as beyond their entitlement without end.
        """
        if self.state.is_current or now_s < self._started_s + _LAST_STATE_S:
            return self.state
        return _NOTHING_KNOWN

    def update(
        self,
        states: list[PoolState],
        policies: Policies,
        entitlements: Entitlements,
        now_s: float,
        now_unix_ms: float,
        targets: Mapping[str, int] | None = None,
    ) -> None:
        """Recompute the waits.

        Parameters
        ----------
        states : list of PoolState
            The pools that are paid for.
        policies : Policies
            Weights and ceilings.
        entitlements : Entitlements
            What each client account may use of the fleet.
        now_s : float
            Monotonic time in seconds.
        now_unix_ms : float
            Unix time in milliseconds, for the times of jobs.
        targets : mapping of str to int, optional
            Instances that each pool is to have; as many as now by default.
        """
        backlogs = self._backlogs(states, targets or {}, now_unix_ms)
        waits_ms = {
            wait_key(pool, account): wait_ms
            for pool, backlog in backlogs.items()
            for account, wait_ms in backlog.waits_ms(policies.accounts).items()
        }
        self._hold_entitlements(backlogs, entitlements, now_s)
        entitled_millis = {account: held.millis for account, held in self._held.items()}
        waits_ms |= waits_beyond_ms(backlogs, entitled_millis)
        self.state = AdmissionState(
            waits_ms, entitled_millis, expected_ms=self._run_times.expected_ms
        )

    def _backlogs(
        self, states: list[PoolState], targets: Mapping[str, int], now_unix_ms: float
    ) -> dict[str, Backlog]:
        """Return the remaining work of each pool."""
        median_millis = _median_millis(states)
        backlogs = {
            state.name: _empty_backlog(
                state, targets.get(state.name, 0), self._lead_ms, median_millis
            )
            for state in states
        }
        for job in self._table.jobs.values():
            if not job.is_open or job.submission.is_long_running:
                continue
            policy = self._planner.policy_of(job.submission)
            backlog = backlogs.get(policy.pool)
            if backlog is None:
                continue
            if is_worthless(job, policy, now_unix_ms):
                continue
            ready = list(job.ready_steps(now_unix_ms))
            backlog.add(job)
            if any(task.status is TaskStatus.WAITING for tasks in ready for task in tasks):
                backlog.note_waiting()
        return backlogs

    def _hold_entitlements(
        self, backlogs: dict[str, Backlog], entitlements: Entitlements, now_s: float
    ) -> None:
        """Update the entitlements to hold, without the part that long-running tasks use.

        Explanation
        -----------
        They are those of the accounts whose demand is, or was a moment ago, beyond them.
        """
        until_s = now_s + _HOLD_S
        if not self.state.is_current:
            # Until the first update, the state is that of the previous owner.
            self._held = {
                account: _HeldEntitlement(millis, until_s)
                for account, millis in self.state_at(now_s).beyond.items()
            }
        self._held = {account: held for account, held in self._held.items() if held.until_s > now_s}
        if not entitlements.is_short:
            return
        accounts = {account for backlog in backlogs.values() for account in backlog.work_ms}
        beyond = {account for account in accounts if entitlements.covered_share(account) < 1.0}
        lasting_millis = self._lasting_millis(backlogs) if beyond or self._held else {}
        for account in beyond | self._held.keys():
            entitled = entitlements.entitled(account)
            if math.isinf(entitled):
                continue
            millis = max(1, round(entitled) - lasting_millis.get(account, 0))
            held_s = until_s if account in beyond else self._held[account].until_s
            self._held[account] = _HeldEntitlement(millis, held_s)

    def _lasting_millis(self, pools: Container[str]) -> dict[str, int]:
        """Return the demand of long-running tasks but fillers in some pools, by account."""
        lasting: dict[str, int] = {}
        for job in self._table.jobs.values():
            if not job.is_open or not job.submission.is_long_running:
                continue
            if self._planner.policy_of(job.submission).pool not in pools:
                continue
            steps = (step for step in job.submission.steps if step.is_long_running)
            millis = sum(step.count * step.cpu_millis for step in steps if not step.is_filler)
            account = job.submission.account
            lasting[account] = lasting.get(account, 0) + millis
        return lasting


def _empty_backlog(state: PoolState, target: int, lead_ms: float, median_millis: int) -> Backlog:
    """Return a backlog without work for a pool that is to have ``target`` instances."""
    size_millis = max((each.size_millis for each in state.candidates), default=median_millis)
    room_millis = _room_millis(state, size_millis)
    growth_millis = max(0, target - state.size) * size_millis
    return Backlog(room_millis, room_millis + growth_millis, lead_ms)


def _room_millis(state: PoolState, size_millis: int) -> int:
    usable_millis = sum(candidate.size_millis for candidate in state.candidates)
    room_millis = usable_millis + state.coming * size_millis - state.need.lasting_millis
    return max(room_millis, 0)


def _median_millis(states: list[PoolState]) -> int:
    """Return the median size of the usable instances of all pools; 0 if there are none."""
    sizes = [candidate.size_millis for state in states for candidate in state.candidates]
    return median_low(sizes) if sizes else 0
