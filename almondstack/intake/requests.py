"""Requests that wait for the owner of the jobs, and the choice of the owner's standby."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from almondstack.intake.errors import OwnerNotReachedError, OwnerUnclearError
from almondstack.intake.verdicts import Receipt
from almondstack.jobs import Submission

__all__ = ["CancelRequest", "OwnerRequest", "OwnerRequests", "Peer", "SubmissionRequest"]

_MAX_PEER_AGE_S = 3.0
"""A process that has sent no request for longer can't be the standby."""

_MAX_PEERS = 1_024
"""Processes that are noted, so that made-up names of processes don't fill the memory; the one
that has sent no request for longest is forgotten first."""

_MAX_STORE_AGE_S = 0.7
"""Nor can a process that the store has not answered for this long."""


class OwnerRequest:
    """A request that waits for the owner's receipt.

    Explanation
    -----------
    A request is either taken by the owner or withdrawn by the waiting thread, never both:
    a withdrawn request has had no effect.

    Parameters
    ----------
    job : str
        The job's id.

    Attributes
    ----------
    is_taken : bool
        Whether the owner has begun to process the request.
    """

    __slots__ = ("_answered", "_is_withdrawn", "_lock", "_receipt", "is_taken", "job")

    def __init__(self, job: str) -> None:
        self.job = job
        self.is_taken = False
        self._is_withdrawn = False
        self._receipt: Receipt | None = None
        self._lock = threading.Lock()
        self._answered = threading.Event()

    @property
    def receipt(self) -> Receipt | None:
        """The owner's receipt; None before the answer."""
        return self._receipt

    def take(self) -> bool:
        """Begin to process the request; return False if it was withdrawn."""
        with self._lock:
            self.is_taken = not self._is_withdrawn
        return self.is_taken

    def withdraw(self) -> bool:
        """Prevent the request from being taken; return False if it was taken before."""
        with self._lock:
            self._is_withdrawn = not self.is_taken
        self._answered.set()
        return self._is_withdrawn

    def answer(self, receipt: Receipt) -> None:
        """Set the receipt and wake the waiting thread."""
        self._receipt = receipt
        self._answered.set()

    def wait(self, timeout_s: float) -> Receipt | None:
        """Return the receipt; None if there is none within ``timeout_s`` seconds."""
        self._answered.wait(timeout_s)
        return self._receipt


class SubmissionRequest(OwnerRequest):
    """A request to submit a job.

    Parameters
    ----------
    job : str
        The job's id.
    submission : Submission
        What the caller submits.
    read_offset : int
        Offset up to which the process that received the request had read the log by then.
    """

    __slots__ = ("read_offset", "submission")

    def __init__(self, job: str, submission: Submission, read_offset: int) -> None:
        super().__init__(job)
        self.submission = submission
        self.read_offset = read_offset


class CancelRequest(OwnerRequest):
    """A request of a job's client account to cancel the job."""

    __slots__ = ()


class Peer(NamedTuple):
    """Another process, as described in each request that it forwards.

    Parameters
    ----------
    incarnation : str
        Unique name of the process.
    cores : float
        Speed of its processor, in cores.
    store_age_s : float
        Seconds since the store last answered a read of the process.
    zone : str
        Availability zone of the process.
    """

    incarnation: str
    cores: float
    store_age_s: float
    zone: str = ""


class OwnerRequests:
    """Hands requests to the owner while this process owns the jobs, and waits for receipts.

    Parameters
    ----------
    zone : str, optional
        Availability zone of this process.

    Examples
    --------
    >>> requests = OwnerRequests()
    >>> requests.is_open
    False
    >>> requests.open(7, lambda request: request.answer(Receipt("done")))
    >>> requests.ask(CancelRequest("5c0e7a21d94b36f8"), 1.0, token=7).verdict
    'done'
    """

    __slots__ = ("_lock", "_peers", "_post", "_standby", "_tokens", "_waiting", "_zone")

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._lock = threading.Lock()
        self._post: Callable[[OwnerRequest], None] | None = None
        self._tokens = range(0)
        self._waiting: set[OwnerRequest] = set()
        self._peers: dict[str, tuple[float, Peer]] = {}
        self._standby = ""

    @property
    def standby(self) -> str:
        """Incarnation of the process that should own the jobs next; empty if there is none.

        Explanation
        -----------
        Candidates are the processes that have sent a request recently and are in contact
        with the store.  Those in another zone come first, since a network partition cuts
        off a zone as a whole; among them, one with the fastest processor is chosen.  The
        choice is kept for as long as the process is one of the fastest candidates.
        """
        oldest_s = time.monotonic() - _MAX_PEER_AGE_S
        with self._lock:
            self._peers = {key: item for key, item in self._peers.items() if item[0] >= oldest_s}
            able = [peer for _, peer in self._peers.values() if peer.store_age_s < _MAX_STORE_AGE_S]
            able = [peer for peer in able if peer.zone != self._zone] or able
            most_cores = max((peer.cores for peer in able), default=0.0)
            fastest = sorted(peer.incarnation for peer in able if peer.cores == most_cores)
            if self._standby not in fastest:
                self._standby = fastest[0] if fastest else ""
            return self._standby

    def note_peer(self, peer: Peer) -> None:
        """Note that another process has forwarded a request."""
        with self._lock:
            self._peers.pop(peer.incarnation, None)
            while len(self._peers) >= _MAX_PEERS:
                del self._peers[next(iter(self._peers))]
            self._peers[peer.incarnation] = (time.monotonic(), peer)

    @property
    def is_open(self) -> bool:
        """Whether this process owns the jobs and takes requests."""
        return self._post is not None

    def open(self, token: int, post: Callable[[OwnerRequest], None]) -> None:
        """Hand requests to ``post`` from now on, for the owner with that fencing token."""
        with self._lock:
            self._tokens = range(token, token + 1)
            self._post = post

    def add_token(self, token: int) -> None:
        """Take requests for a higher token of the same owner as well, which it is about to claim.

        Explanation
        -----------
        Other processes ask by the token in the newest notice that they have read.
        """
        with self._lock:
            self._tokens = range(self._tokens.start, token + 1)

    def close(self) -> None:
        """Accept no more requests, and withdraw those that wait for an answer."""
        with self._lock:
            self._post = None
            waiting, self._waiting = self._waiting, set()
        for request in waiting:
            request.withdraw()

    def ask(self, request: OwnerRequest, timeout_s: float, token: int | None = None) -> Receipt:
        """Return the owner's receipt; fail unless the owner has the fencing token ``token``.

        Raises
        ------
        OwnerNotReachedError
            The request was not taken, and will not be.
        OwnerUnclearError
            The request was taken; its outcome is unknown.
        """
        try:
            self._hand_over(request, token)
            receipt = request.wait(timeout_s)
        finally:
            with self._lock:
                self._waiting.discard(request)
        if receipt is not None:
            return receipt
        if request.withdraw():
            raise OwnerNotReachedError(
                f"the owner has not taken the request within {timeout_s:.2f} s"
            )
        raise OwnerUnclearError(f"the owner has not answered within {timeout_s:.2f} s")

    def _hand_over(self, request: OwnerRequest, token: int | None) -> None:
        """Post a request to the owner, unless the owner has another fencing token."""
        with self._lock:
            if self._post is None or (token is not None and token not in self._tokens):
                raise OwnerNotReachedError(f"this process is not the owner with token {token}")
            self._waiting.add(request)
            self._post(request)
