"""Test harness for the dispatcher, for tests and benchmarks."""

import threading
import time
from collections.abc import Callable

from almondstack.core import LocalMetrics, RequestError, SystemClock
from almondstack.dispatch import DispatchSettings, FairDispatcher, LeavingList
from almondstack.model import Team
from almondstack.permits import LocalPermits
from almondstack.testing.builders import make_fold, make_instance, make_note, make_pool
from almondstack.testing.scheduling import QUEUE, make_call, make_node

__all__ = ["DispatcherHarness", "wait_until"]

TEAM = Team(name="north", share=1, ceiling=64)
_BOUND_S = 5.0


def wait_until(condition: Callable[[], bool], timeout_s: float = _BOUND_S) -> bool:
    """Poll ``condition``; return False if it does not hold within ``timeout_s`` seconds."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if condition():
            return True
        time.sleep(0.002)
    return condition()


class DispatcherHarness:
    """A dispatcher over given upstreams, each on a rack of its own.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of the upstreams.
    settings : DispatchSettings, optional
        All settings.
    run_time_bound_s : float
        Run time bound of the pool, in seconds.
    slots : int
        Number of slots of each upstream.
    listing : LeavingList, optional
        The platform's instance list.
    """

    def __init__(
        self,
        *addresses: str,
        settings: DispatchSettings | None = None,
        run_time_bound_s: float = 60.0,
        slots: int = 8,
        listing: LeavingList | None = None,
    ) -> None:
        specs = tuple(
            make_instance(f"u{i}", zone="a", rack=f"r{i}", address=address, slots=slots)
            for i, address in enumerate(addresses, 1)
        )
        pool = make_pool(size=len(specs), min_serving=1, run_time_bound_s=run_time_bound_s)
        note = make_note(pools=(pool,), instances=specs, teams=(TEAM,), keys=(), queues=(QUEUE,))
        self.fold = make_fold(note)
        self.clock = SystemClock()
        self.metrics = LocalMetrics()
        self.permits = LocalPermits(self.fold, self.clock)
        self.dispatcher = FairDispatcher(
            settings or DispatchSettings(),
            make_node(),
            self.fold,
            self.permits,
            self.clock,
            self.metrics,
            listing=listing,
        )

    def call(
        self, *, deadline_in_s: float = 5.0, is_idempotent: bool = False, body: bytes = b"work"
    ):
        """Return a call of the only team."""
        deadline_s = self.clock.monotonic() + deadline_in_s
        return make_call(TEAM, deadline_s, is_idempotent=is_idempotent, body=body)

    def body(self, **fields: object) -> bytes:
        """Submit a call and return the whole body of its response."""
        response = self.dispatcher.submit(self.call(**fields))  # type: ignore[arg-type]
        try:
            return b"".join(response.chunks())
        finally:
            response.close()

    def error(self, **fields: object) -> RequestError | None:
        """Submit a call and return its RequestError, or None."""
        try:
            self.body(**fields)
        except RequestError as error:
            return error
        return None

    def in_thread(self, action: Callable[[], object]) -> threading.Thread:
        """Start ``action`` in a daemon thread and return the thread."""
        thread = threading.Thread(target=action, daemon=True)
        thread.start()
        return thread
