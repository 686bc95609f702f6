"""Ranks the keepers that propose records for a pool or wave.

Explanation
-----------
Rendezvous hashing (Thaler and Ravishankar 1998) ranks the keepers for each
subject.  The first proposes at once and each next one only after a further
delay.  The ranking saves duplicate appends; safety does not depend on it.
"""

import xxhash

from almondstack.model import FleetState

__all__ = ["keeper_names", "rank_of"]


def keeper_names(state: FleetState, own: str) -> list[str]:
    """Return the names of the live entry instances, on which keepers run, and ``own``."""
    names = {entry.name for entry in state.live_entries()}
    return sorted(names | {own})


def rank_of(own: str, names: list[str], subject: str) -> int:
    """Return the rank of ``own`` among ``names`` for a subject, 0 for the first.

    Examples
    --------
    >>> from almondstack.fleet import rank_of
    >>> sorted(rank_of(name, ["e1", "e2"], "pool/score") for name in ("e1", "e2"))
    [0, 1]
    """
    order = sorted(names, key=lambda name: _weight(name, subject), reverse=True)
    return order.index(own)


def _weight(name: str, subject: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{name}|{subject}".encode()), name
