"""Which kinds of task disturb each other is learned, acted on and forgotten."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.placement import PoolRound, Resources, Usage
from almondstack.placement.choosing import choose_worker
from almondstack.placement.disturbance_preference import DisturbancePreference
from almondstack.placement.interference import Interference, kind_of
from almondstack.placement.pace import PacedFiller, next_percent, next_percents
from almondstack.placement.regression import DecayingRegression
from almondstack.testing.job_builders import make_job, make_step, make_worker

_ROUND_S = 0.4
_HARMFUL, _CALM = "scan", "calm"


def _feed(interference, amounts, *, rounds=10, start_s=0.0, workers=6, base=0.3):
    """Note figures of workers, of which every second has each kind beside its serving task."""
    for number in range(rounds):
        now_s = start_s + number * _ROUND_S
        for worker in range(workers):
            beside = {
                kind: float((worker >> place) % 2) for place, kind in enumerate(sorted(amounts))
            }
            noise = 0.02 * ((worker + number) % 3 - 1)
            ratio = base + noise + sum(amounts[kind] * share for kind, share in beside.items())
            interference.note_sample("web", f"w{worker}", beside, ratio, now_s)
        interference.update(now_s)
    return start_s + rounds * _ROUND_S


def _learned(amounts=None):
    interference = Interference()
    _feed(interference, amounts or {_HARMFUL: 0.6, _CALM: 0.0})
    return interference


def _task(id, *, image, **fields):
    return make_job(make_step(image=image, **fields), id=id).steps_of(0)[0][0]


def _filler(id, image, percent=100):
    task = _task(id, image=image, is_filler=True)
    task.percent = percent
    return task


def _serving(id="serving", load=0):
    task = _task(id, image="web", target_ms=100, is_long_running=True)
    task.load = load
    return task


def _place(task, workers, interference):
    pool = PoolRound(
        workers,
        Usage({}),
        0.0,
        preferences=(DisturbancePreference(interference),),
    )
    placed = pool.place([task])
    return placed[0].workers[0].id if placed else None


def test_of_two_filler_kinds_the_one_that_doubles_the_tail_is_found():
    interference = _learned({_HARMFUL: 0.3, _CALM: 0.0})
    assert interference.disturbance("web", _HARMFUL) == pytest.approx(0.3, abs=0.05)
    assert interference.disturbance("web", _CALM) == 0.0
    assert interference.is_harmless("web", _CALM)
    assert not interference.is_harmless("web", _HARMFUL)


def test_a_kind_that_is_beside_another_everywhere_is_not_told_apart_from_it():
    """Guards against blaming one of two kinds of which the figures can't say which it is."""
    interference = Interference()
    for number in range(60):
        share = float(number % 2)
        beside = {_HARMFUL: share, _CALM: share}
        ratio = 0.3 + 0.15 * share + 0.05 * (number % 3)
        interference.note_sample("web", f"w{number % 6}", beside, ratio, 0.0)
    interference.update(0.0)
    assert not any(interference.is_harmless("web", kind) for kind in (_HARMFUL, _CALM))
    assert interference.harmful == {}


@given(st.floats(0.01, 50.0))
def test_a_single_noisy_sample_makes_no_finding(ratio):
    interference = Interference()
    now_s = _feed(interference, {_HARMFUL: 0.0, _CALM: 0.0})
    interference.note_sample("web", "w9", {"new": 1.0}, ratio, now_s)
    interference.note_sample("web", "w1", {_CALM: 1.0}, ratio, now_s)
    interference.update(now_s)
    assert interference.harmful == {}


def test_a_figure_far_over_the_target_counts_like_one_at_thrice_the_target():
    assert _learned({_HARMFUL: 40.0}).disturbance("web", _HARMFUL) < 3.0


def test_one_worker_for_a_moment_is_not_enough_and_for_seconds_is():
    interference = Interference()
    for number in range(9):
        now_s = number * _ROUND_S
        for share, ratio in ((1.0, 0.9), (0.0, 0.3)):
            worker = "w1" if share else "w2"
            interference.note_sample("web", worker, {_HARMFUL: share}, ratio, now_s)
        interference.update(now_s)
        if now_s < 2.0:
            assert interference.harmful == {}
    assert interference.disturbance("web", _HARMFUL) > 0.5


