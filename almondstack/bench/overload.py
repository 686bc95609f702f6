"""Goodput of one pool at a load of its capacity and of five times its capacity."""

from typing import Any

from almondstack.bench.layout import load_note
from almondstack.bench.load import LoadOptions, run_load
from almondstack.bench.mixes import EXAMPLES
from almondstack.bench.workload import Mix, QueueLoad

__all__ = ["goodput_ratio"]

_QUEUE = "matching"
_POOL = "match"
_WORK_MS = 500.0
_DURATION_S = 15.0
_WARM_UP_S = 3.0
_OVERLOAD_FACTOR = 5.0
_TEAM_WEIGHTS = {"delta-foods": 4.0, "bayou-grocers": 3.0, "piedmont-supply": 2.0}


def _options(factor: float) -> LoadOptions:
    instances = load_note(EXAMPLES / "magnolia.json").added.instances
    slots = sum(item.slots for item in instances if item.pool == _POOL)
    per_second = factor * slots / (_WORK_MS / 1000)
    load = QueueLoad(queue=_QUEUE, weights=_TEAM_WEIGHTS, per_second=per_second, work_ms=_WORK_MS)
    mix = Mix(loads=(load,), duration_s=_DURATION_S, has_bursts=False)
    return LoadOptions(own_mix=mix, duration_s=_DURATION_S)


def goodput_ratio() -> dict[str, Any]:
    """Return answers a second at capacity and at five times it, their ratio, and violations.

    Explanation
    -----------
    Only answers between the end of a 3 s warm-up and the end of sending are
    counted, because start-up and drain would distort the goodput.
    """
    rates: dict[str, float] = {}
    violations = 0
    for name, factor in (("at_capacity", 1.0), ("at_five_times", _OVERLOAD_FACTOR)):
        figures, _ = run_load(_options(factor))
        per_second = figures["answered_by_second"][int(_WARM_UP_S) : int(_DURATION_S)]
        rates[name] = sum(per_second) / len(per_second)
        violations += sum(figures["violations"].values())
    ratio = rates["at_five_times"] / rates["at_capacity"]
    return {**rates, "ratio": ratio, "violations": violations}
