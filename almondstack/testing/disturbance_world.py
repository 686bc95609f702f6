"""Workers whose serving tasks are disturbed by the fillers beside them, in simulated time."""

import random

from almondstack.control.interference_monitor import InterferenceMonitor
from almondstack.control.pacing import Pacing
from almondstack.core import LocalMetrics
from almondstack.jobs import Task
from almondstack.placement import Worker
from almondstack.testing.job_builders import assign, make_job, make_step, make_table, make_worker

__all__ = ["DisturbanceWorld"]

_TARGET_MS = 1_000
"""Target of the tail latency of each serving task."""

_ROUND_S = 0.5
"""Time between two rounds, in seconds."""

_LOAD_PER_PERCENT = 10
"""Load of a filler, in thousandths of a core, for each percent of its speed."""


class _Session:
    """Accepts every order at once: pacing sets the percentage of the task itself."""

    def pace(self, task: str, run: int, percent: int) -> None:
        """Accept an order."""


class DisturbanceWorld:
    """A serving task on each worker, with fillers of some images beside it.

    Parameters
    ----------
    amounts : dict of str to float
        Increase of the tail latency by a filler of each image at full speed, as a share of the
        target; the caller may change it in between.
    beside : list of str
        Images of the fillers on each worker, separated by spaces.
    base : float
        Tail latency without fillers, as a share of the target.
    noise : float
        Standard deviation of a figure, in the same unit.
    seed : int
        Seed of the noise.
    answer_every : int
        Rounds between two answers of a worker.

    Attributes
    ----------
    serving, fillers : dict
        The serving task and the fillers of each worker.
    over_target_s, longest_over_target_s : float
        Time with a tail latency over the target, summed up over all workers, and the longest
        such time of one worker.
    work_s : dict of str to float
        Seconds at full speed that the fillers of each image have run.
    """

    def __init__(
        self,
        amounts: dict[str, float],
        beside: list[str],
        *,
        base: float = 0.3,
        noise: float = 0.03,
        seed: int = 1,
        answer_every: int = 1,
    ) -> None:
        self.amounts, self.base, self.noise = amounts, base, noise
        self.metrics = LocalMetrics()
        self.monitor = InterferenceMonitor(metrics=self.metrics)
        self.table = make_table(
            workers=tuple(make_worker(f"w{number}") for number in range(len(beside)))
        )
        self.serving: dict[str, Task] = {}
        self.fillers: dict[str, list[Task]] = {}
        for worker, images in zip(self.table.workers.values(), beside, strict=True):
            self._fill(worker, images.split())
        sessions = dict.fromkeys(self.table.workers, _Session())
        self.pacing = Pacing(self.table, sessions, self.monitor)  # type: ignore[arg-type]
        self.now_s = 1.0
        self.over_target_s = self.longest_over_target_s = 0.0
        self._over_since_s: dict[str, float] = {}
        self.work_s = dict.fromkeys(amounts, 0.0)
        self._random = random.Random(seed)
        self._answer_every = answer_every

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += _ROUND_S
            round_number = round(self.now_s / _ROUND_S)
            for number, worker in enumerate(self.table.workers.values()):
                is_answering = (round_number + number) % self._answer_every == 0
                self._pass_round(worker, is_answering=is_answering)
            self.pacing.run_round(self.now_s)

    def _fill(self, worker: Worker, images: list[str]) -> None:
        step = make_step(is_long_running=True, image="web", target_ms=_TARGET_MS)
        self.serving[worker.id] = self._start(worker, step)
        self.fillers[worker.id] = [
            self._start(worker, make_step(is_filler=True, image=image)) for image in images
        ]

    def _start(self, worker: Worker, step: object) -> Task:
        job = make_job(step, id=f"{len(self.table.jobs):016x}")  # type: ignore[arg-type]
        self.table.jobs[job.id] = job
        task = job.steps_of(0)[0][0]
        assign(self.table, task, worker)
        task.is_confirmed = True
        return task

    def _pass_round(self, worker: Worker, *, is_answering: bool) -> None:
        """Count what callers notice of a worker in one round, and report its figures."""
        ratio = self.base + self._random.gauss(0.0, self.noise)
        for filler in self.fillers[worker.id]:
            share = filler.percent / 100
            ratio += self.amounts[filler.step.image] * share
            self.work_s[filler.step.image] += share * _ROUND_S
        self._note_latency(worker.id, ratio)
        if is_answering:
            self._report(worker, ratio)

    def _note_latency(self, worker: str, ratio: float) -> None:
        if ratio <= 1.0:
            self._over_since_s.pop(worker, None)
            return
        since_s = self._over_since_s.setdefault(worker, self.now_s - _ROUND_S)
        self.over_target_s += _ROUND_S
        self.longest_over_target_s = max(self.longest_over_target_s, self.now_s - since_s)

    def _report(self, worker: Worker, ratio: float) -> None:
        for filler in self.fillers[worker.id]:
            filler.load = _LOAD_PER_PERCENT * filler.percent
        self.serving[worker.id].load = max(1, round(ratio * _TARGET_MS))
        worker.last_answer_s = self.now_s
