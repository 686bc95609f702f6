"""How pools, the owner and the ledger of paid time went through a day."""

from typing import NamedTuple

from almondstack.capacity import PaidUse
from almondstack.ctl.log_events import LogEvent

__all__ = ["PoolSample", "Timeline"]


class PoolSample(NamedTuple):
    """A pool at a moment: Unix seconds, its instances, and the thousandths of a core asked for."""

    time_s: float
    size: int
    wanted: int
    asked_millis: int


class Timeline:
    """Follows pools and owners through the lines.

    Attributes
    ----------
    pools : dict of str to list of PoolSample
        By pool.
    paid_s : dict of str to dict of PaidUse to float
        Instance-seconds by pool and use.
    owner_ms : list of tuple of float and dict of str to float
        Unix seconds, and the mean milliseconds of each part of the owner's rounds then.
    """

    __slots__ = ("owner_ms", "paid_s", "pools")

    def __init__(self) -> None:
        self.pools: dict[str, list[PoolSample]] = {}
        self.paid_s: dict[str, dict[PaidUse, float]] = {}
        self.owner_ms: list[tuple[float, dict[str, float]]] = []

    def note(self, event: LogEvent) -> None:
        """Take a line into account; lines come in the order of their times."""
        if event.name == "pools-want":
            for pool, fields in event.fields.get("pools", {}).items():
                sample = PoolSample(
                    event.time_s, fields["size"], fields["wanted"], fields["asked_millis"]
                )
                self.pools.setdefault(pool, []).append(sample)
        elif event.name == "paid-seconds":
            for pool, uses in event.fields.get("pools", {}).items():
                self._add(pool, uses)
        elif event.name == "owner-load":
            self.owner_ms.append((event.time_s, event.fields.get("mean_ms", {})))

    def _add(self, pool: str, uses: dict[str, float]) -> None:
        paid_s = self.paid_s.setdefault(pool, {})
        for name, seconds in uses.items():
            use = PaidUse(name)
            paid_s[use] = paid_s.get(use, 0.0) + seconds
