"""Bounded history of verdicts, searched by record or by subject."""

from collections import deque

from almondstack.fold.refusals import Refusal, Verdict

__all__ = ["VerdictHistory"]

_MAX_VERDICTS = 20_000


class VerdictHistory:
    """Keeps the newest verdicts; ``find`` returns the first one on a record.

    Parameters
    ----------
    max_verdicts : int
        Maximum number of verdicts kept.
    """

    __slots__ = ("_by_record", "_max_verdicts", "_verdicts")

    def __init__(self, max_verdicts: int = _MAX_VERDICTS) -> None:
        self._max_verdicts = max_verdicts
        self._verdicts: deque[Verdict] = deque()
        self._by_record: dict[tuple[str, int], Verdict] = {}

    def add(self, verdict: Verdict) -> None:
        """Add a verdict; evict the oldest if the history is full."""
        self._verdicts.append(verdict)
        if verdict.refusal is not Refusal.REPEATED:
            self._by_record.setdefault((verdict.author, verdict.sequence), verdict)
        if len(self._verdicts) > self._max_verdicts:
            oldest = self._verdicts.popleft()
            self._by_record.pop((oldest.author, oldest.sequence), None)

    def find(self, author: str, sequence: int) -> Verdict | None:
        """Return the verdict on a record, or None."""
        return self._by_record.get((author, sequence))

    def on_subject(self, subject: str) -> list[Verdict]:
        """Return the verdicts on ``subject``, oldest first; all verdicts if it is empty."""
        return [item for item in self._verdicts if not subject or item.subject == subject]
