"""Readiness and metrics over HTTP."""

from collections.abc import Callable

from cheroot.server import Gateway
from cheroot.workers.threadpool import ThreadPool

from almondstack.core.http_server import QuietServer
from almondstack.ownership.liveness import (
    CONTACT_HEADER,
    INCARNATION_HEADER,
    TURNED_AWAY_HEADER,
    Liveness,
)

__all__ = ["StatusServer"]


class StatusServer(QuietServer):
    """Serves one text at any path.

    Parameters
    ----------
    address : tuple of str and int
        Host and port.
    render : callable
        Returns the status and the text.
    liveness : callable
        Returns how this process does, for headers by which others can tell.
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
    """Writes the rendered text."""

    def respond(self) -> None:
        """Answer one request."""
        req = self.req
        status, text = req.server.render()
        req.status = b"200 OK" if status == 200 else b"503 Service Unavailable"
        req.outheaders.append((b"Content-Type", b"text/plain; charset=utf-8"))
        req.outheaders.append((b"Content-Length", str(len(text)).encode()))
        found = req.server.liveness()
        req.outheaders.append((INCARNATION_HEADER.encode(), found.incarnation.encode()))
        req.outheaders.append((CONTACT_HEADER.encode(), f"{found.contact_age_s:.2f}".encode()))
        req.outheaders.append((TURNED_AWAY_HEADER.encode(), f"{found.turned_away_s:.2f}".encode()))
        req.ensure_headers_sent()
        req.write(text)
