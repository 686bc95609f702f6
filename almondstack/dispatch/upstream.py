"""One request to one upstream over HTTP, with the truth about what was sent."""

from collections.abc import Iterator
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from almondstack.core import Outcome, Reason, RequestError, parse_address
from almondstack.dispatch.call import Call
from almondstack.dispatch.failures import NotSentError
from almondstack.dispatch.headers import end_to_end_headers

__all__ = ["HttpUpstreamAnswer", "UpstreamClient"]

_CHUNK_BYTES = 65_536
_CONNECT_TIMEOUT_S = 1.0


class HttpUpstreamAnswer:
    """Streams an upstream's answer."""

    __slots__ = ("_connection", "_response")

    def __init__(self, connection: HTTPConnection, response: Any) -> None:
        self._connection = connection
        self._response = response

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
        """Length of the body in bytes; None if it shows only at its end."""
        value = self._response.headers.get("Content-Length")
        return int(value) if value is not None else None

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise if the upstream breaks off before its end.

        Raises
        ------
        RequestError
            With :attr:`Reason.UPSTREAM_BROKE`.
        """
        try:
            yield from self._response.stream(_CHUNK_BYTES, decode_content=False)
        except (HTTPError, OSError) as error:
            raise RequestError(Reason.UPSTREAM_BROKE, type(error).__name__) from error

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class UpstreamClient:
    """Sends calls to upstreams, one fresh connection for each."""

    __slots__ = ()

    def send(self, call: Call, address: str, timeout_s: float) -> HttpUpstreamAnswer:
        """Send ``call`` and return once the head of the answer has arrived.

        Raises
        ------
        NotSentError
            No connection was made.
        RequestError
            The request may have run.
        """
        host, port = parse_address(address)
        connection = HTTPConnection(host, port, timeout=_CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            raise NotSentError(type(error).__name__) from error
        assert connection.sock is not None
        connection.sock.settimeout(timeout_s)
        return self._exchange(connection, call)

    @staticmethod
    def _exchange(connection: HTTPConnection, call: Call) -> HttpUpstreamAnswer:
        headers = urllib3.HTTPHeaderDict(call.headers)
        if call.body.length is not None:
            headers["Content-Length"] = str(call.body.length)
        try:
            connection.request(
                call.method,
                call.path,
                body=call.body.chunks(),
                headers=headers,
                chunked=call.body.length is None,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
        except TimeoutError as error:
            connection.close()
            raise RequestError(Reason.UPSTREAM_TIMEOUT, outcome=Outcome.UNKNOWN) from error
        except (HTTPError, OSError) as error:
            connection.close()
            raise RequestError(Reason.UPSTREAM_BROKE, type(error).__name__) from error
        return HttpUpstreamAnswer(connection, response)
