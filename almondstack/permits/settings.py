"""Settings of permit transfers between entries."""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["GivePolicy", "PermitSettings"]


class GivePolicy(StrEnum):
    """Part of its surplus that an entry transfers to a requesting peer."""

    HALF = "half"
    ALL = "all"


class PermitSettings(Settings, frozen=True):
    """Intervals and limits of permit transfers between entries.

    Parameters
    ----------
    give_policy : GivePolicy
        Part of the surplus that is transferred on request.
    tick_s : float
        Maximum time between two steps of the permit thread, in seconds.
    least_tick_s : float
        Minimum time between two steps of the permit thread, in seconds.
    ask_interval_s : float
        Time after which a request for a resource is repeated, in seconds.
    ask_fan_out : int
        Maximum number of peers that get a request at once.
    keep_s : float
        Time for which an entry with waiting calls may reuse a permit after a
        peer has requested it, in seconds.
    pause_bound_s : float
        After a longer pause, starts are suspended until the log has been read, in
        seconds.
    """

    give_policy: GivePolicy = GivePolicy.HALF
    tick_s: PositiveSeconds = 0.1
    least_tick_s: PositiveSeconds = 0.005
    ask_interval_s: PositiveSeconds = 0.25
    ask_fan_out: Annotated[int, Meta(ge=1, le=64)] = 8
    keep_s: Annotated[float, Meta(ge=0, le=10)] = 0.05
    pause_bound_s: Annotated[float, Meta(gt=0, le=5)] = 2.0
