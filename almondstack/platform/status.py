"""Readiness and metrics over HTTP."""

from collections.abc import Callable

from cheroot.server import Gateway, HTTPServer
from cheroot.workers.threadpool import ThreadPool

from almondstack.ownership.liveness import CONTACT_HEADER, INCARNATION_HEADER

__all__ = ["StatusServer"]


class StatusServer(HTTPServer):
    """Serves one text at any path.

    Parameters
    ----------
    address : tuple of str and int
        Host and port.
    render : callable
        Returns the status and the text.
    incarnation : str
        Names this process in a header, so that others can tell who lives here.
    contact_age_s : callable
        Returns the seconds since the store was last heard, for another header.
    """

    def __init__(
        self,
        address: tuple[str, int],
        render: Callable[[], tuple[int, bytes]],
        incarnation: str,
        contact_age_s: Callable[[], float],
    ) -> None:
        super().__init__(address, _StatusGateway, server_name="almondstack")
        self.render = render
        self.incarnation = incarnation
        self.contact_age_s = contact_age_s
        self.shutdown_timeout = 1
        self.requests = ThreadPool(self, min=1, max=1)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Drop cheroot's own lines on connections that were broken off."""


class _StatusGateway(Gateway):
    """Writes the rendered text."""

    def respond(self) -> None:
        """Answer one request."""
        req = self.req
        status, text = req.server.render()
        req.status = b"200 OK" if status == 200 else b"503 Service Unavailable"
        req.outheaders.append((b"Content-Type", b"text/plain; charset=utf-8"))
        req.outheaders.append((b"Content-Length", str(len(text)).encode()))
        age = f"{req.server.contact_age_s():.2f}"
        req.outheaders.append((INCARNATION_HEADER.encode(), req.server.incarnation.encode()))
        req.outheaders.append((CONTACT_HEADER.encode(), age.encode()))
        req.ensure_headers_sent()
        req.write(text)
