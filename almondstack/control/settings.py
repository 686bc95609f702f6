"""Times and bounds of the owner's work."""

from almondstack.core import PositiveSeconds, Settings

__all__ = ["ControlSettings"]


class ControlSettings(Settings, frozen=True):
    """How the owner works with workers and instances.

    Parameters
    ----------
    lease_s : float
        Lease of a run, in seconds: long enough for another owner to take over,
        short enough that work on a lost worker soon begins anew.
    clock_error : float
        Share by which a worker's clock may be slow.
    stop_s : float
        How long a stop may take on the worker, in seconds.
    turn_s : float
        Time within which two owners must not take turns at one instance, in seconds.
    away_s : float
        After this time at work a lasting task no longer counts as away, in seconds.
    move_s : float
        How long a move of an instance takes, in seconds.
    round_s : float
        Least time between two rounds, in seconds; decisions gather for one append.
    look_wait_s : float
        How long a look waits for an end, in seconds.
    look_pause_s : float
        Least time between two looks at one worker, in seconds; each look is paid for.
    look_retry_s : float
        Pause after a look that failed, in seconds.
    call_timeout_s : float
        Bound on a call to a worker, in seconds, without what it waits for.
    order_patience_s : float
        An order whose answer takes longer holds up no others, in seconds.
    directory_interval_s : float
        How often the registered workers are compared, in seconds.
    instances_interval_s : float
        How often the instances are listed, in seconds.
    instance_orders_per_s : float
        Most orders to instances in a second; the service refuses more from all processes.
    keep_final_s : float
        How long ended jobs are kept for callers, in seconds.
    """

    lease_s: PositiveSeconds = 6.0
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
