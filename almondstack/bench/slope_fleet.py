"""Slope of the processor time of a planning round against the number of instances."""

import functools
from collections.abc import Callable

from almondstack.bench.slope_state import min_cpu_s_by_size, scaled
from almondstack.bench.slopes import Points, slope_case
from almondstack.fleet import FleetSettings, Observations, Planner
from almondstack.fold import Fold
from almondstack.provider import UsageReport
from almondstack.testing.large_fleet import FULL_INSTANCES, make_large_fold

__all__ = ["healthy_observations"]

_SIZES = (92, 185, 370, 740)
_NOW_S = 1000.0


def healthy_observations(fold: Fold) -> Observations:
    """Return the observations of a keeper when every instance is healthy."""
    names = list(fold.state.instances)
    return Observations(
        now_s=_NOW_S,
        platform_now_s=_NOW_S,
        reports={name: UsageReport(instance=name, as_of_s=_NOW_S, running=4) for name in names},
        phase_since_s=dict.fromkeys(names, 0.0),
        good_since_s=dict.fromkeys(names, 0.0),
        listed=frozenset(names),
    )


@slope_case("planner", "instances", FULL_INSTANCES)
def planner_round() -> dict[str, Points]:
    """Return the processor time of a planning round that proposes nothing."""
    rounds: dict[int, Callable[[], object]] = {}
    for size in _SIZES:
        fold = make_large_fold(size)
        observations = healthy_observations(fold)
        planner = Planner(FleetSettings())
        assert planner.plan(fold.state, observations) == []
        rounds[size] = functools.partial(planner.plan, fold.state, observations)
    return {"ms a round": scaled(min_cpu_s_by_size(rounds), 1000)}
