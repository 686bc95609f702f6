"""Totals of the permit transfers between this incarnation and each peer."""

from collections.abc import Iterable

from almondstack.model import PermitCount, SettledCount

__all__ = ["TransferLedger"]


class TransferLedger:
    """Cumulative totals per peer and resource; the caller synchronizes access.

    Examples
    --------
    >>> from almondstack.model import PermitCount
    >>> from almondstack.permits.ledger import TransferLedger
    >>> ledger = TransferLedger()
    >>> ledger.receive("e2", [PermitCount("ceiling/north", 3)])
    3
    >>> ledger.receive("e2", [PermitCount("ceiling/north", 3)])
    0
    """

    __slots__ = ("_acknowledged", "_given", "_received")

    def __init__(self) -> None:
        self._given: dict[str, dict[str, int]] = {}
        self._received: dict[str, dict[str, int]] = {}
        self._acknowledged: dict[str, dict[str, int]] = {}

    def give(self, peer: str, resource: str, count: int) -> None:
        """Add ``count`` to the total given to ``peer``."""
        totals = self._given.setdefault(peer, {})
        totals[resource] = totals.get(resource, 0) + count

    def receive(self, peer: str, items: Iterable[PermitCount]) -> int:
        """Raise the totals received from ``peer``; return how many permits are new."""
        totals = self._received.setdefault(peer, {})
        gained = 0
        for item in items:
            more = item.count - totals.get(item.resource, 0)
            if more > 0:
                totals[item.resource] = item.count
                gained += more
        return gained

    def record_acknowledged(self, peer: str, items: Iterable[PermitCount]) -> None:
        """Store the totals that ``peer`` has acknowledged."""
        acknowledged = self._acknowledged.setdefault(peer, {})
        for item in items:
            acknowledged[item.resource] = max(item.count, acknowledged.get(item.resource, 0))

    def unacknowledged(self, peer: str) -> tuple[PermitCount, ...]:
        """Return the totals given to ``peer`` that it has not acknowledged."""
        acknowledged = self._acknowledged.get(peer, {})
        given = self._given.get(peer, {})
        return tuple(PermitCount(r, n) for r, n in given.items() if n > acknowledged.get(r, 0))

    def peers(self) -> list[str]:
        """Return the peers with which there were transfers."""
        return sorted(self._given.keys() | self._received.keys())

    def net_received(self, peers: Iterable[str]) -> dict[str, int]:
        """Return, by resource, the permits received from ``peers`` less those given to them."""
        nets: dict[str, int] = {}
        for peer in peers:
            for resource, count in self._received.get(peer, {}).items():
                nets[resource] = nets.get(resource, 0) + count
            for resource, count in self._given.get(peer, {}).items():
                nets[resource] = nets.get(resource, 0) - count
        return nets

    def settlement_counts(self, peer: str) -> tuple[SettledCount, ...]:
        """Return both totals with ``peer``, by resource."""
        given, received = self._given.get(peer, {}), self._received.get(peer, {})
        names = sorted(given.keys() | received.keys())
        return tuple(SettledCount(r, given.get(r, 0), received.get(r, 0)) for r in names)

    def drop_peer(self, peer: str) -> None:
        """Drop the totals with ``peer``, which the log has settled."""
        for totals in (self._given, self._received, self._acknowledged):
            totals.pop(peer, None)
