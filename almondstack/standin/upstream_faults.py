"""Switches of the upstream stand-in."""

import msgspec

__all__ = ["UpstreamFaults"]


class UpstreamFaults(msgspec.Struct):
    """What the upstream stand-in does wrong; ``POST /control/faults`` sets it.

    Parameters
    ----------
    fails_fast : bool
        Answer every request with ``fails_status`` at once.
    fails_status : int
        503 refuses without a run; any other status is a run that failed.
    hangs : bool
        Do not answer until this is cleared; the answers then come late.
    is_draining : bool
        Answer new requests with 503 and ``Almondstack-Draining: yes``.
    slow_factor : float
        Multiplies every run time.
    sends_garbage : bool
        Answer with bytes that are not HTTP, and close.
    answers_twice : bool
        Send every answer twice on the same connection.
    closes_idle : bool
        Close idle connections, and each connection after its answer, unannounced.
    breaks_head : bool
        Close in the middle of the answer's header.
    breaks_body : bool
        Close in the middle of the answer's body.
    refuses_for_s : float
        Close the listening socket for so long, in seconds.
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
        """True if a request is refused without a run."""
        return self.is_draining or (self.fails_fast and self.fails_status == 503)
