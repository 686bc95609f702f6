"""Run times are learned from runs, with the callers' declarations as the prior."""

import math
import random
from statistics import fmean, median

import pytest

from almondstack.placement import RunTimes
from almondstack.placement.run_times import _MAX_KINDS

_MEDIAN_MS = 1_500.0
_WARM_RUNS = 60
_RUNS = 600


class _Load:
    """Log-normal run times, declarations that are off, and a tail of long tasks."""

    def __init__(self, seed, *, off=0.0, spread=0.5, tail=0.0, tail_factor=7.0, factor=1.0):
        self._random = random.Random(seed)
        self._off = off
        self._spread = spread
        self._tail = tail
        self._tail_factor = tail_factor
        self.factor = factor

    def task(self):
        """Return the declared and the actual milliseconds of the next task."""
        usual = _MEDIAN_MS * math.exp(self._random.gauss(0.0, self._spread))
        declared = usual * (1.0 + self._random.uniform(-self._off, self._off))
        is_long = self._random.random() < self._tail
        return declared, self.factor * usual * (self._tail_factor if is_long else 1.0)

    def teach(self, times, runs):
        for _ in range(runs):
            times.note("q", *self.task())


def _log_errors(load, times):
    """Return the mean errors of the declarations and of the predictions, as logarithms."""
    declared_errors, predicted_errors = [], []
    for _ in range(_RUNS):
        declared, actual = load.task()
        predicted = times.quantile_ms("q", declared, 0.5)
        declared_errors.append(abs(math.log(declared / actual)))
        predicted_errors.append(abs(math.log(predicted / actual)))
        times.note("q", declared, actual)
    return fmean(declared_errors), fmean(predicted_errors)


@pytest.mark.parametrize("seed", range(5))
def test_declarations_off_by_nine_tenths_in_a_burst_are_corrected(seed):
    load, times = _Load(seed, off=0.9), RunTimes()
    load.teach(times, _WARM_RUNS)
    declared_error, predicted_error = _log_errors(load, times)
    assert predicted_error < 0.85 * declared_error


@pytest.mark.parametrize("seed", range(5))
def test_declarations_off_by_a_fifth_are_kept(seed):
    load, times = _Load(seed, off=0.2), RunTimes()
    load.teach(times, _WARM_RUNS)
    declared_error, predicted_error = _log_errors(load, times)
    assert predicted_error < 1.1 * declared_error


@pytest.mark.parametrize("seed", range(5))
def test_a_constant_error_is_learned_from_a_dozen_runs(seed):
    load, times = _Load(seed, off=0.2, factor=3.0), RunTimes()
    load.teach(times, 12)
    predicted = times.quantile_ms("q", _MEDIAN_MS, 0.5)
    assert 2.2 * _MEDIAN_MS < predicted < 3.8 * _MEDIAN_MS


@pytest.mark.parametrize("seed", range(5))
def test_three_tasks_in_a_hundred_take_seven_times_as_long(seed):
    """The median stays, the 0.99 quantile holds the long tasks, and the mean is between."""
    load, times = _Load(seed, off=0.2, tail=0.03), RunTimes()
    load.teach(times, 300)
    typical = times.quantile_ms("q", _MEDIAN_MS, 0.5)
    assert 0.8 * _MEDIAN_MS < typical < 1.25 * _MEDIAN_MS
    assert times.quantile_ms("q", _MEDIAN_MS, 0.99) > 5.0 * _MEDIAN_MS
    assert 1.05 * typical < times.expected_ms("q", _MEDIAN_MS) < 1.5 * typical


@pytest.mark.parametrize("off", [0.2, 0.9])
@pytest.mark.parametrize("seed", range(3))
def test_burst_the_predicted_backlog_is_near_the_actual_work(off, seed):
    load, times = _Load(seed, off=off, tail=0.03), RunTimes()
    load.teach(times, 300)
    tasks = [load.task() for _ in range(1_000)]
    predicted = sum(times.expected_ms("q", declared) for declared, _ in tasks)
    assert 0.75 < predicted / sum(actual for _, actual in tasks) < 1.33


