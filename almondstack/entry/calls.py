"""Registry of the calls in progress, by team and request id."""

import contextlib
import threading
from collections.abc import Iterator

from almondstack.dispatch import Call

__all__ = ["CallRegistry"]


class CallRegistry:
    """Finds calls by request id for cancellation, and counts the calls in progress."""

    __slots__ = ("_by_id", "_changed", "_count")

    def __init__(self) -> None:
        self._by_id: dict[tuple[str, str], Call] = {}
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of calls in progress, until their responses are sent."""
        return self._count

    @contextlib.contextmanager
    def registered(self, call: Call, request_id: str | None) -> Iterator[None]:
        """Register ``call`` under its request id within the block, and count it."""
        key = (call.team.name, request_id or "")
        with self._changed:
            self._count += 1
            if request_id:
                self._by_id[key] = call
        try:
            yield
        finally:
            with self._changed:
                if self._by_id.get(key) is call:
                    del self._by_id[key]

    def mark_ended(self) -> None:
        """Decrement the count after a call has ended and its response has been sent."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def find(self, team: str, request_id: str) -> Call | None:
        """Return the unanswered call with this request id, or None."""
        with self._changed:
            return self._by_id.get((team, request_id))

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no call is in progress; return False after ``timeout_s`` seconds."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)
