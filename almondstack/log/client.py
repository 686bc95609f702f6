"""Client of the platform's append-only log service.

Explanation
-----------
:class:`LogClient` is the whole interface: append records, read from an offset,
and query the range of retained offsets.  :class:`HttpLogClient` implements it
over HTTP with urllib3.  An append that raised :class:`LogReplyLostError` may
have taken effect; the caller repeats it with the same author and sequence
numbers.
"""

from typing import Protocol, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from almondstack.core import CodecError, LogServiceSettings, decode_msgpack, encode_msgpack
from almondstack.log.errors import (
    LogError,
    LogReplyLostError,
    LogTruncatedError,
    LogUnavailableError,
)
from almondstack.model import LogEntry

__all__ = ["CLAIMS", "FLEET", "SNAPSHOTS", "HttpLogClient", "LogBounds", "LogClient"]

T = TypeVar("T")

FLEET = "fleet"
CLAIMS = "claims"
SNAPSHOTS = "snapshots"

_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_TOO_MANY_REQUESTS = 429
_HTTP_SERVER_ERROR = 500
_HTTP_UNAVAILABLE = 503


class LogBounds(msgspec.Struct, frozen=True, array_like=True):
    """Offsets of the oldest retained record and of the next record to be appended."""

    oldest: int
    next_offset: int


class LogClient(Protocol):
    """Access to the streams of the log service."""

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records in order; return the offset of the first."""
        ...

    def read(self, stream: str, offset: int, wait_s: float = 0.0) -> list[LogEntry]:
        """Return records from ``offset`` on; wait up to ``wait_s`` seconds for one."""
        ...

    def bounds(self, stream: str) -> LogBounds:
        """Return the range of offsets that the stream retains."""
        ...


class HttpLogClient:
    """Client of the log service over HTTP.

    Parameters
    ----------
    settings : LogServiceSettings
        Address and time-out.
    reader : str
        Name sent with each call, by which the service identifies its readers.
    """

    __slots__ = ("_base", "_headers", "_pool", "_timeout_s")

    def __init__(self, settings: LogServiceSettings, reader: str) -> None:
        self._base = f"http://{settings.address}/v1/streams"
        self._timeout_s = settings.timeout_s
        self._headers = {"Almondstack-Reader": reader}
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records in order; return the offset of the first.

        Raises
        ------
        LogUnavailableError
            The service did not append the records.
        LogReplyLostError
            The service may have appended them.
        """
        body = encode_msgpack(records)
        data = self._call("POST", f"{stream}/records", body=body)
        try:
            return decode_msgpack(data, int)
        except CodecError as error:
            raise LogReplyLostError("the offset in the append response is malformed") from error

    def read(self, stream: str, offset: int, wait_s: float = 0.0) -> list[LogEntry]:
        """Return records from ``offset`` on; wait up to ``wait_s`` seconds for one.

        Raises
        ------
        LogTruncatedError
            The stream no longer retains ``offset``.
        LogUnavailableError
            The service did not answer.
        """
        fields = {"from": str(offset), "wait_ms": str(int(wait_s * 1000))}
        data = self._call("GET", f"{stream}/records", fields=fields, server_wait_s=wait_s)
        return self._decode(data, list[LogEntry])

    def bounds(self, stream: str) -> LogBounds:
        """Return the range of offsets that the stream retains.

        Raises
        ------
        LogUnavailableError
            The service did not answer.
        """
        return self._decode(self._call("GET", f"{stream}/bounds"), LogBounds)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        fields: dict[str, str] | None = None,
        server_wait_s: float = 0.0,
    ) -> bytes:
        timeout = urllib3.Timeout(connect=self._timeout_s, read=self._timeout_s + server_wait_s)
        try:
            response = self._pool.request(
                method,
                f"{self._base}/{path}",
                body=body,
                fields=fields,
                headers=self._headers,
                timeout=timeout,
                redirect=False,
            )
        except NewConnectionError as error:
            raise LogUnavailableError(f"cannot connect to {self._base}") from error
        except HTTPError as error:
            if method == "POST":
                raise LogReplyLostError(type(error).__name__) from error
            raise LogUnavailableError(type(error).__name__) from error
        if response.status == _HTTP_OK:
            return response.data
        raise _error_for_status(response.status, is_append=method == "POST")

    @staticmethod
    def _decode(data: bytes, type_: type[T]) -> T:
        try:
            return decode_msgpack(data, type_)
        except CodecError as error:
            raise LogUnavailableError("response of the log service is malformed") from error


def _error_for_status(status: int, is_append: bool) -> LogError:
    """Return the error for a status other than 200.

    Explanation
    -----------
    An append may have taken effect despite a status of 500 or above, except 503;
    with any other status the service rejected it.
    """
    if status == _HTTP_GONE:
        return LogTruncatedError("the requested offset is no longer retained")
    if status == _HTTP_TOO_MANY_REQUESTS:
        return LogUnavailableError("too many appends")
    if is_append and status >= _HTTP_SERVER_ERROR and status != _HTTP_UNAVAILABLE:
        return LogReplyLostError(f"append was answered with status {status}")
    return LogUnavailableError(f"log service answered with status {status}")
