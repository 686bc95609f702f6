"""Deterministic replicated state machine over the records of the fleet stream."""

from almondstack.fold import config as _config
from almondstack.fold import instances as _instances
from almondstack.fold import levels as _levels
from almondstack.fold import members as _members
from almondstack.fold import permits as _permits
from almondstack.fold import waves as _waves
from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.fold import Fold, FoldGapError, FoldOutdatedError
from almondstack.fold.listeners import FoldDelta, FoldListener
from almondstack.fold.permits_floors import (
    debt_of,
    home_zone,
    unallocated_count,
    zone_floors,
)
from almondstack.fold.refusals import Refusal, RefusedError, Verdict

__all__ = [
    "Fold",
    "FoldContext",
    "FoldDelta",
    "FoldGapError",
    "FoldListener",
    "FoldOutdatedError",
    "Refusal",
    "RefusedError",
    "Verdict",
    "debt_of",
    "fold_body",
    "home_zone",
    "subject_of",
    "unallocated_count",
    "zone_floors",
]

_FOLD_MODULES = (_config, _instances, _levels, _members, _permits, _waves)
