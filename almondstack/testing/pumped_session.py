"""A worker session without threads, whose calls a simulation makes."""

import contextlib
from collections.abc import Callable, Iterator

from almondstack.control.ports import WorkerCaller
from almondstack.control.session import WorkerSession

__all__ = ["PumpedSession"]


class PumpedSession(WorkerSession):
    """A session without threads; the simulation makes its calls."""

    __slots__ = ("_order_caller", "_poll_caller")

    def _ensure_thread(self, name: str, run: Callable[[], None]) -> None:
        """Do nothing: the simulation starts no threads."""

    @property
    def post(self) -> Callable[[object], None]:
        """What takes the answers of the worker."""
        return self._post

    @contextlib.contextmanager
    def posting_to(self, post: Callable[[object], None]) -> Iterator[None]:
        """Let the answers of the worker go to ``post``."""
        kept, self._post = self._post, post
        try:
            yield
        finally:
            self._post = kept

    def _caller_of_orders(self) -> WorkerCaller:
        """Return the one caller for all orders; in the product each order thread has its own."""
        if not hasattr(self, "_order_caller"):
            self._order_caller = self._callers.caller(self.worker)
        return self._order_caller

    def _caller_of_polls(self) -> WorkerCaller:
        """Return the caller for all polls, whose connection stays open like the product's."""
        if not hasattr(self, "_poll_caller"):
            self._poll_caller = self._callers.caller(self.worker)
        return self._poll_caller

    def pump_orders(self) -> None:
        """Send the queued orders."""
        caller = self._caller_of_orders()
        while (order := self._orders.get(timeout_s=0.0)) is not None and not self._is_closed:
            self._execute(caller, order)

    def pump_handshake(self) -> None:
        """Do the handshake with the worker, as before a first start."""
        self._handshake(self._caller_of_orders())

    def pump_poll(self) -> None:
        """Poll once if the worker may have runs."""
        if self._is_busy and not self._is_closed:
            self._poll(self._caller_of_polls())
