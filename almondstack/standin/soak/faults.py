"""Random schedule of the faults of a soak run, derived from a seed."""

import random
from enum import StrEnum
from typing import NamedTuple

__all__ = ["REBIRTH_KINDS", "Fault", "FaultKind", "plan_faults"]

_MAX_FAULT_S = 2.5
_MIN_FAULT_S = 0.2
_MEAN_GAP_S = 0.6


class FaultKind(StrEnum):
    """Fault that is injected into a process, a worker, the store or a link."""

    PAUSE = "pause"
    KILL = "kill"
    TERMINATE = "terminate"
    RELOAD = "reload"
    STORE_LINK = "store-link"
    STORE_RESET = "store-reset"
    WORKER_LINK = "worker-link"
    WORKER_RESET = "worker-reset"
    WORKER_CRASH = "worker-crash"
    STORE_REFUSES = "store-refuses"
    STORE_LOSES = "store-loses"
    LATE_CALLS = "late-calls"
    WORKER_CUT = "worker-cut"


REBIRTH_KINDS = (FaultKind.LATE_CALLS, FaultKind.WORKER_CUT)
"""Kinds that only :func:`almondstack.standin.soak.rebirths.plan_rebirths` schedules."""

_RANDOM_KINDS = [kind for kind in FaultKind if kind not in REBIRTH_KINDS]


class Fault(NamedTuple):
    """One scheduled fault.

    Parameters
    ----------
    begin_s, end_s : float
        Seconds since the start of the fault period.
    kind : FaultKind
        Kind of the fault.
    selector : int
        Random number that selects the affected process or worker.
    """

    begin_s: float
    end_s: float
    kind: FaultKind
    selector: int


def plan_faults(seed: int, fault_period_s: float) -> list[Fault]:
    """Return the faults of a run of ``fault_period_s`` seconds by begin time; they may overlap.

    Examples
    --------
    >>> plan_faults(1, 10.0) == plan_faults(1, 10.0) != plan_faults(2, 10.0)
    True
    """
    generator = random.Random(seed)
    faults = []
    now_s = 0.0
    while (now_s := now_s + generator.expovariate(1 / _MEAN_GAP_S)) < fault_period_s:
        span_s = generator.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
        kind = generator.choice(_RANDOM_KINDS)
        faults.append(
            Fault(now_s, min(now_s + span_s, fault_period_s), kind, generator.randrange(1 << 16))
        )
    return faults
