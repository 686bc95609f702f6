"""An entry that serves on loopback inside a test process, with a fake dispatcher and log."""

import contextlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from almondstack.at_most_once import OnceService, OnceSettings
from almondstack.core import (
    LocalMetrics,
    LogServiceSettings,
    NodeSettings,
    Outcome,
    Reason,
    RequestError,
    SystemClock,
)
from almondstack.dispatch import Call
from almondstack.entry.app import EntryApp
from almondstack.entry.contract import AlwaysConnected, LocalRevocations
from almondstack.entry.parts import EntryParts
from almondstack.entry.server import EntryServer
from almondstack.entry.settings import CallerSettings, EntrySettings
from almondstack.fold import Fold
from almondstack.log import LogEntry
from almondstack.testing.addresses import free_address
from almondstack.testing.builders import make_fold
from almondstack.testing.fake_log import FakeLog, FakeLogClient

__all__ = ["FakeResponse", "FakeDispatcher", "RunningEntry", "running_entry"]

_WAIT_S = 10.0
_POLL_S = 0.01


class FakeResponse:
    """An upstream's response from given pieces; a piece that is an exception is raised."""

    def __init__(self, pieces: list[Any], length: int | None = None, status: int = 200) -> None:
        self.status = status
        self.headers: tuple[tuple[str, str], ...] = (("Content-Type", "text/plain"),)
        self.length = length
        self.is_closed = False
        self._pieces = pieces

    def chunks(self) -> Iterator[bytes]:
        """Yield the pieces."""
        for piece in self._pieces:
            if isinstance(piece, Exception):
                raise piece
            yield piece

    def close(self) -> None:
        """Record that the response was closed."""
        self.is_closed = True


class FakeDispatcher:
    """Runs calls with a function, or queues them until they are cancelled.

    Parameters
    ----------
    run : callable or None
        Gets the call and returns the response; with None, calls wait.
    """

    def __init__(self, run: Callable[[Call], Any] | None) -> None:
        self.run = run or self.wait
        self.calls: list[Call] = []
        self.waiting: dict[str, tuple[Call, threading.Event]] = {}
        self.abandoned_count = 0
        self._lock = threading.Lock()

    def submit(self, call: Call) -> Any:
        """Run the call."""
        with self._lock:
            self.calls.append(call)
        call.before_start()
        return self.run(call)

    def wait(self, call: Call) -> Any:
        """Wait like a queued call; the default of ``run``."""
        ended = threading.Event()
        with self._lock:
            self.waiting[call.call_id] = (call, ended)
        ended.wait(_WAIT_S)
        reason = Reason.CALLER_GONE if call.caller_gone.is_set() else Reason.CANCELLED
        raise RequestError(reason, outcome=Outcome.NOT_RUN)

    def cancel(self, call_id: str) -> bool:
        """Cancel a waiting call; return True if there was one."""
        with self._lock:
            found = self.waiting.pop(call_id, None)
        if found is not None:
            found[1].set()
        return found is not None

    def abandon(self, call: Call) -> None:
        """Cancel a waiting call whose caller has closed the connection."""
        self.abandoned_count += self.cancel(call.call_id)


class _PollingLogClient(FakeLogClient):
    """A client whose reads sleep briefly when there are no new records."""

    __slots__ = ()

    def read(self, stream: str, offset: int, wait_s: float = 0.0) -> list[LogEntry]:
        """Return records from ``offset`` on."""
        found = super().read(stream, offset, wait_s)
        if not found and wait_s > 0:
            time.sleep(_POLL_S)
        return found


class RunningEntry:
    """An entry whose components a test can inspect and replace."""

    def __init__(
        self,
        fold: Fold,
        dispatcher: FakeDispatcher,
        log: FakeLog,
        incarnation: str,
        once: OnceSettings,
        **callers: Any,
    ) -> None:
        clock = SystemClock()
        self.address = free_address()
        self.metrics = LocalMetrics()
        self.dispatcher = dispatcher
        self.settings = EntrySettings(
            node=NodeSettings(deployment="test", name="entry-1", zone="a"),
            callers=CallerSettings(listen=self.address, **{"threads": 16, **callers}),
            log=LogServiceSettings(address="127.0.0.1:1"),
            once=once,
        )
        self.client = _PollingLogClient(log)
        self.once = OnceService(self.client, incarnation, once, clock, self.metrics)
        self.parts = EntryParts(
            settings=self.settings,
            incarnation=incarnation,
            fold=fold,
            dispatcher=dispatcher,
            once=self.once.guard,
            revocations=LocalRevocations(),
            connectivity=AlwaysConnected(),
            clock=clock,
            metrics=self.metrics,
        )
        self.server = EntryServer(
            self.settings, EntryApp(self.parts), self.parts.reaper, self.metrics
        )

    def start(self) -> None:
        """Start all threads."""
        for component in (self.once, self.parts.hangups, self.parts.reaper):
            component.start()
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop all threads."""
        self.server.stop()
        for component in (self.once, self.parts.hangups, self.parts.reaper):
            component.stop()


@contextlib.contextmanager
def running_entry(
    run: Callable[[Call], Any] | None = None,
    *,
    fold: Fold | None = None,
    log: FakeLog | None = None,
    incarnation: str = "entry-1~00",
    once: OnceSettings | None = None,
    **callers: Any,
) -> Iterator[RunningEntry]:
    """Serve on loopback within the block.

    Parameters
    ----------
    run : callable, optional
        Answers each call; without it, calls wait until they are cancelled.
    """
    dispatcher = FakeDispatcher(run)
    entry = RunningEntry(
        fold or make_fold(),
        dispatcher,
        log or FakeLog(),
        incarnation,
        once or OnceSettings(),
        **callers,
    )
    entry.start()
    try:
        yield entry
    finally:
        entry.stop()
