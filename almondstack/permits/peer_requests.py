"""Permit requests of peers that this entry could not grant at once."""

import msgspec

__all__ = ["PeerRequest", "PeerRequestQueue"]

_REQUEST_TTL_S = 1.0


class PeerRequest(msgspec.Struct):
    """A permit request of one peer that is not fully granted.

    Parameters
    ----------
    peer : str
        Incarnation that requests permits.
    count : int
        Permits still requested.
    since_s : float
        Monotonic time of the first request, in seconds.
    last_request_s : float
        Monotonic time of the latest request, in seconds.
    """

    peer: str
    count: int
    since_s: float
    last_request_s: float


class PeerRequestQueue:
    """Pending requests by resource, oldest first.

    The caller synchronizes access.  A request that is not repeated expires after
    ``_REQUEST_TTL_S`` seconds.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: dict[str, list[PeerRequest]] = {}

    def __contains__(self, resource: str) -> bool:
        return resource in self._requests

    def resources(self) -> list[str]:
        """Return the resources with pending requests."""
        return list(self._requests)

    def record(self, resource: str, peer: str, count: int, now_s: float) -> None:
        """Store that ``peer`` requests ``count`` permits; 0 withdraws its request."""
        requests = self._requests.setdefault(resource, [])
        request = next((item for item in requests if item.peer == peer), None)
        if request is None and count > 0:
            requests.append(PeerRequest(peer, count, now_s, now_s))
        elif request is not None:
            request.count, request.last_request_s = count, now_s
        self._prune(resource, now_s)

    def oldest(self, resource: str, now_s: float) -> PeerRequest | None:
        """Return the request that has been pending longest, or None."""
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
