"""Settings of the at-most-once machinery."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["OnceSettings"]


class OnceSettings(Settings, frozen=True):
    """How requests with an idempotency key run at most once.

    Parameters
    ----------
    window_s : float
        Ids older than this are refused, in seconds.
    clock_error_s : float
        Bound on the difference between any two wall clocks, in seconds.
    claim_timeout_s : float
        Longest wait for the log to decide a claim, in seconds.
    batch_window_s : float
        How long a claim waits for others to share an append, in seconds.
    most_pending : int
        Most claims that wait for the log at once.
    ticket_life_s : float
        How long a ticket may be used, in seconds.
    tickets_per_call : int
        Most tickets handed out in one answer.
    """

    window_s: PositiveSeconds = 600.0
    clock_error_s: PositiveSeconds = 30.0
    claim_timeout_s: PositiveSeconds = 3.0
    batch_window_s: Annotated[float, Meta(ge=0, le=1)] = 0.004
    most_pending: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    ticket_life_s: PositiveSeconds = 3600.0
    tickets_per_call: Annotated[int, Meta(ge=1, le=10_000)] = 100
