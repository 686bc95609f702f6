"""Base class of the HTTP servers of the platform program."""

from cheroot.server import Gateway, HTTPServer

__all__ = ["PlatformHttpServer"]

_ACCEPT_BACKLOG = 256
"""Connections that may wait to be accepted.  When the backlog is full, the client retransmits its
SYN only after a second."""

_MAX_IDLE_CONNECTIONS = 512
"""Connections that are kept open between requests; each of hundreds of processes holds a few."""


class PlatformHttpServer(HTTPServer):
    """A cheroot server without cheroot's own log lines, such as those on broken connections.

    Parameters
    ----------
    address : tuple of str and int
        Host and port.
    gateway : type of Gateway
        Answers each request.
    """

    def __init__(self, address: tuple[str, int], gateway: type[Gateway]) -> None:
        super().__init__(address, gateway, server_name="almondstack")
        self.shutdown_timeout = 1
        self.request_queue_size = _ACCEPT_BACKLOG
        self.keep_alive_conn_limit = _MAX_IDLE_CONNECTIONS

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Discard a log line of cheroot."""
