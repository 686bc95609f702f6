"""Forwards a request to the only entry that may decide about it.

Explanation
-----------
Used for tickets, which only the issuing entry may start, and for cancellations.
The response is returned unchanged, with the other entry's outcome.
"""

from collections.abc import Iterator

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from almondstack.core import Reason, RequestError, TlsSettings
from almondstack.dispatch import Body, end_to_end_headers
from almondstack.entry.http import HttpReply, HttpRequest

__all__ = ["FORWARDED_HEADER", "Forwarder"]

FORWARDED_HEADER = "almondstack-forwarded"
_CONNECT_TIMEOUT_S = 1.0
_CHUNK_BYTES = 65_536
_PRODUCT_PREFIX = "almondstack-"


class Forwarder:
    """Sends requests to the callers' interface of other entries.

    Parameters
    ----------
    tls : TlsSettings or None
        The settings for callers; None uses plain HTTP.
    """

    __slots__ = ("_pool", "_scheme")

    def __init__(self, tls: TlsSettings | None) -> None:
        self._scheme = "http" if tls is None else "https"
        authority = None if tls is None else tls.authority_file
        self._pool = urllib3.PoolManager(retries=False, maxsize=16, ca_certs=authority)

    def forward(
        self, request: HttpRequest, body: Body, address: str, timeout_s: float
    ) -> HttpReply:
        """Forward a request and return the other entry's response.

        Parameters
        ----------
        request : HttpRequest
            The caller's request.
        body : Body
            Its body.
        address : str
            Address of the other entry.
        timeout_s : float
            Bound on the wait for the head of the response, in seconds.

        Raises
        ------
        RequestError
            The other entry did not respond; the request may have run.
        """
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._pool.request(
                request.method,
                f"{self._scheme}://{address}{request.path}",
                body=b"".join(body.chunks()) if body.length is not None else body.chunks(),
                headers=_forwarded_headers(request),
                timeout=timeout,
                preload_content=False,
                decode_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise RequestError(Reason.TICKET_HOLDER_UNREACHABLE) from error
        except (HTTPError, OSError) as error:
            raise RequestError(Reason.UPSTREAM_BROKE, type(error).__name__) from error
        return HttpReply(response.status, _response_headers(response), _stream(response))


def _forwarded_headers(request: HttpRequest) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict(end_to_end_headers(request.headers))
    for name, value in request.headers:
        is_product_header = name.lower().startswith(_PRODUCT_PREFIX)
        if is_product_header or name.lower() in ("authorization", "idempotency-key"):
            headers[name] = value
    headers[FORWARDED_HEADER] = "yes"
    return headers


def _response_headers(response: urllib3.BaseHTTPResponse) -> list[tuple[str, str]]:
    pairs = list(response.headers.items())
    product_headers = [pair for pair in pairs if pair[0].lower().startswith(_PRODUCT_PREFIX)]
    headers = [*end_to_end_headers(pairs), *product_headers]
    length = response.headers.get("Content-Length")
    if length is not None:
        headers.append(("Content-Length", length))
    return headers


def _stream(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    is_complete = False
    try:
        yield from response.stream(_CHUNK_BYTES, decode_content=False)
        is_complete = True
    except (HTTPError, OSError) as error:
        raise RequestError(Reason.UPSTREAM_BROKE, type(error).__name__) from error
    finally:
        if is_complete:
            response.release_conn()
        else:
            response.close()