def test_amounts_that_flip_within_seconds_are_forgotten():
    interference = _learned()
    now_s = _feed(interference, {_HARMFUL: 0.0, _CALM: 0.6}, rounds=25, start_s=4.0)
    assert interference.disturbance("web", _HARMFUL) == 0.0
    assert interference.disturbance("web", _CALM) > 0.4
    interference.update(now_s + 15.0)
    assert interference.harmful == {}
    interference.update(now_s + 60.0)
    assert interference._kinds == {}


def test_the_kinds_that_are_remembered_are_bounded():
    interference = Interference()
    for number in range(500):
        interference.note_sample(f"web{number}", "w1", {_CALM: 1.0}, 0.3, 0.0)
        interference.note_sample("web499", "w1", {f"filler{number}": 1.0}, 0.3, 0.0)
    assert len(interference._kinds) == 64
    assert len(interference._kinds["web499"]._beside) == 16


def test_a_kind_that_is_not_seen_any_more_makes_room_for_another():
    interference = Interference()
    for number in range(16):
        assert interference.note_sample("web", "w1", {f"filler{number}": 1.0}, 0.3, 0.0)
    assert not interference.note_sample("web", "w1", {_HARMFUL: 1.0}, 0.3, 0.0)
    now_s = _feed(interference, {"filler15": 0.0}, rounds=50)
    _feed(interference, {_HARMFUL: 0.6, "filler15": 0.0}, start_s=now_s)
    assert interference.disturbance("web", _HARMFUL) > 0.4


@given(
    st.lists(st.floats(-1.0, 1.0), min_size=1, max_size=4),
    st.lists(st.lists(st.floats(0.0, 1.0), min_size=4, max_size=4), min_size=30, max_size=60),
)
def test_the_regression_finds_the_amounts_that_made_exact_figures(amounts, samples):
    """The prior biases a coefficient by at most a few of its errors.

    By Cauchy and Schwarz: ridge ** 0.5 / least deviation x norm of all coefficients.
    """
    regression = DecayingRegression()
    columns = [regression.add_column() for _ in amounts]
    for sample in samples:
        shares = dict(zip(columns, sample, strict=False))
        increase = sum(amounts[column - 1] * share for column, share in shares.items())
        regression.add(shares, 0.3 + increase)
    estimates = regression.estimates()
    errors = 0.05**0.5 / 0.05 * math.hypot(0.3, *amounts)
    for column, amount in zip(columns, amounts, strict=True):
        bound = errors * estimates[column].error + 1e-6
        assert abs(estimates[column].value - amount) <= bound


@pytest.mark.parametrize("result", [1e200, 1e308, math.inf, math.nan])
def test_results_that_overflow_leave_estimates_finite_with_infinite_errors(result):
    regression = DecayingRegression()
    column = regression.add_column()
    for number in range(20):
        regression.add({column: number % 2}, result)
    assert all(math.isfinite(value) for value, _ in regression.estimates())
    assert all(error == math.inf for _, error in regression.estimates())


@given(st.integers(0, 4), st.lists(st.tuples(st.integers(1, 4), st.floats(0, 1)), max_size=30))
def test_forgetting_a_regressor_leaves_the_others_as_if_it_had_not_been(removed, samples):
    whole, other = DecayingRegression(), DecayingRegression()
    for _ in range(4):
        whole.add_column()
        other.add_column()
    for column, share in samples:
        values = {} if column == removed else {column: share}
        whole.add(values, share)
        other.add(values, share)
    if removed:
        whole.remove_column(removed)
        estimates = other.estimates()
        del estimates[removed]
        for kept, expected in zip(whole.estimates(), estimates, strict=True):
            assert kept.value == pytest.approx(expected.value)


