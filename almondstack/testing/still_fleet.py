"""A fleet whose instances never change: the part of a simulation that owners need, but not test."""

from almondstack.control.messages import InstanceInfo, OrderStatus, WaveRequest

__all__ = ["StillFleet"]


class StillFleet:
    """Directory and instance service without waves, evacuations, moves and maintenance."""

    @property
    def is_loaded(self) -> bool:
        """True: the registered workers are always loaded."""
        return True

    def may_have_restarted(self, worker: str, life: int) -> bool:
        """True: nothing is known of former lives."""
        return True

    def evacuated_zones(self) -> frozenset[str]:
        """Return an empty set: no zone is evacuated."""
        return frozenset()

    def waves(self) -> list[WaveRequest]:
        """Return an empty list: no wave is requested."""
        return []

    def report_wave(self, number: int, is_completed: bool) -> None:
        """Do nothing: there are no waves."""

    def instances(self) -> list[InstanceInfo]:
        """Return an empty list: there are no instances."""
        return []

    def move(self, instance: str, pool: str, token: int) -> OrderStatus:
        """Reject the move."""
        return OrderStatus.INVALID

    def maintain(self, instance: str, wave: int, token: int) -> OrderStatus:
        """Reject the maintenance."""
        return OrderStatus.INVALID
