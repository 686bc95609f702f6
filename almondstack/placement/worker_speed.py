"""Measures how fast workers are by comparing their runs with what such runs usually take.

Explanation
-----------
Each run on a worker is evidence: its time, or the time that its progress points to, divided by
the median of its kind.  These ratios are compared within a pool, so that a pool that is slow as
a whole goes on.  One task may be slow by itself; a worker is slow only if several runs say so
beyond the spread that is usual for their kinds.  Runs are forgotten within seconds.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from statistics import median, median_low

from almondstack.placement.workers import Worker

__all__ = ["SLOW_FACTOR", "RunSpeed", "SpeedChange", "WorkerSpeeds"]

SLOW_FACTOR = 2.0
"""A worker is slow if its runs take this multiple of what they take elsewhere in its pool."""

_PREFERENCE_FACTOR = 1.5
"""From this multiple on, other workers are preferred; a worker below it is as good as any."""

_MIN_RUNS = 3
"""Number of measured runs that a worker needs to count as slow."""

_MIN_EVIDENCE = 4.0
"""Least sum of deviations, in standard deviations of such a sum; chance alone reaches it once in
some ten thousand checks."""

_MIN_TRIAL_EVIDENCE = 2.0
"""The same while a worker is on trial; less is needed, as it was slow a moment ago."""

_MAX_DEVIATION = 2.5
"""Bound on the deviation of one run, in standard deviations, so that one long task does not make
its worker count as slow."""

_MAX_RATIO = 100.0
"""Upper bound on the ratio of one run; its inverse is the lower bound."""

_MEMORY_S = 1.5
"""Time for which a run counts after it was last noted, in seconds."""

_MAX_RUNS = 16
"""Runs remembered of one worker."""

_FIRST_HOLD_S = 1.0
"""Time for which a slow worker gets no tasks before its first trial, in seconds."""

_MAX_HOLD_S = 4.0
"""Bound on that time, which doubles with each trial that was slow, in seconds."""

_MAX_STEP_S = 4.0
"""Longest step of a trial in seconds; if no run was noted in it, the worker counts as normal."""

_LAST_STEP_RUNS = 4
"""Bound on the tasks at a time in the last step of a trial."""

_MAX_LIMITED_SHARE = 1 / 3
"""If a larger part of a pool's workers is slow, none of them is limited: the pool needs them."""


class RunSpeed:
    """A measurement of the speed of a worker by one of its runs.

    Parameters
    ----------
    worker : str
        Id of the worker.
    task : str
        Name of the task; a later report replaces the one before.
    ratio : float
        Time of the run, as far as is known, by the median of its kind.
    spread : float
        Usual standard deviation of the logarithm of that ratio.

    Attributes
    ----------
    log_ratio : float
        Logarithm of the ratio, within bounds.
    noted_s : float
        When it was noted, in monotonic seconds.
    """

    __slots__ = ("log_ratio", "noted_s", "spread", "task", "worker")

    def __init__(self, worker: str, task: str, ratio: float, spread: float) -> None:
        self.worker = worker
        self.task = task
        self.log_ratio = math.log(min(max(ratio, 1.0 / _MAX_RATIO), _MAX_RATIO))
        self.noted_s = 0.0
        self.spread = spread


class SpeedChange:
    """A worker has turned slow or is normal again, with the evidence for it.

    Parameters
    ----------
    worker, pool : str
        The worker and its pool.
    is_slow : bool
        Whether it is slow from now on.
    factor : float
        By how much it is slower than its pool.
    runs : int
        Number of runs that were compared.
    pool_ratio : float
        Median ratio of the pool's workers.
    """

    __slots__ = ("factor", "is_slow", "pool", "pool_ratio", "runs", "worker")

    def __init__(
        self, worker: str, pool: str, is_slow: bool, factor: float, runs: int, pool_ratio: float
    ) -> None:
        self.worker = worker
        self.pool = pool
        self.is_slow = is_slow
        self.factor = factor
        self.runs = runs
        self.pool_ratio = pool_ratio