def test_a_harmful_filler_is_placed_apart_while_there_is_room():
    beside, apart = make_worker("w1"), make_worker("w2", cpu_millis=2_000)
    beside.put(_serving())
    # Fillers go to the emptiest worker as long as nothing else is known.
    assert _place(_filler("first", _HARMFUL), [beside, apart], Interference()) == "w1"
    beside.remove(beside.tasks[-1])
    interference = _learned()
    assert _place(_filler("second", _HARMFUL), [beside, apart], interference) == "w2"
    assert _place(_filler("third", _CALM), [beside, apart], interference) == "w1"


def test_a_task_placed_in_the_same_round_counts():
    preference, worker = DisturbancePreference(_learned()), make_worker()
    filler = _filler("f", _HARMFUL)
    ranking = preference(filler)
    assert ranking(worker) == 0.0
    worker.put(_serving())
    assert ranking(worker) == preference(filler)(worker) == 0.6


def test_without_knowledge_of_a_kind_no_worker_is_ranked(monkeypatch):
    """Guards the cost of a search among many workers."""
    kinds = []
    monkeypatch.setattr(
        "almondstack.placement.disturbance_preference.kind_of",
        lambda task: kinds.append(task) or kind_of(task),
    )
    preference = DisturbancePreference(_learned())
    assert preference(_filler("calm", _CALM)) is None
    assert preference(_filler("harmful", _HARMFUL)) is not None
    workers = [make_worker(f"w{number}") for number in range(50)]
    kinds.clear()
    assert choose_worker(_filler("f", _HARMFUL), workers, preference) is not None
    assert len(kinds) == 1


def test_a_harmful_filler_is_placed_at_once_beside_others_when_there_is_no_other_room():
    beside, full = make_worker("w1"), make_worker("w2", capacity=Resources(4_000, 0))
    beside.put(_serving())
    filler = make_job(make_step(image=_HARMFUL, is_filler=True, memory_mb=1), id="f")
    assert _place(filler.steps_of(0)[0][0], [beside, full], _learned()) == "w1"


def test_a_serving_task_is_placed_apart_from_a_harmful_filler_while_there_is_room():
    with_filler, empty = make_worker("w1", cpu_millis=2_000), make_worker("w2")
    with_filler.put(_filler("f", _HARMFUL))
    assert _place(_serving(), [with_filler, empty], Interference()) == "w1"
    with_filler.remove(with_filler.tasks[-1])
    assert _place(_serving(), [with_filler, empty], _learned()) == "w2"
    assert _place(_serving("second"), [with_filler], _learned()) == "w1"


@pytest.mark.parametrize("reason", ["failed", "unsettled", "penalty"])
def test_a_disturbance_counts_less_than_a_worker_that_may_not_run_the_task(reason):
    beside, bad = make_worker("w1"), make_worker("w2")
    beside.put(_serving())
    filler = _filler("f", _HARMFUL)
    if reason == "failed":
        filler.failed_on.add("w2")
    bad.is_unsettled = reason == "unsettled"
    bad.penalty = 1.0 if reason == "penalty" else 0.0
    assert _place(filler, [beside, bad], _learned()) == "w1"


@given(st.lists(st.tuples(st.integers(1, 8), st.booleans()), min_size=1, max_size=6), st.booleans())
def test_while_nothing_is_known_the_same_worker_is_chosen_as_without_the_preference(
    sizes, is_filler
):
    workers = [
        make_worker(f"w{number}", cpu_millis=size * 1_000) for number, (size, _) in enumerate(sizes)
    ]
    for worker, (_, has_serving) in zip(workers, sizes, strict=True):
        if has_serving:
            worker.put(_serving(worker.id))
    task = _task("new", image=_HARMFUL, is_filler=is_filler)
    interference = Interference()
    chosen = choose_worker(task, workers, DisturbancePreference(interference))
    assert chosen is choose_worker(task, workers)


_percents = st.integers(0, 100)
_fillers = st.lists(
    st.tuples(st.sampled_from([_HARMFUL, _CALM, "unknown"]), _percents), min_size=1, max_size=5
)
_LEARNED = _learned()


