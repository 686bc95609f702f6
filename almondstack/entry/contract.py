"""What the entry needs of the parts behind it."""

from typing import Protocol

from almondstack.dispatch import Call, UpstreamAnswer

__all__ = ["AlwaysConnected", "Connectivity", "Dispatcher", "LocalRevocations", "Revocations"]


class Dispatcher(Protocol):
    """Queues admitted calls and runs them on upstreams."""

    def submit(self, call: Call) -> UpstreamAnswer:
        """Run ``call``; raise RequestError if no upstream answered it."""
        ...

    def cancel(self, call_id: str) -> bool:
        """Cancel a waiting call; True only if it never starts."""
        ...

    def abandon(self, call: Call) -> None:
        """Free the place of a waiting call whose caller is gone."""
        ...


class Connectivity(Protocol):
    """Whether this entry hears the platform's log or other zones."""

    @property
    def is_cut_off(self) -> bool:
        """True if it hears neither."""
        ...

    @property
    def is_start_allowed(self) -> bool:
        """False while the entry may have been fenced without knowing it."""
        ...


class AlwaysConnected:
    """The connectivity of an entry that has no peers."""

    __slots__ = ()

    @property
    def is_cut_off(self) -> bool:
        """False."""
        return False

    @property
    def is_start_allowed(self) -> bool:
        """True."""
        return True


class Revocations(Protocol):
    """Revocations that were heard but are perhaps not in the log yet."""

    def is_revoked(self, key_id: str) -> bool:
        """Return True if the key was revoked by any route."""
        ...

    def add(self, key_id: str) -> None:
        """Honour a revocation at once and pass it on to peers."""
        ...


class LocalRevocations:
    """Remembers revocations of this process only."""

    __slots__ = ("_key_ids",)

    def __init__(self) -> None:
        self._key_ids: set[str] = set()

    def is_revoked(self, key_id: str) -> bool:
        """Return True if the key was revoked here."""
        return key_id in self._key_ids

    def add(self, key_id: str) -> None:
        """Honour a revocation."""
        self._key_ids.add(key_id)
