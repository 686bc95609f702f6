"""Set of revoked keys, from the log, peers or operators."""

import threading
from collections.abc import Callable, Iterable

from almondstack.fold import Fold

__all__ = ["RevocationSet"]


class RevocationSet:
    """Applies a revocation at once, before its record is in the log; ids are never removed.

    Parameters
    ----------
    fold : Fold
        Holds the revocations that are in the log.

    Examples
    --------
    >>> from almondstack.fold import Fold
    >>> from almondstack.peers import RevocationSet
    >>> revocations = RevocationSet(Fold())
    >>> revocations.add("k1")
    >>> revocations.is_revoked("k1"), revocations.is_revoked("k2")
    (True, False)
    """

    __slots__ = ("_added", "_fold", "_listeners", "_lock")

    def __init__(self, fold: Fold) -> None:
        self._fold = fold
        self._added: frozenset[str] = frozenset()
        self._listeners: list[Callable[[tuple[str, ...]], None]] = []
        self._lock = threading.Lock()

    @property
    def added(self) -> frozenset[str]:
        """Ids passed to :meth:`add` or :meth:`add_all`, whether in the log or not."""
        return self._added

    def is_revoked(self, key_id: str) -> bool:
        """Return True if the key was revoked by the log, a peer or an operator."""
        return key_id in self._added or key_id in self._fold.state.revoked

    def add(self, key_id: str) -> None:
        """Apply a revocation and call the listeners if it is new."""
        self.add_all((key_id,))

    def add_all(self, key_ids: Iterable[str]) -> None:
        """Apply revocations and call the listeners with those that are new."""
        with self._lock:
            new = tuple(sorted(set(key_ids) - self._added))
            self._added |= frozenset(new)
        for listener in self._listeners if new else ():
            listener(new)

    def add_listener(self, listener: Callable[[tuple[str, ...]], None]) -> None:
        """Call ``listener`` with the ids of each later new revocation."""
        self._listeners.append(listener)
