"""Estimates of the waiting time of new work, which the owner publishes for admission."""

from almondstack.capacity import PoolState
from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.jobs import TaskStatus
from almondstack.placement import Policies
from almondstack.placement.backlog import Backlog, wait_key
from almondstack.placement.order import is_worthless

__all__ = ["AdmissionWaits"]


class AdmissionWaits:
    """Estimates how long new work would wait, for each pool and client account.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    planner : Planner
        Provides the policy of each job's queue.
    """

    __slots__ = ("_planner", "_table", "waits_ms")

    def __init__(self, table: RunTable, planner: Planner) -> None:
        self._table = table
        self._planner = planner
        self.waits_ms: dict[str, int] = {}

    def update(self, states: list[PoolState], policies: Policies, now_unix_ms: float) -> None:
        """Recompute the waits."""
        backlogs = {state.name: Backlog(_room_millis(state)) for state in states}
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
        self.waits_ms = {
            wait_key(pool, account): wait_ms
            for pool, backlog in backlogs.items()
            for account, wait_ms in backlog.waits_ms(policies.accounts).items()
        }


def _room_millis(state: PoolState) -> int:
    sizes = [candidate.size_millis for candidate in state.candidates]
    size_millis = max(sizes, default=0)
    room_millis = sum(sizes) + state.coming * size_millis - state.need.lasting_millis
    return max(room_millis, 0)
