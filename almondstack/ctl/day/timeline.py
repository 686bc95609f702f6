"""Collects time series of pools and owner rounds, and sums of paid time, from log events."""

import contextlib
from typing import NamedTuple

import msgspec

from almondstack.capacity import PaidUse
from almondstack.ctl.log_events import LogEvent

__all__ = ["PoolSample", "Timeline"]


class PoolSample(NamedTuple):
    """A pool at a Unix time in seconds: actual and wanted instances, millicores asked for."""

    time_s: float
    size: int
    wanted: int
    asked_millis: int


class _PoolFields(msgspec.Struct):
    """Fields of one pool in a ``pools-want`` event."""

    size: int
    wanted: int
    asked_millis: int


class Timeline:
    """Time series of pools and owners, and sums of paid time, from log events.

    Attributes
    ----------
    pools : dict of str to list of PoolSample
        Samples by pool, in time order.
    paid_s : dict of str to dict of PaidUse to float
        Instance-seconds by pool and use.
    owner_round_ms : list of tuple of float and dict of str to float
        Unix time in seconds, and the mean milliseconds of each part of the owner's rounds
        at that time.
    """

    __slots__ = ("owner_round_ms", "paid_s", "pools")

    def __init__(self) -> None:
        self.pools: dict[str, list[PoolSample]] = {}
        self.paid_s: dict[str, dict[PaidUse, float]] = {}
        self.owner_round_ms: list[tuple[float, dict[str, float]]] = []

    def add_event(self, event: LogEvent) -> None:
        """Apply an event; events must come in time order.

        Explanation
        -----------
        Events whose fields do not match, for example from another version, are ignored.
        """
        pools = event.fields.get("pools", {})
        with contextlib.suppress(msgspec.ValidationError):
            if event.name == "pools-want":
                self._add_pool_samples(event.time_s, msgspec.convert(pools, dict[str, _PoolFields]))
            elif event.name == "paid-seconds":
                self._add_paid_seconds(msgspec.convert(pools, dict[str, dict[PaidUse, float]]))
            elif event.name == "owner-load":
                mean_ms = event.fields.get("mean_ms", {})
                self.owner_round_ms.append(
                    (event.time_s, msgspec.convert(mean_ms, dict[str, float]))
                )

    def _add_pool_samples(self, time_s: float, pools: dict[str, _PoolFields]) -> None:
        for pool, fields in pools.items():
            sample = PoolSample(time_s, fields.size, fields.wanted, fields.asked_millis)
            self.pools.setdefault(pool, []).append(sample)

    def _add_paid_seconds(self, pools: dict[str, dict[PaidUse, float]]) -> None:
        for pool, uses in pools.items():
            paid_s = self.paid_s.setdefault(pool, {})
            for use, seconds in uses.items():
                paid_s[use] = paid_s.get(use, 0.0) + seconds
