"""Tracks which client accounts the arriving work of a queue belongs to."""

__all__ = ["ArrivalMix"]

_DECAY = 0.97
"""Factor on the weight of earlier jobs, for each new job."""

_MIN_SHARE = 0.001
"""An account whose recent work is a lesser share of all is forgotten, which bounds the state."""


class ArrivalMix:
    """Shares of the client accounts in the recent work of a queue.

    Examples
    --------
    >>> mix = ArrivalMix()
    >>> mix.add("a", 3_000.0)
    >>> mix.add("b", 970.0)
    >>> {account: round(share, 2) for account, share in mix.shares().items()}
    {'a': 0.75, 'b': 0.25}
    """

    __slots__ = ("_work_ms",)

    def __init__(self) -> None:
        self._work_ms: dict[str, float] = {}

    def add(self, account: str, core_ms: float) -> None:
        """Record a job of an account with its work in milliseconds of one core."""
        least_ms = _MIN_SHARE * sum(self._work_ms.values())
        self._work_ms = {
            name: work_ms * _DECAY for name, work_ms in self._work_ms.items() if work_ms > least_ms
        }
        self._work_ms[account] = self._work_ms.get(account, 0.0) + core_ms

    def shares(self) -> dict[str, float]:
        """Return the share of each account; they add up to 1, or none is known."""
        total_ms = sum(self._work_ms.values())
        if total_ms <= 0:
            return {}
        return {account: work_ms / total_ms for account, work_ms in self._work_ms.items()}
