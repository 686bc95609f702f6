"""What the HTTP servers of the platform program have in common."""

from cheroot.server import Gateway, HTTPServer

__all__ = ["QuietServer"]


class QuietServer(HTTPServer):
    """A cheroot server that writes no lines of its own on connections that were broken off.

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

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Drop a line of cheroot."""
