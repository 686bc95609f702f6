"""Selects the instances of a wave to maintain next."""

__all__ = ["WaveMember", "next_members"]

_DRAINED_AHEAD = 1
"""Instances drained while others are down, so that the next maintenance can begin at once."""


class WaveMember:
    """An instance of a wave whose maintenance has not begun.

    Parameters
    ----------
    name : str
        Name of the instance.
    is_off : bool
        Its pool's instances are off.
    used_millis : int
        Demand of the tasks on it, in thousandths of a core.
    long_running_tasks : int
        Tasks on it that run until they are cancelled.
    pool_excess : float
        Number of instances by which its pool exceeds what it wants; negative if it lacks some.
    """

    __slots__ = ("is_off", "long_running_tasks", "name", "pool_excess", "used_millis")

    def __init__(
        self,
        name: str,
        *,
        is_off: bool = False,
        used_millis: int = 0,
        long_running_tasks: int = 0,
        pool_excess: float = 0.0,
    ) -> None:
        self.name = name
        self.is_off = is_off
        self.used_millis = used_millis
        self.long_running_tasks = long_running_tasks
        self.pool_excess = pool_excess


def next_members(members: list[WaveMember], down: int, most_at_once: int) -> list[WaveMember]:
    """Return the members to drain and maintain next.

    Explanation
    -----------
    Instances that are off come first, then empty ones, then those whose pool
    has the largest excess.  Instances with long-running tasks come last.

    Parameters
    ----------
    members : list of WaveMember
        Instances whose maintenance has not begun.
    down : int
        Number of instances in maintenance now.
    most_at_once : int
        Bound on the instances in maintenance at one time.

    Examples
    --------
    >>> members = [WaveMember("a", used_millis=500), WaveMember("b", is_off=True)]
    >>> [member.name for member in next_members(members, down=1, most_at_once=2)]
    ['b', 'a']
    """
    order = sorted(
        members,
        key=lambda member: (
            not member.is_off,
            member.long_running_tasks > 0,
            member.used_millis > 0,
            -member.pool_excess,
            member.used_millis,
            member.name,
        ),
    )
    return order[: max(0, most_at_once - down) + _DRAINED_AHEAD]
