"""Which instances of a wave have their maintenance next."""

__all__ = ["WaveMember", "next_members"]

_DRAINED_AHEAD = 1
"""Instances that are emptied while others are down, so that the next one is ready."""


class WaveMember:
    """An instance of a wave that has not begun its maintenance.

    Parameters
    ----------
    name : str
        The instance.
    is_off : bool
        It stands in a pool that is off.
    used_millis : int
        What runs on it, in thousandths of a core.
    long_running_tasks : int
        Tasks on it that run until they are cancelled.
    pool_rank : float
        How much its pool can do without it; higher is better.
    """

    __slots__ = ("is_off", "long_running_tasks", "name", "pool_rank", "used_millis")

    def __init__(
        self,
        name: str,
        *,
        is_off: bool = False,
        used_millis: int = 0,
        long_running_tasks: int = 0,
        pool_rank: float = 0.0,
    ) -> None:
        self.name = name
        self.is_off = is_off
        self.used_millis = used_millis
        self.long_running_tasks = long_running_tasks
        self.pool_rank = pool_rank


def next_members(members: list[WaveMember], down: int, most_at_once: int) -> list[WaveMember]:
    """Return the members to empty and maintain next.

    Explanation
    -----------
    Instances that are off come first, then empty ones, then those whose pool
    has most to spare; lasting tasks make an instance come last.

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
            -member.pool_rank,
            member.used_millis,
            member.name,
        ),
    )
    return order[: max(0, most_at_once - down) + _DRAINED_AHEAD]
