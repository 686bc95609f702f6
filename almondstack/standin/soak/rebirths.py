"""Random schedule of workers that start again under their ids and are cut off soon after."""

import random

from almondstack.standin.soak.faults import Fault, FaultKind

__all__ = ["plan_rebirths"]

_FIRST_WAVE_S = (5.0, 7.0)
_WAVE_GAP_S = (16.0, 20.0)
_RESTARTED_SHARE = 0.75
_WAVE_SPREAD_S = 0.6
_LATE_BEFORE_S = (0.8, 2.0)
"""Time before a restart from which calls may be carried out late, in seconds."""

_LATE_AFTER_S = 0.5
_CUT_AFTER_S = (0.9, 2.5)
_CUT_S = (4.0, 9.0)


def plan_rebirths(seed: int, fault_period_s: float, workers: int) -> list[Fault]:
    """Return the faults of the restarts that begin within ``fault_period_s``, by begin time.

    Explanation
    -----------
    Three quarters of the workers restart together.  Around a worker's restart, some calls to
    it get no answer and are carried out later (:attr:`FaultKind.LATE_CALLS`); soon after, it
    is cut off (:attr:`FaultKind.WORKER_CUT`), so that its runs end unseen.  The last cut may
    end after the fault period.

    Examples
    --------
    >>> kinds = [fault.kind.value for fault in plan_rebirths(1, 6.0, 1)]
    >>> kinds
    ['late-calls', 'worker-crash', 'worker-cut']
    """
    generator = random.Random(f"rebirths-{seed}")
    faults: list[Fault] = []
    wave_s = generator.uniform(*_FIRST_WAVE_S)
    while wave_s < fault_period_s:
        for worker in range(workers):
            if worker == 0 or generator.random() < _RESTARTED_SHARE:
                faults += _plan_rebirth(generator, wave_s, worker)
        wave_s += generator.uniform(*_WAVE_GAP_S)
    return sorted(faults)


def _plan_rebirth(generator: random.Random, wave_s: float, worker: int) -> list[Fault]:
    restart_s = wave_s + generator.uniform(0.0, _WAVE_SPREAD_S)
    late_s = restart_s - generator.uniform(*_LATE_BEFORE_S)
    cut_s = restart_s + generator.uniform(*_CUT_AFTER_S)
    cut_end_s = cut_s + generator.uniform(*_CUT_S)
    return [
        Fault(late_s, restart_s + _LATE_AFTER_S, FaultKind.LATE_CALLS, worker),
        Fault(restart_s, restart_s, FaultKind.WORKER_CRASH, worker),
        Fault(cut_s, cut_end_s, FaultKind.WORKER_CUT, worker),
    ]
