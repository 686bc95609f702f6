"""Slope of one planning round against the number of instances."""

import functools
from collections.abc import Callable

from almondstack.bench.slope_state import least_by_size, scaled
from almondstack.bench.slopes import Points, slope_case
from almondstack.fleet import FleetSettings, Observations, Planner
from almondstack.fold import Fold
from almondstack.provider import UsageReport
from almondstack.testing.large_fleet import FULL_INSTANCES, make_large_fold

__all__ = ["quiet_observations"]

_SIZES = (92, 185, 370, 740)
_NOW_S = 1000.0


def quiet_observations(fold: Fold) -> Observations:
    """Return what a keeper sees when every instance is well."""
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
    """Return the processor time of a planning round in which nothing is to do."""
    rounds: dict[int, Callable[[], object]] = {}
    for size in _SIZES:
        fold = make_large_fold(size)
        seen = quiet_observations(fold)
        planner = Planner(FleetSettings())
        assert planner.plan(fold.state, seen) == []
        rounds[size] = functools.partial(planner.plan, fold.state, seen)
    return {"ms a round": scaled(least_by_size(rounds), 1000)}
