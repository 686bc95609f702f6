"""Learns which kinds of task raise the tail latency of serving tasks on the same worker.

Explanation
-----------
Tasks of one image behave alike, so that what is seen of one holds for the others of its kind.
For each serving kind, its tail latency as a share of its target is explained by a constant and
by the kinds beside it, each with its coefficient: the increase when one task of that kind works
beside it at full speed.  A coefficient counts only with evidence, see :class:`Finding`.  Samples
lose half of their weight within seconds, since the amounts change within seconds, too.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from almondstack.jobs import Task
from almondstack.placement.regression import DecayingRegression, Estimate

__all__ = ["Finding", "Interference", "Pair", "kind_of", "work_share"]

_HALF_LIFE_S = 4.0
"""Time in which a sample loses half of its weight, in seconds."""

_MIN_SAMPLES = 3.0
"""Number of samples, decayed by age, that a finding needs with the kind beside, and without it."""

_MIN_WORKERS = 2
"""Number of workers on which a kind must be seen beside a serving kind for a finding, unless it was
seen for ``_MIN_SPAN_S``."""

_MIN_SPAN_S = 2.0
"""Time between the first and the last sample with a kind beside that is enough on one worker, in
seconds."""

_MIN_INCREASE = 0.1
"""Least increase of the tail latency, as a share of the target, that is of any concern."""

_MIN_STANDARD_ERRORS = 2.0
"""Number of standard errors by which an increase must differ from 0 to be harmful, and stay below
``_MIN_INCREASE`` to be harmless."""

_MAX_RATIO = 3.0
"""Bound on the ratio of tail latency and target, so that no sample decides alone."""

_FORGET_WEIGHT = 0.3
"""Number of samples, decayed by age, below which a kind is forgotten."""

_MAX_KINDS_BESIDE = 16
"""Kinds beside one serving kind that are told apart; samples with others are left out."""

_MAX_SERVING_KINDS = 64
"""Serving kinds that are remembered; the one without samples for longest is forgotten."""

_MAX_ESTIMATES = 8
"""Serving kinds whose findings are computed in one update; the others follow in turn."""

_FULL_PERCENT = 100


class Pair(NamedTuple):
    """A serving kind and a kind of task beside it."""

    disturbed: str
    disturber: str


class Finding(NamedTuple):
    """What the samples say of a pair of kinds, once there are enough of them.

    Parameters
    ----------
    increase : float
        Increase of the tail latency, as a share of the target, by one task at full speed.
    error : float
        Its standard error, in the same unit.
    samples_with, samples_without : float
        Numbers of samples, each decayed by its age.
    """

    increase: float
    error: float
    samples_with: float
    samples_without: float

    @property
    def is_harmful(self) -> bool:
        """Whether the increase is clearly one, and large enough to be of concern."""
        return self.increase >= max(_MIN_INCREASE, _MIN_STANDARD_ERRORS * self.error)

    @property
    def is_harmless(self) -> bool:
        """Whether the increase is clearly too small to be of concern."""
        return self.increase + _MIN_STANDARD_ERRORS * self.error < _MIN_INCREASE


def kind_of(task: Task) -> str:
    """Return the kind of a task: its image, or its queue and step if it names none."""
    return task.step.image or f"queue {task.job.submission.queue}, step {task.key.step}"


def work_share(task: Task) -> float:
    """Return the speed at which a task may work, as a share of full speed."""
    return task.percent / _FULL_PERCENT


class _KindBeside:
    """A kind beside a serving kind: its column, and where and when it was seen.

    Attributes
    ----------
    column : int
        Its column in the regression of the serving kind.
    weight : float
        Number of samples with it, each decayed by its age.
    """

    __slots__ = ("_first_s", "_last_s", "_workers", "column", "weight")

    def __init__(self, column: int, now_s: float) -> None:
        self.column = column
        self.weight = 0.0
        self._workers: set[str] = set()
        self._first_s = now_s
        self._last_s = now_s

    @property
    def is_seen_enough(self) -> bool:
        """Whether it was seen on several workers or for some time."""
        is_lasting = self._last_s - self._first_s >= _MIN_SPAN_S
        return len(self._workers) >= _MIN_WORKERS or is_lasting

    def note(self, worker: str, share: float, now_s: float) -> None:
        """Count a sample with the kind beside, at ``share`` of full speed."""
        self.weight += min(1.0, share)
        self._last_s = now_s
        if len(self._workers) < _MIN_WORKERS:
            self._workers.add(worker)


class _ServingKind:
    """The samples of one serving kind."""

    def __init__(self, now_s: float) -> None:
        self._regression = DecayingRegression()
        self._beside: dict[str, _KindBeside] = {}
        self._decayed_s = now_s

    @property
    def is_empty(self) -> bool:
        """Whether its samples are as good as forgotten."""
        return self._regression.weight < _FORGET_WEIGHT

    def note(self, worker: str, beside: Mapping[str, float], ratio: float, now_s: float) -> bool:
        """Add a sample; return whether it was used."""
        shares = {kind: share for kind, share in beside.items() if share > 0}
        new = shares.keys() - self._beside.keys()
        if len(self._beside) + len(new) > _MAX_KINDS_BESIDE:
            return False
        for kind in new:
            self._beside[kind] = _KindBeside(self._regression.add_column(), now_s)
        for kind, share in shares.items():
            self._beside[kind].note(worker, share, now_s)
        columns = {self._beside[kind].column: share for kind, share in shares.items()}
        self._regression.add(columns, min(_MAX_RATIO, ratio))
        return True

    def decay(self, now_s: float) -> None:
        """Reduce the weight of the samples by their age, and forget kinds not seen for long."""
        factor = 0.5 ** (max(0.0, now_s - self._decayed_s) / _HALF_LIFE_S)
        self._decayed_s = now_s
        self._regression.decay(factor)
        for kind, seen in list(self._beside.items()):
            seen.weight *= factor
            if seen.weight < _FORGET_WEIGHT:
                self._forget(kind)

    def findings(self) -> dict[str, Finding]:
        """Return the findings on the kinds of which enough was seen."""
        if self._regression.weight < 2 * _MIN_SAMPLES or not self._beside:
            return {}
        estimates = self._regression.estimates()
        found = {
            kind: self._finding(seen, estimates[seen.column]) for kind, seen in self._beside.items()
        }
        return {
            kind: finding
            for kind, finding in found.items()
            if self._beside[kind].is_seen_enough
            and min(finding.samples_with, finding.samples_without) >= _MIN_SAMPLES
        }

    def _finding(self, seen: _KindBeside, estimate: Estimate) -> Finding:
        without = self._regression.weight - seen.weight
        return Finding(estimate.value, estimate.error, seen.weight, without)

    def _forget(self, kind: str) -> None:
        column = self._beside.pop(kind).column
        self._regression.remove_column(column)
        for other in self._beside.values():
            if other.column > column:
                other.column -= 1


class Interference:
    """Which kinds of task raise the tail latency of which serving kinds on one worker.

    Explanation
    -----------
    A new instance knows nothing.  Times are monotonic seconds, passed as arguments.  Of many
    serving kinds, each :meth:`update` estimates some in turn, so that its cost is bounded.

    Examples
    --------
    >>> interference = Interference()
    >>> for number in range(20):
    ...     used = interference.note_sample("web", f"w{number}", {"scan": number % 2},
    ...                                     0.4 + 0.5 * (number % 2), 0.0)
    >>> interference.update(0.4)
    >>> round(interference.disturbance("web", "scan"), 1)
    0.5
    >>> interference.disturbance("web", "other")
    0.0
    """

    __slots__ = ("_caused", "_due", "_findings", "_kinds", "_suffered")

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _ServingKind] = OrderedDict()
        self._due: list[str] = []
        self._findings: dict[str, dict[str, Finding]] = {}
        self._caused: dict[str, dict[str, float]] = {}
        self._suffered: dict[str, dict[str, float]] = {}

    @property
    def is_known(self) -> bool:
        """Whether some kind clearly disturbs another."""
        return bool(self._caused)

    @property
    def harmful(self) -> dict[Pair, Finding]:
        """The pairs of which one clearly disturbs the other, with the evidence."""
        return {
            Pair(kind, beside): finding
            for kind, findings in self._findings.items()
            for beside, finding in findings.items()
            if finding.is_harmful
        }

    def note_sample(
        self, kind: str, worker: str, beside: Mapping[str, float], ratio: float, now_s: float
    ) -> bool:
        """Note the tail latency of a serving kind on one worker; return whether it is used.

        Parameters
        ----------
        kind : str
            The serving kind.
        worker : str
            Id of the worker.
        beside : mapping of str to float
            The kinds beside it, each with the sum of the speeds of its tasks as shares of
            full speed; 0 for a kind that stands still.
        ratio : float
            Tail latency as a share of the target.
        now_s : float
            Present monotonic time in seconds.
        """
        serving = self._kinds.get(kind)
        if serving is None:
            serving = self._kinds[kind] = _ServingKind(now_s)
            if len(self._kinds) > _MAX_SERVING_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        return serving.note(worker, beside, ratio, now_s)

    def update(self, now_s: float) -> None:
        """Forget what is old, and compute the findings from the samples that are left."""
        if not self._kinds:
            return
        for kind, serving in list(self._kinds.items()):
            serving.decay(now_s)
            if serving.is_empty:
                del self._kinds[kind]
        self._findings = {
            kind: findings for kind, findings in self._findings.items() if kind in self._kinds
        }
        self._estimate()
        self._index_harmful()

    def _estimate(self) -> None:
        """Compute the findings of the serving kinds whose turn it is."""
        if not self._due:
            self._due = list(self._kinds)
        due, self._due = self._due[:_MAX_ESTIMATES], self._due[_MAX_ESTIMATES:]
        for kind in due:
            serving = self._kinds.get(kind)
            if serving is not None:
                self._findings[kind] = serving.findings()

    def _index_harmful(self) -> None:
        """Index the harmful pairs by the kind that disturbs and by the kind that is disturbed."""
        self._caused, self._suffered = {}, {}
        for pair, finding in self.harmful.items():
            self._caused.setdefault(pair.disturber, {})[pair.disturbed] = finding.increase
            self._suffered.setdefault(pair.disturbed, {})[pair.disturber] = finding.increase

    def disturbance(self, kind: str, beside: str) -> float:
        """Return by how much a kind at full speed raises a serving kind's tail latency.

        Returns
        -------
        float
            Share of the target; 0.0 if that is not known or too little to be of concern.
        """
        caused = self._caused.get(beside)
        return caused.get(kind, 0.0) if caused is not None else 0.0

    def is_harmless(self, kind: str, beside: str) -> bool:
        """Return whether a kind is known not to disturb a serving kind."""
        finding = self._findings.get(kind, {}).get(beside)
        return finding is not None and finding.is_harmless

    def concerns(self, kind: str) -> bool:
        """Return whether a kind clearly disturbs another or is disturbed by one."""
        return kind in self._caused or kind in self._suffered

    def penalty(self, task: Task, worker_tasks: Iterable[Task]) -> float:
        """Return the disturbance expected if a task joins others on a worker.

        Returns
        -------
        float
            Sum of the increases of tail latency as shares of their targets, both those that
            the task would cause and those that it would suffer; 0.0 if none is known.
        """
        kind = kind_of(task)
        caused, suffered = self._caused.get(kind), self._suffered.get(kind)
        if caused is None and suffered is None:
            return 0.0
        kinds = [kind_of(other) for other in worker_tasks]
        return _sum_of_increases(caused, kinds) + _sum_of_increases(suffered, kinds)


def _sum_of_increases(increases: Mapping[str, float] | None, kinds: list[str]) -> float:
    if increases is None:
        return 0.0
    return sum(increases.get(kind, 0.0) for kind in kinds)