class WorkerSpeeds:
    """Speeds of the workers, and how many tasks the slow ones may get.

    Explanation
    -----------
    :meth:`update` writes ``slowness`` and ``max_runs`` of each worker, which placement reads.
    A worker that turns slow is held for a second, then gets one task that ends by itself at a
    time as a trial, then two and four while their runs are as fast as elsewhere.  A slow trial
    begins the hold anew, twice as long.  A task for which no worker within its bound has room
    goes to the least slow one that has.

    Examples
    --------
    >>> from almondstack.placement import WorkerInfo
    >>> workers = {id: Worker(WorkerInfo(id, 1, "p", "")) for id in ("w1", "w2", "w3", "w4")}
    >>> speeds = WorkerSpeeds()
    >>> for number in range(4):
    ...     for id in workers:
    ...         ratio = 5.0 if id == "w1" else 1.0
    ...         speeds.note_run(RunSpeed(id, f"{id}/{number}", ratio, 0.5), now_s=1.0)
    >>> [change.worker for change in speeds.update(workers, now_s=1.0)]
    ['w1']
    >>> speeds.factor("w1"), speeds.factor("w2"), workers["w1"].max_runs
    (5.0, 1.0, 0)
    """

    __slots__ = ("_records", "_slow_until_s")

    def __init__(self) -> None:
        self._records: dict[str, _WorkerRecord] = {}
        self._slow_until_s: dict[str, float] = {}

    @property
    def slow_workers(self) -> list[str]:
        """The workers that are slow or on trial."""
        return [id for id, record in self._records.items() if record.is_held]

    def note_run(self, run: RunSpeed, now_s: float) -> None:
        """Note the measurement of a run, at a monotonic time in seconds."""
        run.noted_s = now_s
        record = self._records.get(run.worker)
        if record is None:
            record = self._records[run.worker] = _WorkerRecord()
        record.note(run)

    def factor(self, worker: str) -> float:
        """Return by how much a worker is slower than its pool; 1.0 if that is not known."""
        record = self._records.get(worker)
        return record.factor if record is not None else 1.0

    def is_slow(self, worker: str) -> bool:
        """Return whether a worker is slow now; one on trial is not known to be."""
        record = self._records.get(worker)
        return record is not None and record.max_runs == 0 and record.factor >= SLOW_FACTOR

    def was_slow_since(self, worker: str, since_s: float) -> bool:
        """Return whether a worker was slow or on trial at some time since then."""
        return self._slow_until_s.get(worker, -math.inf) >= since_s

    def update(self, workers: Mapping[str, Worker], now_s: float) -> list[SpeedChange]:
        """Judge all workers anew, and return those that turned slow or are normal again.

        Parameters
        ----------
        workers : mapping of str to Worker
            The registered workers by id; others, and earlier incarnations, are forgotten.
        now_s : float
            Present monotonic time in seconds.
        """
        self._forget_outdated(workers, now_s)
        changes: list[SpeedChange] = []
        pool_ratios = self._pool_ratios(workers)
        for id, record in self._records.items():
            pool = workers[id].info.pool
            pool_ratio = pool_ratios.get(pool, 1.0)
            was_held = record.is_held
            record.judge(pool_ratio, now_s)
            if record.is_held != was_held:
                changes.append(
                    SpeedChange(
                        id, pool, record.is_held, record.factor, len(record.runs), pool_ratio
                    )
                )
            if was_held or record.is_held:
                self._slow_until_s[id] = now_s
        self._update_workers(workers)
        return changes

    def _forget_outdated(self, workers: Mapping[str, Worker], now_s: float) -> None:
        """Forget workers that are gone, earlier incarnations of the others, and old runs."""
        for id in self._slow_until_s.keys() - workers.keys():
            del self._slow_until_s[id]
        for id in list(self._records):
            worker = workers.get(id)
            if worker is None or not self._records[id].is_of_incarnation(worker.info.life):
                del self._records[id]
                if worker is not None:
                    worker.slowness, worker.max_runs = 1.0, None
                continue
            record = self._records[id]
            record.forget_old(now_s)
            if not record.runs and not record.is_held:
                del self._records[id]
                workers[id].slowness = 1.0

    def _pool_ratios(self, workers: Mapping[str, Worker]) -> dict[str, float]:
        """Return the median ratio of the workers of each pool; at least 1, as predicted."""
        by_pool: dict[str, list[float]] = {}
        for id, record in self._records.items():
            if record.runs:
                by_pool.setdefault(workers[id].info.pool, []).append(record.ratio())
        return {pool: max(1.0, median_low(ratios)) for pool, ratios in by_pool.items()}

    def _update_workers(self, workers: Mapping[str, Worker]) -> None:
        """Write what placement reads, with limits only where enough other workers are left."""
        limited = _count_by_pool(workers[id] for id in self.slow_workers)
        sizes = _count_by_pool(workers.values()) if limited else {}
        for id, record in self._records.items():
            worker = workers[id]
            pool = worker.info.pool
            may_limit = limited.get(pool, 0) <= _MAX_LIMITED_SHARE * sizes.get(pool, 0)
            worker.slowness = record.factor
            worker.max_runs = record.max_runs if may_limit else None


