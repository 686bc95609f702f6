"""Escrowed permits: bounds that many entries spend without asking anyone."""

from almondstack.permits.contract import (
    Permits,
    ceiling_resource,
    rate_resource,
    slots_resource,
)

__all__ = ["Permits", "ceiling_resource", "rate_resource", "slots_resource"]
