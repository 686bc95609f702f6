"""Components of an entry that its request handlers share."""

import threading
from collections.abc import Callable

from almondstack.at_most_once import OnceGuard
from almondstack.core import Clock, LocalMetrics, Reason, RequestError
from almondstack.entry.authentication import Authenticator
from almondstack.entry.calls import CallRegistry
from almondstack.entry.connections import HangupWatcher, Reaper
from almondstack.entry.contract import Connectivity, Dispatcher, Revocations
from almondstack.entry.forwarding import Forwarder
from almondstack.entry.peer_status import PeerStatus
from almondstack.entry.settings import EntrySettings
from almondstack.fold import Fold

__all__ = ["EntryParts", "Handler"]


class EntryParts:
    """The components that request handlers use.

    Parameters
    ----------
    settings : EntrySettings
        All settings.
    incarnation : str
        Identifier of this process, new at each start.
    fold : Fold
        State of the fleet, built from the log.
    dispatcher : Dispatcher
        Runs admitted calls.
    once : OnceGuard
        Ensures that a request with an id runs at most once.
    revocations : Revocations
        Key revocations received by any route.
    connectivity : Connectivity
        Whether the entry is cut off, and whether it may start work.
    clock : Clock
        Measures deadlines.
    metrics : LocalMetrics
        Counts outcomes and reasons.
    peer_status : callable
        Returns the section of the status page on peers.
    """

    __slots__ = (
        "_stopping",
        "authenticator",
        "calls",
        "clock",
        "connectivity",
        "dispatcher",
        "fold",
        "forwarder",
        "hangups",
        "incarnation",
        "metrics",
        "once",
        "peer_status",
        "reaper",
        "revocations",
        "settings",
    )

    def __init__(
        self,
        *,
        settings: EntrySettings,
        incarnation: str,
        fold: Fold,
        dispatcher: Dispatcher,
        once: OnceGuard,
        revocations: Revocations,
        connectivity: Connectivity,
        clock: Clock,
        metrics: LocalMetrics,
        peer_status: Callable[[], PeerStatus] = PeerStatus,
    ) -> None:
        self.settings = settings
        self.peer_status = peer_status
        self.incarnation = incarnation
        self.fold = fold
        self.dispatcher = dispatcher
        self.once = once
        self.revocations = revocations
        self.connectivity = connectivity
        self.clock = clock
        self.metrics = metrics
        self.authenticator = Authenticator(fold, revocations)
        self.calls = CallRegistry()
        self.hangups = HangupWatcher()
        self.reaper = Reaper(clock)
        self.forwarder = Forwarder(settings.callers.tls)
        self._stopping = threading.Event()

    @property
    def is_stopping(self) -> bool:
        """True once a graceful shutdown has begun."""
        return self._stopping.is_set()

    @property
    def is_fenced(self) -> bool:
        """True if the log has fenced this incarnation."""
        entry = self.fold.state.entries.get(self.incarnation)
        return entry is not None and not entry.is_live

    def stop_admitting(self) -> None:
        """Refuse new requests from now on."""
        self._stopping.set()

    def check_ready(self) -> None:
        """Check that the entry accepts requests.

        Raises
        ------
        RequestError
            The entry is shutting down, has no configuration or was fenced.
        """
        if self.is_stopping:
            raise RequestError(Reason.SHUTTING_DOWN)
        if self.fold.state.revision == 0:
            raise RequestError(Reason.NOT_READY)
        if self.is_fenced:
            raise RequestError(Reason.FENCED)


class Handler:
    """Base class of the handlers of one kind of request.

    Parameters
    ----------
    parts : EntryParts
        Shared components of the entry.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
