"""Settings of admission and queueing."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["QueueingSettings"]


class QueueingSettings(Settings, frozen=True):
    """How calls wait.

    Parameters
    ----------
    max_waiting : int
        Most calls that wait in one pool at this entry.
    max_waiting_per_team : int
        Most calls of one team that wait in one pool at this entry.
    share_gain_per_s : float
        How strongly past distance from the share counts against present
        distance, per second.
    max_lag_s : float
        Bound on the remembered distance, in seconds of the team's whole share.
    fleet_smoothing_s : float
        How slowly the totals of other entries are followed, in seconds; several
        times their age.
    urgent_patience_s : float
        An urgent call that waited so long may overdraw its team's share.
    urgent_overdraft_slots : int
        Most running calls above its share, in the fleet as seen here, that a team
        may reach that way.
    urgent_debt_s : float
        How long the team may owe each of these slots, in seconds.
    relief_after_s : float
        An urgent call that waited so long asks the platform for a slot.
    wait_margin : float
        Admission refuses when the expected wait times this exceeds the deadline.
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
