"""The part of the state of admission that the owner publishes in its notice.

Explanation
-----------
Its size is bounded, and entitlements are rounded down to steps that few changes cross.
"""

import heapq
from collections.abc import Mapping

from almondstack.jobs.admission_state import AdmissionState, wait_key

__all__ = ["published_entitlements", "published_waits_ms"]

_MAX_ENTRIES = 256
"""Waits, and accounts beyond their entitlement, in a notice: the longest waits, and the accounts
with the largest entitlements.  Accounts that are left out are admitted as without a shortage."""

_KEPT_BITS = 3
"""Highest bits of an entitlement that are published: steps of an eighth to a quarter."""


def published_waits_ms(state: AdmissionState) -> dict[str, int]:
    """Return the waits to publish, in milliseconds; none of a state that was only read.

    Explanation
    -----------
    A wait at the rate of an entitlement that is left out would be read as one of an account that
    is within its entitlement.
    """
    if not state.is_current:
        return {}
    left_out = state.beyond.keys() - _largest(state.beyond).keys()
    endings = tuple(wait_key("", account) for account in left_out)
    waits_ms = state.waits_ms.items()
    return _largest({key: wait_ms for key, wait_ms in waits_ms if not key.endswith(endings)})


def published_entitlements(state: AdmissionState) -> dict[str, int] | None:
    """Return the entitlements to publish, in thousandths of a core; None of a state only read."""
    if not state.is_current:
        return None
    return {account: _coarse(millis) for account, millis in _largest(state.beyond).items()}


def _largest(values: Mapping[str, int]) -> dict[str, int]:
    if len(values) <= _MAX_ENTRIES:
        return dict(values)
    return dict(heapq.nlargest(_MAX_ENTRIES, values.items(), key=lambda item: (item[1], item[0])))


def _coarse(millis: int) -> int:
    """Round down to the highest bits.

    Examples
    --------
    >>> [_coarse(millis) for millis in (5, 1_000, 1_500, 40_000)]
    [5, 896, 1280, 32768]
    """
    dropped_bits = max(0, millis.bit_length() - _KEPT_BITS)
    return millis >> dropped_bits << dropped_bits
