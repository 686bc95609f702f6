"""How long tickets of the advice service can be used, and how many workers a call may name.

Explanation
-----------
The pages don't say at which time of a call a ticket is issued.  A ticket counts as valid from the
sending of its call, which is never too long, unless too little would be left of it when the
answer comes.  Then it counts from the earliest time of the answer: a service that issues tickets
with its answer lets them start; one that issues them before rejects a start that comes too late.

Gangs need tickets for several workers at one time (``needed`` below).
"""

from almondstack.placement import AdvicePolicy

__all__ = [
    "calls_ahead",
    "is_usable",
    "margin_s",
    "most_workers",
    "renewal_s",
    "validity_s",
]

_SHORT_MS = 500
"""Tickets are short if less than this is left of them after a call, in milliseconds: rounds of an
idle owner are 200 ms apart, and a slow store takes up to 250 ms for the record of a start."""

_MAX_MARGIN_MS = 500
"""A ticket that expires sooner than this is not used, in milliseconds, if they last long enough."""

_MARGIN_SHARE = 0.25
"""Largest part of what is left of a ticket after a call that is not used."""

_SHORT_MARGIN_SHARE = 0.1
"""Largest part of the validity of a short ticket that is not used."""

_RENEWAL_MARGINS = 2
"""A ticket is requested again this many margins before it expires."""

_MAX_WORKERS_PER_CALL = 100
"""Workers that one call to the advice service may name."""

_MAX_CALL_SHARE = 0.5
"""Largest part of a ticket's validity that a call may take beyond the workers that it has to name,
so that its tickets can be used."""

_MS_PER_S = 1000.0


def is_usable(policy: AdvicePolicy) -> bool:
    """Return whether tickets outlast the shortest call, which names one worker.

    Examples
    --------
    >>> is_usable(AdvicePolicy(200, 20, 221)), is_usable(AdvicePolicy(200, 20, 220))
    (True, False)
    """
    return _call_ms(policy, 1) < policy.valid_ms


def validity_s(policy: AdvicePolicy, named: int, needed: int = 1) -> float:
    """Return for how long a ticket counts as valid from the sending of its call, in seconds.

    Examples
    --------
    >>> validity_s(AdvicePolicy(200, 20, 3_000), 5), validity_s(AdvicePolicy(200, 20, 600), 5)
    (3.0, 0.9)
    """
    issued_ms = _call_ms(policy, named) if _is_short(policy, needed) else 0
    return (issued_ms + policy.valid_ms) / _MS_PER_S


def margin_s(policy: AdvicePolicy, needed: int = 1) -> float:
    """Return how long before its end a ticket is not used any more, in seconds.

    Examples
    --------
    >>> [margin_s(AdvicePolicy(200, 20, valid_ms)) for valid_ms in (5_000, 820, 600)]
    [0.5, 0.15, 0.06]
    """
    if _is_short(policy, needed):
        margin_ms = policy.valid_ms * _SHORT_MARGIN_SHARE
    else:
        margin_ms = _left_ms(policy, needed) * _MARGIN_SHARE
    return min(_MAX_MARGIN_MS, margin_ms) / _MS_PER_S


def renewal_s(policy: AdvicePolicy, needed: int = 1) -> float:
    """Return how long before its end a ticket is requested again, in seconds."""
    return _RENEWAL_MARGINS * margin_s(policy, needed)


def most_workers(policy: AdvicePolicy, needed: int = 1) -> int:
    """Return how many workers a call may name so that its tickets can still be used.

    Examples
    --------
    >>> most_workers(AdvicePolicy(200, 20, 600)), most_workers(AdvicePolicy(200, 20, 600), 8)
    (5, 8)
    """
    if policy.worker_ms <= 0:
        return _MAX_WORKERS_PER_CALL
    longest_ms = policy.valid_ms * _MAX_CALL_SHARE - policy.decision_ms
    least = needed if _call_ms(policy, needed) < policy.valid_ms else 1
    return min(_MAX_WORKERS_PER_CALL, max(least, int(longest_ms / policy.worker_ms)))


def calls_ahead(policy: AdvicePolicy, workers: int) -> int:
    """Return how many calls can be made before the tickets of the first of them expire."""
    call_ms = _call_ms(policy, min(workers, most_workers(policy)))
    usable_ms = policy.valid_ms - margin_s(policy) * _MS_PER_S
    return max(1, int(usable_ms / max(1, call_ms)))


def _call_ms(policy: AdvicePolicy, named: int) -> int:
    """Return how long a call takes, as the policy states it."""
    return policy.decision_ms + policy.worker_ms * named


def _left_ms(policy: AdvicePolicy, needed: int) -> int:
    """Return what is left of a ticket after a call for a step, counted from its sending."""
    left_ms = policy.valid_ms - _call_ms(policy, needed)
    return left_ms if left_ms > 0 else policy.valid_ms - _call_ms(policy, 1)


def _is_short(policy: AdvicePolicy, needed: int) -> bool:
    return _left_ms(policy, needed) < _SHORT_MS
