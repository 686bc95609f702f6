"""Client of the platform's control service.

Explanation
-----------
The keeper depends on the protocol :class:`PlatformClient`, which :class:`HttpPlatform`
implements.  An act is an operation on an instance or a task.  An act whose reply was
lost may have taken effect; :meth:`HttpPlatform.ensure` therefore looks up the id of
the act first and sends the act only if the platform has no record of it.
"""

from typing import Protocol, TypeVar

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from almondstack.core import (
    Address,
    CodecError,
    LocalMetrics,
    PositiveSeconds,
    Settings,
    decode_json,
    encode_json,
)
from almondstack.provider.acts import Act, ActStatus, LeaseRenewal, PlatformTask, UsageView
from almondstack.provider.errors import (
    ActExpiredError,
    ActReplyLostError,
    ActSupersededError,
    PlatformUnavailableError,
)

__all__ = ["HttpPlatform", "PlatformClient", "PlatformSettings"]

T = TypeVar("T")

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_HTTP_GONE = 410
_HTTP_SERVER_ERROR = 500
_HTTP_UNAVAILABLE = 503


class PlatformSettings(Settings, frozen=True):
    """Addresses of the platform's services, and the time-out of calls.

    Parameters
    ----------
    address : str
        Numeric IP address and port of the control service.
    list_address : str
        Numeric IP address and port of the instance list.
    timeout_s : float
        Time-out of one call, in seconds.
    """

    address: Address
    list_address: Address
    timeout_s: PositiveSeconds = 2.0


class PlatformClient(Protocol):
    """Operations on instances and tasks, and usage reports."""

    def ensure(self, act: Act) -> ActStatus:
        """Send an act unless the platform has received it already; return its status."""
        ...

    def usage(self) -> UsageView:
        """Return the newest usage reports."""
        ...

    def tasks(self) -> tuple[PlatformTask, ...]:
        """Return the tasks that run under a lease."""
        ...

    def renew_lease(self, task: str, holder: str, duration_s: float) -> PlatformTask:
        """Extend the lease of a task."""
        ...


class HttpPlatform:
    """Client of the control service over HTTP.

    Parameters
    ----------
    settings : PlatformSettings
        Address and time-out.
    metrics : LocalMetrics
        Counts sent and repeated acts, and failures.
    """

    __slots__ = ("_base", "_metrics", "_pool", "_timeout_s", "_unconfirmed")

    def __init__(self, settings: PlatformSettings, metrics: LocalMetrics) -> None:
        self._base = f"http://{settings.address}/v1"
        self._timeout_s = settings.timeout_s
        self._metrics = metrics
        self._unconfirmed: set[str] = set()
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def ensure(self, act: Act) -> ActStatus:
        """Send an act unless the platform has received it already; return its status.

        Raises
        ------
        PlatformUnavailableError
            The platform could not be reached, answered with an error status that
            excludes an effect, or sent a malformed response.  Only after a malformed
            response may the act have taken effect.
        ActReplyLostError
            The act was sent and may have taken effect; call again with the same act.
        ActSupersededError
            The platform has received an act with a higher ``order`` for the same target.
        ActExpiredError
            The act arrived after its lease had expired and was not performed.
        """
        known = self._find(act.id)
        if known is not None:
            self._unconfirmed.discard(act.id)
            return known
        if act.id in self._unconfirmed:
            self._metrics.count("platform.acts.repeated")
        self._unconfirmed.add(act.id)
        data = self._call("PUT", f"acts/{act.id}", encode_json(act))
        self._unconfirmed.discard(act.id)
        self._metrics.count(f"platform.acts.{act.kind}")
        return self._decode(data, ActStatus)

    def usage(self) -> UsageView:
        """Return the newest usage reports.

        Raises
        ------
        PlatformUnavailableError
            The platform did not return the reports.
        """
        return self._decode(self._call("GET", "usage"), UsageView)

    def tasks(self) -> tuple[PlatformTask, ...]:
        """Return the tasks that run under a lease.

        Raises
        ------
        PlatformUnavailableError
            The platform did not return the tasks.
        """
        return self._decode(self._call("GET", "tasks"), tuple[PlatformTask, ...])

    def renew_lease(self, task: str, holder: str, duration_s: float) -> PlatformTask:
        """Extend the lease of a task.

        Raises
        ------
        PlatformUnavailableError
            The platform could not be reached, has no such task, answered with another
            error status that excludes an effect, or sent a malformed response.
        ActSupersededError
            Another holder has the lease.
        ActReplyLostError
            The renewal was sent and may have taken effect.
        """
        lease = encode_json(LeaseRenewal(holder=holder, duration_s=duration_s))
        data = self._call("PUT", f"leases/{task}", lease)
        return self._decode(data, PlatformTask)

    def _find(self, act_id: str) -> ActStatus | None:
        response = self._request("GET", f"acts/{act_id}")
        if response.status == _HTTP_NOT_FOUND:
            return None
        return self._decode(self._check(response), ActStatus)

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        response = self._request(method, path, body)
        is_ambiguous = (
            response.status >= _HTTP_SERVER_ERROR and response.status != _HTTP_UNAVAILABLE
        )
        if method == "PUT" and is_ambiguous:
            self._metrics.count("platform.reply-lost")
            raise ActReplyLostError(f"{path} was answered with status {response.status}")
        return self._check(response)

    def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method, f"{self._base}/{path}", body=body, timeout=self._timeout_s, redirect=False
            )
        except NewConnectionError as error:
            self._metrics.count("platform.unavailable.no-connection")
            raise PlatformUnavailableError(f"cannot connect to {self._base}") from error
        except HTTPError as error:
            return self._raise_exchange_error(method, error)

    def _raise_exchange_error(self, method: str, error: HTTPError) -> urllib3.BaseHTTPResponse:
        detail = type(error).__name__
        if method == "PUT":
            self._metrics.count("platform.reply-lost")
            raise ActReplyLostError(detail) from error
        self._metrics.count("platform.unavailable.broken")
        raise PlatformUnavailableError(detail) from error

    def _check(self, response: urllib3.BaseHTTPResponse) -> bytes:
        if response.status == _HTTP_OK:
            return response.data
        if response.status == _HTTP_CONFLICT:
            self._metrics.count("platform.superseded")
            raise ActSupersededError("a later act or another lease holder takes precedence")
        if response.status == _HTTP_GONE:
            self._metrics.count("platform.expired")
            raise ActExpiredError("the lease of the act has expired")
        self._metrics.count("platform.unavailable.status")
        raise PlatformUnavailableError(f"control service answered with status {response.status}")

    def _decode(self, data: bytes, type_: type[T]) -> T:
        try:
            return decode_json(data, type_)
        except CodecError as error:
            self._metrics.count("platform.unavailable.malformed")
            raise PlatformUnavailableError(
                "response of the control service is malformed"
            ) from error
