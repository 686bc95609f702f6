"""Table of claimed request ids, built from the claims stream.

Explanation
-----------
The first claim in the log wins, so all readers agree.  Claims are kept for a
window; an id older than the horizon can no longer be checked, so its claim is
refused.  The horizon never decreases.  All times are milliseconds since 1970
and come from the records, never from the reader's clock, apart from a horizon
that a reader raises because it has not read earlier records.
"""

import msgspec

from almondstack.at_most_once.records import Claim, ClaimBatch, ClaimKey

__all__ = ["ClaimOwner", "ClaimTable"]

_BUCKET_MS = 1000


class ClaimOwner(msgspec.Struct, frozen=True, array_like=True):
    """Owner of a claim: its author and serial number."""

    author: str
    serial: int


class ClaimTable:
    """Claims within the window.

    Parameters
    ----------
    window_ms : int
        Time for which a claim is kept after its id was created, in milliseconds.
    clock_error_ms : int
        Maximum time by which an id may be ahead of its author's clock, in
        milliseconds.

    Examples
    --------
    >>> from almondstack.at_most_once import Claim, ClaimBatch, ClaimTable, claim_key
    >>> key = claim_key("north", "01890a5d-ac96-774b-bcce-b302099a8057")
    >>> table = ClaimTable(600_000, 30_000)
    >>> table.apply(ClaimBatch(1, "entry-1", key.created_ms, [Claim(key, 1)], []))
    >>> table.apply(ClaimBatch(1, "entry-2", key.created_ms, [Claim(key, 1)], []))
    >>> table.owner(key).author
    'entry-1'
    """

    __slots__ = (
        "_buckets",
        "_clock_error_ms",
        "_horizon_ms",
        "_newest_ms",
        "_oldest_bucket",
        "_owners",
        "_window_ms",
    )

    def __init__(self, window_ms: int, clock_error_ms: int) -> None:
        self._window_ms = window_ms
        self._clock_error_ms = clock_error_ms
        self._owners: dict[ClaimKey, ClaimOwner] = {}
        self._buckets: dict[int, list[ClaimKey]] = {}
        self._newest_ms = 0
        self._horizon_ms = 0
        self._oldest_bucket: int | None = None

    @property
    def horizon_ms(self) -> int:
        """Creation time before which ids can no longer be checked, in milliseconds."""
        return self._horizon_ms

    def __len__(self) -> int:
        return len(self._owners)

    def owner(self, key: ClaimKey) -> ClaimOwner | None:
        """Return the owner of ``key``, or None."""
        return self._owners.get(key)

    def raise_horizon(self, time_ms: int) -> None:
        """Refuse ids created before ``time_ms``, whose claims may be missing here."""
        self._horizon_ms = max(self._horizon_ms, time_ms)
        self._prune()

    def apply(self, batch: ClaimBatch) -> None:
        """Apply one record of the claims stream."""
        for release in batch.releases:
            self._apply_release(batch.author, release)
        latest_ms = batch.written_ms + self._clock_error_ms
        for claim in batch.claims:
            self._apply_claim(batch.author, claim, latest_ms)
        self.raise_horizon(self._newest_ms - self._window_ms)

    def _apply_claim(self, author: str, claim: Claim, latest_ms: int) -> None:
        created_ms = claim.key.created_ms
        if not self._horizon_ms <= created_ms <= latest_ms or claim.key in self._owners:
            return
        self._owners[claim.key] = ClaimOwner(author, claim.serial)
        self._buckets.setdefault(created_ms // _BUCKET_MS, []).append(claim.key)
        self._newest_ms = max(self._newest_ms, created_ms)

    def _apply_release(self, author: str, release: Claim) -> None:
        if self._owners.get(release.key) == ClaimOwner(author, release.serial):
            del self._owners[release.key]

    def _prune(self) -> None:
        horizon_bucket = self._horizon_ms // _BUCKET_MS
        if self._oldest_bucket == horizon_bucket:
            return
        self._oldest_bucket = horizon_bucket
        for bucket in [number for number in self._buckets if number < horizon_bucket]:
            for key in self._buckets.pop(bucket):
                self._owners.pop(key, None)
