"""HTTP server of the readiness and metrics endpoints."""

from collections.abc import Callable

from cheroot.server import Gateway
from cheroot.workers.threadpool import ThreadPool

from almondstack.core.http_server import PlatformHttpServer
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
    """

    def __init__(
        self,
        address: tuple[str, int],
        render: Callable[[], tuple[int, bytes]],
        liveness: Callable[[], Liveness],
    ) -> None:
        super().__init__(address, _StatusGateway)
        self.render = render
        self.liveness = liveness
        self.requests = ThreadPool(self, min=1, max=1)


class _StatusGateway(Gateway):
    """Writes the rendered text and the liveness headers."""

    def respond(self) -> None:
        """Answer one request."""
        req = self.req
        status, text = req.server.render()
        req.status = b"200 OK" if status == 200 else b"503 Service Unavailable"
        req.outheaders.append((b"Content-Type", b"text/plain; charset=utf-8"))
        req.outheaders.append((b"Content-Length", str(len(text)).encode()))
        liveness = req.server.liveness()
        req.outheaders.append((INCARNATION_HEADER.encode(), liveness.incarnation.encode()))
        req.outheaders.append((CONTACT_HEADER.encode(), f"{liveness.contact_age_s:.2f}".encode()))
        req.outheaders.append(
            (TURNED_AWAY_HEADER.encode(), f"{liveness.turned_away_s:.2f}".encode())
        )
        req.ensure_headers_sent()
        req.write(text)