def _next(shares, loads, interference, shown=None, *, is_new=True):
    """Return the next percentages; the figures show the present ones unless others are given."""
    tasks = [_filler(str(number), image, percent) for number, (image, percent) in enumerate(shares)]
    shown = shown or [percent for _, percent in shares]
    fillers = [PacedFiller(task, percent) for task, percent in zip(tasks, shown, strict=False)]
    serving = [_serving(f"s{number}", load) for number, load in enumerate(loads)]
    return next_percents(fillers, serving, interference, has_new_figures=is_new)


@given(
    _fillers,
    st.lists(st.integers(0, 200), max_size=3),
    st.lists(_percents, min_size=5, max_size=5),
)
def test_pacing_is_never_weaker_than_without_knowledge(shares, loads, shown):
    """Only a harmless filler may keep its share, and only below the target."""
    worst = max(loads, default=0) / 100
    alike = [next_percent(percent, worst) for _, percent in shares]
    assert _next(shares, loads, Interference()) == alike
    for (image, percent), plain, known in zip(
        shares, alike, _next(shares, loads, _LEARNED, shown), strict=True
    ):
        is_kept = image == _CALM and worst < 1.0 and known == percent
        assert known <= plain or is_kept


def test_only_the_filler_that_disturbs_is_slowed_when_that_is_enough():
    shares = [(_HARMFUL, 100), (_CALM, 100)]
    assert _next(shares, [90], _LEARNED) == [50, 100]
    assert _next(shares, [90], Interference()) == [50, 50]


def test_all_fillers_stop_over_the_target_whatever_is_known():
    shares = [(_HARMFUL, 100), (_CALM, 100)]
    assert _next(shares, [110], _LEARNED) == _next(shares, [110], Interference()) == [0, 0]


def test_all_fillers_are_slowed_when_the_one_that_disturbs_can_not_explain_the_tail():
    assert _next([(_HARMFUL, 5), (_CALM, 100)], [95], _LEARNED) == [2, 50]


def test_a_filler_whose_kind_is_not_known_is_slowed():
    assert _next([(_HARMFUL, 100), ("unknown", 100)], [90], _LEARNED) == [50, 50]


def test_several_harmful_fillers_speed_up_no_further_than_there_is_room():
    interference = _learned({_HARMFUL: 1.5, _CALM: 0.0})
    shares = [(_HARMFUL, 0)] * 4 + [(_CALM, 0)]
    *harmful, calm = _next(shares, [30], interference)
    assert calm == 25 and len(set(harmful)) == 1
    assert 0.3 + sum(harmful) / 100 * 1.5 <= 0.87


def test_a_harmful_filler_that_has_just_started_is_slowed_before_its_effect_is_seen():
    """A run starts at full speed, and its worker's figures are over the last half second."""
    shares = [(_HARMFUL, 100), (_CALM, 100)]
    assert _next(shares, [70], Interference(), shown=[0, 0]) == [100, 100]
    harmful, calm = _next(shares, [70], _LEARNED, shown=[0, 0])
    assert calm == 100 and 0.7 + harmful / 100 * 0.6 == pytest.approx(0.85, abs=0.02)
    assert _next(shares, [70], _LEARNED) == [100, 100]


@pytest.mark.parametrize("interference", [Interference(), _LEARNED])
def test_a_filler_beside_a_serving_task_speeds_up_only_by_new_figures(interference):
    shares = [(_HARMFUL, 20), (_CALM, 20)]
    assert _next(shares, [30], interference) == [45, 45]
    assert _next(shares, [30], interference, is_new=False) == [20, 20]
    assert _next(shares, [], interference, is_new=False) == [45, 45]
    assert _next(shares, [150], interference, is_new=False) == [0, 0]


def test_a_harmful_filler_does_not_speed_up_again_and_again_by_the_same_figures():
    """A worker without a run that ends gives new figures only once a second."""
    percents = [(_HARMFUL, 0)]
    for _ in range(4):
        (percent,) = _next(percents, [50], _LEARNED, shown=[0])
        percents = [(_HARMFUL, percent)]
    assert 0.5 + percent / 100 * 0.6 == pytest.approx(0.85, abs=0.02)
