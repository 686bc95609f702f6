"""Calls that are under way, by team and request id."""

import contextlib
import threading
from collections.abc import Iterator

from almondstack.dispatch import Call

__all__ = ["CallRegistry"]


class CallRegistry:
    """Finds the call that a cancellation names, and counts what is under way."""

    __slots__ = ("_by_id", "_changed", "_count")

    def __init__(self) -> None:
        self._by_id: dict[tuple[str, str], Call] = {}
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of calls under way."""
        return self._count

    @contextlib.contextmanager
    def registered(self, call: Call, request_id: str | None) -> Iterator[None]:
        """Keep ``call`` findable within the block."""
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
        """Note that a call and its answer have ended."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def find(self, team: str, request_id: str) -> Call | None:
        """Return the call with this id that has not been answered, or None."""
        with self._changed:
            return self._by_id.get((team, request_id))

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until nothing is under way; False after ``timeout_s`` seconds."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)
