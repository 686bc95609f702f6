"""Streams the body of an upstream's response to the caller and reports its end."""

from collections.abc import Iterator
from typing import Protocol

from almondstack.core import Clock, RequestError
from almondstack.dispatch.exchange import Reply
from almondstack.dispatch.settings import ConnectionSettings
from almondstack.queueing import Grant

__all__ = ["ResponseObserver", "StreamingResponse"]


class ResponseObserver(Protocol):
    """Callbacks for the end of a response."""

    def on_complete(self, grant: Grant, reply: Reply) -> None:
        """Handle a body that was read to its end: the work has certainly ended."""
        ...

    def on_incomplete(self, grant: Grant, reply: Reply, is_upstream_fault: bool) -> None:
        """Handle a body that was not read to its end: the work may still run."""
        ...


class StreamingResponse:
    """Streams a response body and reports to the observer once it has ended.

    Parameters
    ----------
    grant : Grant
        Grant under which the call runs.
    reply : Reply
        Head of the response, and access to its body.
    observer : ResponseObserver
        Notified once, of a complete or an incomplete body.
    settings : ConnectionSettings
        Limits for draining an abandoned response.
    clock : Clock
        Time source of the drain limit.
    """

    __slots__ = ("_clock", "_grant", "_has_ended", "_observer", "_pieces", "_reply", "_settings")

    def __init__(
        self,
        grant: Grant,
        reply: Reply,
        observer: ResponseObserver,
        settings: ConnectionSettings,
        clock: Clock,
    ) -> None:
        self._grant = grant
        self._reply = reply
        self._observer = observer
        self._settings = settings
        self._clock = clock
        self._has_ended = False
        self._pieces = reply.chunks()

    @property
    def status(self) -> int:
        """HTTP status of the upstream."""
        return self._reply.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """End-to-end headers."""
        return self._reply.headers

    @property
    def length(self) -> int | None:
        """Length of the body in bytes; None if it is not declared in the head."""
        return self._reply.length

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise RequestError if the upstream aborts before its end."""
        while (piece := self._next()) is not None:
            yield piece

    def close(self) -> None:
        """End the response; the unread rest is drained within the limits first."""
        if self._has_ended:
            return
        until_s = self._clock.monotonic() + self._settings.drain_s
        left = self._settings.drain_bytes
        self._reply.set_read_timeout(self._settings.drain_s)
        try:
            while left > 0 and self._clock.monotonic() < until_s:
                piece = self._next()
                if piece is None:
                    return
                left -= len(piece)
        except RequestError:
            return
        self._finish(is_upstream_fault=False)

    def _next(self) -> bytes | None:
        """Return the next piece of the body, or None at its end."""
        if self._has_ended:
            return None
        try:
            return next(self._pieces)
        except StopIteration:
            self._finish(is_upstream_fault=False)
            return None
        except BaseException:
            self._finish(is_upstream_fault=True)
            raise

    def _finish(self, is_upstream_fault: bool) -> None:
        self._has_ended = True
        if self._reply.is_complete:
            self._observer.on_complete(self._grant, self._reply)
        else:
            self._observer.on_incomplete(self._grant, self._reply, is_upstream_fault)
