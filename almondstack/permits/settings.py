"""Settings of permits."""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["GivePolicy", "PermitSettings"]


class GivePolicy(StrEnum):
    """How much of its surplus an entry gives to a peer that asks."""

    HALF = "half"
    ALL = "all"


class PermitSettings(Settings, frozen=True):
    """How permits move between entries.

    Parameters
    ----------
    give_policy : GivePolicy
        Part of the surplus that is given at once.
    tick_s : float
        Longest time between two looks at demand, in seconds.
    least_tick_s : float
        Shortest such time, in seconds.
    ask_interval_s : float
        A peer is asked again after so long, in seconds.
    ask_fan_out : int
        Most peers that are asked at once.
    keep_s : float
        An entry with work of its own may reuse a permit for so long after a
        peer has asked for it, in seconds.
    pause_bound_s : float
        A longer pause needs proof that this entry was not fenced, in seconds.
    """

    give_policy: GivePolicy = GivePolicy.HALF
    tick_s: PositiveSeconds = 0.1
    least_tick_s: PositiveSeconds = 0.005
    ask_interval_s: PositiveSeconds = 0.25
    ask_fan_out: Annotated[int, Meta(ge=1, le=64)] = 8
    keep_s: Annotated[float, Meta(ge=0, le=10)] = 0.05
    pause_bound_s: Annotated[float, Meta(gt=0, le=5)] = 2.0
