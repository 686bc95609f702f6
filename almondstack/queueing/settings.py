"""Settings of admission and queueing."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["QueueingSettings"]


class QueueingSettings(Settings, frozen=True):
    """Limits and gains of admission and queueing.

    Parameters
    ----------
    max_waiting : int
        Maximum number of calls that wait in one pool at this entry.
    max_waiting_per_team : int
        Maximum number of calls of one team that wait in one pool at this entry.
    share_gain_per_s : float
        Weight of the integrated deviation from the share against the current
        deviation, per second.
    max_lag_s : float
        Limit of the integrated deviation, in seconds of the team's whole share.
    fleet_smoothing_s : float
        Time constant of the low-pass filter for the totals of other entries, in
        seconds; has to be several times their age.
    urgent_patience_s : float
        Wait in seconds after which an urgent call may exceed its team's share.
    urgent_overdraft_slots : int
        Maximum number of running calls above its share, in the fleet as estimated
        at this entry, that a team may reach by urgent calls.
    urgent_debt_s : float
        Time for which the team may use each of these slots, in seconds.
    relief_after_s : float
        Wait in seconds after which a slot is requested from the platform for an
        urgent call.
    wait_margin : float
        Factor on the expected wait; admission rejects a call when the product exceeds
        the time that is left for its start.
    """

    max_waiting: Annotated[int, Meta(ge=1, le=1_000_000)] = 2000
    max_waiting_per_team: Annotated[int, Meta(ge=1, le=1_000_000)] = 1000
    share_gain_per_s: Annotated[float, Meta(ge=0, le=100)] = 2.0
    max_lag_s: PositiveSeconds = 2.0
    fleet_smoothing_s: PositiveSeconds = 4.0
    urgent_patience_s: Annotated[float, Meta(ge=0, le=60)] = 0.2
    urgent_overdraft_slots: Annotated[int, Meta(ge=0, le=4096)] = 8
    urgent_debt_s: PositiveSeconds = 10.0
    relief_after_s: PositiveSeconds = 0.7
    wait_margin: Annotated[float, Meta(gt=0, le=10)] = 1.25
