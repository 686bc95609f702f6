"""An upstream's answer on its way to the caller."""

from collections.abc import Iterator
from typing import Protocol

from almondstack.core import Clock, RequestError
from almondstack.dispatch.exchange import Reply
from almondstack.dispatch.settings import ConnectionSettings
from almondstack.queueing import Grant

__all__ = ["ResponseObserver", "StreamingResponse"]


class ResponseObserver(Protocol):
    """Takes an answer back once it is over."""

    def on_complete(self, grant: Grant, reply: Reply) -> None:
        """The body was read to its end: the work has surely ended."""
        ...

    def on_incomplete(self, grant: Grant, reply: Reply, is_upstream_fault: bool) -> None:
        """The body was not read to its end: the work may still run."""
        ...


class StreamingResponse:
    """Streams the body and gives the slot back when the work has ended.

    Parameters
    ----------
    grant : Grant
        What runs.
    reply : Reply
        The head, and the way to the body.
    end : ResponseObserver
        Is told once how the answer ended.
    settings : ConnectionSettings
        How long an answer that is given up is read on.
    clock : Clock
        Measures that.
    """

    __slots__ = ("_clock", "_end", "_grant", "_has_ended", "_pieces", "_reply", "_settings")

    def __init__(
        self,
        grant: Grant,
        reply: Reply,
        end: ResponseObserver,
        settings: ConnectionSettings,
        clock: Clock,
    ) -> None:
        self._grant = grant
        self._reply = reply
        self._end = end
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
        """Length of the body in bytes; None if it shows only at its end."""
        return self._reply.length

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise if the upstream breaks off before its end."""
        while (piece := self._next()) is not None:
            yield piece

    def close(self) -> None:
        """Give up what was not read, after reading on for a short while."""
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
        """Return the next piece, or None at the end."""
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
            self._end.on_complete(self._grant, self._reply)
        else:
            self._end.on_incomplete(self._grant, self._reply, is_upstream_fault)
