"""Escrowed permits: bounds that many entries spend without asking anyone."""

from almondstack.model import bounds_of, is_rate, rate_bursts
from almondstack.permits.contract import (
    Permits,
    ceiling_resource,
    rate_resource,
    slots_resource,
)
from almondstack.permits.local import LocalPermits
from almondstack.permits.table import PermitTable

__all__ = [
    "LocalPermits",
    "PermitTable",
    "Permits",
    "bounds_of",
    "ceiling_resource",
    "is_rate",
    "rate_bursts",
    "rate_resource",
    "slots_resource",
]
