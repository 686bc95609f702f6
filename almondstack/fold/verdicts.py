"""The newest verdicts, by record and by subject."""

from collections import deque

from almondstack.fold.refusals import Refusal, Verdict

__all__ = ["VerdictMemory"]

_VERDICTS_KEPT = 20_000


class VerdictMemory:
    """Keeps a bounded number of verdicts; the first on a record counts.

    Parameters
    ----------
    most : int
        Most verdicts kept.
    """

    __slots__ = ("_by_record", "_most", "_verdicts")

    def __init__(self, most: int = _VERDICTS_KEPT) -> None:
        self._most = most
        self._verdicts: deque[Verdict] = deque()
        self._by_record: dict[tuple[str, int], Verdict] = {}

    def add(self, verdict: Verdict) -> None:
        """Remember a verdict; the oldest is forgotten."""
        self._verdicts.append(verdict)
        if verdict.refusal is not Refusal.REPEATED:
            self._by_record.setdefault((verdict.author, verdict.sequence), verdict)
        if len(self._verdicts) > self._most:
            oldest = self._verdicts.popleft()
            self._by_record.pop((oldest.author, oldest.sequence), None)

    def find(self, author: str, sequence: int) -> Verdict | None:
        """Return the verdict on a record, or None."""
        return self._by_record.get((author, sequence))

    def on_subject(self, subject: str) -> list[Verdict]:
        """Return the verdicts on ``subject``, oldest first; all if it is empty."""
        return [item for item in self._verdicts if not subject or item.subject == subject]