class _WorkerRecord:
    """Evidence on one worker, and the step of its trial.

    Explanation
    -----------
    A worker is normal (``max_runs`` is None), held (0), or on trial (1, 2, then 4).

    Attributes
    ----------
    runs : OrderedDict of str to RunSpeed
        The newest run of each task, the one last noted at the end.
    factor : float
        By how much the worker is slower than its pool; 1 is normal or not known.
    max_runs : int or None
        Bound on the tasks that end by themselves that it should have at a time; None is no bound.
    """

    __slots__ = ("_hold_s", "_life", "_step_began_s", "factor", "max_runs", "runs")

    def __init__(self) -> None:
        self.runs: OrderedDict[str, RunSpeed] = OrderedDict()
        self.factor = 1.0
        self.max_runs: int | None = None
        self._life: int | None = None
        self._step_began_s = 0.0
        self._hold_s = _FIRST_HOLD_S

    @property
    def is_held(self) -> bool:
        """Whether the worker is slow or on trial."""
        return self.max_runs is not None

    def is_of_incarnation(self, life: int) -> bool:
        """Return whether the evidence is on that incarnation of the worker; the first one binds."""
        if self._life is None:
            self._life = life
        return self._life == life

    def note(self, run: RunSpeed) -> None:
        """Note the measurement of a run; it replaces the one before of the same task."""
        self.runs[run.task] = run
        self.runs.move_to_end(run.task)
        if len(self.runs) > _MAX_RUNS:
            self.runs.popitem(last=False)

    def forget_old(self, now_s: float) -> None:
        """Forget runs that were last noted too long ago."""
        while self.runs:
            task, oldest = next(iter(self.runs.items()))
            if oldest.noted_s >= now_s - _MEMORY_S:
                return
            del self.runs[task]

    def ratio(self) -> float:
        """Return the median ratio of the runs."""
        return math.exp(median(run.log_ratio for run in self.runs.values()))

    def judge(self, pool_ratio: float, now_s: float) -> None:
        """Set the factor, and go to the next step of the trial."""
        factor = round(self.ratio() / pool_ratio, 2) if self.runs else 1.0
        if not self.is_held:
            is_clear = factor >= _PREFERENCE_FACTOR and self._is_clear(pool_ratio)
            self.factor = factor if is_clear else 1.0
            if self.factor >= SLOW_FACTOR:
                self._begin_hold(now_s)
        elif self.max_runs == 0:
            self._continue_hold(factor, now_s)
        else:
            is_slow = factor >= SLOW_FACTOR and self._deviation(pool_ratio) >= _MIN_TRIAL_EVIDENCE
            self._judge_trial(factor, is_slow, now_s)

    def _is_clear(self, pool_ratio: float) -> bool:
        """Whether several runs deviate from the pool by more than chance explains."""
        return len(self.runs) >= _MIN_RUNS and self._deviation(pool_ratio) >= _MIN_EVIDENCE

    def _deviation(self, pool_ratio: float) -> float:
        """Return by how much the runs deviate from the pool, in standard deviations of their sum.

        The deviations of the runs are added up, each within its bound.
        """
        usual = math.log(pool_ratio)
        deviations = ((run.log_ratio - usual) / run.spread for run in self.runs.values())
        total = sum(min(deviation, _MAX_DEVIATION) for deviation in deviations)
        return total / math.sqrt(max(1, len(self.runs)))

    def _begin_hold(self, now_s: float) -> None:
        self.max_runs = 0
        self._step_began_s = now_s

    def _continue_hold(self, factor: float, now_s: float) -> None:
        """Let a trial begin after the time of the hold, also if earlier runs are still listed."""
        if self.runs:
            self.factor = max(factor, 1.0)
        if now_s - self._step_began_s >= self._hold_s:
            self._begin_trial_step(1, now_s)

    def _judge_trial(self, factor: float, is_slow: bool, now_s: float) -> None:
        """Allow more tasks if those of this step were fast, none if they were slow."""
        if is_slow:
            self.factor = factor
            self._hold_s = min(2.0 * self._hold_s, _MAX_HOLD_S)
            self._begin_hold(now_s)
        elif self._newest_s() > self._step_began_s:
            self._end_step(now_s)
        elif now_s - self._step_began_s >= _MAX_STEP_S:
            self._end_trial()

    def _end_step(self, now_s: float) -> None:
        if self.max_runs is not None and self.max_runs < _LAST_STEP_RUNS:
            self._begin_trial_step(2 * self.max_runs, now_s)
        else:
            self._end_trial()

    def _begin_trial_step(self, max_runs: int, now_s: float) -> None:
        """Begin a step of the trial; only runs that are noted from now on count in it."""
        self.max_runs = max_runs
        self.runs.clear()
        self._step_began_s = now_s

    def _end_trial(self) -> None:
        self.max_runs = None
        self.factor = 1.0
        self._hold_s = _FIRST_HOLD_S

    def _newest_s(self) -> float:
        return next(reversed(self.runs.values())).noted_s if self.runs else 0.0


def _count_by_pool(workers: Iterable[Worker]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for worker in workers:
        counts[worker.info.pool] = counts.get(worker.info.pool, 0) + 1
    return counts
