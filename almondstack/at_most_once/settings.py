"""Settings of at-most-once execution."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["OnceSettings"]


class OnceSettings(Settings, frozen=True):
    """Windows, timeouts and limits for requests with an idempotency key.

    Parameters
    ----------
    window_s : float
        Maximum age of a request id, in seconds; older ids are refused.
    clock_error_s : float
        Maximum difference between any two wall clocks, in seconds.
    claim_timeout_s : float
        Maximum wait for the log to decide a claim, in seconds.
    batch_window_s : float
        Time for which claims are collected into one append, in seconds.
    most_pending : int
        Maximum number of claims queued for the log.
    ticket_life_s : float
        Lifetime of a ticket, in seconds.
    tickets_per_call : int
        Maximum number of tickets issued by one call.
    """

    window_s: PositiveSeconds = 600.0
    clock_error_s: PositiveSeconds = 30.0
    claim_timeout_s: PositiveSeconds = 3.0
    batch_window_s: Annotated[float, Meta(ge=0, le=1)] = 0.004
    most_pending: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    ticket_life_s: PositiveSeconds = 3600.0
    tickets_per_call: Annotated[int, Meta(ge=1, le=10_000)] = 100
