"""Amounts of processor time, memory and accelerators."""

from almondstack.jobs import Step

__all__ = ["Resources", "demand_of"]


class Resources:
    """An amount of each resource; negative values occur in differences.

    Parameters
    ----------
    cpu_millis : int
        Thousandths of a core.
    memory_mb : int
        Megabytes of memory.
    gpus : int
        Accelerators.

    Examples
    --------
    >>> room = Resources(1000, 512)
    >>> room.subtract(Resources(400, 256))
    >>> room.cpu_millis, room.covers(Resources(700, 100))
    (600, False)
    """

    __slots__ = ("cpu_millis", "gpus", "memory_mb")

    def __init__(self, cpu_millis: int = 0, memory_mb: int = 0, gpus: int = 0) -> None:
        self.cpu_millis = cpu_millis
        self.memory_mb = memory_mb
        self.gpus = gpus

    def copy(self) -> "Resources":
        """Return an independent copy."""
        return Resources(self.cpu_millis, self.memory_mb, self.gpus)

    def add(self, other: "Resources") -> None:
        """Add another amount in place."""
        self.cpu_millis += other.cpu_millis
        self.memory_mb += other.memory_mb
        self.gpus += other.gpus

    def subtract(self, other: "Resources") -> None:
        """Subtract another amount in place."""
        self.cpu_millis -= other.cpu_millis
        self.memory_mb -= other.memory_mb
        self.gpus -= other.gpus

    def covers(self, other: "Resources") -> bool:
        """Return whether another amount fits in; resources of which it needs none are ignored."""
        return (
            (other.cpu_millis <= 0 or other.cpu_millis <= self.cpu_millis)
            and (other.memory_mb <= 0 or other.memory_mb <= self.memory_mb)
            and (other.gpus <= 0 or other.gpus <= self.gpus)
        )

    def times_covers(self, other: "Resources") -> int:
        """Return how many times another amount fits in; 0 if that needs nothing.

        Examples
        --------
        >>> Resources(4_000, 1_000).times_covers(Resources(1_000, 300))
        3
        """
        counts = [
            whole // part
            for part, whole in (
                (other.cpu_millis, self.cpu_millis),
                (other.memory_mb, self.memory_mb),
                (other.gpus, self.gpus),
            )
            if part > 0
        ]
        return max(0, min(counts, default=0))

    def is_at_least(self, other: "Resources") -> bool:
        """Return whether each resource is at least as much as in another amount."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


def demand_of(step: Step) -> Resources:
    """Return what one task of a step takes of a worker's capacity.

    Explanation
    -----------
    A filler uses only processor time that other tasks leave unused, so its processor
    demand counts as 0 here; its memory and accelerators count in full.
    """
    cpu_millis = 0 if step.is_filler else step.cpu_millis
    return Resources(cpu_millis, step.memory_mb, step.gpus)
