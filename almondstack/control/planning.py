"""Places waiting tasks of all pools on workers."""

from collections.abc import Callable

from almondstack.control.advisor import Advisor
from almondstack.control.runs import RunTable
from almondstack.jobs import Submission, Task
from almondstack.placement import (
    Policies,
    PoolRound,
    QueuePolicy,
    Worker,
    rank_of,
)
from almondstack.placement.choosing import Preference
from almondstack.placement.disturbance_preference import DisturbancePreference
from almondstack.placement.entitlements import Entitlements
from almondstack.placement.fairness import RankedStep, fair_order
from almondstack.placement.interference import Interference
from almondstack.placement.reservations import ReservationLimits, used_share
from almondstack.placement.unreachable import find_unreachable

__all__ = ["Planner"]


class Planner:
    """Assigns waiting tasks to workers, pool by pool.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    advisor : Advisor
        Filters the workers of a step whose queue requires advice.
    policies : callable
        Returns the newest policies.
    evacuated_zones : callable, optional
        Returns the availability zones whose workers get no new tasks.
    interference : Interference, optional
        Which kinds of task disturb each other on one worker; nothing known by default.

    Attributes
    ----------
    entitlements : Entitlements
        What each client account may use of the whole fleet; set before each :meth:`plan`.
    """

    __slots__ = (
        "_advisor",
        "_at_ceiling",
        "_blocked",
        "_evacuated_zones",
        "_interference",
        "_last_policies",
        "_limits",
        "_policies",
        "_reservations",
        "_table",
        "entitlements",
    )

    def __init__(
        self,
        table: RunTable,
        advisor: Advisor,
        policies: Callable[[], Policies],
        evacuated_zones: Callable[[], frozenset[str]] = frozenset,
        interference: Interference | None = None,
    ) -> None:
        self._table = table
        self._interference = interference or Interference()
        self._evacuated_zones = evacuated_zones
        self._advisor = advisor
        self._policies = policies
        self._last_policies: dict[str, QueuePolicy] = {}
        self._blocked: list[tuple[str, Task]] = []
        self._at_ceiling: list[Task] = []
        self._limits = ReservationLimits()
        self._reservations: dict[str, dict[str, str]] = {}
        self.entitlements = Entitlements()

    @property
    def blocked(self) -> list[tuple[str, Task]]:
        """Tasks without room in the last :meth:`plan`, one for each step, with their pools."""
        return self._blocked

    @property
    def reservations(self) -> dict[str, dict[str, str]]:
        """Workers reserved in the last :meth:`plan`, with the task of each, by pool."""
        return self._reservations

    @property
    def at_ceiling(self) -> list[Task]:
        """Tasks held back by a ceiling in the last :meth:`plan`, one for each step."""
        return self._at_ceiling

    def policy_of(self, submission: Submission) -> QueuePolicy:
        """Return the newest known policy of a job's queue, or one built from its submission."""
        found = self._policies().queues.get(submission.queue)
        if found is not None:
            self._last_policies[submission.queue] = found
            return found
        kept = self._last_policies.get(submission.queue)
        if kept is not None:
            return kept
        return QueuePolicy(submission.queue, submission.pool, max_attempts=submission.max_attempts)

    def plan(self, now_s: float, now_unix_ms: float) -> list[Task]:
        """Assign waiting tasks to workers, and return the tasks whose starts are to be sent.

        Explanation
        -----------
        Nothing is assigned before the first configuration: the ceilings are not known.
        """
        self._table.usage.update_policies(self._policies().accounts)
        self._blocked, self._at_ceiling, self._reservations = [], [], {}
        by_pool = self._ready_steps(now_unix_ms) if self._policies().is_known else {}
        self._limits.retain(by_pool)
        started = self._place_all(by_pool, now_s) if by_pool else []
        self._advisor.end_round()
        return started

    def _place_all(self, by_pool: dict[str, list[RankedStep]], now_s: float) -> list[Task]:
        started: list[Task] = []
        workers = self._open_workers_by_pool(now_s)
        in_fleet = self._fleet_millis() if self.entitlements.is_short else {}
        for pool, steps in by_pool.items():
            ordered = self._ordered(pool, steps, in_fleet)
            pool_round = self._pool_round(pool, workers.get(pool, []), now_s)
            for _, tasks in ordered:
                placed = self._place(pool_round, tasks, now_s)
                if self.entitlements.is_short:
                    _add_millis(in_fleet, placed)
                started.extend(placed)
            self._blocked.extend((pool, task) for task in pool_round.blocked)
            self._at_ceiling.extend(pool_round.at_ceiling)
            self._note_reservations(pool, pool_round, now_s)
        return started

    def _ordered(
        self, pool: str, steps: list[RankedStep], in_fleet: dict[str, int]
    ) -> list[RankedStep]:
        accounts = self._policies().accounts
        if self.entitlements.is_short:
            return fair_order(steps, {}, accounts, self.entitlements, in_fleet)
        return fair_order(steps, self._running_millis(pool), accounts)

    def _pool_round(self, pool: str, workers: list[Worker], now_s: float) -> PoolRound:
        may_reserve = self._limits.may_reserve(pool, used_share(workers), now_s)
        return PoolRound(
            workers,
            self._table.usage,
            now_s,
            self._advisor.allowed_workers,
            may_reserve=may_reserve,
            preferences=self._preferences(),
        )

    def _preferences(self) -> tuple[Preference, ...]:
        """Return the preferences among workers with room: none while no disturbance is known."""
        if not self._interference.is_known:
            return ()
        return (DisturbancePreference(self._interference),)

    def _note_reservations(self, pool: str, pool_round: PoolRound, now_s: float) -> None:
        reserved = {worker.id: task.name for task, worker in pool_round.reservations}
        self._limits.note_round(pool, bool(reserved), now_s)
        if reserved:
            self._reservations[pool] = reserved

    def _place(self, pool_round: PoolRound, tasks: list[Task], now_s: float) -> list[Task]:
        placed = []
        for assignment in pool_round.place(tasks):
            ids = [worker.id for worker in assignment.workers]
            lives = [worker.info.life for worker in assignment.workers]
            tasks[0].job.assign(assignment.tasks, ids, lives, now_s)
            for task in assignment.tasks:
                self._table.note_assigned(task)
            placed.extend(assignment.tasks)
        return placed

    def _ready_steps(self, now_unix_ms: float) -> dict[str, list[RankedStep]]:
        by_pool: dict[str, list[RankedStep]] = {}
        for job in self._table.jobs.values():
            if not job.is_open:
                continue
            policy = self.policy_of(job.submission)
            for tasks in job.ready_steps(now_unix_ms):
                rank = rank_of(tasks, policy, now_unix_ms)
                by_pool.setdefault(policy.pool, []).append((rank, tasks))
        return by_pool

    def _fleet_millis(self) -> dict[str, int]:
        """Return the thousandths of a core in use in all pools by account."""
        running: dict[str, int] = {}
        for worker in self._table.workers.values():
            _add_millis(running, worker.tasks)
        return running

    def _running_millis(self, pool: str) -> dict[str, int]:
        """Return thousandths of a core in use in a pool by account, without long-running tasks."""
        running: dict[str, int] = {}
        for worker in self._table.workers.values():
            if worker.info.pool != pool:
                continue
            for task in worker.tasks:
                if not task.step.is_long_running:
                    account = task.job.submission.account
                    running[account] = running.get(account, 0) + task.step.cpu_millis
        return running

    def _open_workers_by_pool(self, now_s: float) -> dict[str, list[Worker]]:
        by_pool: dict[str, list[Worker]] = {}
        unreachable = find_unreachable(self._table.workers.values())
        evacuated = self._evacuated_zones()
        for worker in self._table.workers.values():
            info = worker.info
            if not worker.is_open(now_s) or info.zone in evacuated:
                continue
            if not unreachable.covers(info.zone, info.rack):
                worker.is_unsettled = now_s < worker.unsettled_until_s
                by_pool.setdefault(info.pool, []).append(worker)
        return by_pool


def _add_millis(millis: dict[str, int], tasks: list[Task]) -> None:
    """Add the thousandths of a core that tasks other than fillers take, by account."""
    for task in tasks:
        if not task.step.is_filler:
            account = task.job.submission.account
            millis[account] = millis.get(account, 0) + task.step.cpu_millis
