"""Queue of one team in one pool, with its count of running calls."""

from collections import Counter, OrderedDict

from almondstack.model import Team
from almondstack.queueing.waiting import WaitingCall

__all__ = ["TeamQueue"]


class TeamQueue:
    """Two FIFO lanes, urgent and ordinary, of the waiting calls of a team.

    Explanation
    -----------
    A lane is a linked hash map, so that any call can be removed in constant time.

    Parameters
    ----------
    team : Team
        Team that the calls belong to.
    """

    __slots__ = (
        "_ordinary",
        "_urgent",
        "is_blocked",
        "lag_s",
        "level",
        "level_correction",
        "reported_demand",
        "running",
        "running_elsewhere",
        "team",
        "waiting_by_queue",
    )

    def __init__(self, team: Team) -> None:
        self._urgent: OrderedDict[str, WaitingCall] = OrderedDict()
        self._ordinary: OrderedDict[str, WaitingCall] = OrderedDict()
        self.team = team
        self.running = 0
        self.running_elsewhere = 0
        self.lag_s = 0.0
        self.level_correction = 0.0
        self.level = 0.0
        self.is_blocked = False
        self.reported_demand = 0
        self.waiting_by_queue: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    @property
    def urgent_count(self) -> int:
        """Number of waiting urgent calls."""
        return len(self._urgent)

    @property
    def is_waiting(self) -> bool:
        """True if a call waits."""
        return bool(self._urgent or self._ordinary)

    def add(self, item: WaitingCall, at_front: bool = False) -> None:
        """Append a call to its lane, or insert it at the front."""
        lane = self._lane(item)
        lane[item.call.call_id] = item
        if at_front:
            lane.move_to_end(item.call.call_id, last=False)
        self.waiting_by_queue[item.call.queue.name] += 1

    def remove(self, item: WaitingCall) -> None:
        """Remove a call from its lane, at any position."""
        del self._lane(item)[item.call.call_id]
        self.waiting_by_queue[item.call.queue.name] -= 1

    def head(self) -> WaitingCall | None:
        """Return the call that starts next, or None."""
        return self.urgent_head() or _first(self._ordinary)

    def urgent_head(self) -> WaitingCall | None:
        """Return the urgent call that starts next, or None."""
        return _first(self._urgent)

    def _lane(self, item: WaitingCall) -> OrderedDict[str, WaitingCall]:
        return self._urgent if item.call.is_urgent else self._ordinary


def _first(lane: OrderedDict[str, WaitingCall]) -> WaitingCall | None:
    return next(iter(lane.values())) if lane else None
