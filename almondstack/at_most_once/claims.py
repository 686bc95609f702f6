"""Submits claims of request ids in batches and waits for the log to decide them.

Explanation
-----------
A non-idempotent request with an id runs only after its claim was read back
from the log as the first one for the id.  An append whose reply was lost is
repeated.  If the log already contains the claim, the repetition has no effect,
because a claimed id keeps its owner.  A claim whose wait timed out is
abandoned: if it is granted later, it is released, and its request never runs.
"""

import threading

from almondstack.at_most_once.records import (
    CLAIMS_LEVEL,
    Claim,
    ClaimBatch,
    ClaimKey,
    claim_key,
    encode_batch,
)
from almondstack.at_most_once.settings import OnceSettings
from almondstack.at_most_once.table import ClaimOwner, ClaimTable
from almondstack.core import (
    Clock,
    CodecError,
    LocalMetrics,
    Reason,
    RequestError,
    request_id_time_s,
)
from almondstack.log import CLAIMS, LogClient, LogError

__all__ = ["ClaimManager", "PendingClaim"]

_RETRY_INTERVAL_S = 0.1


class PendingClaim:
    """A claim that is submitted and not yet decided by the log.

    Attributes
    ----------
    claim : Claim
        The claim.
    decided : threading.Event
        Set once the claim has been read back from the log.
    is_granted : bool
        True if the log has granted the claim, as the first one for its id.
    is_abandoned : bool
        True if its request no longer waits for it.
    """

    __slots__ = ("claim", "decided", "is_abandoned", "is_granted")

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.decided = threading.Event()
        self.is_granted = False
        self.is_abandoned = False


