"""Reports notable changes of what client accounts are entitled to."""

import math

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.placement.entitlements import AccountShare, Entitlements

__all__ = ["EntitlementReport"]

_INTERVAL_S = 1.0
"""Least time between two events, in seconds."""

_NOTABLE_CHANGE = 0.1
"""Least change of the covered share of an account that is reported, of 0 to 1."""

_MAX_LOGGED_ACCOUNTS = 10
"""Bound on the accounts in one event: those that ask for most."""


class EntitlementReport:
    """Writes an ``entitlements`` event when the table has changed notably, at most once a second.

    Parameters
    ----------
    events : EventLog
        Receives the events.
    metrics : LocalMetrics
        Receives the gauges ``entitlements.short`` and ``entitlements.beyond``, and the counter
        ``entitlements.shortages``.
    """

    __slots__ = ("_events", "_logged", "_logged_s", "_metrics", "_was_short")

    def __init__(self, events: EventLog, metrics: LocalMetrics) -> None:
        self._events = events
        self._metrics = metrics
        self._logged: dict[str, float] = {}
        self._logged_s = -math.inf
        self._was_short = False

    def note(self, table: Entitlements, now_s: float) -> None:
        """Report the table of a round if it is due; ``now_s`` is a monotonic time in seconds."""
        if table.is_short and not self._was_short:
            self._metrics.count("entitlements.shortages")
        if table.is_short or self._was_short:
            self._metrics.gauge("entitlements.short", float(table.is_short))
            self._metrics.gauge("entitlements.beyond", sum(map(_is_beyond, table.shares.values())))
        self._was_short = table.is_short
        covered = {account: share.covered for account, share in table.shares.items()}
        if now_s - self._logged_s < _INTERVAL_S or not self._is_notable(covered):
            return
        self._logged_s = now_s
        self._logged = covered
        self._write(table)

    def _is_notable(self, covered: dict[str, float]) -> bool:
        if bool(covered) != bool(self._logged):
            return True
        accounts = covered.keys() | self._logged.keys()
        return any(
            abs(covered.get(account, 1.0) - self._logged.get(account, 1.0)) >= _NOTABLE_CHANGE
            for account in accounts
        )

    def _write(self, table: Entitlements) -> None:
        largest = sorted(
            table.shares.items(), key=lambda entry: entry[1].asked.cpu_millis, reverse=True
        )
        self._events.write(
            "entitlements",
            is_short=table.is_short,
            capacity_millis=table.capacity.cpu_millis,
            capacity_mb=table.capacity.memory_mb,
            count=len(largest),
            accounts={
                account: {
                    "asked_millis": share.asked.cpu_millis,
                    "entitled_millis": round(share.entitled_millis),
                    "covered": round(share.covered, 3),
                    "is_beyond": _is_beyond(share),
                }
                for account, share in largest[:_MAX_LOGGED_ACCOUNTS]
            },
        )


def _is_beyond(share: AccountShare) -> bool:
    return share.covered < 1.0
