"""HTTP server of the readiness and metrics endpoints."""

from collections.abc import Callable

from cheroot.workers.threadpool import ThreadPool

from almondstack.core.client_guard import ClientGuard
from almondstack.core.http_server import BodyGateway, PlatformHttpServer
from almondstack.core.request_bodies import RequestBody
from almondstack.ownership.liveness import (
    CONTACT_HEADER,
    INCARNATION_HEADER,
    TURNED_AWAY_HEADER,
    Liveness,
)

__all__ = ["StatusServer"]


class StatusServer(PlatformHttpServer):
    """Serves the same text at every path.

    Parameters
    ----------
    address : tuple of str and int
        Host and port to listen on.
    render : callable
        Returns the HTTP status and the body.
    liveness : callable
        Returns the state of this process, which is sent in headers so that other processes can
        check it.
    guard : ClientGuard, optional
        Limits on the clients.
    """

    def __init__(
        self,
        address: tuple[str, int],
        render: Callable[[], tuple[int, bytes]],
        liveness: Callable[[], Liveness],
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__(address, _StatusGateway, guard)
        self.render = render
        self.liveness = liveness
        self.requests = ThreadPool(self, min=1, max=1)


class _StatusGateway(BodyGateway):
    """Writes the rendered text and the liveness headers."""

    def answer(self, _body: RequestBody) -> None:
        """Answer one request."""
        status, text = self.req.server.render()
        liveness = self.req.server.liveness()
        headers = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (INCARNATION_HEADER.encode(), liveness.incarnation.encode()),
            (CONTACT_HEADER.encode(), f"{liveness.contact_age_s:.2f}".encode()),
            (TURNED_AWAY_HEADER.encode(), f"{liveness.turned_away_s:.2f}".encode()),
        ]
        self.send(b"200 OK" if status == 200 else b"503 Service Unavailable", headers, text)
