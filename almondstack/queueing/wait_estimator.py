"""Estimates queueing delays and rejects calls that would time out in the queue."""

import math

from almondstack.core import Reason, RequestError
from almondstack.queueing.pool_queue import PoolQueue
from almondstack.queueing.run_times import RunTimes
from almondstack.queueing.schedulable_call import SchedulableCall
from almondstack.queueing.settings import QueueingSettings
from almondstack.queueing.team_queue import TeamQueue

__all__ = ["WaitEstimator"]

_MAX_RETRY_AFTER_S = 60
_MIN_CONCURRENCY = 0.5
_MAX_RESERVE_FRACTION = 0.5


class WaitEstimator:
    """Estimates the wait of a call from observed run times (Little 1961).

    Parameters
    ----------
    settings : QueueingSettings
        Safety margin of the estimate.
    run_times : RunTimes
        Observed run times by queue.
    """

    __slots__ = ("_run_times", "_settings")

    def __init__(self, settings: QueueingSettings, run_times: RunTimes) -> None:
        self._settings = settings
        self._run_times = run_times

    def check(
        self, call: SchedulableCall, pool: PoolQueue, queue: TeamQueue, slots: int, now_s: float
    ) -> None:
        """Reject a call whose expected wait exceeds its deadline.

        Explanation
        -----------
        A call of a team without waiting calls is always admitted, so that an
        estimate that is far too long is corrected by the next response.

        Raises
        ------
        RequestError
            With :attr:`Reason.WAIT_EXCEEDS_DEADLINE` and a ``Retry-After``.
        """
        ahead = queue.urgent_count if call.is_urgent else len(queue)
        if not ahead:
            return
        wait_s = self.wait_s(call, pool, queue, slots)
        left_s = self.latest_start_s(call, now_s) - now_s
        if wait_s * self._settings.wait_margin > left_s:
            retry_s = math.ceil(wait_s - max(0.0, left_s))
            raise RequestError(
                Reason.WAIT_EXCEEDS_DEADLINE,
                retry_after_s=min(max(1, retry_s), _MAX_RETRY_AFTER_S),
            )

    def latest_start_s(self, call: SchedulableCall, now_s: float) -> float:
        """Return the latest useful start of ``call``, in monotonic seconds.

        Explanation
        -----------
        A call that starts later would occupy a slot and still miss its deadline.
        The time reserved for the run is the 90th percentile of run times, but at
        most half of the remaining time, as the estimate may be far off.
        """
        p90_s = self._run_times.of(call.queue.name).p90_s
        return call.deadline_s - min(p90_s, _MAX_RESERVE_FRACTION * (call.deadline_s - now_s))

    def wait_s(self, call: SchedulableCall, pool: PoolQueue, queue: TeamQueue, slots: int) -> float:
        """Return the expected wait in seconds; 0 while run times are unknown."""
        work_s = 0.0
        for name, count in queue.waiting_by_queue.items():
            work_s += count * (self._run_times.of(name).mean_s or 0.0)
        if call.is_urgent:
            work_s *= queue.urgent_count / max(1, len(queue))
        return work_s / self._concurrency(pool, queue, slots)

    @staticmethod
    def _concurrency(pool: PoolQueue, queue: TeamQueue, slots: int) -> float:
        """Return the expected number of concurrent calls of the team at this entry."""
        share = queue.team.share
        others = sum(
            item.team.share for item in pool.teams.values() if len(item) and item is not queue
        )
        expected = slots * share / (share + others)
        return max(_MIN_CONCURRENCY, min(expected, queue.team.ceiling))
