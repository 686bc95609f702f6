"""Verdicts on records, and the reasons for which a record is refused.

Explanation
-----------
A refusal is a normal result and no error of the process: every replica refuses
the same record at the same offset for the same reason.
"""

from enum import StrEnum

import msgspec

from almondstack.core import AlmondError

__all__ = ["Refusal", "RefusedError", "Verdict"]


class Refusal(StrEnum):
    """Reason for which the fold refused a record."""

    REPEATED = "repeated"
    UNKNOWN_KIND = "unknown-kind"
    MALFORMED = "malformed"
    TOO_OLD = "too-old"
    FAULT = "fault"
    LEVEL_TOO_HIGH = "level-too-high"
    LEVEL_IN_FORCE = "level-in-force"
    LEVEL_NOT_SUPPORTED = "level-not-supported"
    REVISION_CONFLICT = "revision-conflict"
    NOTE_INVALID = "note-invalid"
    NO_SUCH_TEAM = "no-such-team"
    KEY_EXISTS = "key-exists"
    NO_SUCH_INSTANCE = "no-such-instance"
    NO_SUCH_POOL = "no-such-pool"
    VERSION_CONFLICT = "version-conflict"
    PHASE_NOT_REACHABLE = "phase-not-reachable"
    BUDGET_BROKEN = "budget-broken"
    INSTANCE_UNFIT = "instance-unfit"
    NOT_WITHDRAWN = "not-withdrawn"
    NOT_THE_TARGET = "not-the-target"
    WAVE_EXISTS = "wave-exists"
    WAVE_OVERLAPS = "wave-overlaps"
    WAVE_EMPTY = "wave-empty"
    NO_SUCH_WAVE = "no-such-wave"
    WAVE_NOT_OPEN = "wave-not-open"
    WAVE_NOT_FINISHED = "wave-not-finished"
    NOT_WAITING_IN_WAVE = "not-waiting-in-wave"
    ENTRY_EXISTS = "entry-exists"
    NO_SUCH_ENTRY = "no-such-entry"
    ENTRY_NOT_LIVE = "entry-not-live"
    PERMITS_EXHAUSTED = "permits-exhausted"
    PERMITS_NOT_DRAWN = "permits-not-drawn"
    NOTHING_TO_SETTLE = "nothing-to-settle"


class RefusedError(AlmondError):
    """Raised by a fold function when a precondition of the record does not hold."""

    code = "refused"

    def __init__(self, refusal: Refusal, detail: str = "") -> None:
        super().__init__(detail or refusal.value)
        self._refusal = refusal

    @property
    def refusal(self) -> Refusal:
        """Reason of the refusal."""
        return self._refusal


class Verdict(msgspec.Struct, frozen=True):
    """Result of applying one record: accepted, or refused with a reason.

    Parameters
    ----------
    offset : int
        Offset of the record in the log.
    author, sequence, kind : str, int, str
        From its envelope.
    refusal : Refusal or None
        Reason of the refusal; None if the record was accepted.
    detail : str
        Human-readable detail of a refusal.
    subject : str
        Object that the record changes, for ``almondctl explain``.
    """

    offset: int
    author: str
    sequence: int
    kind: str
    refusal: Refusal | None = None
    detail: str = ""
    subject: str = ""

    @property
    def is_accepted(self) -> bool:
        """True if the record took effect."""
        return self.refusal is None
