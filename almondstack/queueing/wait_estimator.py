"""Refuses at admission what could only time out in the queue."""

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
    """Estimates the wait of a call from learned run times (Little 1961).

    Parameters
    ----------
    settings : QueueingSettings
        The margin.
    run_times : RunTimes
        What has been learned.
    """

    __slots__ = ("_run_times", "_settings")

    def __init__(self, settings: QueueingSettings, run_times: RunTimes) -> None:
        self._settings = settings
        self._run_times = run_times

    def check(
        self, call: SchedulableCall, pool: PoolQueue, queue: TeamQueue, slots: int, now_s: float
    ) -> None:
        """Compare the expected wait with the deadline.

        Explanation
        -----------
        A team without a waiting call is always admitted, so that an estimate
        that is far too long is corrected by the next answer.

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
        """Return when ``call`` must start to end in time, in monotonic seconds.

        Explanation
        -----------
        Work that starts later would hold a slot and be of no use.  The reserve
        is the run time that one in ten calls exceeds, but never more than half
        of the time there is, as the estimate may be far off.
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
        """Return how many calls of the team can be expected to run at once here."""
        share = queue.team.share
        others = sum(
            item.team.share for item in pool.teams.values() if len(item) and item is not queue
        )
        expected = slots * share / (share + others)
        return max(_MIN_CONCURRENCY, min(expected, queue.team.ceiling))
