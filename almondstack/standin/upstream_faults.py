"""Faults that can be injected into the upstream stand-in."""

import msgspec

__all__ = ["UpstreamFaults"]


class UpstreamFaults(msgspec.Struct):
    """Injected faults of the upstream stand-in; ``POST /control/faults`` replaces them.

    Parameters
    ----------
    fails_fast : bool
        Answer every request with ``fails_status`` at once.
    fails_status : int
        503 refuses the request without a run; any other status stands for a failed run.
    hangs : bool
        Delay all responses until this fault is cleared.
    is_draining : bool
        Answer new requests with 503 and ``Almondstack-Draining: yes``.
    slow_factor : float
        Factor by which every run time is multiplied.
    sends_garbage : bool
        Answer with bytes that are not HTTP, and close the connection.
    answers_twice : bool
        Send every response twice on the same connection.
    closes_idle : bool
        Close idle connections, and each connection after its response, without a
        ``Connection: close`` header.
    breaks_head : bool
        Close the connection in the middle of the response header.
    breaks_body : bool
        Close the connection in the middle of the response body.
    refuses_for_s : float
        Time for which the listening socket is closed, in seconds.
    """

    fails_fast: bool = False
    fails_status: int = 503
    hangs: bool = False
    is_draining: bool = False
    slow_factor: float = 1.0
    sends_garbage: bool = False
    answers_twice: bool = False
    closes_idle: bool = False
    breaks_head: bool = False
    breaks_body: bool = False
    refuses_for_s: float = 0.0

    @property
    def refuses_work(self) -> bool:
        """Whether requests are refused without a run."""
        return self.is_draining or (self.fails_fast and self.fails_status == 503)
