"""Keys that were revoked, by whatever route that was heard."""

import threading
from collections.abc import Callable, Iterable

from almondstack.fold import Fold

__all__ = ["RevocationSet"]


class RevocationSet:
    """Honours a revocation at once; it only ever grows.

    Parameters
    ----------
    fold : Fold
        Knows the revocations that the log has.

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
        """Ids that were heard directly, in the log or not."""
        return self._added

    def is_revoked(self, key_id: str) -> bool:
        """Return True if the key was revoked by any route."""
        return key_id in self._added or key_id in self._fold.state.revoked

    def add(self, key_id: str) -> None:
        """Honour a revocation and pass it on."""
        self.add_all((key_id,))

    def add_all(self, key_ids: Iterable[str]) -> None:
        """Honour revocations, and pass on those that are new."""
        with self._lock:
            new = tuple(sorted(set(key_ids) - self._added))
            self._added |= frozenset(new)
        for listener in self._listeners if new else ():
            listener(new)

    def add_listener(self, listener: Callable[[tuple[str, ...]], None]) -> None:
        """Call ``listener`` with the ids that are new."""
        self._listeners.append(listener)
