"""Callers' requests on their way to the owner of the jobs, and their receipts."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from almondstack.intake.errors import OwnerNotReachedError, OwnerUnclearError
from almondstack.intake.verdicts import Receipt
from almondstack.jobs import Submission

__all__ = ["CancelRequest", "OwnerRequest", "OwnerRequests", "Peer", "SubmissionRequest"]

_FRESH_S = 3.0
"""A process that has sent nothing for longer is no standby, in seconds."""

_STORE_HEARD_S = 0.7
"""Nor is one that has not heard the store for so long, in seconds."""


class OwnerRequest:
    """A request that waits for the owner's receipt.

    Explanation
    -----------
    It is either taken by the owner or withdrawn by the one who waits, never
    both: one that was withdrawn has surely had no effect.

    Parameters
    ----------
    job : str
        The job's id.

    Attributes
    ----------
    is_taken : bool
        The owner has begun to deal with it.
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
        """What the owner said; None as long as it said nothing."""
        return self._receipt

    def take(self) -> bool:
        """Begin to deal with it; False if it was withdrawn."""
        with self._lock:
            self.is_taken = not self._is_withdrawn
        return self.is_taken

    def withdraw(self) -> bool:
        """Have it never taken; False if it was taken before."""
        with self._lock:
            self._is_withdrawn = not self.is_taken
        self._answered.set()
        return self._is_withdrawn

    def answer(self, receipt: Receipt) -> None:
        """Say what became of it."""
        self._receipt = receipt
        self._answered.set()

    def wait(self, timeout_s: float) -> Receipt | None:
        """Wait for the receipt; None if it does not come in time."""
        self._answered.wait(timeout_s)
        return self._receipt


class SubmissionRequest(OwnerRequest):
    """A job that is handed in.

    Parameters
    ----------
    job : str
        Its id.
    submission : Submission
        What the caller asks for.
    read_offset : int
        Offset up to which the process that took the request had read the log before.
    """

    __slots__ = ("read_offset", "submission")

    def __init__(self, job: str, submission: Submission, read_offset: int) -> None:
        super().__init__(job)
        self.submission = submission
        self.read_offset = read_offset


class CancelRequest(OwnerRequest):
    """A job that is cancelled by its account."""

    __slots__ = ()


class Peer(NamedTuple):
    """Another process, as it describes itself with each request that it passes on.

    Parameters
    ----------
    incarnation : str
        Names it.
    cores : float
        Speed of its processor, in cores.
    store_age_s : float
        Seconds since it last heard the store.
    zone : str
        Its availability zone.
    """

    incarnation: str
    cores: float
    store_age_s: float
    zone: str = ""


class OwnerRequests:
    """Where requests wait for the owner, for as long as this process owns the jobs.

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

    __slots__ = ("_lock", "_peers", "_post", "_standby", "_token", "_waiting", "_zone")

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._lock = threading.Lock()
        self._post: Callable[[OwnerRequest], None] | None = None
        self._token = 0
        self._waiting: set[OwnerRequest] = set()
        self._peers: dict[str, tuple[float, Peer]] = {}
        self._standby = ""

    @property
    def standby(self) -> str:
        """Incarnation of the process that should own the jobs next; empty if none is known.

        Explanation
        -----------
        Of those that were heard of lately and hear the store, one with the fastest
        processor; the same as long as it is one of these.  One in another zone, if
        there is any: zones are cut off as a whole.
        """
        heard_s = time.monotonic() - _FRESH_S
        with self._lock:
            self._peers = {key: item for key, item in self._peers.items() if item[0] >= heard_s}
            able = [peer for _, peer in self._peers.values() if peer.store_age_s < _STORE_HEARD_S]
            able = [peer for peer in able if peer.zone != self._zone] or able
            most_cores = max((peer.cores for peer in able), default=0.0)
            fastest = sorted(peer.incarnation for peer in able if peer.cores == most_cores)
            if self._standby not in fastest:
                self._standby = fastest[0] if fastest else ""
            return self._standby

    def note_peer(self, peer: Peer) -> None:
        """Note that another process has passed a request on."""
        with self._lock:
            self._peers[peer.incarnation] = (time.monotonic(), peer)

    @property
    def is_open(self) -> bool:
        """Whether this process owns the jobs and takes requests."""
        return self._post is not None

    def open(self, token: int, post: Callable[[OwnerRequest], None]) -> None:
        """Hand requests to ``post`` from now on, for the owner with that fencing token."""
        with self._lock:
            self._token = token
            self._post = post

    def close(self) -> None:
        """Take no more, and let nobody wait for what won't be answered."""
        with self._lock:
            self._post = None
            waiting, self._waiting = self._waiting, set()
        for request in waiting:
            request.withdraw()

    def ask(self, request: OwnerRequest, timeout_s: float, token: int | None = None) -> Receipt:
        """Wait for the owner's receipt; ``token`` names the owner that is meant.

        Raises
        ------
        OwnerNotReachedError
            The request was not taken, and won't be.
        OwnerUnclearError
            It was taken, and it is not known what becomes of it.
        """
        with self._lock:
            if self._post is None or token not in (None, self._token):
                raise OwnerNotReachedError(f"no owner with token {token} here")
            self._waiting.add(request)
            self._post(request)
        receipt = request.wait(timeout_s)
        with self._lock:
            self._waiting.discard(request)
        if receipt is not None:
            return receipt
        if request.withdraw():
            raise OwnerNotReachedError(f"the owner has not taken it within {timeout_s:.2f} s")
        raise OwnerUnclearError(f"the owner has not answered within {timeout_s:.2f} s")
