"""Intervals, timeouts and limits of the owner's control loop."""

from almondstack.core import PositiveSeconds, Settings

__all__ = ["ControlSettings"]


class ControlSettings(Settings, frozen=True):
    """Settings of the owner's calls to workers and instances.

    Parameters
    ----------
    lease_s : float
        Lease of a run, in seconds: long enough for another owner to take over,
        short enough that work on a lost worker is soon restarted elsewhere.
    max_hold_s : float
        Longest lease that a worker grants, whatever deadline it is sent, in seconds of its
        own clock.
    clock_error : float
        Fraction by which a worker's clock may be slow.
    stop_s : float
        Maximum time that a worker takes to stop a run, in seconds.
    turn_s : float
        Minimum time between orders of two owners to the same instance, in seconds.
    away_s : float
        Time at full speed after which a long-running task counts as available again,
        in seconds.
    move_s : float
        Duration of a move of an instance, in seconds.
    round_s : float
        Minimum time between the starts of two rounds, in seconds; the decisions of a
        round share one append.
    look_wait_s : float
        Maximum time that a poll of a worker waits for a run to end, in seconds.
    look_pause_s : float
        Minimum time between two polls of one worker, in seconds; each poll costs money.
    look_retry_s : float
        Pause after a failed poll, in seconds.
    call_timeout_s : float
        Timeout of a call to a worker, in seconds, not counting the time that a poll
        waits for a run to end.
    order_patience_s : float
        Time without an answer to an order after which the orders queued behind it go
        over another connection, in seconds.
    directory_interval_s : float
        Interval between comparisons of sessions with the registered workers, in seconds.
    instances_interval_s : float
        Interval between listings of the instances, in seconds.
    instance_orders_per_s : float
        Maximum rate of orders to instances, per second; the service rejects a higher
        rate, counted over all processes.
    keep_final_s : float
        Retention time of ended jobs, in seconds.
    """

    lease_s: PositiveSeconds = 6.0
    max_hold_s: PositiveSeconds = 6.0
    clock_error: float = 0.02
    stop_s: PositiveSeconds = 0.4
    turn_s: PositiveSeconds = 3.0
    away_s: PositiveSeconds = 4.5
    move_s: PositiveSeconds = 1.5
    round_s: PositiveSeconds = 0.03
    look_wait_s: PositiveSeconds = 1.0
    look_pause_s: PositiveSeconds = 0.08
    look_retry_s: PositiveSeconds = 0.3
    call_timeout_s: PositiveSeconds = 0.8
    order_patience_s: PositiveSeconds = 0.1
    directory_interval_s: PositiveSeconds = 0.1
    instances_interval_s: PositiveSeconds = 1.0
    instance_orders_per_s: float = 50.0
    keep_final_s: PositiveSeconds = 150.0