@pytest.mark.parametrize("off", [0.2, 0.9])
@pytest.mark.parametrize("seed", range(3))
def test_quantiles_hold_the_share_of_tasks_that_they_name(off, seed):
    load, times = _Load(seed, off=off), RunTimes()
    load.teach(times, 400)
    for quantile, tolerance in ((0.5, 0.12), (0.9, 0.06)):
        tasks = [load.task() for _ in range(_RUNS)]
        within = fmean(
            actual <= times.quantile_ms("q", declared, quantile) for declared, actual in tasks
        )
        assert abs(within - quantile) < tolerance


@pytest.mark.parametrize("factor", [0.25, 4.0])
@pytest.mark.parametrize("seed", range(3))
def test_durations_that_change_are_followed_within_tens_of_runs(factor, seed):
    load, times = _Load(seed, off=0.2), RunTimes()
    load.teach(times, 400)
    load.factor = factor
    load.teach(times, 60)
    predicted = [times.quantile_ms("q", _MEDIAN_MS, 0.5)]
    assert 0.6 < median(predicted) / (factor * _MEDIAN_MS) < 1.67


def test_a_new_owner_starts_with_no_knowledge_and_keeps_to_the_declaration():
    times = RunTimes()
    assert times.quantile_ms("q", 700, 0.99) == times.expected_ms("q", 700) == 700.0
    assert times.factor("q") == 1.0


def test_a_first_run_moves_the_prediction_but_does_not_replace_the_declaration():
    times = RunTimes()
    times.note("q", 1_000, 7_000)
    assert 1_000 < times.quantile_ms("q", 1_000, 0.5) < 2_000


@pytest.mark.parametrize("seed", range(5))
def test_tasks_without_a_declaration_are_a_kind_of_their_own(seed):
    load, times = _Load(seed), RunTimes()
    assert times.expected_ms("q", 0) == times.quantile_ms("q", 0, 0.5) == 0.0
    for _ in range(300):
        times.note("q", 0, load.task()[1])
    assert times.quantile_ms("q", 0, 0.5) == pytest.approx(_MEDIAN_MS, rel=0.25)
    assert times.expected_ms("q", 0) == pytest.approx(_MEDIAN_MS * math.exp(0.125), rel=0.25)
    assert times.quantile_ms("q", 0, 0.99) > 2.0 * _MEDIAN_MS


def test_tasks_with_and_without_a_declaration_tell_nothing_of_each_other():
    times = RunTimes()
    times.note("q", 0, 5_000)
    assert times.queues == [] and times.runs("q") == 0
    assert times.expected_ms("q", 700) == 700.0
    assert times.expected_ms("q", 0) == pytest.approx(5_000, rel=0.1)
    for _ in range(100):
        times.note("q", 1_000, 20)
    assert times.expected_ms("q", 0) == pytest.approx(5_000, rel=0.1)
    assert times.runs("q") == 100


def test_undeclared_durations_that_change_are_followed():
    times = RunTimes()
    for _ in range(100):
        times.note("q", 0, 100)
    for _ in range(60):
        times.note("q", 0, 30_000)
    assert 20_000 < times.quantile_ms("q", 0, 0.5) < 45_000


def test_many_queues_without_declarations_are_bounded():
    times = RunTimes()
    for number in range(_MAX_KINDS + 1):
        times.note(f"q{number}", 0, 3_000)
    assert times.expected_ms("q0", 0) == 0.0 and times.expected_ms("q1", 0) > 0.0


def test_many_queues_the_least_recently_used_is_forgotten():
    times = RunTimes()
    for number in range(_MAX_KINDS + 1):
        times.note(f"q{number}", 1_000, 3_000)
        times.note("kept", 1_000, 3_000)
    assert len(times.queues) == _MAX_KINDS
    assert times.runs("q0") == 0 and times.runs("kept") == _MAX_KINDS + 1


@pytest.mark.parametrize("took_ms", [1e-9, 1e12])
def test_extreme_times_leave_predictions_finite(took_ms):
    times = RunTimes()
    for _ in range(500):
        times.note("q", 1_000, took_ms)
        times.note("q", 0, took_ms)
    assert 0.0 < times.expected_ms("q", 1_000) < math.inf
    assert 0.0 < times.expected_ms("q", 0) < math.inf
