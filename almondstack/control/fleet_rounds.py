"""Waves and moves of instances, round by round."""

from almondstack.control.runs import RunTable
from almondstack.control.services import OwnerServices

__all__ = ["FleetRounds"]


class FleetRounds:
    """Maintains and moves instances."""

    __slots__ = ("_services", "_table", "_token")

    def __init__(self, table: RunTable, services: OwnerServices, token: int) -> None:
        self._table = table
        self._services = services
        self._token = token

    def round(self, now_s: float) -> None:
        """Do what is due."""

    def close(self) -> None:
        """Give no more orders."""
