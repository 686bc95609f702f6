"""How long to wait for each answer of the store while an append is repeated."""

from collections.abc import Iterator

__all__ = ["try_timeouts_s"]

_QUICK_TRIES_S = (0.5, 0.5)
"""An ordinary append takes some milliseconds, one of a slow store a few tenths of a second."""

_PATIENT_TRY_S = 1.2
"""A store that is slow must be given its time in the end, in seconds."""


def try_timeouts_s() -> Iterator[float]:
    """Yield the seconds to wait for the first, second and each further answer.

    Explanation
    -----------
    A repeat while the first try may still be carried out does no harm, since
    the store takes an append of one producer, epoch and sequence once.

    Examples
    --------
    >>> from itertools import islice
    >>> list(islice(try_timeouts_s(), 5))
    [0.5, 0.5, 1.2, 1.2, 1.2]
    """
    yield from _QUICK_TRIES_S
    while True:
        yield _PATIENT_TRY_S
