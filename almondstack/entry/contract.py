"""Interfaces that the request handlers use: dispatcher, connectivity, revocations."""

from typing import Protocol

from almondstack.dispatch import Call, UpstreamResponse

__all__ = ["AlwaysConnected", "Connectivity", "Dispatcher", "LocalRevocations", "Revocations"]


class Dispatcher(Protocol):
    """Queues admitted calls and sends them to upstreams."""

    def submit(self, call: Call) -> UpstreamResponse:
        """Run ``call`` and return its response; raise RequestError if no upstream answered."""
        ...

    def cancel(self, call_id: str) -> bool:
        """Cancel a waiting call; return True only if it never starts."""
        ...

    def abandon(self, call: Call) -> None:
        """Remove a waiting call whose caller has closed the connection."""
        ...


class Connectivity(Protocol):
    """Whether this entry can reach the platform's log or entries in other zones."""

    @property
    def is_cut_off(self) -> bool:
        """True if this entry reaches neither the log nor another zone."""
        ...

    @property
    def is_start_allowed(self) -> bool:
        """False while the entry may have been fenced without having received the record."""
        ...


class AlwaysConnected:
    """Connectivity of an entry without peers: never cut off, starts are always allowed."""

    __slots__ = ()

    @property
    def is_cut_off(self) -> bool:
        """False: an entry without peers is never cut off."""
        return False

    @property
    def is_start_allowed(self) -> bool:
        """True: an entry without peers may always start work."""
        return True


class Revocations(Protocol):
    """Key revocations received by any route, possibly before they are in the log."""

    def is_revoked(self, key_id: str) -> bool:
        """Return True if the key was revoked by any route."""
        ...

    def add(self, key_id: str) -> None:
        """Apply a revocation at once and send it to the peers."""
        ...


class LocalRevocations:
    """Keeps the revocations that this process received, without peers."""

    __slots__ = ("_key_ids",)

    def __init__(self) -> None:
        self._key_ids: set[str] = set()

    def is_revoked(self, key_id: str) -> bool:
        """Return True if the key was revoked in this process."""
        return key_id in self._key_ids

    def add(self, key_id: str) -> None:
        """Apply a revocation."""
        self._key_ids.add(key_id)
