"""Peers that wait for a permit of this entry."""

import msgspec

__all__ = ["PeerRequest", "PeerRequestQueue"]

_REQUEST_TTL_S = 1.0


class PeerRequest(msgspec.Struct):
    """A wish that could not be met at once."""

    peer: str
    count: int
    since_s: float
    last_request_s: float


class PeerRequestQueue:
    """Open wishes by resource, oldest first; guarded by the lock of its owner."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: dict[str, list[PeerRequest]] = {}

    def __contains__(self, resource: str) -> bool:
        return resource in self._requests

    def resources(self) -> list[str]:
        """Return the resources that peers wait for."""
        return list(self._requests)

    def record(self, resource: str, peer: str, count: int, now_s: float) -> None:
        """Remember that ``peer`` could use ``count`` permits; none ends its wish."""
        requests = self._requests.setdefault(resource, [])
        request = next((item for item in requests if item.peer == peer), None)
        if request is None and count > 0:
            requests.append(PeerRequest(peer, count, now_s, now_s))
        elif request is not None:
            request.count, request.last_request_s = count, now_s
        self._prune(resource, now_s)

    def oldest(self, resource: str, now_s: float) -> PeerRequest | None:
        """Return the wish that has waited longest."""
        self._prune(resource, now_s)
        requests = self._requests.get(resource)
        return requests[0] if requests else None

    def _prune(self, resource: str, now_s: float) -> None:
        requests = self._requests.get(resource, [])
        kept = [
            item
            for item in requests
            if item.count > 0 and now_s - item.last_request_s < _REQUEST_TTL_S
        ]
        if kept:
            self._requests[resource] = kept
        else:
            self._requests.pop(resource, None)
