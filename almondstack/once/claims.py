"""Claims of this entry: asked for in batches, decided by the log.

Explanation
-----------
A non-idempotent request with an id runs only after its claim has come back
from the log as the first one.  An append whose reply was lost is repeated; the
repeat changes nothing, because an owner keeps its claim.  A claim that was
given up while the log was silent is released once it shows up, and its request
has not run and never will.
"""

import threading

from almondstack.core import (
    Clock,
    CodecError,
    LocalMetrics,
    Reason,
    RequestError,
    request_id_time_s,
)
from almondstack.log import CLAIMS, LogClient, LogError
from almondstack.once.records import (
    CLAIMS_LEVEL,
    Claim,
    ClaimBatch,
    ClaimKey,
    claim_key,
    encode_batch,
)
from almondstack.once.settings import OnceSettings
from almondstack.once.table import ClaimOwner, ClaimTable

__all__ = ["ClaimBook", "WaitingClaim"]

_RETRY_S = 0.1


class WaitingClaim:
    """A claim that the log has not decided."""

    __slots__ = ("claim", "decided", "is_given_up", "is_mine")

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.decided = threading.Event()
        self.is_mine = False
        self.is_given_up = False


class ClaimBook:
    """Takes and releases claims for one incarnation.

    Parameters
    ----------
    client : LogClient
        The log service.
    author : str
        The incarnation.
    table : ClaimTable
        Folded by a :class:`~almondstack.once.follower.ClaimFollower` that calls
        :meth:`decide` after each record.
    settings : OnceSettings
        Window, bounds and batching.
    clock : Clock
        Checks the age of ids.
    metrics : LocalMetrics
        Counts claims and failures.
    """

    __slots__ = (
        "_author",
        "_client",
        "_clock",
        "_is_failing",
        "_keys_in_use",
        "_lock",
        "_metrics",
        "_pending",
        "_releases",
        "_serial",
        "_settings",
        "_stop",
        "_table",
        "_thread",
        "_unconfirmed",
        "_waiting",
        "_wake",
    )

    def __init__(
        self,
        client: LogClient,
        author: str,
        table: ClaimTable,
        settings: OnceSettings,
        clock: Clock,
        metrics: LocalMetrics,
    ) -> None:
        self._client = client
        self._author = author
        self._table = table
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._serial = 0
        self._pending: list[WaitingClaim] = []
        self._releases: list[Claim] = []
        self._waiting: dict[ClaimOwner, WaitingClaim] = {}
        self._keys_in_use: set[ClaimKey] = set()
        self._is_failing = False
        self._unconfirmed: ClaimBatch | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="claims", daemon=True)

    @property
    def is_failing(self) -> bool:
        """True while the log does not take claims."""
        return self._is_failing

    def start(self) -> None:
        """Start the thread that appends."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; claims that wait are given up."""
        self._stop.set()
        with self._wake:
            self._wake.notify_all()

    def take(self, team: str, request_id: str) -> Claim:
        """Claim a request id; return once the log has decided for this entry.

        Raises
        ------
        RequestError
            The id is malformed, too old, claimed already, or the log is silent.
        """
        waiting = self.begin(team, request_id)
        waiting.decided.wait(self._settings.claim_timeout_s)
        return self.settle(waiting)

    def begin(self, team: str, request_id: str) -> WaitingClaim:
        """Hand a claim to the next append.

        Raises
        ------
        RequestError
            The id is malformed, too old, claimed already, or the log is silent.
        """
        return self._enqueue(self._check_id(team, request_id))

    def settle(self, waiting: WaitingClaim) -> Claim:
        """Return the claim if the log has decided for it; give it up otherwise.

        Raises
        ------
        RequestError
            The log has not decided, or for another.
        """
        with self._lock:
            if not waiting.decided.is_set():
                self._give_up(waiting)
                raise RequestError(Reason.CLAIMS_UNAVAILABLE)
            if waiting.is_mine:
                self._metrics.count("claims.taken")
                return waiting.claim
            self._keys_in_use.discard(waiting.claim.key)
        raise RequestError(Reason.ID_CLAIMED)

    def flush(self) -> bool:
        """Append what waits in one call; False if the log did not confirm it.

        Explanation
        -----------
        What was not confirmed stays first in line, unchanged, since the log
        may have taken it.
        """
        if self._unconfirmed is None:
            self._unconfirmed = self._next_batch()
        if self._unconfirmed is None:
            return True
        try:
            self._client.append(CLAIMS, [encode_batch(self._unconfirmed)])
        except LogError as error:
            self._is_failing = True
            self._metrics.count(f"claims.append-failed.{error.code}")
            return False
        self._unconfirmed = None
        self._is_failing = False
        self._metrics.count("claims.appends")
        return True

    def release(self, claim: Claim) -> None:
        """Free the id of a request that has not run and never will."""
        with self._wake:
            self._keys_in_use.discard(claim.key)
            self._releases.append(claim)
            self._wake.notify_all()

    def finish(self, claim: Claim) -> None:
        """Forget a claim whose request has run; the log keeps it."""
        with self._lock:
            self._keys_in_use.discard(claim.key)

    def holder_of(self, team: str, request_id: str) -> str | None:
        """Return the incarnation that holds a request id, or None."""
        owner = self._table.owner(claim_key(team, request_id))
        return owner.author if owner is not None else None

    def decide(self, batch: ClaimBatch) -> None:
        """Tell waiting requests what the log decided; called after each record."""
        if batch.author != self._author:
            return
        with self._wake:
            for claim in batch.claims:
                self._decide_one(claim)
            self._wake.notify_all()

    def _check_id(self, team: str, request_id: str) -> ClaimKey:
        try:
            made_s = request_id_time_s(request_id)
        except CodecError as error:
            raise RequestError(Reason.ID_MALFORMED) from error
        key = claim_key(team, request_id)
        now_s = self._clock.unix()
        oldest_s = now_s - self._settings.window_s + self._settings.clock_error_s
        if made_s < oldest_s or key.made_ms < self._table.horizon_ms:
            raise RequestError(Reason.ID_TOO_OLD)
        if made_s > now_s + self._settings.clock_error_s:
            raise RequestError(Reason.ID_IN_FUTURE)
        return key

    def _enqueue(self, key: ClaimKey) -> WaitingClaim:
        with self._wake:
            if self._table.owner(key) is not None or key in self._keys_in_use:
                raise RequestError(Reason.ID_CLAIMED)
            if self._is_failing or len(self._pending) >= self._settings.most_pending:
                raise RequestError(Reason.CLAIMS_UNAVAILABLE)
            self._serial += 1
            waiting = WaitingClaim(Claim(key, self._serial))
            self._keys_in_use.add(key)
            self._pending.append(waiting)
            self._waiting[ClaimOwner(self._author, self._serial)] = waiting
            self._wake.notify_all()
            return waiting

    def _give_up(self, waiting: WaitingClaim) -> None:
        waiting.is_given_up = True
        if waiting in self._pending:
            self._pending.remove(waiting)
            self._forget(waiting)

    def _forget(self, waiting: WaitingClaim) -> None:
        self._waiting.pop(ClaimOwner(self._author, waiting.claim.serial), None)
        self._keys_in_use.discard(waiting.claim.key)

    def _decide_one(self, claim: Claim) -> None:
        me = ClaimOwner(self._author, claim.serial)
        waiting = self._waiting.pop(me, None)
        if waiting is None:
            return
        waiting.is_mine = self._table.owner(claim.key) == me
        waiting.decided.set()
        if waiting.is_given_up:
            self._keys_in_use.discard(claim.key)
            if waiting.is_mine:
                self._releases.append(claim)

    def _run(self) -> None:
        while not self._stop.is_set():
            with self._wake:
                self._wake.wait_for(self._has_work)
            self._clock.wait(self._stop, self._settings.batch_window_s)
            if not self.flush():
                self._clock.wait(self._stop, _RETRY_S)

    def _has_work(self) -> bool:
        has_records = self._unconfirmed or self._pending or self._releases
        return bool(has_records or self._stop.is_set())

    def _next_batch(self) -> ClaimBatch | None:
        with self._lock:
            pending, self._pending = self._pending, []
            releases, self._releases = self._releases, []
        if not pending and not releases:
            return None
        claims = [waiting.claim for waiting in pending]
        written_ms = int(self._clock.unix() * 1000)
        return ClaimBatch(CLAIMS_LEVEL, self._author, written_ms, claims, releases)
