"""Sends one request on a connection and receives the response.

Explanation
-----------
Transport failures are mapped to two exceptions: :class:`NotSentError` if no
byte can have reached the upstream, otherwise :class:`BrokenExchangeError`.
"""

import http.client
from collections.abc import Iterator
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, ReadTimeoutError

from almondstack.core import Clock, Outcome, Reason, RequestError
from almondstack.dispatch.call import Call
from almondstack.dispatch.connections import UpstreamConnection
from almondstack.dispatch.failures import BrokenExchangeError, NotSentError
from almondstack.dispatch.headers import end_to_end_headers

__all__ = ["Reply", "exchange"]

_CHUNK_BYTES = 65_536
_OVERLOAD_STATUSES = frozenset({429, 503})
_FAILURES = (HTTPError, OSError, http.client.HTTPException, ValueError)


class Reply:
    """An upstream's response whose head has arrived.

    Parameters
    ----------
    connection : UpstreamConnection
        Connection that the response arrives on.
    response : urllib3.response.HTTPResponse
        Head of the response, and access to its body.
    """

    __slots__ = ("_connection", "_is_complete", "_response")

    def __init__(self, connection: UpstreamConnection, response: Any) -> None:
        self._connection = connection
        self._response = response
        self._is_complete = False

    @property
    def connection(self) -> UpstreamConnection:
        """Connection that the response arrives on."""
        return self._connection

    @property
    def status(self) -> int:
        """HTTP status of the upstream."""
        return self._response.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """End-to-end headers."""
        return end_to_end_headers(self._response.headers.items())

    @property
    def length(self) -> int | None:
        """Length of the body in bytes; None if it is not declared in the head."""
        value = self._response.headers.get("Content-Length")
        return int(value) if value is not None else None

    @property
    def is_draining(self) -> bool:
        """True if the upstream reports that it is draining."""
        return self._response.headers.get("Almondstack-Draining", "").strip().lower() == "yes"

    @property
    def is_overload(self) -> bool:
        """True if the upstream reports overload with a ``Retry-After``."""
        has_time = "Retry-After" in self._response.headers
        return self.status in _OVERLOAD_STATUSES and has_time

    @property
    def is_complete(self) -> bool:
        """True if the body was read to its end."""
        return self._is_complete

    @property
    def is_reusable(self) -> bool:
        """True if the connection may carry another request."""
        reader = self._connection.response_reader
        is_clean = reader is not None and reader.closed and not reader.has_extra_bytes
        return self._is_complete and is_clean and self._connection.sock is not None

    def set_read_timeout(self, timeout_s: float) -> None:
        """From now on limit each read to ``timeout_s`` instead of the whole response."""
        if self._connection.response_reader is not None:
            self._connection.response_reader.set_read_timeout(timeout_s)

    def chunks(self) -> Iterator[bytes]:
        """Yield the body.

        Raises
        ------
        RequestError
            The upstream aborted or timed out before the end.
        """
        try:
            yield from self._pieces()
        except (TimeoutError, ReadTimeoutError) as error:
            raise RequestError(Reason.UPSTREAM_TIMEOUT, outcome=Outcome.UNKNOWN) from error
        except _FAILURES as error:
            raise RequestError(Reason.UPSTREAM_BROKE, type(error).__name__) from error
        self._is_complete = True

    def _pieces(self) -> Iterator[bytes]:
        if self._response.chunked:
            yield from self._response.stream(_CHUNK_BYTES, decode_content=False)
            return
        while piece := self._response.read1(_CHUNK_BYTES, decode_content=False):
            yield piece


def exchange(call: Call, connection: UpstreamConnection, deadline_s: float, clock: Clock) -> Reply:
    """Send ``call`` and return the response once its head has arrived.

    Parameters
    ----------
    call : Call
        Request to send.
    connection : UpstreamConnection
        Open connection without an exchange in progress.
    deadline_s : float
        Monotonic time by which the head must have arrived, in seconds.
    clock : Clock
        Time source for the deadline.

    Raises
    ------
    NotSentError
        No byte can have reached the upstream.
    BrokenExchangeError
        The request may have run.
    """
    connection.begin_use(deadline_s)
    try:
        _send(call, connection, deadline_s - clock.monotonic())
        return Reply(connection, connection.getresponse())
    except NotSentError:
        raise
    except RequestError as error:
        outcome = Outcome.UNKNOWN if connection.has_sent else Outcome.NOT_RUN
        raise RequestError(error.reason, error.detail, outcome) from error
    except TimeoutError as error:
        raise BrokenExchangeError(Reason.UPSTREAM_TIMEOUT) from error
    except (http.client.RemoteDisconnected, HTTPError, OSError) as error:
        raise BrokenExchangeError(Reason.UPSTREAM_BROKE, type(error).__name__) from error
    except (http.client.HTTPException, ValueError) as error:
        raise BrokenExchangeError(Reason.UPSTREAM_GARBAGE, type(error).__name__) from error


def _send(call: Call, connection: UpstreamConnection, left_s: float) -> None:
    headers = urllib3.HTTPHeaderDict(call.headers)
    headers["Almondstack-Deadline-Ms"] = str(max(1, int(left_s * 1000)))
    if call.body.length is not None:
        headers["Content-Length"] = str(call.body.length)
    connection.request(
        call.method,
        call.path,
        body=call.body.chunks(),
        headers=headers,
        chunked=call.body.length is None,
        preload_content=False,
        decode_content=False,
    )
