"""Peers that wait for a permit of this entry."""

import msgspec

__all__ = ["PeerRequestQueue", "PeerRequest"]

_ASK_TTL_S = 1.0


class PeerRequest(msgspec.Struct):
    """A wish that could not be met at once."""

    peer: str
    count: int
    since_s: float
    heard_s: float


class PeerRequestQueue:
    """Open wishes by resource, oldest first; guarded by the lock of its owner."""

    __slots__ = ("_asks",)

    def __init__(self) -> None:
        self._asks: dict[str, list[PeerRequest]] = {}

    def __contains__(self, resource: str) -> bool:
        return resource in self._asks

    def resources(self) -> list[str]:
        """Return the resources that peers wait for."""
        return list(self._asks)

    def note(self, resource: str, peer: str, count: int, now_s: float) -> None:
        """Remember that ``peer`` could use ``count`` permits; none ends its wish."""
        asks = self._asks.setdefault(resource, [])
        known = next((item for item in asks if item.peer == peer), None)
        if known is None and count > 0:
            asks.append(PeerRequest(peer, count, now_s, now_s))
        elif known is not None:
            known.count, known.heard_s = count, now_s
        self._prune(resource, now_s)

    def oldest(self, resource: str, now_s: float) -> PeerRequest | None:
        """Return the wish that has waited longest."""
        self._prune(resource, now_s)
        asks = self._asks.get(resource)
        return asks[0] if asks else None

    def _prune(self, resource: str, now_s: float) -> None:
        asks = self._asks.get(resource, [])
        kept = [item for item in asks if item.count > 0 and now_s - item.heard_s < _ASK_TTL_S]
        if kept:
            self._asks[resource] = kept
        else:
            self._asks.pop(resource, None)