class ClaimManager:
    """Acquires and releases claims for one incarnation.

    Parameters
    ----------
    client : LogClient
        The log service.
    author : str
        Name of the incarnation, the author of its records.
    table : ClaimTable
        Table updated by a :class:`~almondstack.at_most_once.follower.ClaimFollower` that calls
        :meth:`handle_batch` after each record.
    settings : OnceSettings
        Window, limits and batching.
    clock : Clock
        Checks the age of request ids.
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
        "_undecided",
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
        self._pending: list[PendingClaim] = []
        self._releases: list[Claim] = []
        self._undecided: dict[ClaimOwner, PendingClaim] = {}
        self._keys_in_use: set[ClaimKey] = set()
        self._is_failing = False
        self._unconfirmed: ClaimBatch | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="claims", daemon=True)

    @property
    def is_failing(self) -> bool:
        """True if the last append failed; new claims are then rejected at once."""
        return self._is_failing

    def start(self) -> None:
        """Start the thread that appends claims."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, after at most one more append."""
        self._stop.set()
        with self._wake:
            self._wake.notify_all()

    def acquire(self, team: str, request_id: str) -> Claim:
        """Claim a request id and wait until the log has granted it.

        Raises
        ------
        RequestError
            The id is malformed, too old, in the future or claimed already, or the log
            has not decided within ``claim_timeout_s``.
        """
        pending_claim = self.submit(team, request_id)
        pending_claim.decided.wait(self._settings.claim_timeout_s)
        return self.resolve(pending_claim)

    def submit(self, team: str, request_id: str) -> PendingClaim:
        """Queue a claim for the next append.

        Raises
        ------
        RequestError
            The id is malformed, too old, in the future or claimed already, the last
            append failed, or the queue is full.
        """
        return self._enqueue(self._check_id(team, request_id))

    def resolve(self, pending_claim: PendingClaim) -> Claim:
        """Return a claim that the log has granted; abandon one that is not decided yet.

        Raises
        ------
        RequestError
            The log has not decided, or another claim has the id.
        """
        with self._lock:
            if not pending_claim.decided.is_set():
                self._abandon(pending_claim)
                raise RequestError(Reason.CLAIMS_UNAVAILABLE)
            if pending_claim.is_granted:
                self._metrics.count("claims.taken")
                return pending_claim.claim
            self._keys_in_use.discard(pending_claim.claim.key)
        raise RequestError(Reason.ID_CLAIMED)

    def flush(self) -> bool:
        """Append the queued claims and releases as one record; return False on failure.

        Explanation
        -----------
        A record that was not confirmed is sent again first and unchanged, since the
        log may contain it.
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
        """Release the id of a request that has not run and never will."""
        with self._wake:
            self._keys_in_use.discard(claim.key)
            self._releases.append(claim)
            self._wake.notify_all()

    def finish(self, claim: Claim) -> None:
        """End a claim whose request has run, or may have; the log keeps the id claimed."""
        with self._lock:
            self._keys_in_use.discard(claim.key)

    def holder_of(self, team: str, request_id: str) -> str | None:
        """Return the incarnation that holds a request id, or None."""
        owner = self._table.owner(claim_key(team, request_id))
        return owner.author if owner is not None else None

    def handle_batch(self, batch: ClaimBatch) -> None:
        """Mark the pending claims of ``batch`` as decided; called after the table applied it."""
        if batch.author != self._author:
            return
        with self._wake:
            for claim in batch.claims:
                self._mark_decided(claim)
            self._wake.notify_all()

    def _check_id(self, team: str, request_id: str) -> ClaimKey:
        try:
            created_s = request_id_time_s(request_id)
        except CodecError as error:
            raise RequestError(Reason.ID_MALFORMED) from error
        key = claim_key(team, request_id)
        now_s = self._clock.unix()
        oldest_s = now_s - self._settings.window_s + self._settings.clock_error_s
        if created_s < oldest_s or key.created_ms < self._table.horizon_ms:
            raise RequestError(Reason.ID_TOO_OLD)
        if created_s > now_s + self._settings.clock_error_s:
            raise RequestError(Reason.ID_IN_FUTURE)
        return key

    def _enqueue(self, key: ClaimKey) -> PendingClaim:
        with self._wake:
            if self._table.owner(key) is not None or key in self._keys_in_use:
                raise RequestError(Reason.ID_CLAIMED)
            if self._is_failing or len(self._pending) >= self._settings.most_pending:
                raise RequestError(Reason.CLAIMS_UNAVAILABLE)
            self._serial += 1
            pending_claim = PendingClaim(Claim(key, self._serial))
            self._keys_in_use.add(key)
            self._pending.append(pending_claim)
            self._undecided[ClaimOwner(self._author, self._serial)] = pending_claim
            self._wake.notify_all()
            return pending_claim

    def _abandon(self, pending_claim: PendingClaim) -> None:
        pending_claim.is_abandoned = True
        if pending_claim in self._pending:
            self._pending.remove(pending_claim)
            self._discard(pending_claim)

    def _discard(self, pending_claim: PendingClaim) -> None:
        self._undecided.pop(ClaimOwner(self._author, pending_claim.claim.serial), None)
        self._keys_in_use.discard(pending_claim.claim.key)

    def _mark_decided(self, claim: Claim) -> None:
        own = ClaimOwner(self._author, claim.serial)
        pending_claim = self._undecided.pop(own, None)
        if pending_claim is None:
            return
        pending_claim.is_granted = self._table.owner(claim.key) == own
        pending_claim.decided.set()
        if pending_claim.is_abandoned:
            self._keys_in_use.discard(claim.key)
            if pending_claim.is_granted:
                self._releases.append(claim)

    def _run(self) -> None:
        while not self._stop.is_set():
            with self._wake:
                self._wake.wait_for(self._has_work)
            self._clock.wait(self._stop, self._settings.batch_window_s)
            if not self.flush():
                self._clock.wait(self._stop, _RETRY_INTERVAL_S)

    def _has_work(self) -> bool:
        has_records = self._unconfirmed or self._pending or self._releases
        return bool(has_records or self._stop.is_set())

    def _next_batch(self) -> ClaimBatch | None:
        with self._lock:
            pending, self._pending = self._pending, []
            releases, self._releases = self._releases, []
        if not pending and not releases:
            return None
        claims = [pending_claim.claim for pending_claim in pending]
        written_ms = int(self._clock.unix() * 1000)
        return ClaimBatch(CLAIMS_LEVEL, self._author, written_ms, claims, releases)
